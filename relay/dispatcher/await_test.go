package dispatcher_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/pathmonitor"
	"sequoiasill.dev/sequoiasill/decide/rationer"
	"sequoiasill.dev/sequoiasill/relay/dispatcher"
)

// Guards against LOST: calls whose attempts were given up ended at once if all upstreams were silent for a
// moment.
func TestCallThatWasGivenUpAwaitsAnUpstream(t *testing.T) {
	const event1, event2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	notSent := step{fail: true, verdict: sequoiasill.NotRun}
	tests := map[string]struct {
		path  string
		steps []step
		lost  bool // the paths are lost for a moment
		want  reply
	}{
		"a stream that has begun": {"/quick/x", []step{{status: 200, events: true, body: event1, stalls: true}, {status: 200, events: true, body: event2}},
			true, reply{Status: 200, Body: event1 + event2, Ended: true}},
		"a call without a response":      {"/quick/x", []step{{hang: true}, {status: 200, body: "good"}}, true, reply{Status: 200, Body: "good", Ended: true}},
		"upstreams that are not reached": {"/read/x", []step{{hang: true}, notSent, notSent, {status: 200, body: "good"}}, false, reply{Status: 200, Body: "good", Ended: true}},
		"other upstreams that are full": {"/read/x", []step{{hang: true}, {status: 503, refused: true}, {status: 503, refused: true}, {status: 200, body: "good"}},
			false, reply{Status: 200, Body: "good", Ended: true}},
		"upstreams that stay unreachable": {"/read/x", []step{{hang: true}, notSent}, false, reply{Status: 504, Ended: true}},
		"a call that was not run":         {"/once/x", []step{notSent}, false, reply{Status: 503, Ended: true}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, u := &fakeTransport{steps: tc.steps}, &fakePeers{usageCounts: make(map[string]int)}
			paths := &fakePaths{}
			relays := &fakeRelays{entries: 1, steps: []relayStep{{refusal: refusal(sequoiasill.NotRun, sequoiasill.CodeNoUpstream, 503)}}}
			d := newRelayingDispatcher(t, c, u, paths, relays)
			if tc.lost {
				losePaths(d, paths, 500*time.Millisecond)
				time.AfterFunc(900*time.Millisecond, func() {
					paths.set(pathmonitor.Reachable)
					d.PathsRestored("plain")
				})
			}
			var got reply
			d.Serve(context.Background(), call(tc.path, "key"), &got)
			got.RetryAfter = 0
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
		})
	}
}

// A call that no upstream received is refused at once, also if a connect was given up.
func TestCallThatWasNotSentDoesNotWait(t *testing.T) {
	c := &fakeTransport{steps: []step{{hang: true, fail: true, verdict: sequoiasill.NotRun}, {fail: true, verdict: sequoiasill.NotRun}}}
	d := newDispatcher(t, c, &fakePeers{usageCounts: make(map[string]int)})
	var got reply
	began := time.Now()
	d.Serve(context.Background(), call("/read/x", "key"), &got)
	if diff := cmp.Diff(503, got.Status); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("the call ended after %s", took)
	}
}

// Guards against LOST: a stream was cut as another entry no longer knew its key or route after a change of the
// configuration.
func TestStreamGoesOnAfterAnEntryWithANewerConfigurationRefusesIt(t *testing.T) {
	const event1, event2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for name, f := range map[string]*sequoiasill.Failure{
		"the key is dropped":   refusal(sequoiasill.NotRun, sequoiasill.CodeUnauthorised, 401),
		"the route is dropped": refusal(sequoiasill.NotRun, sequoiasill.CodeNotFound, 404),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, u := &fakeTransport{steps: []step{{status: 200, events: true, body: event1, stalls: true}}}, &fakePeers{usageCounts: make(map[string]int)}
			paths, relays := &fakePaths{}, &fakeRelays{entries: 2, steps: []relayStep{{refusal: f}, {status: 200, events: true, body: event2, runs: 2}}}
			d := newRelayingDispatcher(t, c, u, paths, relays)
			losePaths(d, paths, 500*time.Millisecond)
			var got reply
			d.Serve(context.Background(), call("/quick/x", "key"), &got)
			if diff := cmp.Diff(reply{Status: 200, Body: event1 + event2, Ended: true}, got); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against LOST: an entry that could not connect for a relayed call told its earlier run elsewhere as one
// of its own, and the call was out of attempts.
func TestRelayedCallThatWasNotSentMayGoElsewhere(t *testing.T) {
	for name, tc := range map[string]struct {
		first relayStep
		want  reply
	}{
		"no upstream received it there": {relayStep{refusal: refusal(sequoiasill.MayHaveRun, sequoiasill.CodeUpstreamFailed, 502), runs: 1},
			reply{Status: 200, Body: "good", Ended: true}},
		"an upstream rejected it there": {relayStep{refusal: refusal(sequoiasill.MayHaveRun, sequoiasill.CodeUpstreamFailed, 502), runs: 1, arrivals: 1},
			reply{Status: 200, Body: "good", Ended: true}},
		"an older entry tells no runs": {relayStep{refusal: refusal(sequoiasill.MayHaveRun, sequoiasill.CodeUpstreamFailed, 502), arrivals: 1},
			reply{Status: 502, Ended: true}},
		"an upstream received it there": {relayStep{refusal: refusal(sequoiasill.MayHaveRun, sequoiasill.CodeUpstreamFailed, 502), runs: 2, arrivals: 1},
			reply{Status: 502, Ended: true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, u := &fakeTransport{steps: []step{{hang: true}}}, &fakePeers{usageCounts: make(map[string]int)}
			paths, relays := &fakePaths{}, &fakeRelays{entries: 2, steps: []relayStep{tc.first, {status: 200, body: "good", runs: 2}}}
			d := newRelayingDispatcher(t, c, u, paths, relays)
			losePaths(d, paths, 500*time.Millisecond)
			var got reply
			d.Serve(context.Background(), call("/quick/x", "key"), &got)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against LOST: an entry with an empty retry budget gave up a relayed call after its first connect failed.
// The entry that relayed the call has paid for one arrival.
func TestRelayedCallNeedsNoRepeatBeforeItsFirstArrival(t *testing.T) {
	notSent := step{fail: true, verdict: sequoiasill.NotRun}
	for name, tc := range map[string]struct {
		steps []step
		want  reply
	}{
		"not sent": {[]step{notSent, {status: 200, body: "good"}}, reply{Status: 200, Body: "good", Ended: true}},
		"rejected": {[]step{{status: 503, refused: true}, {status: 200, body: "good"}}, reply{Status: 502, Ended: true}},
	} {
		t.Run(name, func(t *testing.T) {
			c, u := &fakeTransport{steps: tc.steps}, &fakePeers{usageCounts: make(map[string]int)}
			empty := rationer.New(rationer.Limits{Window: 1000}, 1)
			d := newDispatcherOf(c, u, soundScreener(), &fakePaths{}, &fakeRelays{}, empty, hclog.NewNullLogger())
			got := &relayReply{}
			d.ServeRelayed(context.Background(), call("/read/x", "key"), 1, got)
			if diff := cmp.Diff(tc.want, got.reply); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
		})
	}
}

// A call that waits for an upstream ends with an answer before its entry does.
func TestCallThatWaitsIsAnsweredBeforeTheEntryEnds(t *testing.T) {
	notSent := step{fail: true, verdict: sequoiasill.NotRun}
	c := &fakeTransport{steps: []step{{hang: true}, notSent}}
	d := newDispatcher(t, c, &fakePeers{usageCounts: make(map[string]int)})
	clock := sequoiasill.NewSystemClock()
	end := clock.Now() + 800
	d.SetShutdownTimes(dispatcher.ShutdownTimes{Calls: end - 200, Streams: end - 200})
	var got reply
	d.Serve(context.Background(), call("/read/x", "key"), &got)
	if now := clock.Now(); now >= end {
		t.Errorf("the call ends %s after its entry", now-end)
	}
	if diff := cmp.Diff(reply{Status: 504, Ended: true}, got); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
}

// Guards against LOST: attempts were cancelled at upstreams that were silent for a moment, though no other
// entry took their calls (review/5).
func TestSilentUpstreamKeepsItsCallUntilAnEntryAcceptsIt(t *testing.T) {
	refuses := relayStep{refusal: refusal(sequoiasill.NotRun, sequoiasill.CodeNoUpstream, 503)}
	accepts := relayStep{status: 200, body: "relayed", runs: 2}
	tests := map[string]struct {
		relays []relayStep
		want   string
	}{
		"no entry accepts it": {[]relayStep{refuses}, "good"},
		"an entry accepts it": {[]relayStep{accepts}, "relayed"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, u := &fakeTransport{steps: []step{{status: 200, body: "good", delay: 1000}, {status: 200, body: "second"}}}, &fakePeers{usageCounts: make(map[string]int)}
			paths, relays := &fakePaths{}, &fakeRelays{entries: 1, steps: tc.relays}
			d := newRelayingDispatcher(t, c, u, paths, relays)
			losePaths(d, paths, 450*time.Millisecond)
			var got reply
			d.Serve(context.Background(), call("/quick/x", "key"), &got)
			if diff := cmp.Diff(reply{Status: 200, Body: tc.want, Ended: true}, got); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(1, len(c.attempts)); diff != "" {
				t.Errorf("attempts (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against LOST: a stream whose attempt was given up at a silent upstream was cut as soon as the entry
// had less time left than a whole stream takes (review/5).
func TestStreamThatWasGivenUpGoesOnInAPlannedStop(t *testing.T) {
	const event1, event2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	c := &fakeTransport{steps: []step{{status: 200, events: true, body: event1, stalls: true}, {status: 200, events: true, body: event2}}}
	// The other entry accepts the call and finds no upstream for it.
	relays := &fakeRelays{entries: 1, steps: []relayStep{{refusal: refusal(sequoiasill.NotRun, sequoiasill.CodeNoUpstream, 503), runs: 1}}}
	paths := &fakePaths{}
	d := newRelayingDispatcher(t, c, &fakePeers{usageCounts: make(map[string]int)}, paths, relays)
	losePaths(d, paths, 500*time.Millisecond)
	time.AfterFunc(650*time.Millisecond, func() { shutDownIn(d, 700) })
	time.AfterFunc(900*time.Millisecond, func() {
		paths.set(pathmonitor.Reachable)
		d.PathsRestored("plain")
	})
	var got reply
	d.Serve(context.Background(), call("/quick/x", "key"), &got)
	if diff := cmp.Diff(reply{Status: 200, Body: event1 + event2, Ended: true}, got); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
}

// connectingTransport makes connects that time out.
type connectingTransport struct{ connects atomic.Int64 }

func (c *connectingTransport) Send(ctx context.Context, _ dispatcher.Attempt) (*dispatcher.Response, error) {
	c.connects.Add(1)
	select {
	case <-ctx.Done():
	case <-time.After(500 * time.Millisecond):
	}
	return nil, sendError{v: sequoiasill.NotRun}
}

func (c *connectingTransport) Outlived(context.Context, sequoiasill.Replica) error { return nil }

// Guards against calls that are held to their deadline, and against a drained retry budget: a call that was sent
// to no upstream is refused once all were tried, and takes no repeat.
func TestCallThatWasNeverSentIsRefused(t *testing.T) {
	c := &connectingTransport{}
	var lines bytes.Buffer
	log := hclog.New(&hclog.LoggerOptions{Output: &lines, Mutex: &sync.Mutex{}})
	d := newDispatcherOf(c, &fakePeers{usageCounts: make(map[string]int)}, soundScreener(), &fakePaths{}, &fakeRelays{}, filledBudget(), log)
	k := call("/read/x", "key")
	k.Deadline = k.ArrivedAt + 10*sequoiasill.Second
	began := time.Now()
	var got reply
	d.Serve(context.Background(), k, &got)
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("refused after %s", took)
	}
	if diff := cmp.Diff([]any{503, int64(3), 0}, []any{got.Status, c.connects.Load(), strings.Count(lines.String(), ": repeat:")}); diff != "" {
		t.Errorf("status, connects and repeats (-want +got):\n%s\n%s", diff, lines.String())
	}
}
