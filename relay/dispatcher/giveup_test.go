package dispatcher_test

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/rationer"
)

// A slow answer is waited for as long as nothing can be sent elsewhere: no repeat is
// left, or no other upstream.
func TestSlowAnswerIsAwaitedWhereNothingElseCanBeDone(t *testing.T) {
	slow := step{status: 200, body: "slow", after: 400}
	tests := map[string]struct {
		ration *rationer.Rationer
		steps  []step
		sends  int
	}{
		"no repeat is left": {rationer.New(rationer.Limits{Window: 1000}, 1), []step{slow}, 1},
		"no other upstream is left": {
			rationer.New(rationer.Limits{Ratio: 100, Slack: 1000, Window: 1000}, 1),
			[]step{{status: 503, refused: true}, {status: 503, refused: true}, slow}, 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := &courier{steps: tc.steps}
			d := newDispatcherWith(c, &usage{began: make(map[string]int)}, tc.ration, hclog.NewNullLogger())
			var got reply
			d.Serve(context.Background(), call("/read/x", "key"), &got)
			if diff := cmp.Diff(reply{Status: 200, Body: "slow", Ended: true}, got); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.sends, len(c.attempts)); diff != "" {
				t.Errorf("sends (-want +got):\n%s", diff)
			}
		})
	}
}

// A ration that fills while a slow answer is awaited is used then.
func TestSlowAnswerIsGivenUpOnceARepeatIsLeft(t *testing.T) {
	ration := rationer.New(rationer.Limits{Slack: 20, Window: 1000}, 1)
	c := &courier{steps: []step{{hang: true}, {status: 200, body: "good"}}}
	d := newDispatcherWith(c, &usage{began: make(map[string]int)}, ration, hclog.NewNullLogger())
	var got reply
	d.Serve(context.Background(), call("/read/x", "key"), &got)
	if diff := cmp.Diff(reply{Status: 200, Body: "good", Ended: true}, got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

// An answer that comes although it is given up is delivered, and the repeat that was
// taken for it is given back.
func TestAnswerAfterItsTimeGivesTheRepeatBack(t *testing.T) {
	ration := rationer.New(rationer.Limits{Ratio: 100, Slack: 1000, Window: 1000}, 1)
	c := &courier{steps: []step{{status: 200, body: "good", after: 250, deaf: true}}}
	d := newDispatcherWith(c, &usage{began: make(map[string]int)}, ration, hclog.NewNullLogger())
	var got reply
	d.Serve(context.Background(), call("/read/x", "key"), &got)
	if diff := cmp.Diff(reply{Status: 200, Body: "good", Ended: true}, got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	now := sequoiasill.NewSystemClock().Now()
	if diff := cmp.Diff(0, ration.State(now, ration.Call(now, "plain")).Open); diff != "" {
		t.Errorf("open repeats (-want +got):\n%s", diff)
	}
}
