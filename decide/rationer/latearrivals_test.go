package rationer_test

import (
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/auditor"
	"sequoiasill.dev/sequoiasill/decide/rationer"
)

// simulation drives entries and upstreams that stall at times.
type simulation struct {
	t         *rapid.T
	now       sequoiasill.Millis
	entries   []*rationer.Rationer
	restarted []bool
	stalled   []bool
	delayed   [][]string // calls that were sent to an upstream while it was stalled
	history   *auditor.Auditor
	calls     int
}

// send sends a call to an upstream and reports whether it succeeds.
func (w *simulation) send(r *rationer.Rationer, c *rationer.Call, id string, upstream int) bool {
	s := r.Sent(w.now, c, strconv.Itoa(upstream))
	if w.stalled[upstream] {
		w.delayed[upstream] = append(w.delayed[upstream], id)
		r.SendEnded(s, rationer.Abandoned)
		return false
	}
	w.history.RecordArrival(w.now, "model", id)
	r.SendEnded(s, rationer.Answered)
	return rapid.IntRange(0, 2).Draw(w.t, "good") == 0
}

// call sends a call to one upstream after another until it succeeds, the budget is empty
// or all upstreams were tried.
func (w *simulation) call(r *rationer.Rationer) {
	w.calls++
	id := strconv.Itoa(w.calls)
	w.history.RecordRequest(w.now, "model")
	c := r.Call(w.now, "model")
	first := rapid.IntRange(0, len(w.stalled)-1).Draw(w.t, "upstream")
	for i := range len(w.stalled) {
		if i > 0 && !r.TakeRepeat(w.now, c) || w.send(r, c, id, (first+i)%len(w.stalled)) {
			return
		}
	}
}

// toggleStall stalls an upstream or resumes it. On resumption the delayed calls arrive.
func (w *simulation) toggleStall(upstream int) {
	w.stalled[upstream] = !w.stalled[upstream]
	for _, id := range w.delayed[upstream] {
		w.history.RecordArrival(w.now, "model", id)
	}
	w.delayed[upstream] = nil
}

// Upstreams stall and resume at any time, and each entry may restart once. In every
// window the repeats must stay within the bound.
func TestBoundHoldsForLateArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "entries")
		upstreams := rapid.IntRange(2, 4).Draw(t, "upstreams")
		w := &simulation{
			t: t, entries: make([]*rationer.Rationer, n), restarted: make([]bool, n),
			stalled: make([]bool, upstreams), delayed: make([][]string, upstreams), history: auditor.New(),
		}
		for i := range w.entries {
			w.entries[i] = rationer.New(limits, n)
		}
		const step, steps = 500, 80
		for range steps {
			w.now += step
			for u := range w.stalled {
				if rapid.IntRange(0, 15).Draw(t, "toggle stall") == 0 {
					w.toggleStall(u)
				}
			}
			for i := range w.entries {
				if !w.restarted[i] && rapid.IntRange(0, 40).Draw(t, "restart") == 0 {
					w.entries[i], w.restarted[i] = rationer.New(limits, n), true
				}
				for range rapid.IntRange(0, 8).Draw(t, "calls") {
					w.call(w.entries[i])
				}
			}
		}
		for u, stalled := range w.stalled {
			if stalled {
				w.toggleStall(u)
			}
		}
		for _, v := range w.history.WorstWindows(limits) {
			if v.Used() > 1 {
				t.Fatalf("%d repeats arrive from %s on, %.1f are allowed for %d calls", v.Repeats, v.Begin, v.Allowed, v.Requests)
			}
		}
	})
}

// A response proves the arrival of what was sent to the same upstream before, but not of
// later sends or of sends to other upstreams. After two windows no arrival is awaited.
func TestOutstandingRepeats(t *testing.T) {
	tests := map[string]struct {
		events func(r *rationer.Rationer, c *rationer.Call)
		now    sequoiasill.Millis
		want   int
	}{
		"returned": {func(r *rationer.Rationer, c *rationer.Call) { r.ReturnUnsent(c) }, 200, 0},
		"returned after the response to the previous send": {func(r *rationer.Rationer, c *rationer.Call) {
			s := r.Sent(100, c, "i-2")
			r.TakeRepeat(150, c)
			r.SendEnded(s, rationer.Answered)
			r.ReturnUnsent(c)
		}, 200, 0},
		"taken before the response to the previous send": {func(r *rationer.Rationer, c *rationer.Call) {
			s := r.Sent(100, c, "i-2")
			r.TakeRepeat(150, c)
			r.SendEnded(s, rationer.Answered)
		}, 200, 1},
		"response received": {func(r *rationer.Rationer, c *rationer.Call) {
			r.SendEnded(r.Sent(100, c, "i-2"), rationer.Answered)
		}, 200, 0},
		"connection closed": {func(r *rationer.Rationer, c *rationer.Call) {
			r.SendEnded(r.Sent(100, c, "i-2"), rationer.Closed)
		}, 200, 0},
		"not sent: the repeat is left to the call": {func(r *rationer.Rationer, c *rationer.Call) {
			r.SendEnded(r.Sent(100, c, "i-2"), rationer.NotSent)
			if !c.HasUnsentRepeat() {
				t.Error("the repeat is gone")
			}
		}, 200, 1},
		"not sent, and returned": {func(r *rationer.Rationer, c *rationer.Call) {
			r.SendEnded(r.Sent(100, c, "i-2"), rationer.NotSent)
			r.ReturnUnsent(c)
		}, 200, 0},
		"response pending": {func(r *rationer.Rationer, c *rationer.Call) { r.Sent(100, c, "i-2") }, 200, 1},
		"abandoned": {func(r *rationer.Rationer, c *rationer.Call) {
			r.SendEnded(r.Sent(100, c, "i-2"), rationer.Abandoned)
		}, 200, 1},
		"abandoned, and a later call gets a response of the same upstream": {func(r *rationer.Rationer, c *rationer.Call) {
			r.SendEnded(r.Sent(100, c, "i-2"), rationer.Abandoned)
			r.SendEnded(r.Sent(101, r.Call(101, "model"), "i-2"), rationer.Answered)
		}, 200, 0},
		"abandoned, and an earlier call gets a response of the same upstream": {func(r *rationer.Rationer, c *rationer.Call) {
			earlier := r.Sent(99, r.Call(99, "model"), "i-2")
			r.SendEnded(r.Sent(100, c, "i-2"), rationer.Abandoned)
			r.SendEnded(earlier, rationer.Answered)
		}, 200, 1},
		"abandoned, and a later call gets a response of another upstream": {func(r *rationer.Rationer, c *rationer.Call) {
			r.SendEnded(r.Sent(100, c, "i-2"), rationer.Abandoned)
			r.SendEnded(r.Sent(101, r.Call(101, "model"), "i-3"), rationer.Answered)
		}, 200, 1},
		"abandoned two windows ago": {func(r *rationer.Rationer, c *rationer.Call) {
			r.SendEnded(r.Sent(100, c, "i-2"), rationer.Abandoned)
		}, 20_101, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := rationer.New(limits, 1)
			var c *rationer.Call
			for range 20 {
				c = r.Call(0, "model")
			}
			r.SendEnded(r.Sent(0, c, "i-1"), rationer.Answered)
			if !r.TakeRepeat(50, c) {
				t.Fatal("no repeat")
			}
			tc.events(r, c)
			if diff := cmp.Diff(tc.want, r.State(tc.now, r.Call(tc.now, "model")).Outstanding); diff != "" {
				t.Errorf("outstanding repeats (-want +got):\n%s", diff)
			}
		})
	}
}
