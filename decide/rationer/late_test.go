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

// world plays entries before upstreams that stand still at times.
type world struct {
	t         *rapid.T
	now       sequoiasill.Millis
	entries   []*rationer.Rationer
	restarted []bool
	frozen    []bool
	waiting   [][]string // calls that came to an upstream while it stood still
	history   *auditor.Auditor
	calls     int
}

// send sends a call to an upstream and reports whether that answers.
func (w *world) send(r *rationer.Rationer, c *rationer.Call, id string, upstream int) bool {
	s := r.Sent(w.now, c, strconv.Itoa(upstream))
	if w.frozen[upstream] {
		w.waiting[upstream] = append(w.waiting[upstream], id)
		r.Ended(s, rationer.Abandoned)
		return false
	}
	w.history.Arrived(w.now, "model", id)
	r.Ended(s, rationer.Answered)
	return rapid.IntRange(0, 2).Draw(w.t, "good") == 0
}

// call sends a call to as many upstreams as it needs and may.
func (w *world) call(r *rationer.Rationer) {
	w.calls++
	id := strconv.Itoa(w.calls)
	w.history.Requested(w.now, "model")
	c := r.Call(w.now, "model")
	first := rapid.IntRange(0, len(w.frozen)-1).Draw(w.t, "upstream")
	for i := range len(w.frozen) {
		if i > 0 && !r.Repeat(w.now, c) || w.send(r, c, id, (first+i)%len(w.frozen)) {
			return
		}
	}
}

// turn freezes an upstream or lets it go on.
func (w *world) turn(upstream int) {
	w.frozen[upstream] = !w.frozen[upstream]
	for _, id := range w.waiting[upstream] {
		w.history.Arrived(w.now, "model", id)
	}
	w.waiting[upstream] = nil
}

// Upstreams stand still and go on at any time, and all entries may start anew once: in
// every window, what comes more than once stays within the bound.
func TestBoundHoldsForLateArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "entries")
		upstreams := rapid.IntRange(2, 4).Draw(t, "upstreams")
		w := &world{
			t: t, entries: make([]*rationer.Rationer, n), restarted: make([]bool, n),
			frozen: make([]bool, upstreams), waiting: make([][]string, upstreams), history: auditor.New(),
		}
		for i := range w.entries {
			w.entries[i] = rationer.New(limits, n)
		}
		const step, steps = 500, 80
		for range steps {
			w.now += step
			for u := range w.frozen {
				if rapid.IntRange(0, 15).Draw(t, "turn") == 0 {
					w.turn(u)
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
		for u, frozen := range w.frozen {
			if frozen {
				w.turn(u)
			}
		}
		for _, v := range w.history.Worst(limits) {
			if v.Used() > 1 {
				t.Fatalf("%d repeats come from %s on, %.1f are allowed for %d calls", v.Repeats, v.Begin, v.Allowed, v.Requests)
			}
		}
	})
}

// An answer shows that what was sent to the upstream before has come; other upstreams,
// and what was sent later, stay unknown. After two windows nothing is waited for.
func TestOpenRepeats(t *testing.T) {
	tests := map[string]struct {
		play func(r *rationer.Rationer, c *rationer.Call)
		now  sequoiasill.Millis
		want int
	}{
		"given back": {func(r *rationer.Rationer, c *rationer.Call) { r.Return(c) }, 200, 0},
		"given back after the send before it was answered": {func(r *rationer.Rationer, c *rationer.Call) {
			s := r.Sent(100, c, "i-2")
			r.Repeat(150, c)
			r.Ended(s, rationer.Answered)
			r.Return(c)
		}, 200, 0},
		"taken when the send before it is answered": {func(r *rationer.Rationer, c *rationer.Call) {
			s := r.Sent(100, c, "i-2")
			r.Repeat(150, c)
			r.Ended(s, rationer.Answered)
		}, 200, 1},
		"an answer": {func(r *rationer.Rationer, c *rationer.Call) {
			r.Ended(r.Sent(100, c, "i-2"), rationer.Answered)
		}, 200, 0},
		"a connection that was closed": {func(r *rationer.Rationer, c *rationer.Call) {
			r.Ended(r.Sent(100, c, "i-2"), rationer.Closed)
		}, 200, 0},
		"still waiting": {func(r *rationer.Rationer, c *rationer.Call) { r.Sent(100, c, "i-2") }, 200, 1},
		"given up": {func(r *rationer.Rationer, c *rationer.Call) {
			r.Ended(r.Sent(100, c, "i-2"), rationer.Abandoned)
		}, 200, 1},
		"given up, and a later call is answered there": {func(r *rationer.Rationer, c *rationer.Call) {
			r.Ended(r.Sent(100, c, "i-2"), rationer.Abandoned)
			r.Ended(r.Sent(101, r.Call(101, "model"), "i-2"), rationer.Answered)
		}, 200, 0},
		"given up, and an earlier call is answered there": {func(r *rationer.Rationer, c *rationer.Call) {
			earlier := r.Sent(99, r.Call(99, "model"), "i-2")
			r.Ended(r.Sent(100, c, "i-2"), rationer.Abandoned)
			r.Ended(earlier, rationer.Answered)
		}, 200, 1},
		"given up, and a later call is answered elsewhere": {func(r *rationer.Rationer, c *rationer.Call) {
			r.Ended(r.Sent(100, c, "i-2"), rationer.Abandoned)
			r.Ended(r.Sent(101, r.Call(101, "model"), "i-3"), rationer.Answered)
		}, 200, 1},
		"given up two windows ago": {func(r *rationer.Rationer, c *rationer.Call) {
			r.Ended(r.Sent(100, c, "i-2"), rationer.Abandoned)
		}, 20_101, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := rationer.New(limits, 1)
			var c *rationer.Call
			for range 20 {
				c = r.Call(0, "model")
			}
			r.Ended(r.Sent(0, c, "i-1"), rationer.Answered)
			if !r.Repeat(50, c) {
				t.Fatal("no repeat")
			}
			tc.play(r, c)
			if diff := cmp.Diff(tc.want, r.State(tc.now, r.Call(tc.now, "model")).Open); diff != "" {
				t.Errorf("open repeats (-want +got):\n%s", diff)
			}
		})
	}
}
