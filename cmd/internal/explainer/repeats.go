package explainer

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/auditor"
	"sequoiasill.dev/sequoiasill/decide/rationer"
)

// Repeats counts, per service, the repeats that the logs of all entries record: retries of
// calls that an upstream may already have received. They are counted at the time at which
// they were sent; upstreams may receive them later.
type Repeats struct {
	history  *auditor.Auditor
	services map[string]*retryCounts
}

// retryCounts counts the decisions of the retry budget for a service.
type retryCounts struct {
	allowed    int
	denied     int
	timedOut   int // attempts that ended with the attempt timeout
	minEntries int // number of entries that share the retry budget, as entries observed it
	maxEntries int
	requests   map[string]bool
}

// FindRepeats counts the repeats that the lines of all entries record.
func FindRepeats(lines []Line) *Repeats {
	r := &Repeats{history: auditor.New(), services: make(map[string]*retryCounts)}
	ordered := slices.SortedStableFunc(slices.Values(lines), func(a, b Line) int { return startTime(a).Compare(startTime(b)) })
	for _, l := range ordered {
		service, ok := l.Fields["service"].(string)
		request, known := l.Fields["request"].(string)
		if !ok || !known {
			continue
		}
		switch l.Message {
		case "attempt":
			r.recordAttempt(l, service, request)
		case "repeat":
			r.recordRetry(l, service)
		}
	}
	return r
}

// startTime returns the start of the operation whose end a line records.
func startTime(l Line) time.Time {
	took, _ := l.Fields["took"].(float64)
	return l.Time.Add(-sequoiasill.Millis(took).Duration())
}

func (r *Repeats) counts(service string) *retryCounts {
	s := r.services[service]
	if s == nil {
		s = &retryCounts{requests: make(map[string]bool)}
		r.services[service] = s
	}
	return s
}

func (r *Repeats) recordAttempt(l Line, service, request string) {
	s := r.counts(service)
	at := sequoiasill.Millis(startTime(l).UnixMilli())
	if !s.requests[request] {
		s.requests[request] = true
		r.history.RecordRequest(at, service)
	}
	switch l.Fields["end"] {
	case "not sent":
		return
	case "given up":
		s.timedOut++
	}
	r.history.RecordArrival(at, service, request)
}

func (r *Repeats) recordRetry(l Line, service string) {
	s := r.counts(service)
	if l.Fields["allowed"] == true {
		s.allowed++
	} else {
		s.denied++
	}
	if n, ok := l.Fields["entries"].(float64); ok {
		if s.minEntries == 0 || int(n) < s.minEntries {
			s.minEntries = int(n)
		}
		s.maxEntries = max(s.maxEntries, int(n))
	}
}

// Write prints the counts of each service and the window that used the largest fraction
// of the retry budget given by limits.
func (r *Repeats) Write(w io.Writer, limits rationer.Limits) error {
	var b strings.Builder
	for _, service := range slices.Sorted(maps.Keys(r.services)) {
		s := r.services[service]
		fmt.Fprintf(&b, "%s: %d requests, %d repeats allowed, %d not allowed, %d attempts given up, bound shared by %d to %d entries\n",
			service, len(s.requests), s.allowed, s.denied, s.timedOut, s.minEntries, s.maxEntries)
	}
	for _, v := range r.history.WorstWindows(limits) {
		fmt.Fprintf(&b, "%s: worst window from %s: %d repeats sent, %.1f allowed for %d requests\n",
			v.Service, v.Begin.Time().Format("15:04:05.000"), v.Repeats, v.Allowed, v.Requests)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Annotate(err, "write repeats")
}
