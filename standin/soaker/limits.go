package soaker

import (
	"fmt"

	"sequoiasill.dev/sequoiasill"
)

// Tolerances of the check of rate limits.
const (
	// limitWindow is the length of the sliding window in which calls are counted. It may hold
	// limitFactor times the calls that the rate limit permits, plus limitExtraCalls.
	limitWindow     = 4 * sequoiasill.Second
	limitFactor     = 1.5
	limitExtraCalls = 5
	// limitGrace is the time after the upstream first announces a limit in which the limit is
	// not checked. limitNoticeTime is the time until an entry that has forwarded a response
	// with the limit must apply it.
	limitGrace      = 3 * sequoiasill.Second
	limitNoticeTime = 500 * sequoiasill.Millis(1)
)

// limitChecker checks whether upstreams receive more calls from all entries together than the
// rate limits that they announce. All times must come from one clock. It is not safe for
// concurrent use.
type limitChecker struct {
	upstreams      map[string]*limitedUpstream
	lastDisruption map[int]sequoiasill.Millis // by entry
	maxUse         float64                    // largest fraction of the allowed calls that arrived in one window
	checkedCalls   int                        // calls that arrived while a limit applied
	violations     []string
}

// limitedUpstream is the state of an upstream.
type limitedUpstream struct {
	since     sequoiasill.Millis         // time at which it first announced a limit; 0 while it announces none
	rates     []rateChange               // in order of time
	noticedAt map[int]sequoiasill.Millis // by entry, time at which it first forwarded the limit
	arrivals  []arrival
	exceeded  bool // the previous checked call exceeded the limit
}

// rateChange is a limit in calls per second that applies from a time on.
type rateChange struct {
	at   sequoiasill.Millis
	rate float64
}

// maxRate returns the largest limit that applied in the window before a time or less than
// limitNoticeTime before that window.
func (u *limitedUpstream) maxRate(at sequoiasill.Millis) float64 {
	highest := 0.0
	for i, change := range u.rates {
		if i+1 == len(u.rates) || u.rates[i+1].at > at-limitWindow-limitNoticeTime {
			highest = max(highest, change.rate)
		}
	}
	return highest
}

// arrival is the arrival of a call from an entry.
type arrival struct {
	at    sequoiasill.Millis
	entry int
}

func newLimitChecker() *limitChecker {
	return &limitChecker{upstreams: make(map[string]*limitedUpstream), lastDisruption: make(map[int]sequoiasill.Millis)}
}

func (l *limitChecker) upstream(name string) *limitedUpstream {
	u := l.upstreams[name]
	if u == nil {
		u = &limitedUpstream{noticedAt: make(map[int]sequoiasill.Millis)}
		l.upstreams[name] = u
	}
	return u
}

// recordLimit records that an upstream announces a limit in calls per second from now on.
func (l *limitChecker) recordLimit(at sequoiasill.Millis, upstream string, rate float64) {
	u := l.upstream(upstream)
	if u.since == 0 {
		u.since = at
	}
	u.rates = append(u.rates, rateChange{at, rate})
}

// recordLimitRemoved records that an upstream no longer announces a limit.
func (l *limitChecker) recordLimitRemoved(upstream string) {
	u := l.upstream(upstream)
	u.since, u.rates = 0, nil
	clear(u.noticedAt)
}

// recordLimitResponse records that an entry forwarded a response in which an upstream announces
// its limit.
func (l *limitChecker) recordLimitResponse(at sequoiasill.Millis, ln link) {
	u := l.upstream(ln.upstream)
	if _, recorded := u.noticedAt[ln.entry]; !recorded && u.since > 0 {
		u.noticedAt[ln.entry] = at
	}
}

// recordDisruption records that an entry is started, stopped, paused or resumed. It has to
// receive the limits again, and calls that it sent before do not count.
func (l *limitChecker) recordDisruption(at sequoiasill.Millis, entry int) {
	l.lastDisruption[entry] = at
	for _, u := range l.upstreams {
		delete(u.noticedAt, entry)
	}
}

// recordArrival records that a call, which a caller sent at time sent, arrives at an upstream.
// Calls sent before the entry received the limit cannot be recalled: they are no violation
// themselves but count in the windows of later calls.
func (l *limitChecker) recordArrival(at, sent sequoiasill.Millis, ln link) {
	u := l.upstream(ln.upstream)
	first := 0
	for first < len(u.arrivals) && u.arrivals[first].at <= at-limitWindow {
		first++
	}
	u.arrivals = append(u.arrivals[first:], arrival{at, ln.entry})
	noticed, ok := u.noticedAt[ln.entry]
	if u.since == 0 || at < u.since+limitGrace || !ok || at < noticed+limitNoticeTime || sent < noticed {
		return
	}
	n := 0
	for _, a := range u.arrivals {
		if noticed, ok := u.noticedAt[a.entry]; ok && noticed+limitNoticeTime <= at && a.at > l.lastDisruption[a.entry] {
			n++
		}
	}
	l.checkedCalls++
	rate := u.maxRate(at)
	allowed := limitFactor*limitWindow.Duration().Seconds()*rate + limitExtraCalls
	l.maxUse = max(l.maxUse, float64(n)/allowed)
	exceeded := float64(n) > allowed
	if exceeded && !u.exceeded {
		l.violations = append(l.violations, fmt.Sprintf("%d calls came to %s within %s from entries that had passed on its limit of %.2f a second, %.1f are allowed",
			n, ln.upstream, limitWindow, rate, allowed))
	}
	u.exceeded = exceeded
}
