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
	// ReportSpan is the age at which a load report has lost all but 1/e of its
	// weight against what this entry itself has sent.
	ReportSpan sequoiasill.Millis
}

// DefaultOptions returns the options that entries use.
func DefaultOptions() Options {
	return Options{
		SettleSpan: 1900, FailureSpan: 4 * sequoiasill.Second,
		FirstPause: 300, LongestPause: 3 * sequoiasill.Second, ReportSpan: 2 * sequoiasill.Second,
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
)

// Candidate is an upstream that may get a call, with what is believed of it.
type Candidate struct {
	Replica  sequoiasill.Replica
	Own      int                // calls of this entry at it
	Prefill  int                // tokens of these whose first event is still to come
	Others   float64            // calls of other entries at it, as far as reports tell
	Waiting  float64            // calls in its queue by the last report, weighed by its age
	Failures float64            // part of its recent calls that failed
	Age      sequoiasill.Millis // of the last report, -1 for none
}

// Registrar holds the upstreams. It is not safe for concurrent use.
type Registrar struct {
	opts     Options
	replicas map[string]*state
	settling sequoiasill.Millis // end of the span after an outage of the store
	gone     []Gone             // not told yet
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
}

// New returns a registrar that knows no upstream.
func New(opts Options) *Registrar {
	return &Registrar{opts: opts, replicas: make(map[string]*state)}
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
		s = next
		r.replicas[n.Name] = s
	}
	wasDraining := s.replica.Draining && n.Born == s.replica.Born
	s.replica = n
	s.replica.Draining = n.Draining || wasDraining
	s.goneAfter = 0
	if s.replica.Draining && s.leftAt == 0 {
		s.leftAt = now
	}
	return true
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
	s.prefill = max(s.prefill-prefill, 0)
	if o == Abandoned {
		return
	}
	s.decay(now, r.opts.FailureSpan)
	s.calls++
	switch o {
	case Good:
		s.pause = 0
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
	return !s.gone && !s.replica.Draining && s.pausedTo <= now
}

// callPrior is the calls that a failure rate starts with, so that one failure of
// a few calls does not look like a rate of failures.
const callPrior = 4

func (s *state) candidate(now sequoiasill.Millis, opts Options) Candidate {
	c := Candidate{Age: -1, Replica: s.replica, Own: s.own, Prefill: s.prefill}
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
