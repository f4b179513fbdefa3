package throttler

import (
	"slices"

	"sequoiasill.dev/sequoiasill"
)

// limit is the state of one upstream.
type limit struct {
	granter  string
	rate     float64
	namedAt  sequoiasill.Millis
	liftedAt sequoiasill.Millis // 0 while it holds

	tokens  float64
	updated sequoiasill.Millis
	open    map[Call]sequoiasill.Millis   // calls granted that may still come, by when they were
	came    []sequoiasill.Millis          // when calls came that were granted and count
	opens   sequoiasill.Millis            // when it grants even if some entries did not report
	reports map[string]*report            // by entry
	askers  map[string]sequoiasill.Millis // entries that asked, by when they last did
	usedAt  sequoiasill.Millis            // when an entry last asked
}

// report is what an entry told of sends that were not granted here.
type report struct {
	process string
	number  uint64
	at      sequoiasill.Millis
	came    []sequoiasill.Millis
	open    int
}

// begin forgets what was granted: others may know better.
func (l *limit) begin(now sequoiasill.Millis) {
	l.tokens, l.updated, l.opens = 0, now, now+CountSpan
	l.reports, l.askers = make(map[string]*report), make(map[string]sequoiasill.Millis)
}

// fill adds what may be granted since the last time.
func (l *limit) fill(now sequoiasill.Millis, rate float64) {
	l.tokens += rate * (now - l.updated).Duration().Seconds()
	l.tokens = min(l.tokens, 1+rate*burstSpan.Duration().Seconds())
	l.updated = now
}

// room returns how many calls may count at a time.
func (l *limit) room() int {
	return int(boundExcess*boundSpan.Duration().Seconds()*l.rate + boundExtra - spareCalls)
}

// count returns how many calls came lately or may still come.
func (l *limit) count(now sequoiasill.Millis) int {
	for c, at := range l.open {
		if now-at > lateSpan {
			delete(l.open, c)
		}
	}
	old := func(at sequoiasill.Millis) bool { return now-at > CountSpan }
	l.came = slices.DeleteFunc(l.came, old)
	n := len(l.open) + len(l.came)
	for _, r := range l.reports {
		r.came = slices.DeleteFunc(r.came, old)
		if now-r.at > lateSpan {
			r.open = 0
		}
		n += len(r.came) + r.open
	}
	return n
}
