// Package reserver divides a budget of memory among the connections of callers, and decides which
// connection is closed when it is used up. Bytes are reserved before they are read or copied, and
// released when they are held no more.
//
// A Reserver is a state machine without I/O.
package reserver

import (
	"sequoiasill.dev/sequoiasill"
)

// Options configure a Reserver.
type Options struct {
	// Bytes is the budget.
	Bytes int64
	// SmallBytes is the share up to which a connection counts as small. Ordinary requests stay below it.
	SmallBytes int64
	// LargeBytes is the part of the budget beyond which only small shares grow, so that ordinary requests
	// find memory while calls that cannot be ended hold the rest.
	LargeBytes int64
	// MaxConnections bounds the connections.
	MaxConnections int
	// StallTime is the time within which a connection with a request must make progress: ProgressBytes,
	// or a ProgressDivisor-th of its share if that is more. Otherwise it has stalled.
	StallTime       sequoiasill.Millis
	ProgressBytes   int64
	ProgressDivisor int64
}

const (
	// smallBytes holds the connection, an ordinary header and a body of some kilobytes.
	smallBytes = 64 << 10
	// smallDivisor is the part of the budget that only small shares use.
	smallDivisor = 8
	// stallTime exceeds the pauses of callers on a slow path, and of an entry on a busy machine.
	stallTime = sequoiasill.Second
	// closingDivisor bounds the memory of connections that were closed and have not released it yet, as a part
	// of the budget: until it is released, no further connection is closed for its memory.
	closingDivisor = 2
	// progressBytes is a buffer of the server. progressDivisor makes a caller that holds 4 MB send 2 Mbit/s,
	// a fifth of the slowest link.
	progressBytes   = 4 << 10
	progressDivisor = 16
)

// RetryAfter is the time after which callers repeat a request for which there was no memory. Bodies of other
// callers are read and sent within it.
const RetryAfter = 500 * sequoiasill.Millis(1)

// DefaultOptions returns the options for a budget in bytes.
func DefaultOptions(bytes int64, maxConnections int) Options {
	return Options{
		Bytes: bytes, SmallBytes: smallBytes, LargeBytes: bytes - bytes/smallDivisor, MaxConnections: maxConnections,
		StallTime: stallTime, ProgressBytes: progressBytes, ProgressDivisor: progressDivisor,
	}
}

// ID identifies a connection or a copy of a call.
type ID uint64

// Phase is what a connection holds its share for.
type Phase int

// The phases.
const (
	Idle    Phase = iota // no part of a request was read
	Reading              // a request is being read
	Running              // a call is in progress, which is not ended in favour of another one
)

// Reason is why a connection is closed or refused.
type Reason string

// The reasons.
const (
	Stalled     Reason = "stalled"     // it holds memory without progress
	Largest     Reason = "largest"     // it holds the most memory when a smaller, ordinary request needs some
	Connections Reason = "connections" // all connections are taken
)

// Closing is a connection that is to be closed.
type Closing struct {
	ID          ID
	Reason      Reason
	Share       int64              // in bytes
	SinceLatest sequoiasill.Millis // time since its latest progress
}

type holder struct {
	phase      Phase
	share      int64
	received   int64 // since progressAt
	progressAt sequoiasill.Millis
	connection bool
}

// Reserver holds the shares. It is not safe for concurrent use.
type Reserver struct {
	opts        Options
	holders     map[ID]*holder
	connections int
	held        int64
	closing     map[ID]int64 // shares of connections that were closed and still hold memory
	closingSum  int64
}

// New returns a Reserver without connections.
func New(opts Options) *Reserver {
	return &Reserver{opts: opts, holders: make(map[ID]*holder), closing: make(map[ID]int64)}
}

// Open adds a connection that holds a number of bytes. If there are too many, the one that waits longest
// without a request is closed, or one that has stalled.
func (r *Reserver) Open(now sequoiasill.Millis, id ID, bytes int64) (closings []Closing, ok bool) {
	if r.connections >= r.opts.MaxConnections {
		victim, found := r.longestIdle()
		if !found {
			victim, found = r.largestStalled(now, id)
		}
		if !found {
			return nil, false
		}
		closings = append(closings, r.evict(now, victim, Connections))
	}
	r.holders[id] = &holder{progressAt: now, connection: true}
	r.connections++
	more, ok := r.Reserve(now, id, bytes)
	if !ok {
		r.remove(id)
	}
	return append(closings, more...), ok
}

// Hold adds a copy of a call that no connection of a caller holds. It is never closed.
func (r *Reserver) Hold(now sequoiasill.Millis, id ID, bytes int64) (closings []Closing, ok bool) {
	r.holders[id] = &holder{phase: Running, progressAt: now}
	closings, ok = r.Reserve(now, id, bytes)
	if !ok {
		r.remove(id)
	}
	return closings, ok
}

// Reserve adds bytes to a share and returns the connections to be closed for it. If it returns false,
// nothing was added, and the request must be refused or the connection was closed.
func (r *Reserver) Reserve(now sequoiasill.Millis, id ID, bytes int64) (closings []Closing, ok bool) {
	h, ok := r.holders[id]
	if !ok {
		return nil, false
	}
	limit := r.opts.Bytes
	isSmall := h.share+bytes <= r.opts.SmallBytes
	if !isSmall {
		limit = r.opts.LargeBytes
	}
	for r.held+bytes > limit {
		if r.closingSum > r.opts.Bytes/closingDivisor {
			return closings, false
		}
		victim, found := r.largestStalled(now, id)
		reason := Stalled
		if !found && isSmall {
			victim, found = r.largestAbove(id, h.share+bytes)
			reason = Largest
		}
		if !found {
			// A single request is served even if it exceeds the budget, which its own limits bound.
			if r.onlyLarge(id) {
				break
			}
			return closings, false
		}
		closings = append(closings, r.evict(now, victim, reason))
	}
	h.share += bytes
	r.held += bytes
	return closings, true
}

// Release subtracts bytes from a share.
func (r *Reserver) Release(id ID, bytes int64) {
	h, ok := r.holders[id]
	if !ok {
		return
	}
	bytes = min(bytes, h.share)
	h.share -= bytes
	r.held -= bytes
}

// SetPhase sets the phase of a connection. It returns false if the connection was closed.
func (r *Reserver) SetPhase(now sequoiasill.Millis, id ID, p Phase) bool {
	h, ok := r.holders[id]
	if !ok {
		return false
	}
	if h.phase != p {
		h.phase, h.progressAt, h.received = p, now, 0
	}
	return true
}

// Received records bytes that a connection read.
func (r *Reserver) Received(now sequoiasill.Millis, id ID, bytes int64) {
	h, ok := r.holders[id]
	if !ok {
		return
	}
	h.received += bytes
	if h.received >= max(r.opts.ProgressBytes, h.share/r.opts.ProgressDivisor) {
		h.received, h.progressAt = 0, now
	}
}

// Close removes a connection or a copy with what it holds.
func (r *Reserver) Close(id ID) {
	r.remove(id)
	if bytes, ok := r.closing[id]; ok {
		delete(r.closing, id)
		r.closingSum -= bytes
	}
}

func (r *Reserver) remove(id ID) {
	h, ok := r.holders[id]
	if !ok {
		return
	}
	delete(r.holders, id)
	r.held -= h.share
	if h.connection {
		r.connections--
	}
}

// evict removes a connection that is to be closed. What it holds counts apart until Close.
func (r *Reserver) evict(now sequoiasill.Millis, id ID, reason Reason) Closing {
	h := r.holders[id]
	c := Closing{ID: id, Reason: reason, Share: h.share, SinceLatest: now - h.progressAt}
	r.remove(id)
	r.closing[id] = h.share
	r.closingSum += h.share
	return c
}

// largestStalled returns the connection that has stalled and holds the most, of equals the one that has
// stalled longest.
func (r *Reserver) largestStalled(now sequoiasill.Millis, except ID) (ID, bool) {
	return r.best(except, func(h *holder) bool { return now-h.progressAt >= r.opts.StallTime }, func(a, b *holder) bool {
		return a.share > b.share || a.share == b.share && a.progressAt < b.progressAt
	})
}

// largestAbove returns the connection that holds the most and more than a share, whether or not it makes
// progress.
func (r *Reserver) largestAbove(except ID, share int64) (ID, bool) {
	return r.best(except, func(h *holder) bool { return h.share > share }, func(a, b *holder) bool { return a.share > b.share })
}

// longestIdle returns the connection that waits longest without a request.
func (r *Reserver) longestIdle() (ID, bool) {
	return r.best(0, func(h *holder) bool { return h.phase == Idle }, func(a, b *holder) bool { return a.progressAt < b.progressAt })
}

// best returns the connection without a running call that precedes all others that match. Equal ones are
// ordered by ID, so that decisions can be repeated.
func (r *Reserver) best(except ID, matches func(*holder) bool, precedes func(a, b *holder) bool) (ID, bool) {
	var bestID ID
	var best *holder
	for id, h := range r.holders {
		if id == except || !h.connection || h.phase == Running || !matches(h) {
			continue
		}
		if best == nil || precedes(h, best) || !precedes(best, h) && id < bestID {
			bestID, best = id, h
		}
	}
	return bestID, best != nil
}

// onlyLarge reports whether no other share is large.
func (r *Reserver) onlyLarge(id ID) bool {
	for other, h := range r.holders {
		if other != id && h.share > r.opts.SmallBytes {
			return false
		}
	}
	return r.closingSum == 0
}

// Totals are the sums over all shares.
type Totals struct {
	Held        int64 // bytes, without those of closed connections
	Closing     int64 // bytes of closed connections that are not released yet
	Largest     int64 // bytes of the largest share
	Connections int
}

// Totals returns the sums over all shares.
func (r *Reserver) Totals() Totals {
	t := Totals{Held: r.held, Closing: r.closingSum, Connections: r.connections}
	for _, h := range r.holders {
		t.Largest = max(t.Largest, h.share)
	}
	return t
}
