package registrar

import (
	"slices"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/throttler"
)

// Limit is what an answer says of the calls that its upstream takes from all entries.
type Limit struct {
	Told      bool // the answer is the upstream's, so that a limit which it does not name is over
	Limited   bool
	PerSecond float64 // calls
}

// limit is what is known of the limit of an upstream.
type limit struct {
	holds     bool
	own       bool // an answer here named it
	perSecond float64
	namedAt   sequoiasill.Millis // when an answer here last named it
	deniedTo  sequoiasill.Millis // no call is let through before
	trails    map[string]*trail  // by granter, empty for none
}

// trail is what was sent to an upstream lately.
type trail struct {
	came []sequoiasill.Millis
	open int
}

// newsSpan is how long an answer that names a limit goes before news that it is over.
const newsSpan = sequoiasill.Second

// NamesLimit takes in what an answer says of the calls that the start of an upstream
// takes. It returns the limit that was known before, and whether one holds only from now on.
// That one is over is for its keeper to say.
func (r *Registrar) NamesLimit(now sequoiasill.Millis, n sequoiasill.Replica, l Limit) (before float64, begins bool) {
	s, ok := r.replicas[n.Name]
	if !ok || !l.Limited || s.replica.Born != n.Born {
		return 0, false
	}
	before, begins = s.limit.perSecond, !s.limit.holds
	s.limit.holds, s.limit.own, s.limit.perSecond, s.limit.namedAt = true, true, l.PerSecond, now
	return before, begins
}

// LimitHeard takes in news that the start of an upstream limits its calls. It returns false
// if that is not new.
func (r *Registrar) LimitHeard(u throttler.Upstream, perSecond float64) bool {
	s, ok := r.replicas[u.Name]
	if !ok || s.replica.Born != u.Born || s.limit.holds {
		return false
	}
	s.limit.holds, s.limit.own, s.limit.perSecond = true, false, perSecond
	return true
}

// LimitLifted takes in news that the limit of the start of an upstream is over, or that its
// keeper says so in an answer to this entry. It returns false if that is not new, or older
// than what is known.
func (r *Registrar) LimitLifted(now sequoiasill.Millis, u throttler.Upstream, byKeeper bool) bool {
	s, ok := r.replicas[u.Name]
	if !ok || s.replica.Born != u.Born || !s.limit.holds || !byKeeper && s.limit.own && now-s.limit.namedAt < newsSpan {
		return false
	}
	s.limit.holds, s.limit.deniedTo = false, 0
	return true
}

// Deny takes in that an upstream that limits its calls gets none from here until a time.
func (r *Registrar) Deny(u throttler.Upstream, until sequoiasill.Millis) {
	if s, ok := r.replicas[u.Name]; ok && s.replica.Born == u.Born && s.limit.holds {
		s.limit.deniedTo = until
	}
}

// KnownLimit is what an entry knows of an upstream's limit, and what it sent there.
type KnownLimit struct {
	Holds     bool
	Own       bool // an answer here named it; else it is known by news only
	PerSecond float64
	Age       sequoiasill.Millis // of the last such answer
	Sends     []throttler.Sends
}

// KnownLimit returns what is known of the limit of the start of an upstream.
func (r *Registrar) KnownLimit(now sequoiasill.Millis, u throttler.Upstream) KnownLimit {
	s, ok := r.replicas[u.Name]
	if !ok || s.replica.Born != u.Born {
		return KnownLimit{}
	}
	k := KnownLimit{Holds: s.limit.holds, Own: s.limit.holds && s.limit.own, PerSecond: s.limit.perSecond, Age: now - s.limit.namedAt}
	s.limit.forget(now)
	for granter, t := range s.limit.trails {
		sends := throttler.Sends{Granter: granter, Open: t.open}
		for _, at := range t.came {
			sends.Ages = append(sends.Ages, now-at)
		}
		k.Sends = append(k.Sends, sends)
	}
	return k
}

// Departs counts a call that is being sent to an upstream, by the grant of a keeper or
// without any. Came must follow.
func (r *Registrar) Departs(name, granter string) {
	s, ok := r.replicas[name]
	if !ok {
		return
	}
	if s.limit.trails == nil {
		s.limit.trails = make(map[string]*trail)
	}
	t := s.limit.trails[granter]
	if t == nil {
		t = &trail{}
		s.limit.trails[granter] = t
	}
	t.open++
}

// Came counts a call that has come to an upstream, or is not awaited any longer.
func (r *Registrar) Came(now sequoiasill.Millis, name, granter string) {
	s, ok := r.replicas[name]
	if !ok {
		return
	}
	if t := s.limit.trails[granter]; t != nil {
		t.open = max(t.open-1, 0)
		t.came = append(t.came, now)
	}
	s.limit.forget(now)
}

// forget drops what counts no longer.
func (l *limit) forget(now sequoiasill.Millis) {
	for granter, t := range l.trails {
		t.came = slices.DeleteFunc(t.came, func(at sequoiasill.Millis) bool { return now-at > throttler.CountSpan })
		if t.open == 0 && len(t.came) == 0 {
			delete(l.trails, granter)
		}
	}
}
