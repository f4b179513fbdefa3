package shifter

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies are kept over windows of looks, to tell which requests are slow at the time.
const (
	latencyWindows = 6
	looksAWindow   = 10
	maxMicros      = 600_000_000
	latencyDigits  = 1 // of decimal precision; a service may have hundreds of routes
	slowQuantile   = 95
	minLatencies   = 20
)

// latencies are those of a service's requests to the version that it has, or moves from. They
// are kept before a move too, so that the first requests to a new version can be judged.
type latencies struct {
	routes map[string]*hdrhistogram.WindowedHistogram
	limits map[string]int64 // microseconds from which a request is slow, by route
	looks  int
}

func newLatencies() *latencies {
	return &latencies{routes: make(map[string]*hdrhistogram.WindowedHistogram), limits: make(map[string]int64)}
}

// remember takes in the latency of a request, in microseconds.
func (l *latencies) remember(route string, micros int64) error {
	h, ok := l.routes[route]
	if !ok {
		h = hdrhistogram.NewWindowed(latencyWindows, 1, maxMicros, latencyDigits)
		l.routes[route] = h
	}
	return h.Current.RecordValue(min(max(micros, 1), maxMicros))
}

// slow reports whether a latency is longer than most on its route.
func (l *latencies) slow(route string, micros int64) bool {
	limit := l.limits[route]
	return limit > 0 && micros > limit
}

// refresh renews the limits, and drops routes that have had no request in all windows.
func (l *latencies) refresh() {
	l.looks++
	for route, h := range l.routes {
		m := h.Merge()
		switch {
		case m.TotalCount() >= minLatencies:
			l.limits[route] = m.ValueAtQuantile(slowQuantile)
		case m.TotalCount() == 0:
			delete(l.routes, route)
			delete(l.limits, route)
			continue
		}
		if l.looks%looksAWindow == 0 {
			h.Rotate()
		}
	}
}
