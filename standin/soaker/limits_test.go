package soaker

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

// Checks that entries that together exceed an upstream's rate limit are reported, and no others.
// At 2 calls per second 17 calls are allowed in 4 s.
func TestLimitChecker(t *testing.T) {
	const rate = 2
	links := []link{{entry: 1, upstream: "i-1"}, {entry: 2, upstream: "i-1"}, {entry: 3, upstream: "i-1"}}
	announce := func(l *limitChecker, at sequoiasill.Millis, informed ...link) {
		l.recordLimit(1000, "i-1", rate)
		for _, ln := range informed {
			l.recordLimitResponse(at, ln)
		}
	}
	// arrive records n calls from the given entries in turn, evenly spread over duration.
	arrive := func(l *limitChecker, from, duration sequoiasill.Millis, n int, links ...link) {
		for i := range n {
			at := from + duration*sequoiasill.Millis(i)/sequoiasill.Millis(n)
			l.recordArrival(at, at, links[i%len(links)])
		}
	}
	tests := map[string]struct {
		play func(l *limitChecker)
		want int // violations
	}{
		"as many as allowed":                   {func(l *limitChecker) { announce(l, 1000, links...); arrive(l, 6000, 3900, 17, links...) }, 0},
		"one too many":                         {func(l *limitChecker) { announce(l, 1000, links...); arrive(l, 6000, 3900, 18, links...) }, 1},
		"one too many, in a burst":             {func(l *limitChecker) { announce(l, 1000, links...); arrive(l, 6000, 0, 18, links...) }, 1},
		"the same over a longer time":          {func(l *limitChecker) { announce(l, 1000, links...); arrive(l, 6000, 4300, 18, links...) }, 0},
		"right after the first announcement":   {func(l *limitChecker) { announce(l, 1000, links...); arrive(l, 1000, 2999, 90, links...) }, 0},
		"earlier calls count in the window":    {func(l *limitChecker) { announce(l, 1000, links...); arrive(l, 1000, 3100, 90, links...) }, 1},
		"from entries without the limit":       {func(l *limitChecker) { announce(l, 1000, links[0]); arrive(l, 6000, 3900, 36, links[1:]...) }, 0},
		"entries that just received the limit": {func(l *limitChecker) { announce(l, 8000, links...); arrive(l, 6000, 2499, 90, links...) }, 0},
		"from one entry alone":                 {func(l *limitChecker) { announce(l, 1000, links...); arrive(l, 6000, 3900, 18, links[0]) }, 1},
		"an entry that restarted": {func(l *limitChecker) {
			announce(l, 1000, links...)
			l.recordDisruption(5000, 1)
			arrive(l, 6000, 3900, 36, links[0])
		}, 0},
		"an entry that restarted and received the limit again": {func(l *limitChecker) {
			announce(l, 1000, links...)
			l.recordDisruption(5000, 1)
			l.recordLimitResponse(5200, links[0])
			arrive(l, 6000, 3900, 18, links[0])
		}, 1},
		"a limit that was removed": {func(l *limitChecker) {
			announce(l, 1000, links...)
			l.recordLimitRemoved("i-1")
			arrive(l, 6000, 3900, 90, links...)
		}, 0},
		"a limit that was lowered": {func(l *limitChecker) {
			announce(l, 1000, links...)
			l.recordLimit(1500, "i-1", 1)
			arrive(l, 6100, 3900, 12, links...)
		}, 1},
		"a limit that was just lowered": {func(l *limitChecker) {
			announce(l, 1000, links...)
			l.recordLimit(5900, "i-1", 1)
			arrive(l, 6000, 3900, 17, links...)
		}, 0},
		"sent before the entry received the limit": {func(l *limitChecker) {
			announce(l, 1000, links...)
			for range 90 {
				l.recordArrival(6000, 900, links[0])
			}
		}, 0},
		"sent before the entry received the limit, then one more": {func(l *limitChecker) {
			announce(l, 1000, links...)
			for range 90 {
				l.recordArrival(6000, 900, links[0])
			}
			arrive(l, 6100, 0, 1, links[1])
		}, 1},
		"two windows above the limit": {func(l *limitChecker) {
			announce(l, 1000, links...)
			arrive(l, 6000, 3900, 18, links...)
			arrive(l, 16000, 3900, 18, links...)
		}, 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLimitChecker()
			tc.play(l)
			if diff := cmp.Diff(tc.want, len(l.violations)); diff != "" {
				t.Errorf("number of violations (-want +got):\n%s\n%v", diff, l.violations)
			}
		})
	}
}
