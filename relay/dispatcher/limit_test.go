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

// limited is what an answer of an upstream tells that takes two calls a second.
var limited = registrar.Limit{Told: true, Limited: true, PerSecond: 2}

// limitAll lets all upstreams limit their calls, as news tells.
func limitAll(d *dispatcher.Dispatcher) {
	for i := range 3 {
		d.LimitHeard(throttler.Upstream{Name: fmt.Sprint("r", i)}, 2, "gossip")
	}
}

// An upstream that names a limit gets further calls by permit only, and the others are
// told once.
func TestUpstreamThatNamesItsLimitGetsCallsByPermit(t *testing.T) {
	for name, s := range map[string]step{
		"a good answer": {status: 200, body: "good", limit: limited},
		"a refusal":     {status: 503, refused: true, limit: limited},
		"an error":      {status: 500, body: "bad", limit: limited},
	} {
		t.Run(name, func(t *testing.T) {
			c := &courier{steps: []step{s, s, s, {status: 200, body: "good"}}}
			u := &usage{began: make(map[string]int), decision: throttler.Decision{Wait: 10_000}}
			d := newDispatcher(t, c, u)
			for range 30 {
				d.Serve(context.Background(), call("/once/x", "key"), &reply{})
			}
			went := c.went()
			slices.Sort(went)
			if diff := cmp.Diff([]string{"r0", "r1", "r2"}, went); diff != "" {
				t.Errorf("upstreams that calls were sent to (-want +got):\n%s", diff)
			}
			slices.Sort(u.limits)
			if diff := cmp.Diff([]string{"r0 2", "r1 2", "r2 2"}, u.limits); diff != "" {
				t.Errorf("limits told to others (-want +got):\n%s", diff)
			}
		})
	}
}

func TestPermits(t *testing.T) {
	good := step{status: 200, body: "good", limit: limited}
	wait := throttler.Decision{Wait: 700}
	type want struct {
		Status, Sends, Asks int
		Uses                []string
	}
	tests := map[string]struct {
		path     string
		step     step
		grants   int
		decision throttler.Decision
		want     want
	}{
		"granted":           {"/once/x", good, 9, wait, want{200, 1, 1, []string{"1 came true told true"}}},
		"denied by all":     {"/once/x", good, 0, wait, want{503, 0, 3, nil}},
		"the limit is over": {"/once/x", good, 0, throttler.Decision{Free: true}, want{200, 1, 1, nil}},
		"no byte was written": {
			"/once/x", step{fail: true, verdict: sequoiasill.NotRun}, 1, wait,
			want{503, 1, 3, []string{"1 came true told false"}},
		},
		"the upstream closed the connection": {
			"/once/x", step{fail: true, verdict: sequoiasill.MayHaveRun}, 9, wait, want{502, 1, 1, []string{"1 came true told false"}},
		},
		"refused, and the next is asked": {
			"/once/x", step{status: 503, refused: true, limit: limited}, 1, wait, want{503, 1, 3, []string{"1 came true told true"}},
		},
		"no answer until the end: it may still come": {"/once/x", step{hang: true}, 9, wait, want{504, 1, 1, nil}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := &courier{steps: []step{tc.step}}
			u := &usage{began: make(map[string]int), grants: tc.grants, decision: tc.decision}
			d := newDispatcher(t, c, u)
			limitAll(d)
			var got reply
			d.Serve(context.Background(), call(tc.path, "key"), &got)
			if diff := cmp.Diff(tc.want, want{got.Status, len(c.went()), u.asks, u.uses}); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

// A call that all upstreams deny is refused at once, is told when the first takes calls
// again, and later ones are not asked for before.
func TestRefusalWhileAllLimitTheirCalls(t *testing.T) {
	c := &courier{steps: []step{{status: 200, body: "good"}}}
	u := &usage{began: make(map[string]int), decision: throttler.Decision{Wait: 700}}
	d := newDispatcher(t, c, u)
	limitAll(d)
	for range 5 {
		var got reply
		d.Serve(context.Background(), call("/once/x", "key"), &got)
		if got.Status != 503 || got.Wait < 600 || got.Wait > 700 {
			t.Errorf("status %d, callers are told to come back in %s", got.Status, got.Wait)
		}
	}
	if diff := cmp.Diff([]int{0, 3}, []int{len(c.went()), u.asks}); diff != "" {
		t.Errorf("sends, asks (-want +got):\n%s", diff)
	}
}

// A call that was chosen for an upstream is chosen anew when that limits its calls meanwhile,
// and the permit for one that rests meanwhile is given back.
func TestChosenCallMeetsALimit(t *testing.T) {
	type want struct {
		Status, Withheld, Sends int
		Uses                    []string
	}
	tests := map[string]struct {
		limited bool // from the start on
		event   func(d *dispatcher.Dispatcher, name string)
		want    want
	}{
		"it limits its calls": {false, func(d *dispatcher.Dispatcher, name string) {
			d.LimitHeard(throttler.Upstream{Name: name}, 2, "gossip")
		}, want{200, 1, 1, nil}},
		"it limits its calls, and rests": {true, func(d *dispatcher.Dispatcher, name string) {
			d.Registrar(func(r *registrar.Registrar) { r.Rest(sequoiasill.NewSystemClock().Now(), name, 5000) })
		}, want{200, 1, 1, []string{"1 came false told false", "2 came true told false"}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := &courier{steps: []step{{status: 200, body: "good"}}}
			u := &usage{began: make(map[string]int), grants: 9}
			d := newDispatcher(t, c, u)
			if tc.limited {
				limitAll(d)
			}
			c.before = func(a dispatcher.Attempt) {
				if len(c.attempts) == 0 && c.withheld == 0 {
					tc.event(d, a.Replica.Name)
				}
			}
			var got reply
			d.Serve(context.Background(), call("/once/x", "key"), &got)
			if diff := cmp.Diff(tc.want, want{got.Status, c.withheld, len(c.attempts), u.uses}); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

// A slow answer is not given up for upstreams that may deny the call.
func TestSlowAnswerIsAwaitedWhereOthersLimitTheirCalls(t *testing.T) {
	c := &courier{steps: []step{{status: 200, body: "good", after: 400}}}
	u := &usage{began: make(map[string]int), decision: throttler.Decision{Wait: 700}}
	d := newDispatcher(t, c, u)
	for _, name := range []string{"r1", "r2"} {
		d.LimitHeard(throttler.Upstream{Name: name}, 2, "gossip")
	}
	d.Registrar(func(r *registrar.Registrar) {
		for _, name := range []string{"r1", "r2"} {
			r.Deny(throttler.Upstream{Name: name}, 0)
		}
	})
	var got reply
	d.Serve(context.Background(), call("/read/x", "key"), &got)
	if diff := cmp.Diff([]int{200, 1}, []int{got.Status, len(c.went())}); diff != "" {
		t.Errorf("status, sends (-want +got):\n%s", diff)
	}
}
