package soaker

import (
	"fmt"
	"slices"

	"sequoiasill.dev/sequoiasill"
)

const (
	// leaseBound is the time within which no two holders of a duty may take turns, as the
	// settings of the entries name it.
	leaseBound = 3 * sequoiasill.Second
	// healSpan is how long after its thaw, or the end of a cut, calls of an entry do not
	// count, and storeSpan how long after a trouble of the platform those of all.
	healSpan  = 300 * sequoiasill.Millis(1)
	storeSpan = sequoiasill.Second
)

// dutyCall is a call of a duty that the platform took.
type dutyCall struct {
	at     sequoiasill.Millis
	holder string
	epoch  uint64
}

// heals are the moments after which calls of duties do not count for a while.
type heals struct {
	entries map[string][]sequoiasill.Millis
	store   []sequoiasill.Millis
}

// excuses reports whether a call does not count.
func (h heals) excuses(c dutyCall) bool {
	within := func(span sequoiasill.Millis) func(sequoiasill.Millis) bool {
		return func(at sequoiasill.Millis) bool { return c.at >= at && c.at-at <= span }
	}
	return slices.ContainsFunc(h.entries[c.holder], within(healSpan)) || slices.ContainsFunc(h.store, within(storeSpan))
}

// judgeTurns returns how the calls of a duty, in the order in which they came, break the
// promise that no holder acts after a later one and no two take turns.
func judgeTurns(calls []dutyCall, h heals) []string {
	var out []string
	var top dutyCall
	var turns []dutyCall // the last call of each turn
	for _, c := range calls {
		if h.excuses(c) {
			continue
		}
		if c.epoch < top.epoch {
			out = append(out, fmt.Sprintf("a call of %s under epoch %d came %s after one of %s under %d", c.holder, c.epoch, c.at-top.at, top.holder, top.epoch))
			continue
		}
		top = c
		n := len(turns)
		if n > 0 && turns[n-1].holder == c.holder {
			turns[n-1] = c
			continue
		}
		if n > 1 && turns[n-2].holder == c.holder && c.at-turns[n-2].at < leaseBound {
			out = append(out, fmt.Sprintf("%s and %s took turns at a duty within %s", c.holder, turns[n-1].holder, c.at-turns[n-2].at))
		}
		turns = append(turns, c)
	}
	return out
}
