package soaker

import (
	"fmt"

	"sequoiasill.dev/sequoiasill"
)

const (
	// backoffGrace is the time after a rejection with a backoff in which calls in flight may
	// still arrive, and maxCallsInBackoff the number of calls that may arrive after it.
	backoffGrace      = 500 * sequoiasill.Millis(1)
	maxCallsInBackoff = 2
)

// signalChecker checks whether entries respect the draining and backoff signals of upstreams.
// All times must come from one clock. It is not safe for concurrent use.
type signalChecker struct {
	drainTimeout   sequoiasill.Millis // time after the first draining response in which calls may still arrive
	drainingSince  map[link]sequoiasill.Millis
	backoffs       map[link][]backoffPeriod
	lastDisruption map[int]sequoiasill.Millis // by entry
	late           map[link]int               // calls that arrived at draining upstreams after drainTimeout
	violations     []string
}

// link is a pair of an entry and an upstream.
type link struct {
	entry    int
	upstream string
}

// backoffPeriod is a backoff that an upstream requested from an entry.
type backoffPeriod struct {
	begin    sequoiasill.Millis
	end      sequoiasill.Millis
	arrivals int
}

func newSignalChecker(drainTimeout sequoiasill.Millis) *signalChecker {
	return &signalChecker{
		drainTimeout: drainTimeout, drainingSince: make(map[link]sequoiasill.Millis), backoffs: make(map[link][]backoffPeriod),
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

// recordBackoff records that an upstream requests a backoff from an entry.
func (s *signalChecker) recordBackoff(at sequoiasill.Millis, ln link, duration sequoiasill.Millis) {
	s.backoffs[ln] = append(s.backoffs[ln], backoffPeriod{begin: at, end: at + duration})
}

// recordDisruption records that an entry is started, stopped, paused or resumed.
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
	for i := range s.backoffs[ln] {
		p := &s.backoffs[ln][i]
		if at < p.begin+backoffGrace || at > p.end || s.lastDisruption[ln.entry] >= p.begin {
			continue
		}
		if p.arrivals++; p.arrivals == maxCallsInBackoff+1 {
			s.violations = append(s.violations, fmt.Sprintf("more than %d calls came to %s from entry %d in the %s for which it had asked for a pause",
				maxCallsInBackoff, ln.upstream, ln.entry, p.end-p.begin))
		}
	}
}
