package registrar

import (
	"slices"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/throttler"
)

// Limit is the rate limit that a response announces: the calls that its upstream accepts
// from all entries together.
type Limit struct {
	FromUpstream bool // the response comes from the upstream itself, so a missing limit means that it was lifted
	Limited      bool
	PerSecond    float64 // calls per second
}

// limit is the state of an upstream's rate limit.
type limit struct {
	active      bool
	direct      bool // announced in a response to this entry, not by gossip
	perSecond   float64
	reportedAt  sequoiasill.Millis  // when a response to this entry last announced it
	deniedUntil sequoiasill.Millis  // no call may be sent before this time
	sendLogs    map[string]*sendLog // by granter, empty for calls without a grant
}

// sendLog counts the recent calls to an upstream.
type sendLog struct {
	arrivals  []sequoiasill.Millis
	pending   int
	abandoned []sequoiasill.Millis // times of the ends of sends whose calls may still arrive
}

// directLimitPrecedence is how long a limit that a response announced overrides gossip
// that it was lifted.
const directLimitPrecedence = sequoiasill.Second

// LimitAnnounced records the rate limit that a response of an incarnation of an upstream
// announces. It returns the previous limit, and whether the upstream was unlimited until
// now. A response without a limit lifts none: only the limit's keeper decides on that.
func (r *Registrar) LimitAnnounced(now sequoiasill.Millis, n sequoiasill.Replica, l Limit) (previous float64, isNew bool) {
	s, ok := r.replicas[n.Name]
	if !ok || !l.Limited || s.replica.StartedAt != n.StartedAt {
		return 0, false
	}
	previous, isNew = s.limit.perSecond, !s.limit.active
	s.limit.active, s.limit.direct, s.limit.perSecond, s.limit.reportedAt = true, true, l.PerSecond, now
	return previous, isNew
}

// LimitGossiped records gossip that an incarnation of an upstream has a rate limit. It
// returns false if that was already known.
func (r *Registrar) LimitGossiped(u throttler.Upstream, perSecond float64) bool {
	s, ok := r.replicas[u.Name]
	if !ok || s.replica.StartedAt != u.StartedAt || s.limit.active {
		return false
	}
	s.limit.active, s.limit.direct, s.limit.perSecond = true, false, perSecond
	return true
}

// LimitLifted removes the rate limit of an incarnation of an upstream, after gossip or
// after a response of the limit's keeper to this entry. It returns false if there is no
// limit, or if it was gossip and a response to this entry announced the limit less than
// directLimitPrecedence ago.
func (r *Registrar) LimitLifted(now sequoiasill.Millis, u throttler.Upstream, byKeeper bool) bool {
	s, ok := r.replicas[u.Name]
	if !ok || s.replica.StartedAt != u.StartedAt || !s.limit.active || !byKeeper && s.limit.direct && now-s.limit.reportedAt < directLimitPrecedence {
		return false
	}
	s.limit.active, s.limit.deniedUntil = false, 0
	return true
}

// Deny stops calls from this entry to an upstream with a rate limit until a time.
func (r *Registrar) Deny(u throttler.Upstream, until sequoiasill.Millis) {
	if s, ok := r.replicas[u.Name]; ok && s.replica.StartedAt == u.StartedAt && s.limit.active {
		s.limit.deniedUntil = until
	}
}

// KnownLimit is an entry's view of an upstream's rate limit, with the calls that it
// sent there recently.
type KnownLimit struct {
	Active    bool
	Direct    bool // announced in a response to this entry rather than by gossip
	PerSecond float64
	Age       sequoiasill.Millis // time since the last such response
	Sends     []throttler.SentCalls
}

// KnownLimit returns this entry's view of the rate limit of an incarnation of an
// upstream.
func (r *Registrar) KnownLimit(now sequoiasill.Millis, u throttler.Upstream) KnownLimit {
	s, ok := r.replicas[u.Name]
	if !ok || s.replica.StartedAt != u.StartedAt {
		return KnownLimit{}
	}
	k := KnownLimit{Active: s.limit.active, Direct: s.limit.active && s.limit.direct, PerSecond: s.limit.perSecond, Age: now - s.limit.reportedAt}
	s.limit.expire(now)
	for granter, log := range s.limit.sendLogs {
		sends := throttler.SentCalls{Granter: granter, Outstanding: log.pending + len(log.abandoned)}
		for _, at := range log.arrivals {
			sends.Ages = append(sends.Ages, now-at)
		}
		k.Sends = append(k.Sends, sends)
	}
	return k
}

// SendStarted counts a call that is being sent to an upstream, under a grant of the limit's
// keeper or, with an empty granter, without one. SendArrived or SendAbandoned must follow.
func (r *Registrar) SendStarted(name, granter string) {
	s, ok := r.replicas[name]
	if !ok {
		return
	}
	if s.limit.sendLogs == nil {
		s.limit.sendLogs = make(map[string]*sendLog)
	}
	log := s.limit.sendLogs[granter]
	if log == nil {
		log = &sendLog{}
		s.limit.sendLogs[granter] = log
	}
	log.pending++
}

// SendArrived counts a call that arrived at an upstream or can no longer arrive.
func (r *Registrar) SendArrived(now sequoiasill.Millis, name, granter string) {
	r.endSend(now, name, granter, func(log *sendLog) { log.arrivals = append(log.arrivals, now) })
}

// SendAbandoned counts a call that ended without a response and may still arrive, as it does after
// a pause of the upstream.
func (r *Registrar) SendAbandoned(now sequoiasill.Millis, name, granter string) {
	r.endSend(now, name, granter, func(log *sendLog) { log.abandoned = append(log.abandoned, now) })
}

func (r *Registrar) endSend(now sequoiasill.Millis, name, granter string, count func(log *sendLog)) {
	s, ok := r.replicas[name]
	if !ok {
		return
	}
	if log := s.limit.sendLogs[granter]; log != nil {
		log.pending = max(log.pending-1, 0)
		count(log)
	}
	s.limit.expire(now)
}

// expire drops the calls that are too old to count.
func (l *limit) expire(now sequoiasill.Millis) {
	for granter, log := range l.sendLogs {
		log.arrivals = slices.DeleteFunc(log.arrivals, func(at sequoiasill.Millis) bool { return now-at > throttler.CountWindow })
		log.abandoned = slices.DeleteFunc(log.abandoned, func(at sequoiasill.Millis) bool { return now-at > throttler.OutstandingTTL })
		if log.pending == 0 && len(log.arrivals) == 0 && len(log.abandoned) == 0 {
			delete(l.sendLogs, granter)
		}
	}
}
