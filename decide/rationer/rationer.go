// Package rationer keeps the repeated sends of all entries together under a
// bound: a part of each service's calls and a slack beyond, in every window of
// time. Each entry spends its own ration, which sums with those of the others to
// the bound however their views of each other differ by a little, so no word
// between them is needed for a repeat.
//
// A Rationer is a state machine without I/O. It answers the load in which many
// upstreams fail at once and every call would be sent again.
package rationer

import "sequoiasill.dev/sequoiasill"

// Limits are the bound on repeats in a window.
type Limits struct {
	Ratio  float64 // repeats for each call
	Slack  float64 // and beyond
	Window sequoiasill.Millis
}

// Parts of the bound that are spent; the rest is kept for views that differ and
// for calls that a window's edge cuts off.
const (
	ratioPart = 0.75
	slackPart = 0.7
	// standingPart is the part of the slack that may be saved up; the rest comes
	// evenly over a window.
	standingPart = 0.5
)

// Rationer holds an entry's rations. It is not safe for concurrent use.
type Rationer struct {
	limits  Limits
	entries int
	rations map[string]*ration
}

type ration struct {
	left    float64
	updated sequoiasill.Millis
}

// New returns a rationer for one of a number of entries.
func New(limits Limits, entries int) *Rationer {
	return &Rationer{limits: limits, entries: max(entries, 1), rations: make(map[string]*ration)}
}

// SetLimits replaces the bound.
func (r *Rationer) SetLimits(l Limits) { r.limits = l }

// SetEntries tells the number of entries that share the bound.
func (r *Rationer) SetEntries(n int) { r.entries = max(n, 1) }

// share returns this entry's part of the slack.
func (r *Rationer) share() float64 { return r.limits.Slack * slackPart / float64(r.entries) }

// fill brings a service's ration up to now. One that begins is empty, as the
// process may have ended and started again within a window.
func (r *Rationer) fill(now sequoiasill.Millis, service string) *ration {
	q, ok := r.rations[service]
	if !ok {
		q = &ration{updated: now}
		r.rations[service] = q
	}
	part := float64(now-q.updated) / float64(max(r.limits.Window, 1))
	q.updated = now
	q.left += part * r.share() * (1 - standingPart)
	q.left = min(q.left, max(r.share()*standingPart, 1))
	return q
}

// Call counts a call of a service, which adds to its ration.
func (r *Rationer) Call(now sequoiasill.Millis, service string) {
	q := r.fill(now, service)
	q.left = min(q.left+r.limits.Ratio*ratioPart, max(r.share()*standingPart, 1))
}

// State is what decides on a repeat.
type State struct {
	Left    float64 // repeats that the ration holds
	Entries int     // that share the bound
}

// State returns the state of a service's ration.
func (r *Rationer) State(now sequoiasill.Millis, service string) State {
	return State{Left: r.fill(now, service).left, Entries: r.entries}
}

// Repeat takes a repeat from the ration of a service. It returns false if none is
// left.
func (r *Rationer) Repeat(now sequoiasill.Millis, service string) bool {
	q := r.fill(now, service)
	if q.left < 1 {
		return false
	}
	q.left--
	return true
}
