// Package rationer implements the retry budget that all entries share. A repeat is a retry
// of a call that an upstream may already have received; it counts against the retry
// budget, and other retries do not. In every window of time, the repeats of all entries
// together are at most a fraction of each service's calls plus a constant slack. Each
// entry spends its own part of the bound. These parts add up to the bound even if the
// entries' views differ slightly, so a repeat needs no coordination.
//
// A repeat counts when it arrives at an upstream. A stalled upstream receives
// everything that was sent to it at once when it resumes. So a repeat occupies the
// budget until every send of its call is known to have arrived, or known never to
// arrive.
//
// A Rationer is a state machine without I/O. It handles many upstreams that fail or
// stall at once, after which every call would otherwise be repeated.
package rationer

import "sequoiasill.dev/sequoiasill"

// Limits is the bound on the repeats in a window.
type Limits struct {
	Ratio  float64 // repeats per call
	Slack  float64 // repeats beyond these, per window
	Window sequoiasill.Millis
}

// Fractions of the bound that are used. The rest is a margin for differing views of the
// entries, for calls that are cut off by the edge of a window, and for repeats of a
// terminated process that may still arrive alongside those of its successor.
const (
	// callFraction is the fraction of the ratio that each call adds to the budget.
	// capacityFraction is the fraction of the ratio by which each call of the last window
	// raises the capacity of the budget.
	callFraction     = 0.6
	capacityFraction = 0.15
	// slackFraction is the fraction of the slack that is used. burstFraction is the part
	// of that which may be saved up; the rest is added evenly over a window.
	slackFraction = 0.6
	burstFraction = 0.5
)

// lateWindows is the number of windows within which an abandoned send may still arrive.
// Faults of the platform last seconds, so later arrivals are rare and few.
const lateWindows = 2

// Rationer holds an entry's budgets. It is not safe for concurrent use.
type Rationer struct {
	limits  Limits
	entries int
	budgets map[string]*budget // by service
	// abandoned holds the sends by upstream, the latest last, that were given up and may
	// still arrive.
	abandoned map[string][]*Send
	sweptAt   sequoiasill.Millis
}

// budget is the number of repeats that an entry may send for a service. The available
// and the outstanding repeats together are kept within its capacity.
type budget struct {
	available   float64
	outstanding int // repeats of calls with a send that may still arrive
	updatedAt   sequoiasill.Millis
	calls       counter
}

// Call is a call of a service with the state of its sends.
type Call struct {
	budget       *budget
	pendingSends int // sends that may still arrive
	outstanding  int // outstanding repeats, including unsent ones
	unsent       int // outstanding repeats that are not sent yet
}

// Send is a send of a call to an upstream.
type Send struct {
	call     *Call
	upstream string
	at       sequoiasill.Millis
	repeats  int // unsent repeats of the call that it used
}

// SendResult is the result of a send.
type SendResult int

// The results of a send.
const (
	Answered  SendResult = iota // the upstream responded
	Closed                      // the upstream closed the connection
	Abandoned                   // its response is no longer awaited; it may still arrive at the upstream
	NotSent                     // no byte was sent, so that its repeat is left to the call
)

// New returns a Rationer for one of the given number of entries.
func New(limits Limits, entries int) *Rationer {
	return &Rationer{
		limits: limits, entries: max(entries, 1),
		budgets: make(map[string]*budget), abandoned: make(map[string][]*Send),
	}
}

// SetLimits replaces the bound.
func (r *Rationer) SetLimits(l Limits) { r.limits = l }

// SetEntries sets the number of entries that share the bound.
func (r *Rationer) SetEntries(n int) { r.entries = max(n, 1) }

// slackShare returns this entry's part of the slack.
func (r *Rationer) slackShare() float64 { return r.limits.Slack * slackFraction / float64(r.entries) }

// refill adds the slack that has accrued up to now, and a deposit, to a service's
// budget. A new budget starts empty, because the process may have restarted within a
// window.
func (r *Rationer) refill(now sequoiasill.Millis, b *budget, deposit float64) {
	fraction := float64(now-b.updatedAt) / float64(max(r.limits.Window, 1))
	b.updatedAt = now
	b.available += fraction*r.slackShare()*(1-burstFraction) + deposit
	b.available = max(min(b.available, r.capacity(now, b)-float64(b.outstanding)), 0)
}

// capacity returns how many repeats a budget may hold, available and outstanding ones
// together.
func (r *Rationer) capacity(now sequoiasill.Millis, b *budget) float64 {
	calls := float64(b.calls.last(now, r.limits.Window))
	return max(r.slackShare()*burstFraction+r.limits.Ratio*capacityFraction*calls, 1)
}

func (r *Rationer) budget(now sequoiasill.Millis, service string) *budget {
	b, ok := r.budgets[service]
	if !ok {
		b = &budget{updatedAt: now}
		r.budgets[service] = b
	}
	return b
}

// Call counts a call of a service, which adds to the service's budget.
func (r *Rationer) Call(now sequoiasill.Millis, service string) *Call {
	r.sweep(now)
	b := r.budget(now, service)
	b.calls.add(now, r.limits.Window)
	r.refill(now, b, r.limits.Ratio*callFraction)
	return &Call{budget: b}
}

// RelayedCall returns a call of a service that another entry has counted and relayed to this one. It
// draws on this entry's budget and adds nothing to it.
func (r *Rationer) RelayedCall(now sequoiasill.Millis, service string) *Call {
	r.sweep(now)
	return &Call{budget: r.budget(now, service)}
}

// State is the state of a budget that decides on a repeat.
type State struct {
	Available   float64 // available repeats
	Outstanding int     // repeats that may still arrive at an upstream
	Entries     int     // entries that share the bound
}

// State returns the state of the budget of a call's service.
func (r *Rationer) State(now sequoiasill.Millis, c *Call) State {
	r.refill(now, c.budget, 0)
	return State{Available: c.budget.available, Outstanding: c.budget.outstanding, Entries: r.entries}
}

// Outstanding returns the number of repeats of all services that may still arrive at an
// upstream.
func (r *Rationer) Outstanding() int {
	n := 0
	for _, b := range r.budgets {
		n += b.outstanding
	}
	return n
}

// TakeRepeat takes a repeat from the budget of a call's service. It returns false if none
// is available. Sent or ReturnUnsent must follow.
func (r *Rationer) TakeRepeat(now sequoiasill.Millis, c *Call) bool {
	b := c.budget
	r.refill(now, b, 0)
	if b.available < 1 {
		return false
	}
	b.available--
	b.outstanding++
	c.outstanding++
	c.unsent++
	return true
}

// HasUnsentRepeat reports whether the call has a repeat that was taken and not sent yet.
func (c *Call) HasUnsentRepeat() bool { return c.unsent > 0 }

// ReturnUnsent returns the unsent repeats of a call to the budget.
func (r *Rationer) ReturnUnsent(c *Call) {
	c.budget.available += float64(c.unsent)
	c.budget.outstanding -= c.unsent
	c.outstanding -= c.unsent
	c.unsent = 0
}

// Sent records that a call is sent to an upstream. SendEnded must be called for the send.
func (r *Rationer) Sent(now sequoiasill.Millis, c *Call, upstream string) *Send {
	s := &Send{call: c, upstream: upstream, at: now, repeats: c.unsent}
	c.pendingSends++
	c.unsent = 0
	return s
}

// SendEnded records the result of a send. A response proves that everything sent to the
// upstream before has arrived too.
func (r *Rationer) SendEnded(s *Send, e SendResult) {
	if e == Abandoned {
		r.abandoned[s.upstream] = append(r.abandoned[s.upstream], s)
		return
	}
	if e == NotSent {
		s.call.unsent += s.repeats
	}
	s.settle()
	if e == Answered {
		r.settleAbandoned(s.upstream, func(earlier *Send) bool { return earlier.at < s.at })
	}
}

// settle counts down a send that has arrived or never will. With the last one of a
// call, the call's sent repeats are no longer outstanding.
func (s *Send) settle() {
	c := s.call
	c.pendingSends--
	if c.pendingSends == 0 {
		c.budget.outstanding -= c.outstanding - c.unsent
		c.outstanding = c.unsent
	}
}

// settleAbandoned settles the abandoned sends to an upstream for which f returns true.
func (r *Rationer) settleAbandoned(upstream string, f func(*Send) bool) {
	kept := r.abandoned[upstream][:0]
	for _, s := range r.abandoned[upstream] {
		if f(s) {
			s.settle()
			continue
		}
		kept = append(kept, s)
	}
	clear(r.abandoned[upstream][len(kept):])
	r.abandoned[upstream] = kept
	if len(kept) == 0 {
		delete(r.abandoned, upstream)
	}
}

// sweepInterval is the interval between searches for expired sends.
const sweepInterval = sequoiasill.Second

// sweep settles the abandoned sends that are too old to arrive.
func (r *Rationer) sweep(now sequoiasill.Millis) {
	if now-r.sweptAt < sweepInterval {
		return
	}
	r.sweptAt = now
	for upstream := range r.abandoned {
		r.settleAbandoned(upstream, func(s *Send) bool { return now-s.at > lateWindows*r.limits.Window })
	}
}
