// Package auditor checks the history of a run against the retry budget. In every time
// window, the repeats at a service, which are all sends but the first of each request,
// may amount to a fraction of its requests plus a constant slack.
//
// An Auditor is a pure function of its history. It verifies a run from the outside, from
// the logs of entries or from the requests that upstreams received.
package auditor

import (
	"maps"
	"slices"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/rationer"
)

// Window is a time window with the counts of its requests and repeats.
type Window struct {
	Service  string
	Begin    sequoiasill.Millis
	End      sequoiasill.Millis
	Requests int // requests from which the budget is computed
	Repeats  int
	Allowed  float64
}

// Used returns the fraction of the budget that was used. It exceeds 1 if the budget was
// exceeded.
func (w Window) Used() float64 { return float64(w.Repeats) / w.Allowed }

// Auditor holds the history of one run. It is not safe for concurrent use.
type Auditor struct {
	services map[string]*history
}

type history struct {
	requests     []sequoiasill.Millis
	repeats      []sequoiasill.Millis
	seenRequests map[string]bool
}

// New returns an auditor with an empty history.
func New() *Auditor { return &Auditor{services: make(map[string]*history)} }

func (a *Auditor) history(service string) *history {
	h := a.services[service]
	if h == nil {
		h = &history{seenRequests: make(map[string]bool)}
		a.services[service] = h
	}
	return h
}

// RecordRequest records a request for a service, whether it arrives at an upstream or not.
func (a *Auditor) RecordRequest(at sequoiasill.Millis, service string) {
	h := a.history(service)
	h.requests = append(h.requests, at)
}

// RecordArrival records the arrival of a request at an upstream of a service and reports
// whether it was a repeat. The first arrival of a request is not a repeat.
func (a *Auditor) RecordArrival(at sequoiasill.Millis, service, request string) bool {
	h := a.history(service)
	if !h.seenRequests[request] {
		h.seenRequests[request] = true
		return false
	}
	h.repeats = append(h.repeats, at)
	return true
}

// Repeats returns the number of repeats in the whole history.
func (a *Auditor) Repeats() int {
	n := 0
	for _, h := range a.services {
		n += len(h.repeats)
	}
	return n
}

// WorstWindows returns, for each service with a repeat, the window that used the largest
// fraction of its budget, sorted by service. The budget is computed from the requests in
// the window, in the previous window, or in the one that begins half a window earlier,
// whichever has the most.
func (a *Auditor) WorstWindows(b rationer.Limits) []Window {
	var out []Window
	for _, name := range slices.Sorted(maps.Keys(a.services)) {
		h := a.services[name]
		slices.Sort(h.requests)
		slices.Sort(h.repeats)
		if w, ok := h.worst(b); ok {
			w.Service = name
			out = append(out, w)
		}
	}
	return out
}

// worst checks the windows that begin or end with a repeat.
func (h *history) worst(b rationer.Limits) (worst Window, ok bool) {
	for _, at := range h.repeats {
		for _, begin := range []sequoiasill.Millis{at, at - b.Window + 1} {
			if w := h.window(b, begin); !ok || w.Used() > worst.Used() {
				worst, ok = w, true
			}
		}
	}
	return worst, ok
}

func (h *history) window(b rationer.Limits, begin sequoiasill.Millis) Window {
	w := Window{Begin: begin, End: begin + b.Window, Repeats: count(h.repeats, begin, begin+b.Window)}
	for _, offset := range []sequoiasill.Millis{0, b.Window / 2, b.Window} {
		w.Requests = max(w.Requests, count(h.requests, begin-offset, begin-offset+b.Window))
	}
	w.Allowed = b.Ratio*float64(w.Requests) + b.Slack
	return w
}

// count returns the number of sorted times in the half-open interval [begin, end).
func count(times []sequoiasill.Millis, begin, end sequoiasill.Millis) int {
	from, _ := slices.BinarySearch(times, begin)
	to, _ := slices.BinarySearch(times, end)
	return to - from
}
