package dispatcher_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/relay/dispatcher"
)

// refusedLeaving is the refusal of a call that did not run, with a short Retry-After.
var refusedLeaving = reply{Status: 503, Ended: true, RetryAfter: 20}

// shutDownIn lets the calls of d end after a time.
func shutDownIn(d *dispatcher.Dispatcher, after sequoiasill.Millis) {
	d.SetShutdownTime(sequoiasill.NewSystemClock().Now() + after)
}

// hangingBody holds a text and does not end until the attempt is cancelled.
type hangingBody struct {
	io.Reader

	ctx context.Context
}

func (b *hangingBody) Read(p []byte) (int, error) {
	if n, err := b.Reader.Read(p); err == nil {
		return n, nil
	}
	<-b.ctx.Done()
	return 0, io.ErrUnexpectedEOF
}

// hangingTransport reaches a point of the exchange and then waits until the attempt is cancelled.
type hangingTransport struct {
	connects bool // otherwise no connection is made
	response *dispatcher.Response
	text     string // part of the response's body

	mu    sync.Mutex
	sends int
}

func (h *hangingTransport) Send(ctx context.Context, a dispatcher.Attempt) (*dispatcher.Response, error) {
	if !h.connects {
		<-ctx.Done()
		return nil, sendError{v: sequoiasill.NotRun}
	}
	if !a.MaySend() {
		return nil, sendError{v: sequoiasill.NotRun}
	}
	h.mu.Lock()
	h.sends++
	h.mu.Unlock()
	if h.response == nil {
		<-ctx.Done()
		return nil, sendError{v: sequoiasill.MayHaveRun}
	}
	r := *h.response
	r.Body, r.Close = &hangingBody{strings.NewReader(h.text), ctx}, func(bool) {}
	return &r, nil
}

// Guards against LOST: a call that is in progress at the end of a planned stop gets a final answer, which
// says truly whether it may have run.
func TestShutdownAnswersCallsInProgress(t *testing.T) {
	whole := &dispatcher.Response{Status: 200, Authentic: true}
	events := &dispatcher.Response{Status: 200, Authentic: true, EventStream: true}
	failed := reply{Status: 504, Ended: true}
	tests := map[string]struct {
		path      string
		transport *hangingTransport
		want      reply
		sends     int
	}{
		"runs once, no connection":         {"/once/x", &hangingTransport{}, refusedLeaving, 0},
		"runs once, no response":           {"/once/x", &hangingTransport{connects: true}, failed, 1},
		"runs once, part of a response":    {"/once/x", &hangingTransport{connects: true, response: whole, text: "go"}, failed, 1},
		"may be repeated, no response":     {"/read/x", &hangingTransport{connects: true}, failed, 1},
		"stream, no connection":            {"/long/x", &hangingTransport{}, refusedLeaving, 0},
		"stream, no event":                 {"/long/x", &hangingTransport{connects: true, response: events, text: "id: 1\n"}, failed, 1},
		"stream, header sent":              {"/long/x", &hangingTransport{connects: true, response: events, text: "id: 1\ndata: a\n\n"}, reply{Status: 200, Body: "id: 1\ndata: a\n\n", WasCut: true}, 1},
		"resumable stream, header sent":    {"/quick/x", &hangingTransport{connects: true, response: events, text: "id: 1\ndata: a\n\n"}, reply{Status: 200, Body: "id: 1\ndata: a\n\n", WasCut: true}, 1},
		"resumable stream, no event":       {"/quick/x", &hangingTransport{connects: true, response: events}, failed, 1},
		"resumable stream, no connections": {"/quick/x", &hangingTransport{}, refusedLeaving, 0},
	}
	for name, tc := range tests {
		for mode, relayed := range map[string]bool{"own": false, "relayed": true} {
			t.Run(name+", "+mode, func(t *testing.T) {
				t.Parallel()
				u, paths := &fakePeers{usageCounts: make(map[string]int), target: "v2"}, &fakePaths{}
				h := &hangingTransport{connects: tc.transport.connects, response: tc.transport.response, text: tc.transport.text}
				d := newDispatcherOf(h, u, soundScreener(), paths, &fakeRelays{}, filledBudget(), hclog.NewNullLogger())
				time.AfterFunc(50*time.Millisecond, func() { shutDownIn(d, 50) })
				got := &relayReply{}
				began := time.Now()
				if relayed {
					d.ServeRelayed(context.Background(), call(tc.path, "key"), 0, got)
				} else {
					d.Serve(context.Background(), call(tc.path, "key"), got)
				}
				if took := time.Since(began); took > time.Second {
					t.Errorf("ended after %s", took)
				}
				if diff := cmp.Diff(tc.want, got.reply); diff != "" {
					t.Errorf("response (-want +got):\n%s", diff)
				}
				if relayed {
					if diff := cmp.Diff([]int{tc.sends, tc.sends}, []int{got.runs, got.arrivals}); diff != "" {
						t.Errorf("runs and arrivals that the other entry learns (-want +got):\n%s", diff)
					}
				}
				if diff := cmp.Diff(tc.sends, h.sends); diff != "" {
					t.Errorf("sends (-want +got):\n%s", diff)
				}
				if failures := strings.Count(strings.Join(u.records, " "), "failed true"); failures+paths.failures > 0 {
					t.Errorf("%d failures of the version and %d of the paths, though the entry ended the call", failures, paths.failures)
				}
			})
		}
	}
}
