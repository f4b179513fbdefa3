package rationer_test

import (
	"testing"

	"pgregory.net/rapid"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/rationer"
)

var limits = rationer.Limits{Ratio: 0.2, Slack: 58, Window: 10 * sequoiasill.Second}

// The repeats of all entries in any window stay within the bound for any distribution
// of calls and any number of restarts of entries.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "entries")
		all := make([]*rationer.Rationer, n)
		latest := make([]*rationer.Call, n)
		for i := range all {
			all[i] = rationer.New(limits, n)
		}
		const step, steps = 500, 60
		calls, repeats := make([]int, steps), make([]int, steps)
		for s := range steps {
			now := sequoiasill.Millis(s) * step
			for i := range all {
				if rapid.IntRange(0, 40).Draw(t, "restart") == 0 {
					all[i], latest[i] = rationer.New(limits, n), nil
				}
				for range rapid.IntRange(0, 20).Draw(t, "calls") {
					latest[i] = all[i].Call(now, "model")
					calls[s]++
				}
				for range rapid.IntRange(0, 20).Draw(t, "failures") {
					if latest[i] != nil && repeat(all[i], now, latest[i]) {
						repeats[s]++
					}
				}
			}
		}
		window := int(limits.Window) / step
		for s := range steps {
			c, r := 0, 0
			for k := s; k < min(s+window, steps); k++ {
				c += calls[k]
				r += repeats[k]
			}
			before := 0
			for k := max(s-window, 0); k < s; k++ {
				before += calls[k]
			}
			if bound := limits.Ratio*float64(max(c, before)) + limits.Slack; float64(r) > bound {
				t.Fatalf("%d repeats from step %d on, %.0f are allowed", r, s, bound)
			}
		}
	})
}

// repeat sends a call once more if the budget allows it. The upstream responds at once.
func repeat(r *rationer.Rationer, now sequoiasill.Millis, c *rationer.Call) bool {
	if !r.TakeRepeat(now, c) {
		return false
	}
	r.SendEnded(r.Sent(now, c, "i-1"), rationer.Answered)
	return true
}

func TestBudgetIsEmptyAtTheStart(t *testing.T) {
	r := rationer.New(limits, 9)
	if r.TakeRepeat(0, r.Call(0, "model")) {
		t.Error("a newly started process repeats a call")
	}
}

func TestCallsAddToTheBudget(t *testing.T) {
	r := rationer.New(limits, 9)
	var c *rationer.Call
	for range 10 {
		c = r.Call(0, "model")
	}
	if !r.TakeRepeat(0, c) {
		t.Error("no repeat after ten calls")
	}
	if r.TakeRepeat(0, r.Call(0, "other")) {
		t.Error("a service spends the budget of another")
	}
}

// A reload may lengthen the window. The capacity of the budget must still follow from
// the calls of the last window alone.
func TestLongerWindowKeepsTheBound(t *testing.T) {
	r := rationer.New(rationer.Limits{Ratio: 0.2, Slack: 58, Window: 5 * sequoiasill.Second}, 1)
	const start = 1_800_000_000_000
	r.Call(start, "model")
	r.SetLimits(limits)
	const interval, calls = 10, 10_000 // milliseconds between calls, number of calls
	var c *rationer.Call
	for i := range sequoiasill.Millis(calls) {
		c = r.Call(start+i*interval, "model")
	}
	allowed := limits.Ratio*float64(limits.Window/interval) + limits.Slack
	if left := r.State(start+calls*interval, c).Available; left > allowed {
		t.Errorf("%.0f repeats are available, %.0f are allowed in a window", left, allowed)
	}
}
