// Package auditor checks the history of a run against the limits on repeats: in every
// window of time, each service may get a part of its requests and a slack beyond as
// sends that are not the first of their request.
//
// An Auditor is a pure function of its history. It serves those who look at a run
// from outside, from the logs of entries or from what upstreams saw.
package auditor

import (
	"maps"
	"slices"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/rationer"
)

// Window is a span of time with what happened in it.
type Window struct {
	Service  string
	Begin    sequoiasill.Millis
	End      sequoiasill.Millis
	Requests int // that count for the bound
	Repeats  int
	Allowed  float64
}

// Used returns the part of the bound that was used. Above 1 it was broken.
func (w Window) Used() float64 { return float64(w.Repeats) / w.Allowed }

// Auditor holds the history of one run. It is not safe for concurrent use.
type Auditor struct {
	services map[string]*history
}

type history struct {
	requests []sequoiasill.Millis
	repeats  []sequoiasill.Millis
	seen     map[string]bool
}

// New returns an auditor with an empty history.
func New() *Auditor { return &Auditor{services: make(map[string]*history)} }

func (a *Auditor) history(service string) *history {
	h := a.services[service]
	if h == nil {
		h = &history{seen: make(map[string]bool)}
		a.services[service] = h
	}
	return h
}

// Requested notes a request for a service, whether it arrives at an upstream or not.
func (a *Auditor) Requested(at sequoiasill.Millis, service string) {
	h := a.history(service)
	h.requests = append(h.requests, at)
}

// Arrived notes that a request came to an upstream of a service. The first time that it
// does is no repeat. It returns whether this was one.
func (a *Auditor) Arrived(at sequoiasill.Millis, service, request string) bool {
	h := a.history(service)
	if !h.seen[request] {
		h.seen[request] = true
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

// Worst returns for each service with a repeat the window that used the largest part of
// its bound, by service. The requests that count are those of the window, of the one before
// it or of the one half a window before it, whichever has most.
func (a *Auditor) Worst(b rationer.Limits) []Window {
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

// worst looks at the windows that begin or end with a repeat.
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
	for _, earlier := range []sequoiasill.Millis{0, b.Window / 2, b.Window} {
		w.Requests = max(w.Requests, count(h.requests, begin-earlier, begin-earlier+b.Window))
	}
	w.Allowed = b.Ratio*float64(w.Requests) + b.Slack
	return w
}

// count returns how many of the sorted times are from begin on and before end.
func count(times []sequoiasill.Millis, begin, end sequoiasill.Millis) int {
	from, _ := slices.BinarySearch(times, begin)
	to, _ := slices.BinarySearch(times, end)
	return to - from
}
