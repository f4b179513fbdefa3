package dispatcher_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/rationer"
)

// A slow response is awaited as long as the call cannot be retried: the retry budget is
// exhausted, or there is no other upstream.
func TestSlowResponseIsAwaitedWithoutAlternative(t *testing.T) {
	slow := step{status: 200, body: "slow", delay: 400}
	tests := map[string]struct {
		budget *rationer.Rationer
		steps  []step
		sends  int
	}{
		"no retry is left": {rationer.New(rationer.Limits{Window: 1000}, 1), []step{slow}, 1},
		"no other upstream is left": {
			rationer.New(rationer.Limits{Ratio: 100, Slack: 1000, Window: 1000}, 1),
			[]step{{status: 503, refused: true}, {status: 503, refused: true}, slow}, 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := &fakeTransport{steps: tc.steps}
			d := newDispatcherWith(c, &fakePeers{usageCounts: make(map[string]int)}, tc.budget, hclog.NewNullLogger())
			var got reply
			d.Serve(context.Background(), call("/read/x", "key"), &got)
			if diff := cmp.Diff(reply{Status: 200, Body: "slow", Ended: true}, got); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.sends, len(c.attempts)); diff != "" {
				t.Errorf("sends (-want +got):\n%s", diff)
			}
		})
	}
}

// A slow attempt is replaced by a retry as soon as the retry budget has refilled.
func TestSlowAttemptIsAbandonedOnceTheRetryBudgetRefills(t *testing.T) {
	budget := rationer.New(rationer.Limits{Slack: 20, Window: 1000}, 1)
	c := &fakeTransport{steps: []step{{hang: true}, {status: 200, body: "good"}}}
	d := newDispatcherWith(c, &fakePeers{usageCounts: make(map[string]int)}, budget, hclog.NewNullLogger())
	var got reply
	d.Serve(context.Background(), call("/read/x", "key"), &got)
	if diff := cmp.Diff(reply{Status: 200, Body: "good", Ended: true}, got); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
}

// A call that was given up waits for the retry budget if an upstream refuses its repeat.
func TestCallThatWasGivenUpAwaitsTheRetryBudget(t *testing.T) {
	budget := rationer.New(rationer.Limits{Slack: 20, Window: 1000}, 1)
	var log bytes.Buffer
	c := &fakeTransport{steps: []step{{hang: true}, {status: 503, refused: true}, {status: 200, body: "good"}}}
	d := newDispatcherWith(c, &fakePeers{usageCounts: make(map[string]int)}, budget, hclog.New(&hclog.LoggerOptions{Output: &log, JSONFormat: true}))
	var got reply
	d.Serve(context.Background(), call("/read/x", "key"), &got)
	if diff := cmp.Diff(reply{Status: 200, Body: "good", Ended: true}, got); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
	if n := bytes.Count(log.Bytes(), []byte(`"repeat"`)); n > 4 {
		t.Errorf("%d lines on repeats:\n%s", n, log.String())
	}
}

// A response that arrives although its attempt timed out is delivered, and the retry that was
// taken from the budget is returned.
func TestResponseAfterTheTimeoutReturnsTheRetry(t *testing.T) {
	budget := rationer.New(rationer.Limits{Ratio: 100, Slack: 1000, Window: 1000}, 1)
	c := &fakeTransport{steps: []step{{status: 200, body: "good", delay: 250, ignoresCancel: true}}}
	d := newDispatcherWith(c, &fakePeers{usageCounts: make(map[string]int)}, budget, hclog.NewNullLogger())
	var got reply
	d.Serve(context.Background(), call("/read/x", "key"), &got)
	if diff := cmp.Diff(reply{Status: 200, Body: "good", Ended: true}, got); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
	now := sequoiasill.NewSystemClock().Now()
	if diff := cmp.Diff(0, budget.State(now, budget.Call(now, "plain")).Outstanding); diff != "" {
		t.Errorf("outstanding repeats (-want +got):\n%s", diff)
	}
}
