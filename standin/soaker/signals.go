package soaker

import (
	"fmt"

	"sequoiasill.dev/sequoiasill"
)

const (
	// pauseGrace is the time after a rejection with a pause in which calls in flight may
	// still arrive, and maxCallsInPause the number of calls that may arrive after it.
	pauseGrace      = 500 * sequoiasill.Millis(1)
	maxCallsInPause = 2
)

// signalChecker checks whether entries respect the draining and pause signals of upstreams.
// All times must come from one clock. It is not safe for concurrent use.
type signalChecker struct {
	drainTimeout   sequoiasill.Millis // time after the first draining response in which calls may still arrive
	drainingSince  map[link]sequoiasill.Millis
	pauses         map[link][]pausePeriod
	lastDisruption map[int]sequoiasill.Millis // by entry
	late           map[link]int               // calls that arrived at draining upstreams after drainTimeout
	violations     []string
}

// link is a pair of an entry and an upstream.
type link struct {
	entry    int
	upstream string
}

// pausePeriod is a pause that an upstream requested from an entry.
type pausePeriod struct {
	begin    sequoiasill.Millis
	end      sequoiasill.Millis
	arrivals int
}

func newSignalChecker(drainTimeout sequoiasill.Millis) *signalChecker {
	return &signalChecker{
		drainTimeout: drainTimeout, drainingSince: make(map[link]sequoiasill.Millis), pauses: make(map[link][]pausePeriod),
		lastDisruption: make(map[int]sequoiasill.Millis), late: make(map[link]int),
	}
}

// recordDrainingResponse records that an entry forwarded a response in which an upstream
// announces draining.
func (s *signalChecker) recordDrainingResponse(at sequoiasill.Millis, ln link) {
	if _, recorded := s.drainingSince[ln]; !recorded {
		s.drainingSince[ln] = at
	}
}

// recordPause records that an upstream requests a pause from an entry.
func (s *signalChecker) recordPause(at sequoiasill.Millis, ln link, duration sequoiasill.Millis) {
	s.pauses[ln] = append(s.pauses[ln], pausePeriod{begin: at, end: at + duration})
}

// recordDisruption records that an entry is started, stopped, paused (SIGSTOP) or resumed.
func (s *signalChecker) recordDisruption(at sequoiasill.Millis, entry int) {
	s.lastDisruption[entry] = at
}

// recordArrival records that a call, which a caller sent at time sent, arrives at an upstream.
func (s *signalChecker) recordArrival(at, sent sequoiasill.Millis, ln link) {
	if since, ok := s.drainingSince[ln]; ok && sent > since+s.drainTimeout && s.lastDisruption[ln.entry] < since {
		s.late[ln]++
		if s.late[ln] == 1 {
			s.violations = append(s.violations, fmt.Sprintf("a call that was sent %s after entry %d had passed on that %s leaves came there from it",
				sent-since, ln.entry, ln.upstream))
		}
	}
	for i := range s.pauses[ln] {
		p := &s.pauses[ln][i]
		if at < p.begin+pauseGrace || at > p.end || s.lastDisruption[ln.entry] >= p.begin {
			continue
		}
		if p.arrivals++; p.arrivals == maxCallsInPause+1 {
			s.violations = append(s.violations, fmt.Sprintf("more than %d calls came to %s from entry %d in the %s for which it had asked for a pause",
				maxCallsInPause, ln.upstream, ln.entry, p.end-p.begin))
		}
	}
}
