// Package rationer keeps the repeated sends of all entries together under a
// bound: a part of each service's calls and a slack beyond, in every window of
// time. Each entry spends its own ration, which sums with those of the others to
// the bound however their views of each other differ by a little, so no word
// between them is needed for a repeat.
//
// What counts is when a call comes to an upstream. One that stands still takes what
// was sent to it when it goes on, all at once. So a repeat fills its place in the
// ration until it is known of each send of its call that it came or never will.
//
// A Rationer is a state machine without I/O. It answers the load in which many
// upstreams fail or stand still at once and every call would be sent again.
package rationer

import "sequoiasill.dev/sequoiasill"

// Limits are the bound on repeats in a window.
type Limits struct {
	Ratio  float64 // repeats for each call
	Slack  float64 // and beyond
	Window sequoiasill.Millis
}

// Parts of the bound that are spent; the rest is kept for views that differ, for calls
// that a window's edge cuts off, and for repeats of a process that has ended and may
// still come beside those of the next.
const (
	// callPart is the part of the ratio that each call adds to the ration, and heldPart
	// that by which the calls of the last window raise what the ration may hold.
	callPart = 0.6
	heldPart = 0.15
	// slackPart is the part of the slack that is spent, and standingPart the part of
	// that which may be saved up; the rest comes evenly over a window.
	slackPart    = 0.6
	standingPart = 0.5
)

// lateWindows is how many windows an abandoned send may still come in: faults of the
// platform last seconds, and what comes later than this is rare and little.
const lateWindows = 2

// Rationer holds an entry's rations. It is not safe for concurrent use.
type Rationer struct {
	limits  Limits
	entries int
	rations map[string]*ration // by service
	// abandoned are the sends of which nothing is known since, by upstream, the latest last.
	abandoned map[string][]*Send
	swept     sequoiasill.Millis
}

// ration is what an entry may spend on a service. What is left and what is open
// together stay within what it may hold.
type ration struct {
	left    float64
	open    int // repeats of calls of which a send may still come
	updated sequoiasill.Millis
	calls   counter
}

// Call is a call of a service with its sends.
type Call struct {
	ration  *ration
	pending int // sends that may still come
	repeats int // open ones, those that are not sent yet too
	unsent  int // of these
}

// Send is a send of a call to an upstream.
type Send struct {
	call     *Call
	upstream string
	at       sequoiasill.Millis
}

// End is how a send ended.
type End int

// The ends of a send.
const (
	Answered  End = iota // the upstream answered it
	Closed               // it was not sent, or the upstream closed the connection
	Abandoned            // its answer is not awaited; it may still come to the upstream
)

// New returns a rationer for one of a number of entries.
func New(limits Limits, entries int) *Rationer {
	return &Rationer{
		limits: limits, entries: max(entries, 1),
		rations: make(map[string]*ration), abandoned: make(map[string][]*Send),
	}
}

// SetLimits replaces the bound.
func (r *Rationer) SetLimits(l Limits) { r.limits = l }

// SetEntries tells the number of entries that share the bound.
func (r *Rationer) SetEntries(n int) { r.entries = max(n, 1) }

// share returns this entry's part of the slack.
func (r *Rationer) share() float64 { return r.limits.Slack * slackPart / float64(r.entries) }

// fill brings a service's ration up to now and adds to it. One that begins is empty, as
// the process may have ended and started again within a window.
func (r *Rationer) fill(now sequoiasill.Millis, q *ration, more float64) {
	part := float64(now-q.updated) / float64(max(r.limits.Window, 1))
	q.updated = now
	q.left += part*r.share()*(1-standingPart) + more
	q.left = max(min(q.left, r.holds(now, q)-float64(q.open)), 0)
}

// holds returns how many repeats a ration may hold, left and open ones together.
func (r *Rationer) holds(now sequoiasill.Millis, q *ration) float64 {
	calls := float64(q.calls.last(now, r.limits.Window))
	return max(r.share()*standingPart+r.limits.Ratio*heldPart*calls, 1)
}

// Call counts a call of a service, which adds to its ration.
func (r *Rationer) Call(now sequoiasill.Millis, service string) *Call {
	r.sweep(now)
	q, ok := r.rations[service]
	if !ok {
		q = &ration{updated: now}
		r.rations[service] = q
	}
	q.calls.add(now, r.limits.Window)
	r.fill(now, q, r.limits.Ratio*callPart)
	return &Call{ration: q}
}

// State is what decides on a repeat.
type State struct {
	Left    float64 // repeats that the ration holds
	Open    int     // repeats that may still come to an upstream
	Entries int     // that share the bound
}

// State returns the state of a call's ration.
func (r *Rationer) State(now sequoiasill.Millis, c *Call) State {
	r.fill(now, c.ration, 0)
	return State{Left: c.ration.left, Open: c.ration.open, Entries: r.entries}
}

// Open returns the repeats of all services that may still come to an upstream.
func (r *Rationer) Open() int {
	n := 0
	for _, q := range r.rations {
		n += q.open
	}
	return n
}

// Repeat takes a repeat from the ration of a call's service. It returns false if none
// is left. Sent or Return must follow.
func (r *Rationer) Repeat(now sequoiasill.Millis, c *Call) bool {
	q := c.ration
	r.fill(now, q, 0)
	if q.left < 1 {
		return false
	}
	q.left--
	q.open++
	c.repeats++
	c.unsent++
	return true
}

// Granted reports whether a repeat was taken for the call and not sent yet.
func (c *Call) Granted() bool { return c.unsent > 0 }

// Return gives back what was taken for a call and not sent.
func (r *Rationer) Return(c *Call) {
	c.ration.left += float64(c.unsent)
	c.ration.open -= c.unsent
	c.repeats -= c.unsent
	c.unsent = 0
}

// Sent tells that a call is sent to an upstream. Ended must be called for the send.
func (r *Rationer) Sent(now sequoiasill.Millis, c *Call, upstream string) *Send {
	c.pending++
	c.unsent = 0
	return &Send{call: c, upstream: upstream, at: now}
}

// Ended tells how a send ended. An answer shows that what was sent to the upstream
// before has come to it too.
func (r *Rationer) Ended(s *Send, e End) {
	if e == Abandoned {
		r.abandoned[s.upstream] = append(r.abandoned[s.upstream], s)
		return
	}
	s.settle()
	if e == Answered {
		r.forget(s.upstream, func(earlier *Send) bool { return earlier.at < s.at })
	}
}

// settle counts off a send that has come or never will. With the last one of a call the
// repeats that were sent are no longer open.
func (s *Send) settle() {
	c := s.call
	c.pending--
	if c.pending == 0 {
		c.ration.open -= c.repeats - c.unsent
		c.repeats = c.unsent
	}
}

// forget settles the abandoned sends to an upstream for which f is true.
func (r *Rationer) forget(upstream string, f func(*Send) bool) {
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

// sweepEvery is the interval at which old sends are looked for.
const sweepEvery = sequoiasill.Second

// sweep settles sends of which nothing was known for long.
func (r *Rationer) sweep(now sequoiasill.Millis) {
	if now-r.swept < sweepEvery {
		return
	}
	r.swept = now
	for upstream := range r.abandoned {
		r.forget(upstream, func(s *Send) bool { return now-s.at > lateWindows*r.limits.Window })
	}
}
