package relayer_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/peerpicker"
	"sequoiasill.dev/sequoiasill/relay/dispatcher"
	"sequoiasill.dev/sequoiasill/relay/relayer"
)

// boundedMemory has room for a number of bytes.
type boundedMemory struct {
	mu         sync.Mutex
	room, held int64
	peak       int64
}

func (m *boundedMemory) Hold(n int64) (func(), bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held+n > m.room {
		return nil, false
	}
	m.held += n
	m.peak = max(m.peak, m.held)
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.held -= n
	}, true
}

func (m *boundedMemory) figures() (held, peak int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held, m.peak
}

// Guards against relayed calls whose copies count on neither side, that stay counted after their end, or that
// are not known as not run when there is no memory for them.
func TestCopiesOfRelayedCallsAreReserved(t *testing.T) {
	const size = 1 << 20
	tests := map[string]struct {
		client, server int64 // room
		served         bool
	}{
		"room on both sides": {4 * size, 4 * size, true},
		"none here":          {size, 4 * size, false},
		"none there":         {4 * size, size, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			here, there := &boundedMemory{room: tc.client}, &boundedMemory{room: tc.server}
			l := listen(t)
			s := relayer.NewServer(l, &fakeDispatcher{serve: func(_ context.Context, call *sequoiasill.Call, _ int, reply dispatcher.RelayWriter) {
				if _, peak := there.figures(); peak < int64(len(call.Body)) {
					t.Errorf("%d bytes are reserved for a body of %d", peak, len(call.Body))
				}
				_ = reply.SendWhole(http.StatusOK, http.Header{}, nil)
			}}, there, clock, hclog.NewNullLogger())
			t.Cleanup(s.Close)
			c := relayer.NewClient(peerpicker.New(peerpicker.DefaultOptions(), "a", 1), peers{l.Addr().String()}, here, clock, hclog.NewNullLogger())
			t.Cleanup(c.Close)
			now := clock.Now()
			r, err := c.Send(t.Context(), peerpicker.Peer{Name: "e1", Address: l.Addr().String()}, dispatcher.RelayedCall{Service: "model", Call: &sequoiasill.Call{
				ID: "7", Method: "POST", Target: "/a", ArrivedAt: now, Deadline: now + 5000, Body: []byte(strings.Repeat("x", size)),
			}})
			if diff := cmp.Diff(tc.served, err == nil); diff != "" {
				t.Fatalf("served, %v (-want +got):\n%s", err, diff)
			}
			if err == nil {
				r.Close(true)
			} else if diff := cmp.Diff(sequoiasill.NotRun, dispatcher.Verdict(err)); diff != "" {
				t.Errorf("verdict of %v (-want +got):\n%s", err, diff)
			}
			for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
				a, _ := here.figures()
				b, _ := there.figures()
				if a == 0 && b == 0 {
					break
				}
				if time.Now().After(end) {
					t.Fatalf("%d and %d bytes stay reserved", a, b)
				}
			}
		})
	}
}
