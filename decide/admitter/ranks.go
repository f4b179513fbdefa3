package admitter

import (
	"math"
	"slices"

	"sequoiasill.dev/sequoiasill"
)

const (
	// arrivalDecay is the time constant by which the weight of an arrival decays with its age.
	arrivalDecay = 10 * sequoiasill.Second
	// minArrivals is the weight of arrivals from which they tell which priorities are in use. Before, all
	// routes count, of which some may never be called.
	minArrivals = 10
	// minArrivalShare is the share of the arrivals from which a priority counts. A few calls of routes that
	// hardly anyone uses must not make all others less urgent.
	minArrivalShare = 0.02
)

// arrivals are the recent calls of a service by priority, with exponential decay.
type arrivals struct {
	counts map[int]float64
	total  float64
	at     sequoiasill.Millis
}

func (a *arrivals) decay(now sequoiasill.Millis) {
	elapsed := now - a.at
	if elapsed <= 0 {
		return
	}
	remaining := math.Exp(-float64(elapsed) / float64(arrivalDecay))
	for priority := range a.counts {
		a.counts[priority] *= remaining
	}
	a.total *= remaining
	a.at = now
}

// RecordArrival records a call of a service, before the decision on it.
func (a *Admitter) RecordArrival(now sequoiasill.Millis, name string, priority int) {
	s := a.service(now, name)
	if s == nil || !slices.Contains(s.priorities, priority) {
		return
	}
	if s.arrivals.counts == nil {
		s.arrivals.counts = make(map[int]float64)
	}
	s.arrivals.decay(now)
	s.arrivals.counts[priority]++
	s.arrivals.total++
}

// LessUrgent reports whether calls of a higher priority are in use at a service.
func (a *Admitter) LessUrgent(now sequoiasill.Millis, name string, priority int) bool {
	s := a.service(now, name)
	if s == nil {
		return false
	}
	rank, _, known := s.rank(now, priority)
	return known && rank > 0
}

// rank returns the rank of a priority among those that are in use, from 0 for the most urgent, and their
// number. It is not known for a priority that no route of the service has.
func (s *service) rank(now sequoiasill.Millis, priority int) (rank, ranks int, known bool) {
	if _, known = slices.BinarySearch(s.priorities, priority); !known {
		return 0, 0, false
	}
	s.arrivals.decay(now)
	all := s.arrivals.total < minArrivals
	for _, p := range s.priorities {
		if p != priority && !all && s.arrivals.counts[p] < minArrivalShare*s.arrivals.total {
			continue
		}
		ranks++
		if p < priority {
			rank++
		}
	}
	return rank, ranks, true
}
