package retrier

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

func TestAttemptFailed(t *testing.T) {
	const deadline = 10 * sequoiasill.Second
	tests := map[string]struct {
		failed AttemptFailed
		want   Action
	}{
		"may have run and is not idempotent": {AttemptFailed{Attempt: 1, Verdict: sequoiasill.MayHaveRun, Deadline: deadline}, Stop{MayNotRepeat}},
		"ran and is not idempotent":          {AttemptFailed{Attempt: 1, Verdict: sequoiasill.Ran, Deadline: deadline}, Stop{MayNotRepeat}},
		"did not run":                        {AttemptFailed{Attempt: 1, Verdict: sequoiasill.NotRun, Deadline: deadline}, Retry{}},
		"idempotent":                         {AttemptFailed{Attempt: 1, Verdict: sequoiasill.MayHaveRun, Idempotent: true, Deadline: deadline}, Retry{}},
		"attempts used up":                   {AttemptFailed{Attempt: 10, Verdict: sequoiasill.MayHaveRun, Idempotent: true, Deadline: deadline}, Stop{TooMany}},
		"announced shutdown":                 {AttemptFailed{Attempt: 50, Verdict: sequoiasill.MayHaveRun, Idempotent: true, Draining: true, Deadline: deadline}, Retry{}},
		"too late":                           {AttemptFailed{Attempt: 1, Verdict: sequoiasill.MayHaveRun, Idempotent: true, Deadline: 1}, Stop{TooLate}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, New(DefaultOptions(), 1).Step(1, tc.failed)); diff != "" {
				t.Errorf("action (-want +got):\n%s", diff)
			}
		})
	}
}

// Attempts that reached no upstream must not draw on the retry budgets. On a machine that
// is short of CPU time, connections time out by the dozen and would empty them (seen in
// TestPoison).
func TestAttemptsThatReachedNoUpstreamSpendNothing(t *testing.T) {
	opts := DefaultOptions()
	r := New(opts, 1)
	for attempt := 1; attempt <= 3; attempt++ {
		for i := range 60 {
			failed := AttemptFailed{Organisation: "o", Pool: "p", Attempt: attempt, Verdict: sequoiasill.NotRun, Idempotent: true, Unsent: true, Deadline: 5 * sequoiasill.Second}
			retry, ok := r.Step(1, failed).(Retry)
			if !ok || retry.After > opts.MaxBackoff {
				t.Fatalf("request %d, attempt %d: retried %t, after %s", i, attempt, ok, retry.After)
			}
		}
	}
	failed := AttemptFailed{Organisation: "o", Pool: "p", Attempt: 1, Verdict: sequoiasill.MayHaveRun, Idempotent: true, Deadline: sequoiasill.Second}
	if diff := cmp.Diff(Action(Retry{}), r.Step(1, failed)); diff != "" {
		t.Errorf("retry after an attempt that failed at an upstream (-want +got):\n%s", diff)
	}
}

// TestDeadPoolIsNotMultiplied sends requests to a pool at which every attempt fails.
// The retry budget must bound the number of attempts.
func TestDeadPoolIsNotMultiplied(t *testing.T) {
	const (
		offered  = 2000
		perSec   = 100
		deadline = 30 * sequoiasill.Second
	)
	opts := DefaultOptions()
	r := New(opts, 1)
	type pending struct {
		at       sequoiasill.Millis
		attempt  int
		deadline sequoiasill.Millis
	}
	var waiting []pending
	sent := 0
	span := sequoiasill.Millis(offered / perSec * 1000)
	for now := sequoiasill.Millis(0); now < span; now += 10 {
		r.Step(now, FirstAttempt{Organisation: "o", Pool: "p"})
		waiting = append(waiting, pending{at: now, attempt: 1, deadline: now + deadline})
		var next []pending
		for _, p := range waiting {
			if p.at > now {
				next = append(next, p)
				continue
			}
			sent++
			a := r.Step(now, AttemptFailed{Organisation: "o", Pool: "p", Attempt: p.attempt, Verdict: sequoiasill.NotRun, Idempotent: true, Deadline: p.deadline})
			if retry, ok := a.(Retry); ok {
				next = append(next, pending{at: now + retry.After, attempt: p.attempt + 1, deadline: p.deadline})
			}
		}
		waiting = next
	}
	limit := offered*(1+opts.Ratio) + opts.Burst + opts.RefillPerSec*float64(span/sequoiasill.Second)
	t.Logf("offered %d, sent %d", offered, sent)
	if float64(sent) > limit {
		t.Errorf("%d attempts for %d requests, want at most %.0f", sent, offered, limit)
	}
}
