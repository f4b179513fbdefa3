package shifter

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"sequoiasill.dev/sequoiasill"
)

// Latencies are recorded in a sliding window, so that a request is compared with the
// recent latencies on its route. The window rotates every refreshesPerWindow calls of
// Shifter.Evaluate.
const (
	latencyWindows     = 6
	refreshesPerWindow = 10
	maxMicros          = 600_000_000
	microsPerMilli     = 1000
	significantDigits  = 1 // decimal; low, as a service may have hundreds of routes, each with histograms
	slowPercentile     = 95
	minLatencies       = 20 // in the window, for a route to get or update its threshold
	drainPercentile    = 95
)

// latencies records the latencies of a service's requests to its current version, which is
// the old version during a move. They are recorded without a move too, so that the first
// requests to a new version can be compared with them.
type latencies struct {
	routes     map[string]*hdrhistogram.WindowedHistogram
	thresholds map[string]int64                // microseconds above which a request is slow, by route
	durations  *hdrhistogram.WindowedHistogram // of whole calls on all routes
	drainTime  sequoiasill.Millis              // within which nearly all calls end, 0 if it is not known
	refreshes  int
}

func newLatencies() *latencies {
	return &latencies{
		routes: make(map[string]*hdrhistogram.WindowedHistogram), thresholds: make(map[string]int64),
		durations: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.WindowedHistogram {
	return hdrhistogram.NewWindowed(latencyWindows, 1, maxMicros, significantDigits)
}

// record adds the latency of a request, in microseconds.
func (l *latencies) record(route string, micros int64) error {
	h, ok := l.routes[route]
	if !ok {
		h = newHistogram()
		l.routes[route] = h
	}
	return recordMicros(h, micros)
}

// recordDuration adds the duration of a whole call, in microseconds.
func (l *latencies) recordDuration(micros int64) error { return recordMicros(l.durations, micros) }

func recordMicros(h *hdrhistogram.WindowedHistogram, micros int64) error {
	return h.Current.RecordValue(min(max(micros, 1), maxMicros))
}

// isSlow reports whether a latency exceeds the threshold of its route.
func (l *latencies) isSlow(route string, micros int64) bool {
	threshold := l.thresholds[route]
	return threshold > 0 && micros > threshold
}

// usual returns the latency above which a request to the route would be slow, from
// however few requests there are in the window, or false without any.
func (l *latencies) usual(route string) (sequoiasill.Millis, bool) {
	h, ok := l.routes[route]
	if !ok {
		return 0, false
	}
	merged := h.Merge()
	return sequoiasill.Millis(merged.ValueAtQuantile(slowPercentile) / microsPerMilli), merged.TotalCount() > 0
}

// refresh updates the thresholds and the drain time, and removes routes without requests in any window.
func (l *latencies) refresh() {
	l.refreshes++
	l.refreshDrainTime()
	for route, h := range l.routes {
		merged := h.Merge()
		switch {
		case merged.TotalCount() >= minLatencies:
			l.thresholds[route] = merged.ValueAtQuantile(slowPercentile)
		case merged.TotalCount() == 0:
			delete(l.routes, route)
			delete(l.thresholds, route)
			continue
		}
		if l.refreshes%refreshesPerWindow == 0 {
			h.Rotate()
		}
	}
}

// refreshDrainTime updates the drain time.
func (l *latencies) refreshDrainTime() {
	l.drainTime = 0
	if merged := l.durations.Merge(); merged.TotalCount() >= minLatencies {
		l.drainTime = sequoiasill.Millis(merged.ValueAtQuantile(drainPercentile)/microsPerMilli) + 1
	}
	if l.refreshes%refreshesPerWindow == 0 {
		l.durations.Rotate()
	}
}
