package soaker

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

// The judge finds entries that do not heed upstreams, and none that do.
func TestHeeding(t *testing.T) {
	w, other := way{entry: 1, upstream: "i-1"}, way{entry: 2, upstream: "i-1"}
	// come lets calls come at a time that were sent right before.
	come := func(h *heeding, at sequoiasill.Millis, n int) {
		for range n {
			h.arrived(at, at, w)
		}
	}
	tests := map[string]struct {
		play func(h *heeding)
		want int // promises broken
	}{
		"calls to one that leaves, in time":      {func(h *heeding) { h.passedOn(1000, w); come(h, 3000, 9) }, 0},
		"a call to one that leaves, late":        {func(h *heeding) { h.passedOn(1000, w); come(h, 3001, 1) }, 1},
		"it counts from the first answer on":     {func(h *heeding) { h.passedOn(1000, w); h.passedOn(2500, w); come(h, 3001, 1) }, 1},
		"sent in time and late on its way":       {func(h *heeding) { h.passedOn(1000, w); h.arrived(9000, 3000, w) }, 0},
		"another entry was told":                 {func(h *heeding) { h.passedOn(1000, other); come(h, 9000, 1) }, 0},
		"the entry started anew since":           {func(h *heeding) { h.passedOn(1000, w); h.disturb(2000, 1); come(h, 9000, 1) }, 0},
		"the entry started anew before":          {func(h *heeding) { h.disturb(500, 1); h.passedOn(1000, w); come(h, 9000, 1) }, 1},
		"two calls in a pause":                   {func(h *heeding) { h.asked(1000, w, 2000); come(h, 2000, 2) }, 0},
		"three calls in a pause":                 {func(h *heeding) { h.asked(1000, w, 2000); come(h, 2000, 3) }, 1},
		"calls on their way when it was asked":   {func(h *heeding) { h.asked(1000, w, 2000); come(h, 1499, 9) }, 0},
		"calls after a pause":                    {func(h *heeding) { h.asked(1000, w, 2000); come(h, 3001, 9) }, 0},
		"calls of another entry in a pause":      {func(h *heeding) { h.asked(1000, other, 2000); come(h, 2000, 9) }, 0},
		"three calls in two pauses that overlap": {func(h *heeding) { h.asked(1000, w, 2000); h.asked(1100, w, 2000); come(h, 2000, 3) }, 2},
		"the entry stood still in the pause":     {func(h *heeding) { h.asked(1000, w, 2000); h.disturb(1200, 1); come(h, 2000, 9) }, 0},
		"a pause shorter than the grace":         {func(h *heeding) { h.asked(1000, w, 400); come(h, 1300, 9) }, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHeeding(2000)
			tc.play(h)
			if diff := cmp.Diff(tc.want, len(h.broken)); diff != "" {
				t.Errorf("promises broken (-want +got):\n%s\n%v", diff, h.broken)
			}
		})
	}
}
