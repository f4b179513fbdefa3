package soaker

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/rationer"
)

// Checks that entries that ignore draining or pause signals are reported, and no others.
func TestSignalChecker(t *testing.T) {
	ln, other := link{entry: 1, upstream: "i-1"}, link{entry: 2, upstream: "i-1"}
	// arrive records n calls that are sent and arrive at the same time.
	arrive := func(s *signalChecker, at sequoiasill.Millis, n int) {
		for range n {
			s.recordArrival(at, at, ln)
		}
	}
	tests := map[string]struct {
		play func(s *signalChecker)
		want int // violations
	}{
		"calls within the drain timeout": {func(s *signalChecker) { s.recordDrainingResponse(1000, ln); arrive(s, 3000, 9) }, 0},
		"a call after the drain timeout": {func(s *signalChecker) { s.recordDrainingResponse(1000, ln); arrive(s, 3001, 1) }, 1},
		"drain timeout starts at the first response": {func(s *signalChecker) {
			s.recordDrainingResponse(1000, ln)
			s.recordDrainingResponse(2500, ln)
			arrive(s, 3001, 1)
		}, 1},
		"sent in time and delayed in flight": {func(s *signalChecker) { s.recordDrainingResponse(1000, ln); s.recordArrival(9000, 3000, ln) }, 0},
		"another entry received the signal":  {func(s *signalChecker) { s.recordDrainingResponse(1000, other); arrive(s, 9000, 1) }, 0},
		"the entry restarted afterwards": {func(s *signalChecker) {
			s.recordDrainingResponse(1000, ln)
			s.recordDisruption(2000, 1)
			arrive(s, 9000, 1)
		}, 0},
		"the entry restarted before": {func(s *signalChecker) {
			s.recordDisruption(500, 1)
			s.recordDrainingResponse(1000, ln)
			arrive(s, 9000, 1)
		}, 1},
		"two calls during a pause":              {func(s *signalChecker) { s.recordPause(1000, ln, 2000); arrive(s, 2000, 2) }, 0},
		"three calls during a pause":            {func(s *signalChecker) { s.recordPause(1000, ln, 2000); arrive(s, 2000, 3) }, 1},
		"calls in flight at the request":        {func(s *signalChecker) { s.recordPause(1000, ln, 2000); arrive(s, 1499, 9) }, 0},
		"calls after a pause":                   {func(s *signalChecker) { s.recordPause(1000, ln, 2000); arrive(s, 3001, 9) }, 0},
		"calls of another entry during a pause": {func(s *signalChecker) { s.recordPause(1000, other, 2000); arrive(s, 2000, 9) }, 0},
		"three calls during two overlapping pauses": {func(s *signalChecker) {
			s.recordPause(1000, ln, 2000)
			s.recordPause(1100, ln, 2000)
			arrive(s, 2000, 3)
		}, 2},
		"the entry's process was paused meanwhile": {func(s *signalChecker) {
			s.recordPause(1000, ln, 2000)
			s.recordDisruption(1200, 1)
			arrive(s, 2000, 9)
		}, 0},
		"a pause shorter than the grace period": {func(s *signalChecker) { s.recordPause(1000, ln, 400); arrive(s, 1300, 9) }, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSignalChecker(2000)
			tc.play(s)
			if diff := cmp.Diff(tc.want, len(s.violations)); diff != "" {
				t.Errorf("number of violations (-want +got):\n%s\n%v", diff, s.violations)
			}
		})
	}
}

// A pause is kept by the entry that was asked for it, even if another entry has sent the call since.
func TestPauseIsOfTheEntryThatWasAsked(t *testing.T) {
	c := newChecker(rationer.Limits{})
	c.recordSend("1", repeatable, "key", 5)
	c.recordDelivery("1", link{5, "i-1"}, false, false)
	c.recordDelivery("1", link{0, "i-2"}, false, false)
	c.recordPause(nowMillis(), "1", link{5, "i-1"}, sequoiasill.Second)
	got := []int{len(c.signals.pauses[link{5, "i-1"}]), len(c.signals.pauses[link{0, "i-1"}])}
	if diff := cmp.Diff([]int{1, 0}, got); diff != "" {
		t.Errorf("pauses of the entry that was asked, of the other one (-want +got):\n%s", diff)
	}
}
