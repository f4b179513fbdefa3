package dispatcher_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/rationer"
	"sequoiasill.dev/sequoiasill/relay/dispatcher"
)

// endlessTransport responds with bodies that do not end. Each pauses after a number of bytes
// until the test resumes all of them.
type endlessTransport struct {
	status    int
	refused   bool
	events    bool
	pauseAt   int
	resume    chan struct{}
	heldBytes atomic.Int64 // bytes read from all bodies that are not closed
	reusable  atomic.Int64 // connections that may be reused
}

func (e *endlessTransport) Send(_ context.Context, a dispatcher.Attempt) (*dispatcher.Response, error) {
	if !a.MaySend() {
		return nil, sendError{}
	}
	b := &endlessBody{transport: e}
	return &dispatcher.Response{
		Status: e.status, Header: http.Header{}, Authentic: true, Refused: e.refused, EventStream: e.events, Body: b,
		Close: func(whole bool) {
			e.heldBytes.Add(-int64(b.n))
			if whole {
				e.reusable.Add(1)
			}
		},
	}, nil
}

func (e *endlessTransport) Outlived(context.Context, sequoiasill.Replica) error { return nil }

type endlessBody struct {
	transport *endlessTransport
	n         int
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.n >= b.transport.pauseAt {
		<-b.transport.resume
	}
	p = p[:min(len(p), 32<<10)]
	for i := range p {
		p[i] = 'x'
	}
	b.n += len(p)
	b.transport.heldBytes.Add(int64(len(p)))
	return len(p), nil
}

// A response whose body does not end is aborted, and its connection is closed.
func TestEndlessBodyIsAborted(t *testing.T) {
	for name, tc := range map[string]struct {
		path string
		e    *endlessTransport
		want int
	}{
		"a response": {"/once/x", &endlessTransport{status: 200}, 502},
		"an error":   {"/once/x", &endlessTransport{status: 500}, 502},
		"a refusal":  {"/once/x", &endlessTransport{status: 503, refused: true}, 503},
		"one stream": {"/long/x", &endlessTransport{status: 200, events: true}, 502},
	} {
		t.Run(name, func(t *testing.T) {
			e := tc.e
			e.pauseAt = 1 << 62
			var got reply
			d := newDispatcherWith(e, &fakePeers{usageCounts: make(map[string]int)}, rationer.New(rationer.Limits{Window: 1000}, 1), hclog.NewNullLogger())
			d.Serve(context.Background(), call(tc.path, "key"), &got)
			if diff := cmp.Diff(tc.want, got.Status); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
			if e.reusable.Load() > 0 {
				t.Error("the connection was kept")
			}
		})
	}
}

// The endless bodies of concurrent calls together hold a bounded amount of memory.
func TestEndlessBodiesShareAMemoryBound(t *testing.T) {
	const calls = 60
	opts := dispatcher.DefaultOptions()
	e := &endlessTransport{status: 200, pauseAt: opts.MaxResponseBytes - 1<<20, resume: make(chan struct{})}
	d := newDispatcherWith(e, &fakePeers{usageCounts: make(map[string]int)}, rationer.New(rationer.Limits{Window: 1000}, 1), hclog.NewNullLogger())
	var done sync.WaitGroup
	for range calls {
		done.Go(func() { d.Serve(context.Background(), call("/once/x", "key"), &reply{}) })
	}
	time.Sleep(700 * time.Millisecond)
	if limit := int64(opts.MaxBufferedBytes + calls*opts.SmallResponseBytes*2); e.heldBytes.Load() > limit {
		t.Errorf("%d bytes of responses are held, %d are allowed", e.heldBytes.Load(), limit)
	}
	close(e.resume)
	done.Wait()
}
