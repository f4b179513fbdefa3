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

// Repeats is what the logs of all entries tell of requests that were sent more than
// once. It counts when they were sent; upstreams may see them later.
type Repeats struct {
	sent     *auditor.Auditor
	services map[string]*wishes
}

// wishes are what became of the wishes to send a request of a service again.
type wishes struct {
	allowed  int
	denied   int
	givenUp  int // attempts whose answer was not awaited any longer
	fewest   int // entries that the bound was shared by, as entries saw it
	most     int
	requests map[string]bool
}

// FindRepeats reads what the lines of all entries tell of repeated requests.
func FindRepeats(lines []Line) *Repeats {
	r := &Repeats{sent: auditor.New(), services: make(map[string]*wishes)}
	ordered := slices.SortedStableFunc(slices.Values(lines), func(a, b Line) int { return begin(a).Compare(begin(b)) })
	for _, l := range ordered {
		service, ok := l.Fields["service"].(string)
		request, known := l.Fields["request"].(string)
		if !ok || !known {
			continue
		}
		switch l.Message {
		case "attempt":
			r.attempt(l, service, request)
		case "repeat":
			r.wish(l, service)
		}
	}
	return r
}

// begin returns when what a line tells of began.
func begin(l Line) time.Time {
	took, _ := l.Fields["took"].(float64)
	return l.Time.Add(-sequoiasill.Millis(took).Duration())
}

func (r *Repeats) of(service string) *wishes {
	s := r.services[service]
	if s == nil {
		s = &wishes{requests: make(map[string]bool)}
		r.services[service] = s
	}
	return s
}

func (r *Repeats) attempt(l Line, service, request string) {
	s := r.of(service)
	at := sequoiasill.Millis(begin(l).UnixMilli())
	if !s.requests[request] {
		s.requests[request] = true
		r.sent.RecordRequest(at, service)
	}
	switch l.Fields["end"] {
	case "not sent":
		return
	case "given up":
		s.givenUp++
	}
	r.sent.RecordArrival(at, service, request)
}

func (r *Repeats) wish(l Line, service string) {
	s := r.of(service)
	if l.Fields["allowed"] == true {
		s.allowed++
	} else {
		s.denied++
	}
	if n, ok := l.Fields["entries"].(float64); ok {
		if s.fewest == 0 || int(n) < s.fewest {
			s.fewest = int(n)
		}
		s.most = max(s.most, int(n))
	}
}

// Write prints for each service what became of the wishes, and the window that used the
// largest part of the bound.
func (r *Repeats) Write(w io.Writer, bound rationer.Limits) error {
	var b strings.Builder
	for _, service := range slices.Sorted(maps.Keys(r.services)) {
		s := r.services[service]
		fmt.Fprintf(&b, "%s: %d requests, %d repeats allowed, %d not allowed, %d attempts given up, bound shared by %d to %d entries\n",
			service, len(s.requests), s.allowed, s.denied, s.givenUp, s.fewest, s.most)
	}
	for _, v := range r.sent.WorstWindows(bound) {
		fmt.Fprintf(&b, "%s: worst window from %s: %d repeats sent, %.1f allowed for %d requests\n",
			v.Service, v.Begin.Time().Format("15:04:05.000"), v.Repeats, v.Allowed, v.Requests)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Annotate(err, "write repeats")
}
