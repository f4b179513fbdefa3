// Package throttler implements a distributed rate limiter for upstreams that limit the
// calls of all entries together. Each limit is kept by one entry, its keeper; the other
// entries ask the keeper for a permit before each call. The keeper grants permits from a
// token bucket at the rate of the limit, so that the upstream is fully used however calls
// are distributed over the entries. Arrivals stay within the bound even if calls are
// delayed in transit: a permit is counted until its call is known to have arrived or can
// no longer arrive.
//
// A new keeper, or one that was paused, does not know which calls were sent before. It
// grants no permits until all entries have reported their sent calls, or until those calls
// have left the window. A process that has just started always waits for the latter.
//
// A Throttler is a state machine without I/O. It is designed for overload of one upstream,
// or of all upstreams of a service at once, down to limits of less than one call per
// second shared by hundreds of entries.
package throttler

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"sequoiasill.dev/sequoiasill"
)

// The bound on arrivals at an upstream: in any boundWindow at most boundFactor times its
// limit, plus boundBurst calls.
const (
	boundWindow = 4 * sequoiasill.Second
	boundFactor = 1.5
	boundBurst  = 5
)

// CountWindow is the time for which a call counts after its arrival. It is longer than
// boundWindow, as the upstream may count a call slightly later than the entries do.
const CountWindow = 5 * sequoiasill.Second

// OutstandingTTL is the time for which a call with unknown outcome counts. It covers calls that
// arrive late and then count for CountWindow.
const OutstandingTTL = 10*sequoiasill.Second + CountWindow

const (
	// reservedCalls is the part of the bound that is never granted.
	reservedCalls = 1
	// burstWindow limits the bucket to the unused tokens of this time.
	burstWindow = 500 * sequoiasill.Millis(1)
	// minRate is the lowest rate of grants, in calls per second. It applies even to lower
	// limits, as only the response to a call shows that a limit has been lifted.
	minRate = 0.1
	// pauseThreshold is the time without a tick after which another keeper may have granted
	// permits while this process was paused.
	pauseThreshold = sequoiasill.Second
	// asksPerGrant is the targeted number of requests, over all entries, for each permit.
	// maxWait and minWait bound the delay before an entry asks again.
	asksPerGrant = 4
	maxWait      = 5 * sequoiasill.Second
	minWait      = 100 * sequoiasill.Millis(1)
	// idleTTL is the time after which a limit that is lifted or not asked for is removed.
	// Entries that still know the limit announce it when they ask again.
	idleTTL = 2 * sequoiasill.Minute
)

// Upstream identifies a process of an upstream by its name and start time.
type Upstream struct {
	Name      string
	StartedAt sequoiasill.Millis
}

// SentCalls are the calls that an entry recently sent to an upstream with the grants of one
// keeper, or without a grant.
type SentCalls struct {
	Granter     string               // Decision.Granter, empty for calls without a grant
	Ages        []sequoiasill.Millis // times since the arrivals
	Outstanding int                  // calls that may not have arrived yet
}

// Report lists the calls that a process of an entry sent to an upstream. Of the reports of
// one process, the one with the highest Sequence supersedes the others. A report of another
// process of the entry always does.
type Report struct {
	Entry    string
	Process  string
	Sequence uint64
	Sends    []SentCalls
}

// Call identifies a call for which an entry requests a permit.
type Call struct {
	Process string // process of the entry
	ID      uint64 // unique within the process
}

// Decision is the response to a permit request.
type Decision struct {
	Granted bool
	Granter string             // identifies the keeper's process and the period in which it keeps the limit
	Lifted  bool               // the limit has been lifted
	Wait    sequoiasill.Millis // delay before the next request if no permit was granted
}

// Permit allows an entry to send one call to an upstream.
type Permit struct {
	Upstream Upstream
	Keeper   string // entry that granted the permit
	Granter  string
	Call     Call
}

// Throttler is the state of the limits that this entry keeps. It is not safe for concurrent
// use.
type Throttler struct {
	process    string
	limitCount int // limits created so far
	limits     map[Upstream]*limit
	members    map[string]bool    // live entries
	share      float64            // fraction of each limit that this entry may grant
	grantsFrom sequoiasill.Millis // no grants before; by then, calls sent before the start no longer count
	lastTick   sequoiasill.Millis
	rand       *rand.Rand
}

// New returns the throttler of a process that has just started, with a seeded random
// source.
func New(now sequoiasill.Millis, process string, seed uint64) *Throttler {
	return &Throttler{
		process: process, limits: make(map[Upstream]*limit), members: make(map[string]bool), share: 1, grantsFrom: now + CountWindow, lastTick: now,
		rand: rand.New(rand.NewPCG(seed, 0)),
	}
}

// SetMembers sets the live entries, including this one, and the number of entries that may
// be active. An entry that sees at most half of them may be partitioned from other keepers
// of the same limit, so it grants only a proportional share.
func (t *Throttler) SetMembers(names []string, activeEntries int) {
	clear(t.members)
	for _, name := range names {
		t.members[name] = true
	}
	t.share = 1
	if len(names) > 0 && 2*len(names) <= activeEntries {
		t.share = float64(len(names)) / float64(activeEntries)
	}
}

// Tick removes expired limits and detects pauses of the process. It must be called several
// times per pauseThreshold.
func (t *Throttler) Tick(now sequoiasill.Millis) {
	t.resetAfterPause(now)
	for u, l := range t.limits {
		if now-max(l.liftedAt, l.lastAskedAt, l.announcedAt) > idleTTL {
			delete(t.limits, u)
		}
	}
}

// resetAfterPause resets all limits after a pause of the process, during which another
// entry may have granted permits.
func (t *Throttler) resetAfterPause(now sequoiasill.Millis) {
	paused := now-t.lastTick > pauseThreshold
	t.lastTick = now
	if !paused {
		return
	}
	for _, l := range t.limits {
		l.reset(now)
	}
}

// Drop removes the limit of an upstream after another entry has become its keeper.
func (t *Throttler) Drop(u Upstream) { delete(t.limits, u) }

// KeptLimits returns the upstreams with an active limit that this entry keeps.
func (t *Throttler) KeptLimits() []Upstream {
	var out []Upstream
	for u, l := range t.limits {
		if l.liftedAt == 0 {
			out = append(out, u)
		}
	}
	return out
}

// Rate returns the limit of an upstream in calls per second, or false if no active limit
// is known.
func (t *Throttler) Rate(u Upstream) (float64, bool) {
	l, ok := t.limits[u]
	if !ok || l.liftedAt > 0 {
		return 0, false
	}
	return l.rate, true
}

// HandleAnnouncement processes a limit, in calls per second, that an upstream announced at a
// given time. It returns true if no active limit was known.
func (t *Throttler) HandleAnnouncement(now, at sequoiasill.Millis, u Upstream, rate float64) (added bool) {
	l, ok := t.limits[u]
	if ok && (at <= l.liftedAt || at < l.announcedAt) {
		return false
	}
	if !ok || l.liftedAt > 0 {
		l, added = t.addLimit(now, u), true
	}
	l.rate, l.announcedAt = rate, at
	return added
}

// LearnLimit processes second-hand information about a limit, from an entry that has received
// no response announcing it. It returns true if no limit of that upstream was known, active or
// lifted: second-hand information does not restore a lifted limit.
func (t *Throttler) LearnLimit(now sequoiasill.Millis, u Upstream, rate float64) (added bool) {
	if _, ok := t.limits[u]; ok {
		return false
	}
	l := t.addLimit(now, u)
	l.rate, l.announcedAt = rate, now
	return true
}

func (t *Throttler) addLimit(now sequoiasill.Millis, u Upstream) *limit {
	t.limitCount++
	l := &limit{granter: fmt.Sprintf("%s/%d", t.process, t.limitCount), outstanding: make(map[Call]sequoiasill.Millis)}
	l.reset(now)
	t.limits[u] = l
	return l
}

// Missing returns the entries whose report for an upstream is missing while grants depend
// on it, or whose last report included calls in transit.
func (t *Throttler) Missing(now sequoiasill.Millis, u Upstream) []string {
	l, ok := t.limits[u]
	if !ok || l.liftedAt > 0 {
		return nil
	}
	var out []string
	for name := range t.members {
		r, reported := l.reports[name]
		if !reported && now < l.grantsFrom || reported && r.outstanding > 0 {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// allReported reports whether the reports of all live entries have been received.
func (t *Throttler) allReported(l *limit) bool {
	for name := range t.members {
		if l.reports[name] == nil {
			return false
		}
	}
	return true
}

// MergeReport merges an entry's report of the calls that it sent to an upstream. Calls granted
// by this keeper are ignored, as they are counted already.
func (t *Throttler) MergeReport(now sequoiasill.Millis, u Upstream, r Report) {
	l, ok := t.limits[u]
	if !ok {
		return
	}
	before := l.reports[r.Entry]
	if before != nil && before.process == r.Process && before.sequence >= r.Sequence {
		return
	}
	next := &report{process: r.Process, sequence: r.Sequence, receivedAt: now}
	for _, s := range r.Sends {
		if s.Granter == l.granter {
			continue
		}
		next.outstanding += s.Outstanding
		for _, age := range s.Ages {
			next.arrivals = append(next.arrivals, now-age)
		}
	}
	l.reports[r.Entry] = next
}

// Ask decides on a permit request. A repeated request for a granted call returns the same
// grant.
func (t *Throttler) Ask(now sequoiasill.Millis, u Upstream, entry string, c Call) Decision {
	t.resetAfterPause(now)
	l, ok := t.limits[u]
	if !ok || l.liftedAt > 0 {
		return Decision{Lifted: ok}
	}
	if _, granted := l.outstanding[c]; granted {
		return Decision{Granted: true, Granter: l.granter}
	}
	l.requesters[entry], l.lastAskedAt = now, now
	if now < t.grantsFrom || now < l.grantsFrom && !t.allReported(l) {
		return Decision{Wait: minWait}
	}
	rate := max(l.rate*t.share, minRate)
	l.refill(now, rate)
	if l.tokens < 1 || l.countCalls(now)+1 > l.capacity() {
		return Decision{Wait: t.retryDelay(now, l, rate)}
	}
	l.tokens--
	l.outstanding[c] = now
	return Decision{Granted: true, Granter: l.granter}
}

// retryDelay returns the delay before an entry should ask again. It is short if few entries
// are asking; with many, it limits all of them together to asksPerGrant requests per permit.
func (t *Throttler) retryDelay(now sequoiasill.Millis, l *limit, rate float64) sequoiasill.Millis {
	for entry, at := range l.requesters {
		if now-at > 2*maxWait {
			delete(l.requesters, entry)
		}
	}
	untilToken := (1 - l.tokens) / rate
	fairDelay := float64(len(l.requesters)) / (asksPerGrant * rate) * (0.5 + t.rand.Float64())
	seconds := max(untilToken, fairDelay)
	return min(max(sequoiasill.ClampDuration(seconds, sequoiasill.Second), minWait), maxWait)
}

// Outcome is the outcome of a granted call.
type Outcome int

// Outcomes of granted calls.
const (
	Unsent  Outcome = iota // the call was not sent
	Arrived                // the call has arrived at the upstream, or can no longer arrive
)

// FinishCall processes the outcome of a granted call.
func (t *Throttler) FinishCall(now sequoiasill.Millis, u Upstream, c Call, e Outcome) {
	l, ok := t.limits[u]
	if !ok {
		return
	}
	if _, granted := l.outstanding[c]; !granted {
		return
	}
	delete(l.outstanding, c)
	if e == Unsent {
		l.tokens++
		return
	}
	l.arrivals = append(l.arrivals, now)
}

// HandleResponse processes the limit in the response to a granted call. Limited is false if the
// response announces no limit, which lifts the limit; HandleResponse then returns true. A
// response to a call that was granted before the latest announcement does not lift the limit.
func (t *Throttler) HandleResponse(now sequoiasill.Millis, u Upstream, c Call, rate float64, limited bool) (lifted bool) {
	l, ok := t.limits[u]
	if !ok || l.liftedAt > 0 {
		return false
	}
	grantedAt, known := l.outstanding[c]
	switch {
	case limited:
		l.rate, l.announcedAt = rate, max(l.announcedAt, now)
	case known && grantedAt > l.announcedAt:
		l.liftedAt = now
		return true
	}
	return false
}
