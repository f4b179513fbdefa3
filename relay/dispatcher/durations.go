package dispatcher

import (
	"slices"
	"sync"

	"sequoiasill.dev/sequoiasill"
)

const (
	// durationSamples is the number of attempts of a route whose durations are kept, and
	// minDurationSamples the number from which a percentile of them means something.
	durationSamples    = 32
	minDurationSamples = 10
	// usualPercentile is the percentile of the durations that attempts usually stay within.
	usualPercentile = 90
	// slowestPercentile is that of the slowest attempt.
	slowestPercentile = 100
)

// durations keeps how long the last answered attempts of each route took. It is safe for concurrent
// use.
type durations struct {
	mu     sync.Mutex
	routes map[string]*durationSample // by name
}

// durationSample is a ring of the last durations.
type durationSample struct {
	took []sequoiasill.Millis
	next int // index of the oldest duration once the ring is full
}

func newDurations() *durations { return &durations{routes: make(map[string]*durationSample)} }

// record adds the duration of an answered attempt.
func (d *durations) record(route string, took sequoiasill.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.routes[route]
	if s == nil {
		s = &durationSample{}
		d.routes[route] = s
	}
	if len(s.took) < durationSamples {
		s.took = append(s.took, took)
		return
	}
	s.took[s.next] = took
	s.next = (s.next + 1) % durationSamples
}

// percentile returns a percentile of the durations of a route. It returns false if too few attempts were
// answered.
func (d *durations) percentile(route string, percentile int) (sequoiasill.Millis, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.routes[route]
	if s == nil || len(s.took) < minDurationSamples {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(s.took))
	return sorted[(len(sorted)-1)*percentile/100], true
}

// keepRoutes forgets all routes but the given ones.
func (d *durations) keepRoutes(routes []sequoiasill.TrafficRoute) {
	names := make(map[string]bool, len(routes))
	for i := range routes {
		names[routes[i].Name] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.routes {
		if !names[name] {
			delete(d.routes, name)
		}
	}
}
