package soaker

import (
	"fmt"
	"slices"

	"sequoiasill.dev/sequoiasill"
)

const (
	// leaseTTL is the lease duration in the entries' settings. Two lease holders must not
	// alternate within it.
	leaseTTL = 3 * sequoiasill.Second
	// entryRecoveryTime is how long the calls of an entry are not checked after it was
	// disrupted, and storeRecoveryTime how long those of all entries are not checked after
	// a fault of the store.
	entryRecoveryTime = 300 * sequoiasill.Millis(1)
	storeRecoveryTime = sequoiasill.Second
)

// dutyCall is a call of a lease holder that the platform accepted.
type dutyCall struct {
	at     sequoiasill.Millis
	holder string
	epoch  uint64
}

// recoveries holds the times after which calls of lease holders are not checked for a while.
type recoveries struct {
	entries map[string][]sequoiasill.Millis
	store   []sequoiasill.Millis
}

// exempts reports whether a call is not checked.
func (r recoveries) exempts(call dutyCall) bool {
	within := func(duration sequoiasill.Millis) func(sequoiasill.Millis) bool {
		return func(at sequoiasill.Millis) bool { return call.at >= at && call.at-at <= duration }
	}
	return slices.ContainsFunc(r.entries[call.holder], within(entryRecoveryTime)) || slices.ContainsFunc(r.store, within(storeRecoveryTime))
}

// checkHolders returns the violations in a list of calls in the order of their arrival: no lease
// holder may act after one with a later epoch, and no two holders may alternate within leaseTTL.
func checkHolders(calls []dutyCall, r recoveries) []string {
	var out []string
	var latest dutyCall
	var turns []dutyCall // the last call of each run of calls by one holder
	for _, call := range calls {
		if r.exempts(call) {
			continue
		}
		if call.epoch < latest.epoch {
			out = append(out, fmt.Sprintf("a call of %s under epoch %d came %s after one of %s under %d", call.holder, call.epoch, call.at-latest.at, latest.holder, latest.epoch))
			continue
		}
		latest = call
		n := len(turns)
		if n > 0 && turns[n-1].holder == call.holder {
			turns[n-1] = call
			continue
		}
		if n > 1 && turns[n-2].holder == call.holder && call.at-turns[n-2].at < leaseTTL {
			out = append(out, fmt.Sprintf("%s and %s took turns at a duty within %s", call.holder, turns[n-1].holder, call.at-turns[n-2].at))
		}
		turns = append(turns, call)
	}
	return out
}
