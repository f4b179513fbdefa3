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
	"sequoiasill.dev/sequoiasill/decide/pathmonitor"
	"sequoiasill.dev/sequoiasill/relay/dispatcher"
)

var (
	servedWhole  = reply{Status: 200, Body: "good", Ended: true}
	servedStream = reply{Status: 200, Body: "id: 1\ndata: a\n\n", Ended: true}
	// refusedLeaving is the refusal of a call that did not run, with a short Retry-After.
	refusedLeaving = reply{Status: 503, Ended: true, RetryAfter: 20}
)

// shutDownIn lets the calls and streams of d end after a time.
func shutDownIn(d *dispatcher.Dispatcher, after sequoiasill.Millis) {
	at := sequoiasill.NewSystemClock().Now() + after
	d.SetShutdownTimes(dispatcher.ShutdownTimes{Calls: at, Streams: at})
}

// Guards against LOST: calls that the end of a planned stop would break off are not passed on, and those
// that can be served are.
func TestCallsLateInAShutdownAreRefused(t *testing.T) {
	whole := step{status: 200, body: "good"}
	events := step{status: 200, events: true, body: "id: 1\ndata: a\n\n"}
	slowWhole := step{status: 200, body: "good", delay: 300}
	tests := map[string]struct {
		path     string
		history  step               // of earlier calls, none without a status
		left     sequoiasill.Millis // until calls end
		deadline sequoiasill.Millis // until the call's
		want     reply
	}{
		"runs once, late":                       {"/once/x", step{}, 100, 1500, refusedLeaving},
		"runs once, in time":                    {"/once/x", step{}, 500, 1500, servedWhole},
		"runs once, late by the calls before":   {"/once/x", slowWhole, 250, 1500, refusedLeaving},
		"runs once, ends before anyway":         {"/once/x", slowWhole, 250, 200, servedWhole},
		"may be repeated, late":                 {"/read/x", step{}, 100, 1500, refusedLeaving},
		"stream, late":                          {"/long/x", step{}, 1000, 1500, refusedLeaving},
		"stream, ends before anyway":            {"/long/x", step{}, 1000, 900, servedStream},
		"stream, in time by the calls before":   {"/long/x", events, 1000, 1500, servedStream},
		"resumable stream, late":                {"/quick/x", step{}, 1000, 1500, refusedLeaving},
		"after the time at which the calls end": {"/once/x", step{}, 0, 1500, refusedLeaving},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := &fakeTransport{steps: []step{tc.history}}
			d := newDispatcher(t, c, &fakePeers{usageCounts: make(map[string]int)})
			if tc.history.status != 0 {
				var done sync.WaitGroup
				for range 10 {
					done.Go(func() { d.Serve(context.Background(), call(tc.path, "key"), &reply{}) })
				}
				done.Wait()
			}
			before := len(c.attempts)
			c.steps = append(make([]step, before), whole)
			if tc.want.Body == servedStream.Body {
				c.steps[before] = events
			}
			shutDownIn(d, tc.left)
			k := call(tc.path, "key")
			k.Deadline = k.ArrivedAt + tc.deadline
			got, relayed := reply{}, relayReply{}
			d.Serve(context.Background(), k, &got)
			d.ServeRelayed(context.Background(), k, 0, &relayed)
			if diff := cmp.Diff([]reply{tc.want, tc.want}, []reply{got, relayed.reply}); diff != "" {
				t.Errorf("responses, also to another entry (-want +got):\n%s", diff)
			}
			if passedOn := len(c.attempts) > before; passedOn != (tc.want.Status == 200) {
				t.Errorf("passed on: %t", passedOn)
			}
		})
	}
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

func (h *hangingTransport) Outlived(context.Context, sequoiasill.Replica) error { return nil }

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
				u, paths := &fakePeers{usageCounts: make(map[string]int), assignment: sequoiasill.VersionAssignment{Target: "v2"}}, &fakePaths{}
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

// Guards against LOST: a stream that was passed on as nine of ten end in time was cut.
func TestStreamLateByTheSlowestBeforeIsRefused(t *testing.T) {
	events := step{status: 200, events: true, body: "id: 1\ndata: a\n\n"}
	slow := events
	slow.delay = 300
	c := &fakeTransport{steps: []step{slow, events}}
	d := newDispatcher(t, c, &fakePeers{usageCounts: make(map[string]int)})
	for range 10 {
		d.Serve(context.Background(), call("/long/x", "key"), &reply{})
	}
	shutDownIn(d, 250)
	got := reply{}
	d.Serve(context.Background(), call("/long/x", "key"), &got)
	if diff := cmp.Diff(refusedLeaving, got); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
}

// Guards against streams that are cut before the connections are closed: they need no time for another answer.
func TestStreamsInProgressOutlastOtherCalls(t *testing.T) {
	const calls, streams = 100, 400
	h := &hangingTransport{connects: true, response: &dispatcher.Response{Status: 200, Authentic: true, EventStream: true}, text: "id: 1\ndata: a\n\n"}
	d := newDispatcherOf(h, &fakePeers{usageCounts: make(map[string]int)}, soundScreener(), &fakePaths{}, &fakeRelays{}, filledBudget(), hclog.NewNullLogger())
	now := sequoiasill.NewSystemClock().Now()
	time.AfterFunc(50*time.Millisecond, func() {
		d.SetShutdownTimes(dispatcher.ShutdownTimes{Calls: now + calls, Streams: now + streams})
	})
	got := reply{}
	d.Serve(context.Background(), call("/long/x", "key"), &got)
	if !got.WasCut {
		t.Error("the stream was not cut")
	}
	if took := sequoiasill.NewSystemClock().Now() - now; took < streams {
		t.Errorf("the stream was cut after %s", took)
	}
}

// Guards against LOST: a call is not sent once more, to another entry or after a wait for a connection or
// a permit, if the shutdown would break it off.
func TestShutdownIsCheckedBeforeEachAttempt(t *testing.T) {
	good := step{status: 200, body: "good"}
	tests := map[string]struct {
		path  string
		state pathmonitor.State
		steps []step
		wait  time.Duration // before each send
		relay relayStep
		want  reply
		sends int
	}{
		"after a wait":              {"/once/x", pathmonitor.Reachable, []step{good}, 200 * time.Millisecond, relayStep{}, refusedLeaving, 0},
		"after an attempt that ran": {"/read/x", pathmonitor.Reachable, []step{{fail: true, verdict: sequoiasill.MayHaveRun, delay: 200}, good}, 0, relayStep{}, reply{Status: 502, Ended: true}, 1},
		"after a refusal":           {"/once/x", pathmonitor.Reachable, []step{{status: 503, refused: true, delay: 200}, good}, 0, relayStep{}, refusedLeaving, 1},
		"at another entry": {"/once/x", pathmonitor.Unreachable, nil, 0,
			relayStep{refusal: refusal(sequoiasill.NotRun, sequoiasill.CodeLeaving, 503), delay: 200}, refusedLeaving, 1},
		"instead of a slow attempt": {"/read/x", pathmonitor.Reachable, []step{{hang: true}, good}, 0, relayStep{}, reply{Status: 504, Ended: true}, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := &fakeTransport{steps: tc.steps, beforeSend: func(dispatcher.Attempt) { time.Sleep(tc.wait) }}
			relays := &fakeRelays{entries: 3, steps: []relayStep{tc.relay}}
			d := newRelayingDispatcher(t, c, &fakePeers{usageCounts: make(map[string]int)}, &fakePaths{state: tc.state}, relays)
			shutDownIn(d, 280)
			got := reply{}
			d.Serve(context.Background(), call(tc.path, "key"), &got)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.sends, len(c.attempts)+len(relays.calls)); diff != "" {
				t.Errorf("sends (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against runs that nobody waits for: upstreams and other entries learn the time that is left until
// the shutdown.
func TestShutdownShortensTheTimeThatIsPassedOn(t *testing.T) {
	// The clocks of the test and of the dispatcher differ by less than clockDifference.
	const left, clockDifference = 500, 5
	for name, state := range map[string]pathmonitor.State{"to an upstream": pathmonitor.Reachable, "to another entry": pathmonitor.Unreachable} {
		t.Run(name, func(t *testing.T) {
			c := &fakeTransport{steps: []step{{status: 200, body: "good"}}}
			relays := &fakeRelays{entries: 1, steps: []relayStep{{status: 200, body: "good"}}}
			d := newRelayingDispatcher(t, c, &fakePeers{usageCounts: make(map[string]int)}, &fakePaths{state: state}, relays)
			shutDownIn(d, left)
			k := call("/once/x", "key")
			d.Serve(context.Background(), k, &reply{})
			var told sequoiasill.Millis
			if state == pathmonitor.Reachable {
				told = c.attempts[0].Remaining
			} else {
				told = relays.calls[0].Call.Deadline - k.ArrivedAt
			}
			if told > left+clockDifference {
				t.Errorf("%s are passed on, calls end in %dms", told, left)
			}
		})
	}
}
