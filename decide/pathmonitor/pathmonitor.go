// Package pathmonitor decides whether this entry can reach the upstreams of a service at all. It
// distinguishes an entry that lost its paths to every upstream from upstreams that are down, so
// that a fault of the entry's own network is not taken for faults of the upstreams.
//
// A failed connect, a broken connection or silence puts the paths to a service in doubt. A sample
// of its upstreams is then probed over new connections: an answer settles the doubt, and if none is
// answered, the service is unreachable from this entry until a later probe is.
//
// A Monitor is a state machine without I/O.
package pathmonitor

import (
	"math/rand/v2"
	"slices"

	"sequoiasill.dev/sequoiasill"
)

// Options configure a Monitor.
type Options struct {
	// SilenceTimeout is how long requests may wait without a response from any upstream of their
	// service before its paths are in doubt.
	SilenceTimeout sequoiasill.Millis
	// SampleSize is the number of upstreams that are probed in one round.
	SampleSize int
	// RoundInterval is the minimum interval between the starts of two rounds of probes.
	RoundInterval sequoiasill.Millis
}

// DefaultOptions returns the options that entries use.
func DefaultOptions() Options {
	return Options{SilenceTimeout: 400, SampleSize: 4, RoundInterval: 300}
}

// State is the state of the paths to the upstreams of a service.
type State int

// The states.
const (
	Reachable   State = iota
	InDoubt           // a failure has not been followed by a response on a new connection yet
	Unreachable       // no probed upstream answered
)

// String returns the name of the state in logs.
func (s State) String() string {
	switch s {
	case InDoubt:
		return "inDoubt"
	case Unreachable:
		return "unreachable"
	}
	return "reachable"
}

// Monitor holds the state of the paths to all services. It is not safe for concurrent use.
type Monitor struct {
	opts     Options
	rand     *rand.Rand
	services map[string]*service
}

// service is the state of the paths to one service.
type service struct {
	state State
	// since is the start of the state.
	since sequoiasill.Millis
	// lastContact is the time of the last response.
	lastContact sequoiasill.Millis
	// reachedAt is when the newest connection on which an upstream responded was opened.
	reachedAt sequoiasill.Millis
	// silenceOnly reports that the doubt is due to silence, which any response settles.
	silenceOnly bool
	// waiting is the number of requests without a response, and waitingSince is when the first of
	// them was sent.
	waiting      int
	waitingSince sequoiasill.Millis
	// pending is the number of probes of the current round without a result.
	pending      int
	round        int
	roundStarted sequoiasill.Millis
}

// Transition is a change of the state of a service.
type Transition struct {
	Service     string
	From, To    State
	LastContact sequoiasill.Millis // before the change, 0 for never
}

// Probe is a probe that should be started.
type Probe struct {
	Service  string
	Upstream string
	Round    int
	// StartedAt is the time at which it was due.
	StartedAt sequoiasill.Millis
}

// New returns a Monitor to which all services are reachable. The seed makes its samples
// reproducible.
func New(opts Options, seed uint64) *Monitor {
	return &Monitor{opts: opts, rand: rand.New(rand.NewPCG(seed, 0)), services: make(map[string]*service)}
}

func (m *Monitor) service(name string) *service {
	s, ok := m.services[name]
	if !ok {
		s = &service{}
		m.services[name] = s
	}
	return s
}

// State returns the state of the paths to a service.
func (m *Monitor) State(name string) State {
	if s, ok := m.services[name]; ok {
		return s.state
	}
	return Reachable
}

// Services returns the names of the services that are in doubt, unreachable, or waiting for
// responses.
func (m *Monitor) Services() []string {
	var out []string
	for name, s := range m.services {
		if s.state != Reachable || s.waiting > 0 {
			out = append(out, name)
		}
	}
	return out
}

// Unreachable returns the names of the unreachable services, sorted.
func (m *Monitor) Unreachable() []string {
	var out []string
	for name, s := range m.services {
		if s.state == Unreachable {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// ReachedSince reports whether an upstream of a service responded on a connection that was opened at
// or after a time.
func (m *Monitor) ReachedSince(name string, at sequoiasill.Millis) bool {
	s, ok := m.services[name]
	return ok && s.reachedAt >= at
}

// RequestSent records that a request was sent to an upstream of a service. RequestEnded must
// follow.
func (m *Monitor) RequestSent(now sequoiasill.Millis, name string) {
	s := m.service(name)
	if s.waiting == 0 {
		s.waitingSince = now
	}
	s.waiting++
}

// RequestEnded records that a request got a response, or that its response is no longer awaited.
func (m *Monitor) RequestEnded(name string) {
	s := m.service(name)
	s.waiting = max(s.waiting-1, 0)
}

// Responded records a response. openedAt is the earliest time at which its connection may have been
// opened, 0 if it was open before the request: new connections may fail while open ones live on.
func (m *Monitor) Responded(now sequoiasill.Millis, name string, openedAt sequoiasill.Millis) *Transition {
	s := m.service(name)
	before := s.lastContact
	s.lastContact, s.reachedAt = now, max(s.reachedAt, openedAt)
	settled := s.state == InDoubt && s.silenceOnly || openedAt > 0 && openedAt >= s.since
	if s.state == Reachable || !settled {
		return nil
	}
	return s.enter(now, name, Reachable, before)
}

// Failed records that a connect to an upstream failed, or that a connection ended without a
// response.
func (m *Monitor) Failed(now sequoiasill.Millis, name string) *Transition {
	s := m.service(name)
	s.silenceOnly = false
	if s.state != Reachable {
		return nil
	}
	return s.enter(now, name, InDoubt, s.lastContact)
}

// enter changes the state.
func (s *service) enter(now sequoiasill.Millis, name string, to State, lastContact sequoiasill.Millis) *Transition {
	t := &Transition{Service: name, From: s.state, To: to, LastContact: lastContact}
	s.state, s.since = to, now
	if to != Unreachable {
		// Results of the current round no longer count.
		s.round++
		s.pending = 0
	}
	return t
}

// ProbeEnded records the result of a probe.
func (m *Monitor) ProbeEnded(now sequoiasill.Millis, p Probe, answered bool) *Transition {
	s := m.service(p.Service)
	if answered {
		return m.Responded(now, p.Service, max(s.since, p.StartedAt))
	}
	if p.Round != s.round || s.pending == 0 {
		return nil
	}
	s.pending--
	if s.pending > 0 || s.state != InDoubt {
		return nil
	}
	return s.enter(now, p.Service, Unreachable, s.lastContact)
}

// ProbeWithheld records that a probe was not sent. It tells nothing of the path; if no probe of the
// round settles the doubt, the next round does.
func (m *Monitor) ProbeWithheld(p Probe) {
	if s := m.service(p.Service); p.Round == s.round && s.pending > 0 {
		s.pending--
	}
}

// Tick returns the probes that should be started, and the services whose silence put them in
// doubt. upstreams returns the names of a service's upstreams that may be probed.
func (m *Monitor) Tick(now sequoiasill.Millis, upstreams func(service string) []string) (probes []Probe, changes []Transition) {
	for name, s := range m.services {
		if s.state == Reachable && s.isSilent(now, m.opts.SilenceTimeout) {
			s.silenceOnly = true
			changes = append(changes, *s.enter(now, name, InDoubt, s.lastContact))
		}
		if s.state == Reachable || s.pending > 0 || s.roundStarted > 0 && now-s.roundStarted < m.opts.RoundInterval {
			continue
		}
		sample := m.sample(upstreams(name))
		if len(sample) == 0 {
			continue
		}
		s.round++
		s.pending, s.roundStarted = len(sample), now
		for _, u := range sample {
			probes = append(probes, Probe{Service: name, Upstream: u, Round: s.round, StartedAt: now})
		}
	}
	return probes, changes
}

func (s *service) isSilent(now, timeout sequoiasill.Millis) bool {
	return s.waiting > 0 && now-max(s.lastContact, s.waitingSince) >= timeout
}

// sample returns up to SampleSize random names.
func (m *Monitor) sample(names []string) []string {
	out := slices.Clone(names)
	m.rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), m.opts.SampleSize)]
}
