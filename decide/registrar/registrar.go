// Package registrar knows the upstreams of all services: which may get new calls,
// what this entry has sent to each, what each last said of its load, and how its
// answers went. It learns from the platform's list, from other entries and from
// the calls themselves.
//
// A Registrar is a state machine without I/O. It answers the load in which
// upstreams come, leave, crash or fail part of their calls while their status
// check stays good.
package registrar

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"sequoiasill.dev/sequoiasill"
)

// Options configure a Registrar.
type Options struct {
	// SettleSpan is how long an entry that is missing after an outage of the store
	// is still used: upstreams that live are listed again by then.
	SettleSpan sequoiasill.Millis
	// FailureSpan is the time in which the memory of failures falls to 1/e.
	FailureSpan sequoiasill.Millis
	// FirstPause and LongestPause bound the time for which an upstream that refuses
	// connections gets no call; it doubles from one refusal to the next.
	FirstPause   sequoiasill.Millis
	LongestPause sequoiasill.Millis
	// LongestRest bounds the pause that an upstream may ask for, and RestSpread is the
	// part by which it is drawn longer, so that entries do not come back all at once.
	LongestRest sequoiasill.Millis
	RestSpread  float64
	// ReportSpan is the age at which a load report has lost all but 1/e of its
	// weight against what this entry itself has sent.
	ReportSpan sequoiasill.Millis
}

// DefaultOptions returns the options that entries use.
func DefaultOptions() Options {
	return Options{
		SettleSpan: 1900, FailureSpan: 4 * sequoiasill.Second,
		FirstPause: 300, LongestPause: 3 * sequoiasill.Second, LongestRest: 10 * sequoiasill.Minute, RestSpread: 0.2,
		ReportSpan: 2 * sequoiasill.Second,
	}
}

// Load is what an upstream said of itself with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Outcome is how a call at an upstream ended.
type Outcome int

// The outcomes.
const (
	Good        Outcome = iota
	Refused             // the upstream said that it did not run the call
	Failed              // an error or a broken answer
	Unreachable         // no connection
	Abandoned           // by the caller, which says nothing of the upstream
	Resting             // the upstream did not run the call and asked for a pause
)

// Candidate is an upstream that may get a call, with what is believed of it.
type Candidate struct {
	Replica  sequoiasill.Replica
	Own      int                // calls of this entry at it
	Prefill  int                // tokens of these whose first event is still to come
	Others   float64            // calls of other entries at it, as far as reports tell
	Waiting  float64            // calls in its queue by the last report, weighed by its age
	Failures float64            // part of its recent calls that failed
	Limited  bool               // it limits its calls: one needs a permit
	Age      sequoiasill.Millis // of the last report, -1 for none
}

// Registrar holds the upstreams. It is not safe for concurrent use.
type Registrar struct {
	opts     Options
	replicas map[string]*state
	settling sequoiasill.Millis // end of the span after an outage of the store
	gone     []Gone             // not told yet
	leavings map[string]leaving // by upstream
	rand     *rand.Rand
}

// leaving is the start of an upstream that said that it leaves. It holds whatever is
// known of the upstream's entry, and ends with a later start.
type leaving struct {
	born   sequoiasill.Millis
	toldAt sequoiasill.Millis
}

// Gone is an upstream whose entry was removed at a revision.
type Gone struct {
	Name     string
	Revision uint64
}

type state struct {
	replica   sequoiasill.Replica
	gone      bool
	goneAfter sequoiasill.Millis // missing after an outage; gone at this time, 0 for not missing
	removedAt uint64             // revision of the removal
	leftAt    sequoiasill.Millis // when its leaving became known
	own       int
	prefill   int
	load      Load
	loadAt    sequoiasill.Millis
	reported  bool
	ownThen   int
	calls     float64 // recent, decaying
	failures  float64
	decayedAt sequoiasill.Millis
	pause     sequoiasill.Millis
	pausedTo  sequoiasill.Millis
	restTo    sequoiasill.Millis // end of the pause that it asked for
	limit     limit
	window    int // calls that it may have after a pause, 0 for any number
	earlier   int // calls that were sent before it
}

// New returns a registrar that knows no upstream, with a seeded random source.
func New(opts Options, seed uint64) *Registrar {
	return &Registrar{
		opts: opts, replicas: make(map[string]*state), leavings: make(map[string]leaving), rand: rand.New(rand.NewPCG(seed, 0)),
	}
}

// Announce takes in what an upstream says of itself. It returns false if that is
// not new.
func (r *Registrar) Announce(now sequoiasill.Millis, n sequoiasill.Replica) bool {
	s, known := r.replicas[n.Name]
	if known && s.replica.Revision >= n.Revision {
		return false
	}
	if !known || n.Born > s.replica.Born || s.gone || n.Address != s.replica.Address {
		// A new start holds nothing of what was known of the one before, but calls of
		// this entry may still be counted off.
		next := &state{replica: n, decayedAt: now}
		if known {
			next.own, next.prefill = s.own, s.prefill
		}
		if known && n.Born == s.replica.Born {
			next.limit = s.limit
		}
		s = next
		r.replicas[n.Name] = s
	}
	if n.Draining {
		r.leave(now, n.Name, n.Born)
	}
	s.replica = n
	s.goneAfter = 0
	s.drain(now, r.leaves(n))
	return true
}

// Left takes in that the start of an upstream said in an answer, here or to another
// entry, that it leaves. It returns false if that is not new.
func (r *Registrar) Left(now sequoiasill.Millis, name string, born sequoiasill.Millis) bool {
	l, told := r.leavings[name]
	r.leave(now, name, born)
	if s, known := r.replicas[name]; known {
		s.drain(now, r.leaves(s.replica))
	}
	return !told || l.born < born
}

func (r *Registrar) leave(now sequoiasill.Millis, name string, born sequoiasill.Millis) {
	r.leavings[name] = leaving{born: max(born, r.leavings[name].born), toldAt: now}
}

// leaves reports whether a start of an upstream said that it leaves.
func (r *Registrar) leaves(n sequoiasill.Replica) bool {
	l, told := r.leavings[n.Name]
	return told && n.Born <= l.born
}

func (s *state) drain(now sequoiasill.Millis, draining bool) {
	s.replica.Draining = draining
	if draining && s.leftAt == 0 {
		s.leftAt = now
	}
}

// Rest takes in that an upstream wants no call for a span. It returns the time until
// which it gets none.
func (r *Registrar) Rest(now sequoiasill.Millis, name string, span sequoiasill.Millis) sequoiasill.Millis {
	s, ok := r.replicas[name]
	if !ok {
		return now
	}
	span = min(max(span, 0), r.opts.LongestRest)
	span += sequoiasill.Millis(r.opts.RestSpread * r.rand.Float64() * float64(span))
	s.restTo = max(s.restTo, now+span)
	s.window, s.earlier = 1, s.own
	return s.restTo
}

// MaySend reports whether a call may still be sent to the start of an upstream that it
// was to go to, with a permit or without.
func (r *Registrar) MaySend(now sequoiasill.Millis, n sequoiasill.Replica, permitted bool) bool {
	s, ok := r.replicas[n.Name]
	return ok && s.replica.Born == n.Born && !s.gone && !s.replica.Draining && s.restTo <= now && (permitted || !s.limit.holds)
}

// Expected returns how long it is until an upstream of a service may get a call again,
// or false where one may now or none will as far as is known.
func (r *Registrar) Expected(now sequoiasill.Millis, service string) (sequoiasill.Millis, bool) {
	first, found := sequoiasill.Millis(0), false
	for _, s := range r.replicas {
		if s.replica.Service != service || s.gone || s.replica.Draining {
			continue
		}
		wait := max(s.restTo, s.pausedTo, s.limit.deniedTo) - now
		if wait <= 0 {
			return 0, false
		}
		if !found || wait < first {
			first, found = wait, true
		}
	}
	return first, found
}

// Remove takes in that an upstream's entry was deleted. While the store has just
// come back, the entry may only have lapsed, and the upstream is used on for a
// while.
func (r *Registrar) Remove(now sequoiasill.Millis, name string, revision uint64) bool {
	s, known := r.replicas[name]
	if !known || s.gone || s.goneAfter > 0 || revision > 0 && s.replica.Revision > revision {
		return false
	}
	s.removedAt = revision
	if now < r.settling && !s.replica.Draining {
		s.goneAfter = r.settling
		return true
	}
	r.end(now, s)
	return true
}

func (r *Registrar) end(now sequoiasill.Millis, s *state) {
	s.gone = true
	r.gone = append(r.gone, Gone{Name: s.replica.Name, Revision: s.removedAt})
	if s.leftAt == 0 {
		s.leftAt = now
	}
}

// List takes in the whole list at a revision. Upstreams that are not on it are
// removed unless their entries are newer. It returns the names of those.
func (r *Registrar) List(now sequoiasill.Millis, listed []sequoiasill.Replica, revision uint64) (removed []string) {
	names := make(map[string]bool, len(listed))
	for _, n := range listed {
		names[n.Name] = true
		r.Announce(now, n)
	}
	for name := range r.replicas {
		if !names[name] && r.Remove(now, name, revision) {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return removed
}

// StoreBack tells that the store answers again after an outage.
func (r *Registrar) StoreBack(now sequoiasill.Millis) { r.settling = now + r.opts.SettleSpan }

// forgetSpan is how long an upstream that is gone stays known, so that news of it
// that comes late is recognised.
const forgetSpan = 2 * sequoiasill.Minute

// Tick lets time pass and returns the upstreams that are gone since the last time.
func (r *Registrar) Tick(now sequoiasill.Millis) []Gone {
	for name, s := range r.replicas {
		if s.goneAfter > 0 && now >= s.goneAfter {
			s.goneAfter = 0
			r.end(now, s)
		}
		if s.gone && s.own == 0 && now-s.leftAt > forgetSpan {
			delete(r.replicas, name)
		}
	}
	for name, l := range r.leavings {
		if s, known := r.replicas[name]; now-l.toldAt > forgetSpan && (!known || s.gone) {
			delete(r.leavings, name)
		}
	}
	gone := r.gone
	r.gone = nil
	return gone
}

// Sent counts a call that goes to an upstream. Prefill is the tokens that it has
// to read.
func (r *Registrar) Sent(name string, prefill int) {
	if s, ok := r.replicas[name]; ok {
		s.own++
		s.prefill += prefill
	}
}

// Began counts off the tokens of a call whose first event came.
func (r *Registrar) Began(name string, prefill int) {
	if s, ok := r.replicas[name]; ok {
		s.prefill = max(s.prefill-prefill, 0)
		s.widen()
	}
}

// widen lets an upstream that answers after a pause have twice as many calls, up to all
// its slots, and then any number.
func (s *state) widen() {
	if s.window *= 2; s.window >= s.replica.Slots {
		s.window = 0
	}
}

// Ended counts a call off and takes its outcome in. Prefill is what was not
// counted off by Began.
func (r *Registrar) Ended(now sequoiasill.Millis, name string, prefill int, o Outcome) {
	s, ok := r.replicas[name]
	if !ok {
		return
	}
	s.own = max(s.own-1, 0)
	s.earlier = max(s.earlier-1, 0)
	s.prefill = max(s.prefill-prefill, 0)
	if o == Abandoned || o == Resting {
		return
	}
	s.decay(now, r.opts.FailureSpan)
	s.calls++
	switch o {
	case Good:
		s.pause = 0
		s.widen()
	case Failed, Refused:
		s.failures++
	case Unreachable:
		s.failures++
		s.pause = min(max(s.pause*2, r.opts.FirstPause), r.opts.LongestPause)
		s.pausedTo = now + s.pause
	}
}

// Late takes in that a call in progress has no answer in time. It counts as a failure,
// so that others go elsewhere before the call ends.
func (r *Registrar) Late(now sequoiasill.Millis, name string) {
	if s, ok := r.replicas[name]; ok {
		s.decay(now, r.opts.FailureSpan)
		s.calls++
		s.failures++
	}
}

func (s *state) decay(now sequoiasill.Millis, span sequoiasill.Millis) {
	if passed := now - s.decayedAt; passed > 0 {
		keep := math.Exp(-float64(passed) / float64(span))
		s.calls *= keep
		s.failures *= keep
		s.decayedAt = now
	}
}

// Reported takes in a load report that came with an answer.
func (r *Registrar) Reported(now sequoiasill.Millis, name string, l Load) {
	if s, ok := r.replicas[name]; ok {
		s.load, s.loadAt, s.ownThen, s.reported = l, now, s.own, true
	}
}

// Candidates returns the upstreams of a service that may get a call, by name.
func (r *Registrar) Candidates(now sequoiasill.Millis, service string) []Candidate {
	var out []Candidate
	for _, s := range r.replicas {
		if s.replica.Service == service && s.usable(now) {
			out = append(out, s.candidate(now, r.opts))
		}
	}
	slices.SortFunc(out, func(a, b Candidate) int { return strings.Compare(a.Replica.Name, b.Replica.Name) })
	return out
}

func (s *state) usable(now sequoiasill.Millis) bool {
	return !s.gone && !s.replica.Draining && s.pausedTo <= now && s.restTo <= now && s.limit.deniedTo <= now && (s.window == 0 || s.own-s.earlier < s.window)
}

// callPrior is the calls that a failure rate starts with, so that one failure of
// a few calls does not look like a rate of failures.
const callPrior = 4

func (s *state) candidate(now sequoiasill.Millis, opts Options) Candidate {
	c := Candidate{Age: -1, Replica: s.replica, Own: s.own, Prefill: s.prefill, Limited: s.limit.holds}
	s.decay(now, opts.FailureSpan)
	c.Failures = s.failures / (s.calls + callPrior)
	if s.reported {
		c.Age = now - s.loadAt
		weight := math.Exp(-float64(now-s.loadAt) / float64(opts.ReportSpan))
		c.Others = weight * float64(max(s.load.Running+s.load.Waiting-s.ownThen, 0))
		c.Waiting = weight * float64(s.load.Waiting)
	}
	return c
}

// Listed returns all upstreams that are not gone, by name.
func (r *Registrar) Listed() []sequoiasill.Replica {
	var out []sequoiasill.Replica
	for _, s := range r.replicas {
		if !s.gone {
			out = append(out, s.replica)
		}
	}
	slices.SortFunc(out, func(a, b sequoiasill.Replica) int { return strings.Compare(a.Name, b.Name) })
	return out
}
