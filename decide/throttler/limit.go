package throttler

import (
	"math"
	"slices"

	"sequoiasill.dev/sequoiasill"
)

// limit is the rate limit of one upstream.
type limit struct {
	granter     string
	rate        float64
	announcedAt sequoiasill.Millis
	liftedAt    sequoiasill.Millis // 0 while the limit is active

	tokens      float64
	updated     sequoiasill.Millis
	outstanding map[Call]sequoiasill.Millis   // time of each grant whose call may still arrive
	arrivals    []sequoiasill.Millis          // arrivals of granted calls within CountWindow
	grantsFrom  sequoiasill.Millis            // from this time on, grants no longer depend on reports of all entries
	reports     map[string]*report            // by entry
	requesters  map[string]sequoiasill.Millis // time of the last request of each entry
	lastAskedAt sequoiasill.Millis            // time of the last request of any entry
}

// report lists the calls that an entry sent without a grant from this keeper.
type report struct {
	process     string
	sequence    uint64
	receivedAt  sequoiasill.Millis
	arrivals    []sequoiasill.Millis
	outstanding int
}

// reset empties the bucket and discards the reports, as grants of other keepers may
// be unknown here.
func (l *limit) reset(now sequoiasill.Millis) {
	l.tokens, l.updated, l.grantsFrom = 0, now, now+CountWindow
	l.reports, l.requesters = make(map[string]*report), make(map[string]sequoiasill.Millis)
}

// refill adds the tokens accrued since the last refill.
func (l *limit) refill(now sequoiasill.Millis, rate float64) {
	l.tokens += rate * (now - l.updated).Duration().Seconds()
	l.tokens = min(l.tokens, 1+rate*burstWindow.Duration().Seconds())
	l.updated = now
}

// capacity returns the maximum of countCalls.
func (l *limit) capacity() int {
	return int(sequoiasill.ClampNumber(boundFactor*boundWindow.Duration().Seconds()*l.rate+boundBurst-reservedCalls, math.MaxInt32))
}

// countCalls returns the number of calls that arrived within CountWindow or may still
// arrive.
func (l *limit) countCalls(now sequoiasill.Millis) int {
	for c, at := range l.outstanding {
		if now-at > OutstandingTTL {
			delete(l.outstanding, c)
		}
	}
	expired := func(at sequoiasill.Millis) bool { return now-at > CountWindow }
	l.arrivals = slices.DeleteFunc(l.arrivals, expired)
	n := len(l.outstanding) + len(l.arrivals)
	for _, r := range l.reports {
		r.arrivals = slices.DeleteFunc(r.arrivals, expired)
		if now-r.receivedAt > OutstandingTTL {
			r.outstanding = 0
		}
		n += len(r.arrivals) + r.outstanding
	}
	return n
}
