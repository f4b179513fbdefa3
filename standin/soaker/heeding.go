package soaker

import (
	"fmt"

	"sequoiasill.dev/sequoiasill"
)

const (
	// pauseGrace is the time after a refusal with a pause in which requests that were on
	// their way may still come, and mostInPause how many may come after it.
	pauseGrace  = 500 * sequoiasill.Millis(1)
	mostInPause = 2
)

// heeding judges whether entries keep from upstreams what these said they do not want.
// Times are those of one clock. It is not safe for concurrent use.
type heeding struct {
	drainSpan sequoiasill.Millis // in which calls may still come after an answer that tells of the leaving
	left      map[way]sequoiasill.Millis
	pauses    map[way][]pause
	disturbed map[int]sequoiasill.Millis // entries, by when they were last restarted or stood still
	late      map[way]int                // calls that came to upstreams that had left
	broken    []string
}

// way is that from an entry to an upstream.
type way struct {
	entry    int
	upstream string
}

// pause is one that an upstream asked an entry for.
type pause struct {
	asked sequoiasill.Millis
	end   sequoiasill.Millis
	came  int
}

func newHeeding(drainSpan sequoiasill.Millis) *heeding {
	return &heeding{
		drainSpan: drainSpan, left: make(map[way]sequoiasill.Millis), pauses: make(map[way][]pause),
		disturbed: make(map[int]sequoiasill.Millis), late: make(map[way]int),
	}
}

// passedOn notes that an entry passed on an answer in which an upstream says that it leaves.
func (h *heeding) passedOn(at sequoiasill.Millis, w way) {
	if _, told := h.left[w]; !told {
		h.left[w] = at
	}
}

// asked notes that an upstream asks an entry for a pause.
func (h *heeding) asked(at sequoiasill.Millis, w way, span sequoiasill.Millis) {
	h.pauses[w] = append(h.pauses[w], pause{asked: at, end: at + span})
}

// disturb notes that an entry is restarted, stands still or goes on.
func (h *heeding) disturb(at sequoiasill.Millis, entry int) { h.disturbed[entry] = at }

// arrived notes that a call that a caller had sent at a time comes to an upstream.
func (h *heeding) arrived(at, sent sequoiasill.Millis, w way) {
	if told, ok := h.left[w]; ok && sent > told+h.drainSpan && h.disturbed[w.entry] < told {
		h.late[w]++
		if h.late[w] == 1 {
			h.broken = append(h.broken, fmt.Sprintf("a call that was sent %s after entry %d had passed on that %s leaves came there from it",
				sent-told, w.entry, w.upstream))
		}
	}
	for i := range h.pauses[w] {
		p := &h.pauses[w][i]
		if at < p.asked+pauseGrace || at > p.end || h.disturbed[w.entry] >= p.asked {
			continue
		}
		if p.came++; p.came == mostInPause+1 {
			h.broken = append(h.broken, fmt.Sprintf("more than %d calls came to %s from entry %d in the %s for which it had asked for a pause",
				mostInPause, w.upstream, w.entry, p.end-p.asked))
		}
	}
}
