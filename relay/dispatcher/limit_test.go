package dispatcher_test

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/decide/throttler"
	"sequoiasill.dev/sequoiasill/relay/dispatcher"
)

// twoPerSecond is the rate limit of an upstream that accepts two calls a second.
var twoPerSecond = registrar.Limit{FromUpstream: true, Limited: true, PerSecond: 2}

// limitAllUpstreams announces a rate limit for all upstreams.
func limitAllUpstreams(d *dispatcher.Dispatcher) {
	for i := range 3 {
		d.RecordLimit(throttler.Upstream{Name: fmt.Sprint("r", i)}, 2, "gossip")
	}
}

// An upstream that announces a rate limit gets further calls only with a permit, and the limit
// is announced to the other entries once.
func TestRateLimitedUpstreamGetsCallsByPermitOnly(t *testing.T) {
	for name, s := range map[string]step{
		"a good response": {status: 200, body: "good", limit: twoPerSecond},
		"a refusal":       {status: 503, refused: true, limit: twoPerSecond},
		"an error":        {status: 500, body: "bad", limit: twoPerSecond},
	} {
		t.Run(name, func(t *testing.T) {
			c := &fakeTransport{steps: []step{s, s, s, {status: 200, body: "good"}}}
			u := &fakePeers{usageCounts: make(map[string]int), decision: throttler.Decision{Wait: 10_000}}
			d := newDispatcher(t, c, u)
			for range 30 {
				d.Serve(context.Background(), call("/once/x", "key"), &reply{})
			}
			sentTo := c.sentTo()
			slices.Sort(sentTo)
			if diff := cmp.Diff([]string{"r0", "r1", "r2"}, sentTo); diff != "" {
				t.Errorf("upstreams that calls were sent to (-want +got):\n%s", diff)
			}
			slices.Sort(u.limits)
			if diff := cmp.Diff([]string{"r0 2", "r1 2", "r2 2"}, u.limits); diff != "" {
				t.Errorf("announced limits (-want +got):\n%s", diff)
			}
		})
	}
}

func TestPermits(t *testing.T) {
	good := step{status: 200, body: "good", limit: twoPerSecond}
	wait := throttler.Decision{Wait: 700}
	type want struct {
		Status, Sends, PermitRequests int
		PermitUses                    []string
	}
	tests := map[string]struct {
		path     string
		step     step
		grants   int
		decision throttler.Decision
		want     want
	}{
		"granted":              {"/once/x", good, 9, wait, want{200, 1, 1, []string{"1 arrived true limit true"}}},
		"denied by all":        {"/once/x", good, 0, wait, want{503, 0, 3, nil}},
		"the limit was lifted": {"/once/x", good, 0, throttler.Decision{Lifted: true}, want{200, 1, 1, nil}},
		"no byte was written": {
			"/once/x", step{fail: true, verdict: sequoiasill.NotRun}, 1, wait,
			want{503, 1, 3, []string{"1 arrived true limit false"}},
		},
		"the upstream closed the connection": {
			"/once/x", step{fail: true, verdict: sequoiasill.MayHaveRun}, 9, wait, want{502, 1, 1, []string{"1 arrived true limit false"}},
		},
		"refused, and another permit is requested": {
			"/once/x", step{status: 503, refused: true, limit: twoPerSecond}, 1, wait, want{503, 1, 3, []string{"1 arrived true limit true"}},
		},
		"no response until the deadline: it may still arrive": {"/once/x", step{hang: true}, 9, wait, want{504, 1, 1, nil}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := &fakeTransport{steps: []step{tc.step}}
			u := &fakePeers{usageCounts: make(map[string]int), grants: tc.grants, decision: tc.decision}
			d := newDispatcher(t, c, u)
			limitAllUpstreams(d)
			var got reply
			d.Serve(context.Background(), call(tc.path, "key"), &got)
			if diff := cmp.Diff(tc.want, want{got.Status, len(c.sentTo()), u.permitRequests, u.permitUses}); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against LIMIT: a call sent without a permit to an upstream that stands still comes when it goes
// on, also if it was given up, so the keeper of a limit named then must hear of it.
func TestCallsThatMayStillArriveAreReported(t *testing.T) {
	tests := map[string]struct {
		step step
		want throttler.SentCalls
	}{
		"answered":           {step{status: 200, body: "good"}, throttler.SentCalls{Ages: []sequoiasill.Millis{0}}},
		"closed by upstream": {step{fail: true, verdict: sequoiasill.MayHaveRun}, throttler.SentCalls{Ages: []sequoiasill.Millis{0}}},
		"given up":           {step{hang: true}, throttler.SentCalls{Outstanding: 1}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := &fakeTransport{steps: []step{tc.step}}
			d := newDispatcher(t, c, &fakePeers{usageCounts: make(map[string]int)})
			d.Serve(context.Background(), call("/once/x", "key"), &reply{})
			got := d.KnownLimit(throttler.Upstream{Name: c.sentTo()[0]}).Sends
			// The time of an arrival is not compared.
			for _, s := range got {
				clear(s.Ages)
			}
			if diff := cmp.Diff([]throttler.SentCalls{tc.want}, got); diff != "" {
				t.Errorf("sent calls (-want +got):\n%s", diff)
			}
		})
	}
}

// A call for which no upstream grants a permit is refused at once, with the time until the
// first one accepts calls again. Until then, no permits are requested for later calls.
func TestRefusalWhileAllUpstreamsAreRateLimited(t *testing.T) {
	c := &fakeTransport{steps: []step{{status: 200, body: "good"}}}
	u := &fakePeers{usageCounts: make(map[string]int), decision: throttler.Decision{Wait: 700}}
	d := newDispatcher(t, c, u)
	limitAllUpstreams(d)
	for range 5 {
		var got reply
		d.Serve(context.Background(), call("/once/x", "key"), &got)
		if got.Status != 503 || got.RetryAfter < 600 || got.RetryAfter > 700 {
			t.Errorf("status %d, callers are to retry after %s", got.Status, got.RetryAfter)
		}
	}
	if diff := cmp.Diff([]int{0, 3}, []int{len(c.sentTo()), u.permitRequests}); diff != "" {
		t.Errorf("sends, permit requests (-want +got):\n%s", diff)
	}
}

// A call is withheld and sent to another upstream if the chosen one announces a rate limit
// before the send. If it has a permit and the upstream is paused, the permit is returned.
func TestUpstreamIsRateLimitedAfterTheChoice(t *testing.T) {
	type want struct {
		Status, Withheld, Sends int
		PermitUses              []string
	}
	tests := map[string]struct {
		limited bool // before the call
		event   func(d *dispatcher.Dispatcher, name string)
		want    want
	}{
		"it announces a rate limit": {false, func(d *dispatcher.Dispatcher, name string) {
			d.RecordLimit(throttler.Upstream{Name: name}, 2, "gossip")
		}, want{200, 1, 1, nil}},
		"it is rate-limited and paused": {true, func(d *dispatcher.Dispatcher, name string) {
			d.WithRegistrar(func(r *registrar.Registrar) { r.Pause(sequoiasill.NewSystemClock().Now(), name, 5000) })
		}, want{200, 1, 1, []string{"1 arrived false limit false", "2 arrived true limit false"}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := &fakeTransport{steps: []step{{status: 200, body: "good"}}}
			u := &fakePeers{usageCounts: make(map[string]int), grants: 9}
			d := newDispatcher(t, c, u)
			if tc.limited {
				limitAllUpstreams(d)
			}
			c.beforeSend = func(a dispatcher.Attempt) {
				if len(c.attempts) == 0 && c.withheld == 0 {
					tc.event(d, a.Replica.Name)
				}
			}
			var got reply
			d.Serve(context.Background(), call("/once/x", "key"), &got)
			if diff := cmp.Diff(tc.want, want{got.Status, c.withheld, len(c.attempts), u.permitUses}); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

// A slow response is awaited if the other upstreams are rate-limited, as these may deny the
// call.
func TestSlowResponseIsAwaitedWhenOthersAreRateLimited(t *testing.T) {
	c := &fakeTransport{steps: []step{{status: 200, body: "good", delay: 400}}}
	u := &fakePeers{usageCounts: make(map[string]int), decision: throttler.Decision{Wait: 700}}
	d := newDispatcher(t, c, u)
	for _, name := range []string{"r1", "r2"} {
		d.RecordLimit(throttler.Upstream{Name: name}, 2, "gossip")
	}
	d.WithRegistrar(func(r *registrar.Registrar) {
		for _, name := range []string{"r1", "r2"} {
			r.Deny(throttler.Upstream{Name: name}, 0)
		}
	})
	var got reply
	d.Serve(context.Background(), call("/read/x", "key"), &got)
	if diff := cmp.Diff([]int{200, 1}, []int{got.Status, len(c.sentTo())}); diff != "" {
		t.Errorf("status, sends (-want +got):\n%s", diff)
	}
}
