// Package throttler shares out the calls of upstreams that limit how many they take
// from all entries together. One entry keeps the limit of an upstream: the others ask it
// before each call. What it grants follows the limit evenly, so that an upstream gets
// what it takes however unevenly callers come, and what comes to the upstream stays within
// the bound also where sends are held up on their way: a call fills its place until it is
// known to have come or never will.
//
// A keeper that begins, or that stood still, does not know what was sent before. It
// grants nothing until all entries have reported it, or until what they sent no longer
// counts.
//
// A Throttler is a state machine without I/O. It answers the load in which one upstream,
// or all of a service at once, take less than callers ask for, down to less than a call a
// second for hundreds of entries.
package throttler

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"sequoiasill.dev/sequoiasill"
)

// The bound on what comes to an upstream: boundExcess of its limit over boundSpan, and
// boundExtra calls beyond.
const (
	boundSpan   = 4 * sequoiasill.Second
	boundExcess = 1.5
	boundExtra  = 5
)

// CountSpan is how long a call counts after it came. It is longer than boundSpan, as the
// upstream may count a little later than entries learn of it.
const CountSpan = 5 * sequoiasill.Second

const (
	// spareCalls of the bound are never granted.
	spareCalls = 1
	// burstSpan is the time for which what is not asked for is saved up.
	burstSpan = 500 * sequoiasill.Millis(1)
	// leastRate is granted, in calls a second, however low the limit is, as only an answer
	// tells that it is over.
	leastRate = 0.1
	// lateSpan is how long a call counts of which nothing is known: it may come late, and
	// counts from then on.
	lateSpan = 10*sequoiasill.Second + CountSpan
	// standstill is the time without a tick after which the keeper may have stood still
	// while another one granted.
	standstill = sequoiasill.Second
	// asksForEach is how often entries ask for each call that is granted, and longestWait
	// bounds the time after which one asks again.
	asksForEach = 4
	longestWait = 5 * sequoiasill.Second
	shortWait   = 100 * sequoiasill.Millis(1)
	// idleSpan is how long a limit stays known that is over or that nobody asks about.
	// Entries that know it tell it when they ask again.
	idleSpan = 2 * sequoiasill.Minute
)

// Upstream is one start of an upstream.
type Upstream struct {
	Name string
	Born sequoiasill.Millis
}

// Sends are what an entry sent to an upstream lately by the grants of one keeper, or
// without any.
type Sends struct {
	Granter string               // as the keeper's decisions name it, empty for none
	Ages    []sequoiasill.Millis // times since calls came there
	Open    int                  // calls of which it is not known whether they came
}

// Report is what a process of an entry tells of its sends to an upstream. The one with the
// highest number holds.
type Report struct {
	Entry   string
	Process string
	Number  uint64
	Sends   []Sends
}

// Call is a call that an entry asks for.
type Call struct {
	Process string // of the entry
	ID      uint64 // among the calls of that process
}

// Decision is the answer to an entry that asks.
type Decision struct {
	Granted bool
	Granter string             // names the keeper and the time in which it kept the limit
	Free    bool               // the upstream limits its calls no longer
	Wait    sequoiasill.Millis // until the entry should ask again, where nothing was granted
}

// Permit is the leave to send one call to an upstream.
type Permit struct {
	Upstream Upstream
	Keeper   string // entry that gave it
	Granter  string
	Call     Call
}

// Throttler keeps limits. It is not safe for concurrent use.
type Throttler struct {
	process string
	begun   int // limits
	limits  map[Upstream]*limit
	members map[string]bool // entries that live
	part    float64         // of each limit that is granted here
	opens   sequoiasill.Millis
	ticked  sequoiasill.Millis
	rand    *rand.Rand
}

// New returns a throttler of a process that has just started, with a seeded random source.
func New(now sequoiasill.Millis, process string, seed uint64) *Throttler {
	return &Throttler{
		process: process, limits: make(map[Upstream]*limit), members: make(map[string]bool), part: 1, opens: now + CountSpan, ticked: now,
		rand: rand.New(rand.NewPCG(seed, 0)),
	}
}

// SetMembers tells which entries live, this one included, and how many may be at work. An
// entry that sees fewer than half of them grants its part of a limit only, as others that
// it does not see may grant too.
func (t *Throttler) SetMembers(names []string, sharers int) {
	clear(t.members)
	for _, name := range names {
		t.members[name] = true
	}
	t.part = 1
	if len(names) > 0 && 2*len(names) <= sharers {
		t.part = float64(len(names)) / float64(sharers)
	}
}

// Tick lets time pass. It must be called several times a standstill.
func (t *Throttler) Tick(now sequoiasill.Millis) {
	t.awake(now)
	for u, l := range t.limits {
		if now-max(l.liftedAt, l.usedAt, l.namedAt) > idleSpan {
			delete(t.limits, u)
		}
	}
}

// awake begins anew after a standstill, in which another entry may have granted.
func (t *Throttler) awake(now sequoiasill.Millis) {
	stood := now-t.ticked > standstill
	t.ticked = now
	if !stood {
		return
	}
	for _, l := range t.limits {
		l.begin(now)
	}
}

// Drop forgets an upstream whose limit another entry keeps from now on.
func (t *Throttler) Drop(u Upstream) { delete(t.limits, u) }

// Kept returns the upstreams whose limits are kept here and hold.
func (t *Throttler) Kept() []Upstream {
	var out []Upstream
	for u, l := range t.limits {
		if l.liftedAt == 0 {
			out = append(out, u)
		}
	}
	return out
}

// Rate returns the limit of an upstream in calls a second, or false where none is known
// to hold.
func (t *Throttler) Rate(u Upstream) (float64, bool) {
	l, ok := t.limits[u]
	if !ok || l.liftedAt > 0 {
		return 0, false
	}
	return l.rate, true
}

// Named takes in that an upstream named its limit in calls a second at a time. It returns
// true if none was known to hold.
func (t *Throttler) Named(now, at sequoiasill.Millis, u Upstream, rate float64) (begins bool) {
	l, ok := t.limits[u]
	if ok && (at <= l.liftedAt || at < l.namedAt) {
		return false
	}
	if !ok || l.liftedAt > 0 {
		l, begins = t.keep(now, u), true
	}
	l.rate, l.namedAt = rate, at
	return begins
}

// Heard takes in that an entry has news of a limit, but no answer that names it. It
// returns true if nothing was known of that upstream: news does not bring back a limit that
// is over.
func (t *Throttler) Heard(now sequoiasill.Millis, u Upstream, rate float64) (begins bool) {
	if _, ok := t.limits[u]; ok {
		return false
	}
	l := t.keep(now, u)
	l.rate, l.namedAt = rate, now
	return true
}

func (t *Throttler) keep(now sequoiasill.Millis, u Upstream) *limit {
	t.begun++
	l := &limit{granter: fmt.Sprintf("%s/%d", t.process, t.begun), open: make(map[Call]sequoiasill.Millis)}
	l.begin(now)
	t.limits[u] = l
	return l
}

// Missing returns the entries that have still to report what they sent to an upstream, or
// had calls on their way when they did.
func (t *Throttler) Missing(now sequoiasill.Millis, u Upstream) []string {
	l, ok := t.limits[u]
	if !ok || l.liftedAt > 0 {
		return nil
	}
	var out []string
	for name := range t.members {
		r, reported := l.reports[name]
		if !reported && now < l.opens || reported && r.open > 0 {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// complete reports whether all entries that live have reported.
func (t *Throttler) complete(l *limit) bool {
	for name := range t.members {
		if l.reports[name] == nil {
			return false
		}
	}
	return true
}

// Reported takes in what an entry sent to an upstream. What was granted here is known.
func (t *Throttler) Reported(now sequoiasill.Millis, u Upstream, r Report) {
	l, ok := t.limits[u]
	if !ok {
		return
	}
	before := l.reports[r.Entry]
	if before != nil && before.process == r.Process && before.number >= r.Number {
		return
	}
	next := &report{process: r.Process, number: r.Number, at: now}
	for _, s := range r.Sends {
		if s.Granter == l.granter {
			continue
		}
		next.open += s.Open
		for _, age := range s.Ages {
			next.came = append(next.came, now-age)
		}
	}
	l.reports[r.Entry] = next
}

// Ask decides on a call of an entry. Asked twice, it decides once.
func (t *Throttler) Ask(now sequoiasill.Millis, u Upstream, entry string, c Call) Decision {
	t.awake(now)
	l, ok := t.limits[u]
	if !ok || l.liftedAt > 0 {
		return Decision{Free: ok}
	}
	if _, granted := l.open[c]; granted {
		return Decision{Granted: true, Granter: l.granter}
	}
	l.askers[entry], l.usedAt = now, now
	if now < t.opens || now < l.opens && !t.complete(l) {
		return Decision{Wait: shortWait}
	}
	rate := max(l.rate*t.part, leastRate)
	l.fill(now, rate)
	if l.tokens < 1 || l.count(now)+1 > l.room() {
		return Decision{Wait: t.wait(now, l, rate)}
	}
	l.tokens--
	l.open[c] = now
	return Decision{Granted: true, Granter: l.granter}
}

// wait returns when an entry should ask again: soon where few ask, and so that all
// together ask asksForEach times for each call where many do.
func (t *Throttler) wait(now sequoiasill.Millis, l *limit, rate float64) sequoiasill.Millis {
	for entry, at := range l.askers {
		if now-at > 2*longestWait {
			delete(l.askers, entry)
		}
	}
	next := (1 - l.tokens) / rate
	turn := float64(len(l.askers)) / (asksForEach * rate) * (0.5 + t.rand.Float64())
	seconds := max(next, turn)
	return min(max(sequoiasill.Millis(seconds*float64(sequoiasill.Second)), shortWait), longestWait)
}

// End is how a call that was granted ended.
type End int

// The ends.
const (
	Unsent End = iota // it was not sent
	Came              // it has come to the upstream, or never will
)

// Ended takes in the end of a call that was granted.
func (t *Throttler) Ended(now sequoiasill.Millis, u Upstream, c Call, e End) {
	l, ok := t.limits[u]
	if !ok {
		return
	}
	if _, granted := l.open[c]; !granted {
		return
	}
	delete(l.open, c)
	if e == Unsent {
		l.tokens++
		return
	}
	l.came = append(l.came, now)
}

// Answered takes in what the answer to a call that was granted says of the limit, nothing
// where it does not limit calls any longer. It returns true if the limit is over with it. An
// answer to a call that was granted before the limit was last named does not end it.
func (t *Throttler) Answered(now sequoiasill.Millis, u Upstream, c Call, rate float64, limited bool) (lifted bool) {
	l, ok := t.limits[u]
	if !ok || l.liftedAt > 0 {
		return false
	}
	granted, known := l.open[c]
	switch {
	case limited:
		l.rate, l.namedAt = rate, max(l.namedAt, now)
	case known && granted > l.namedAt:
		l.liftedAt = now
		return true
	}
	return false
}
