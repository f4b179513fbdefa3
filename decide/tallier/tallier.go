// Package tallier counts the calls of each organisation that started in each time
// window, at this entry and, through gossip, at all entries. Windows are of true time,
// which jumps of the wall clock do not affect. The counts
// form a grow-only counter (G-Counter): each process publishes only its own counts,
// which never decrease, so that duplicated, delayed or reordered messages have no
// effect on the totals.
//
// A Tallier is a state machine without I/O.
package tallier

import "sequoiasill.dev/sequoiasill"

// Counts holds the number of calls by organisation.
type Counts map[string]int

// Tally holds the counts of one process by window.
type Tally map[int64]Counts

// Tallier holds the counts of all processes. It is not safe for concurrent use.
type Tallier struct {
	window      sequoiasill.Millis
	windowsKept int64
	self        string
	sources     map[string]Tally
}

// New returns the tallier of the process self, a name that must differ at each start.
// It keeps the given number of windows.
func New(self string, window sequoiasill.Millis, keep int) *Tallier {
	return &Tallier{window: max(window, 1), windowsKept: int64(keep), self: self, sources: map[string]Tally{self: {}}}
}

// Window returns the number of the window that contains a time.
func (t *Tallier) Window(at sequoiasill.Millis) int64 { return int64(at / t.window) }

// End returns the time at which a window ends.
func (t *Tallier) End(window int64) sequoiasill.Millis {
	return sequoiasill.Millis(window+1) * t.window
}

// Add counts a call that started at a time.
func (t *Tallier) Add(organisation string, at sequoiasill.Millis) {
	own := t.sources[t.self]
	w := t.Window(at)
	if own[w] == nil {
		own[w] = make(Counts)
	}
	own[w][organisation]++
}

// Own returns the counts of this process.
func (t *Tallier) Own() Tally { return t.sources[t.self] }

// Merge merges the counts that another process published of itself.
func (t *Tallier) Merge(source string, tally Tally) {
	if source == t.self {
		return
	}
	merged := t.sources[source]
	if merged == nil {
		merged = make(Tally)
		t.sources[source] = merged
	}
	for w, counts := range tally {
		if merged[w] == nil {
			merged[w] = make(Counts)
		}
		for organisation, n := range counts {
			merged[w][organisation] = max(merged[w][organisation], n)
		}
	}
}

// Total returns the counts of all processes in a window.
func (t *Tallier) Total(window int64) Counts {
	out := make(Counts)
	for _, tally := range t.sources {
		for organisation, n := range tally[window] {
			out[organisation] += n
		}
	}
	return out
}

// DeleteExpired deletes the counts of windows that lie more than windowsKept windows
// before the current one.
func (t *Tallier) DeleteExpired(now sequoiasill.Millis) {
	oldest := t.Window(now) - t.windowsKept
	for source, tally := range t.sources {
		for w := range tally {
			if w < oldest {
				delete(tally, w)
			}
		}
		if len(tally) == 0 && source != t.self {
			delete(t.sources, source)
		}
	}
}
