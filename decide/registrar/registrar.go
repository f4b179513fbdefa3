// Package registrar tracks the upstreams of all services: which are eligible for new
// calls, how many calls this entry has in flight at each, the last load report of each,
// and recent failure rates. Its sources are the platform's list, gossip from other
// entries and the calls themselves.
//
// A Registrar is a state machine without I/O. It handles upstreams that join, drain,
// crash, or fail part of their calls while their health check still passes.
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
	// OutageGrace is how long an upstream whose store record is missing after a store
	// outage stays in use, so that live upstreams have time to register again.
	OutageGrace sequoiasill.Millis
	// FailureDecay is the time constant of the exponential decay of the failure rate.
	FailureDecay sequoiasill.Millis
	// MinBackoff and MaxBackoff are the minimum and maximum of the backoff after a
	// refused connection. The backoff doubles with each further refusal.
	MinBackoff sequoiasill.Millis
	MaxBackoff sequoiasill.Millis
	// MaxPause caps the pause that an upstream may request. PauseJitter is the maximum
	// fraction by which the pause is lengthened at random, so that entries do not resume
	// all at once.
	MaxPause    sequoiasill.Millis
	PauseJitter float64
	// ReportDecay is the time constant by which the weight of a load report decays with its
	// age.
	ReportDecay sequoiasill.Millis
}

// DefaultOptions returns the options that entries use.
func DefaultOptions() Options {
	return Options{
		OutageGrace: 1900, FailureDecay: 4 * sequoiasill.Second,
		MinBackoff: 300, MaxBackoff: 3 * sequoiasill.Second, MaxPause: 10 * sequoiasill.Minute, PauseJitter: 0.2,
		ReportDecay: 2 * sequoiasill.Second,
	}
}

// Load is the load that an upstream reports with a response.
type Load struct {
	Running int
	Waiting int
	Slots   int
	Pace    float64 // time that work takes at the moment, as a factor, 0 if it is unknown
}

// Outcome is the result of a call to an upstream.
type Outcome int

// The outcomes.
const (
	Succeeded      Outcome = iota
	Refused                // rejected by the upstream before it ran
	Failed                 // an error, an incomplete response or none
	Unreachable            // no connection could be made
	Abandoned              // cancelled by the caller, or not sent; not counted for or against the upstream
	PauseRequested         // an error with a request to pause; not counted for or against the upstream
)

// Registrar holds the state of all upstreams. It is not safe for concurrent use.
type Registrar struct {
	opts         Options
	replicas     map[string]*state
	graceUntil   sequoiasill.Millis     // end of the grace period after a store outage
	removed      []Removal              // removals that Tick has not returned yet
	drainNotices map[string]drainNotice // by upstream name
	rand         *rand.Rand
	entries      int                     // that send calls to the upstreams
	brittle      map[string]*brittleness // by service
	coldRates    map[string]float64      // requests a second that a cold upstream serves, by service
	coldEntries  int                     // among which these are divided
	cold         ColdStats               // without the number of cold upstreams
	coldStarts   []RecordedColdStart     // that ColdStarts has not returned yet
	paces        paces
	evacuated    map[string]bool    // zones to which nothing is sent, nil if evacuations are not followed
	tickedAt     sequoiasill.Millis // time of the last Tick
	holdUntil    sequoiasill.Millis // end of the time without sends after a pause of this process
	// awaitsEvacuations is set while the evacuated zones are not known, so that nothing is sent.
	awaitsEvacuations bool
}

// drainNotice records that an incarnation of an upstream announced its shutdown. It
// outlives changes of the upstream's store record and is superseded by a later
// incarnation.
type drainNotice struct {
	startedAt  sequoiasill.Millis
	receivedAt sequoiasill.Millis
}

// Removal is an upstream whose store record was removed, and the revision of the removal.
type Removal struct {
	Name     string
	Revision uint64
}

type state struct {
	replica          sequoiasill.Replica
	removed          bool
	removeAt         sequoiasill.Millis   // end of the grace period while missing after a store outage, else 0
	removedAt        uint64               // store version of the removal
	restored         *sequoiasill.Replica // its record in a store that came back from a copy, nil if there is none
	drainingSince    sequoiasill.Millis   // when it started draining or was removed
	inFlight         int
	prefill          int
	load             Load
	loadAt           sequoiasill.Millis
	reported         bool
	inFlightAtReport int
	calls            float64 // recent calls, with exponential decay
	failures         float64
	decayedAt        sequoiasill.Millis
	backoff          sequoiasill.Millis
	backoffUntil     sequoiasill.Millis
	pausedUntil      sequoiasill.Millis // end of the pause that it requested
	limit            limit
	slowStartWindow  int     // maximum calls in flight while it resumes after a pause, 0 for no limit
	rounding         float64 // of this entry's share of its slots, from 0 to 1
	cold             coldState
	pace             pace
	rejectedUntil    sequoiasill.Millis // end of the time without calls after a rejection while it is brittle
	callsBeforePause int                // calls in flight that were sent before the pause
}

// New returns a Registrar without upstreams. The seed makes its jitter reproducible.
func New(opts Options, seed uint64) *Registrar {
	return &Registrar{
		opts: opts, entries: 1, coldEntries: sequoiasill.MaxEntries, replicas: make(map[string]*state), brittle: make(map[string]*brittleness), drainNotices: make(map[string]drainNotice), rand: rand.New(rand.NewPCG(seed, 0)),
	}
}

// Announce records an upstream's registration. It returns false if a registration of
// the same or a later revision is already known.
func (r *Registrar) Announce(now sequoiasill.Millis, n sequoiasill.Replica) bool {
	s, known := r.replicas[n.Name]
	if known && (s.replica.Revision >= n.Revision || s.isRestoredRecord(n)) {
		if s.replica.Revision == n.Revision {
			// A build that does not know cold upstreams may have passed the record on without the time.
			r.recordColdTime(now, s, n)
		}
		return false
	}
	if !known || n.StartedAt > s.replica.StartedAt || s.removed || n.Address != s.replica.Address {
		// A new incarnation starts with fresh state, except that calls of this entry to the
		// previous one are still in flight and must be counted down.
		next := &state{replica: n, decayedAt: now, rounding: r.rand.Float64()}
		if known {
			next.inFlight, next.prefill = s.inFlight, s.prefill
		}
		if known && n.StartedAt == s.replica.StartedAt {
			next.limit, next.cold, next.pace = s.limit, s.cold, s.pace
		}
		s = next
		r.replicas[n.Name] = s
	}
	if n.Draining {
		r.recordDrain(now, n.Name, n.StartedAt)
	}
	s.replica = n
	r.applyEarlyPace(s)
	s.removeAt = 0
	s.setDraining(now, r.isDraining(n))
	r.recordColdTime(now, s, n)
	return true
}

// isRestoredRecord reports whether a record of a removed upstream merely came back with a copy of the
// store. Its incarnation stays removed until it is seen to write again.
func (s *state) isRestoredRecord(n sequoiasill.Replica) bool {
	sameIncarnation := n.StartedAt == s.replica.StartedAt || s.replica.StartedAt == unknownStart
	if !s.removed || !sameIncarnation || sequoiasill.StoreEra(n.Revision) == sequoiasill.StoreEra(s.removedAt) {
		return false
	}
	first := s.restored
	if first == nil || sequoiasill.StoreEra(first.Revision) != sequoiasill.StoreEra(n.Revision) {
		s.restored = &n
		return true
	}
	if n.Sequence == 0 && first.Sequence == 0 {
		return n.Revision <= first.Revision
	}
	return n.Sequence <= first.Sequence
}

// unknownStart is the start time of an upstream of which only the removal is known.
const unknownStart = -1 * sequoiasill.Millis(1)

// MarkDraining marks an incarnation of an upstream as draining after it announced its shutdown
// in a response to this or another entry. It returns false if that was already known.
func (r *Registrar) MarkDraining(now sequoiasill.Millis, name string, startedAt sequoiasill.Millis) bool {
	notice, known := r.drainNotices[name]
	r.recordDrain(now, name, startedAt)
	if s, known := r.replicas[name]; known {
		s.setDraining(now, r.isDraining(s.replica))
	}
	return !known || notice.startedAt < startedAt
}

func (r *Registrar) recordDrain(now sequoiasill.Millis, name string, startedAt sequoiasill.Millis) {
	r.drainNotices[name] = drainNotice{startedAt: max(startedAt, r.drainNotices[name].startedAt), receivedAt: now}
}

// isDraining reports whether an incarnation of an upstream announced its shutdown.
func (r *Registrar) isDraining(n sequoiasill.Replica) bool {
	notice, known := r.drainNotices[n.Name]
	return known && n.StartedAt <= notice.startedAt
}

// IsLeaving reports whether an incarnation of an upstream is known to be shutting down, so that its end is no crash.
func (r *Registrar) IsLeaving(n sequoiasill.Replica) bool {
	s, known := r.replicas[n.Name]
	return r.isDraining(n) || n.Draining || known && s.replica.StartedAt == n.StartedAt && s.replica.Draining
}

func (s *state) setDraining(now sequoiasill.Millis, draining bool) {
	s.replica.Draining = draining
	if draining && s.drainingSince == 0 {
		s.drainingSince = now
	}
}

// Pause pauses an upstream for a time that it requested, capped and with jitter. It
// returns the end of the pause.
func (r *Registrar) Pause(now sequoiasill.Millis, name string, duration sequoiasill.Millis) sequoiasill.Millis {
	s, ok := r.replicas[name]
	if !ok {
		return now
	}
	duration = min(max(duration, 0), r.opts.MaxPause)
	duration += sequoiasill.Millis(r.opts.PauseJitter * r.rand.Float64() * float64(duration))
	s.pausedUntil = max(s.pausedUntil, now+duration)
	s.slowStartWindow, s.callsBeforePause = 1, s.inFlight
	return s.pausedUntil
}

// MaySend reports whether a call that was assigned to an incarnation of an upstream may
// still be sent to it, and counts the call towards this entry's share of the rate of a cold upstream.
// An upstream with a rate limit requires a permit.
func (r *Registrar) MaySend(now sequoiasill.Millis, n sequoiasill.Replica, permitted bool) bool {
	s, ok := r.replicas[n.Name]
	return ok && s.replica.StartedAt == n.StartedAt && !s.removed && !s.replica.Draining && s.pausedUntil <= now && (permitted || !s.limit.active) && r.maySendTo(now, s) && r.takeColdShare(now, s)
}

// NextAvailable returns the time until the first upstream of a service accepts calls again.
// It returns false if one accepts calls now, or if none is expected to.
func (r *Registrar) NextAvailable(now sequoiasill.Millis, service string) (sequoiasill.Millis, bool) {
	first, found := sequoiasill.Millis(0), false
	for _, s := range r.replicas {
		if s.replica.Service != service || s.removed || s.replica.Draining || r.isEvacuated(s) {
			continue
		}
		wait := max(s.pausedUntil, s.backoffUntil, s.limit.deniedUntil, s.rejectedUntil, now+r.coldWait(now, s), now+r.holdWait(now)) - now
		if wait <= 0 {
			return 0, false
		}
		if !found || wait < first {
			first, found = wait, true
		}
	}
	return first, found
}

// Remove marks an upstream as removed after its store record was deleted. Shortly after
// a store outage the record may merely have expired, so the upstream stays in use for
// the grace period. Remove returns false if the upstream is unknown, if its removal is
// already known, or if its record is newer than the removal. The removal of an unknown upstream
// is remembered, as its record may come back with a copy of the store.
func (r *Registrar) Remove(now sequoiasill.Millis, name string, revision uint64) bool {
	s, known := r.replicas[name]
	if !known {
		r.replicas[name] = &state{
			replica: sequoiasill.Replica{Name: name, Revision: revision, StartedAt: unknownStart}, removed: true, removedAt: revision, drainingSince: now, decayedAt: now,
		}
		return false
	}
	if s.removed || s.removeAt > 0 || revision > 0 && s.replica.Revision > revision {
		return false
	}
	s.removedAt = revision
	if now < r.graceUntil && !s.replica.Draining {
		s.removeAt = r.graceUntil
		return true
	}
	r.markRemoved(now, s)
	return true
}

func (r *Registrar) markRemoved(now sequoiasill.Millis, s *state) {
	s.removed = true
	r.removed = append(r.removed, Removal{Name: s.replica.Name, Revision: s.removedAt})
	if s.drainingSince == 0 {
		s.drainingSince = now
	}
}

// Reconcile reconciles the upstreams with the full list at a store revision. Upstreams that
// are not on it are removed unless their records are newer. It returns the names of the
// removed ones.
func (r *Registrar) Reconcile(now sequoiasill.Millis, listed []sequoiasill.Replica, revision uint64) (removed []string) {
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

// StoreRecovered starts the grace period after a store outage.
func (r *Registrar) StoreRecovered(now sequoiasill.Millis) { r.graceUntil = now + r.opts.OutageGrace }

// removedRetention is how long a removed upstream stays on record, so that late
// messages about it are recognised as stale.
const removedRetention = 2 * sequoiasill.Minute

// Tick expires state and returns the upstreams that were removed since the last call.
func (r *Registrar) Tick(now sequoiasill.Millis) []Removal {
	r.noteTick(now)
	for name, s := range r.replicas {
		if s.removeAt > 0 && now >= s.removeAt {
			s.removeAt = 0
			r.markRemoved(now, s)
		}
		if s.removed && s.inFlight == 0 && now-s.drainingSince > removedRetention {
			delete(r.replicas, name)
		}
	}
	for name, notice := range r.drainNotices {
		if s, known := r.replicas[name]; now-notice.receivedAt > removedRetention && (!known || s.removed) {
			delete(r.drainNotices, name)
		}
	}
	removed := r.removed
	r.removed = nil
	return removed
}

// CallSent counts a call that is sent to an upstream. Prefill is the number of prompt
// tokens that the upstream has to process.
func (r *Registrar) CallSent(name string, prefill int) {
	if s, ok := r.replicas[name]; ok {
		s.inFlight++
		s.prefill += prefill
		s.cold.reserved = true
	}
}

// FirstEvent subtracts the prompt tokens of a call that produced its first event.
func (r *Registrar) FirstEvent(name string, prefill int) {
	if s, ok := r.replicas[name]; ok {
		s.prefill = max(s.prefill-prefill, 0)
		s.growWindow()
	}
}

// growWindow doubles the slow-start window of an upstream that responds after a pause.
// Once the window reaches the number of slots, it is lifted.
func (s *state) growWindow() {
	if s.slowStartWindow *= 2; s.slowStartWindow >= s.replica.Slots {
		s.slowStartWindow = 0
	}
}

// CallEnded counts down a call and records its outcome. Prefill is the number of prompt
// tokens that FirstEvent has not subtracted.
func (r *Registrar) CallEnded(now sequoiasill.Millis, name string, prefill int, o Outcome) {
	s, ok := r.replicas[name]
	if !ok {
		return
	}
	if o == Abandoned || o == Unreachable {
		// Other outcomes are of calls that were sent, which released their reservation then.
		s.cold.reserved = false
	}
	s.inFlight = max(s.inFlight-1, 0)
	s.callsBeforePause = max(s.callsBeforePause-1, 0)
	s.prefill = max(s.prefill-prefill, 0)
	if o == Abandoned || o == PauseRequested {
		return
	}
	s.decay(now, r.opts.FailureDecay)
	s.calls++
	switch o {
	case Succeeded:
		s.backoff = 0
		s.growWindow()
	case Refused:
		s.failures++
		r.recordRejection(now, s)
	case Failed:
		s.failures++
	case Unreachable:
		s.failures++
		s.backoff = min(max(s.backoff*2, r.opts.MinBackoff), r.opts.MaxBackoff)
		s.backoffUntil = now + s.backoff
	}
}

// CallOverdue counts a call in progress whose response is overdue as a failure, so that other
// calls avoid the upstream before this one ends.
func (r *Registrar) CallOverdue(now sequoiasill.Millis, name string) {
	if s, ok := r.replicas[name]; ok {
		s.decay(now, r.opts.FailureDecay)
		s.calls++
		s.failures++
	}
}

func (s *state) decay(now sequoiasill.Millis, timeConstant sequoiasill.Millis) {
	if elapsed := now - s.decayedAt; elapsed > 0 {
		remaining := math.Exp(-float64(elapsed) / float64(timeConstant))
		s.calls *= remaining
		s.failures *= remaining
		s.decayedAt = now
	}
}

// RecordLoad records a load report that came with a response.
func (r *Registrar) RecordLoad(now sequoiasill.Millis, name string, l Load) {
	if s, ok := r.replicas[name]; ok {
		s.load, s.loadAt, s.inFlightAtReport, s.reported = l, now, s.inFlight, true
	}
}

// Probeable returns the upstreams of a service to which a connection may be opened as a probe.
func (r *Registrar) Probeable(now sequoiasill.Millis, service string) []sequoiasill.Replica {
	var out []sequoiasill.Replica
	for _, s := range r.replicas {
		if s.replica.Service == service && s.probeable(now) && r.maySendTo(now, s) && r.hasColdRoom(now, s) {
			out = append(out, s.replica)
		}
	}
	return out
}

// AnyUnreachable reports whether an upstream of a service is avoided because no connection could be
// made.
func (r *Registrar) AnyUnreachable(now sequoiasill.Millis, service string) bool {
	for _, s := range r.replicas {
		if s.replica.Service == service && !s.removed && !s.replica.Draining && s.backoffUntil > now {
			return true
		}
	}
	return false
}

// ForgetUnreachable ends the backoffs of a service's upstreams and forgets their failures.
func (r *Registrar) ForgetUnreachable(service string) {
	for _, s := range r.replicas {
		if s.replica.Service == service && s.backoff > 0 {
			s.backoff, s.backoffUntil, s.calls, s.failures = 0, 0, 0, 0
		}
	}
}

// Listed returns all upstreams that are not removed, sorted by name.
func (r *Registrar) Listed() []sequoiasill.Replica {
	var out []sequoiasill.Replica
	for _, s := range r.replicas {
		if !s.removed {
			out = append(out, s.replica)
		}
	}
	slices.SortFunc(out, func(a, b sequoiasill.Replica) int { return strings.Compare(a.Name, b.Name) })
	return out
}
