// Package screener keeps calls from upstreams that a part of their prompt, or the request as a whole, would
// crash. It makes the state machine of package partblamer safe for concurrent use and logs its decisions.
package screener

import (
	"cmp"
	"sync"

	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/partblamer"
)

// Meter counts quarantines.
type Meter interface {
	// PartQuarantined counts a quarantine of a part that starts or is lifted, and by whom it was
	// decided.
	PartQuarantined(lifted bool, source string)
	// RequestQuarantined counts the same of a request.
	RequestQuarantined(lifted bool, source string)
}

// subject is what is quarantined, as logs and metrics name it.
type subject struct {
	crashes, lifted string // messages
	key             string // of the signature in log lines
	count           func(m Meter, lifted bool, source string)
}

var (
	parts    = subject{crashes: "part of prompts crashes upstreams", lifted: "quarantine of a part lifted", key: "parts", count: Meter.PartQuarantined}
	requests = subject{crashes: "request crashes upstreams", lifted: "quarantine of a request lifted", key: "fingerprint", count: Meter.RequestQuarantined}
)

// Screener screens calls. It is safe for concurrent use.
type Screener struct {
	clock   sequoiasill.Clock
	meter   Meter
	log     hclog.Logger
	subject subject
	changed chan struct{}

	mu     sync.Mutex
	blamer *partblamer.Blamer
}

// New returns a screener of parts of prompts that decides with b.
func New(b *partblamer.Blamer, clock sequoiasill.Clock, meter Meter, log hclog.Logger) *Screener {
	return newScreener(b, parts, clock, meter, log)
}

// NewOfRequests returns a screener of whole requests that decides with b.
func NewOfRequests(b *partblamer.Blamer, clock sequoiasill.Clock, meter Meter, log hclog.Logger) *Screener {
	return newScreener(b, requests, clock, meter, log)
}

func newScreener(b *partblamer.Blamer, s subject, clock sequoiasill.Clock, meter Meter, log hclog.Logger) *Screener {
	return &Screener{clock: clock, meter: meter, log: log.Named("screener"), subject: s, changed: make(chan struct{}, 1), blamer: b}
}

// Changed receives a value when Exchange should be called.
func (s *Screener) Changed() <-chan struct{} { return s.changed }

// update calls f with the state machine and the current time, and notifies Changed.
func (s *Screener) update(f func(b *partblamer.Blamer, now sequoiasill.Millis)) {
	s.mu.Lock()
	f(s.blamer, s.clock.Now())
	s.mu.Unlock()
	s.notify()
}

func (s *Screener) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Screen decides whether a call with the given parts in its prompt may be sent to an upstream.
// The delay until it may be tried again is set if it may not.
func (s *Screener) Screen(parts []partblamer.Part) (d partblamer.Decision, retryAfter sequoiasill.Millis) {
	if len(parts) == 0 {
		return partblamer.Decision{}, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	d = s.blamer.Screen(now, parts)
	return d, max(d.NextProbe-now, 0)
}

// RecordCrash records that an upstream crashed under a call, now unless the crash has a time.
func (s *Screener) RecordCrash(c partblamer.Crash) {
	if len(c.Parts) == 0 {
		return
	}
	s.update(func(b *partblamer.Blamer, now sequoiasill.Millis) {
		c.At = cmp.Or(c.At, now)
		b.RecordCrash(now, c)
	})
}

// RecordServed records that an upstream began to respond to a call with the given parts.
func (s *Screener) RecordServed(parts []partblamer.Part) {
	if len(parts) == 0 {
		return
	}
	s.mu.Lock()
	s.blamer.RecordServed(s.clock.Now(), parts)
	due := s.blamer.ReportIsDue()
	s.mu.Unlock()
	if due {
		s.notify()
	}
}

// RecordAlive records that an upstream incarnation responds, to a call that was sent at a time.
func (s *Screener) RecordAlive(upstream uint64, sentAt sequoiasill.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blamer.RecordAlive(upstream, sentAt)
}

// SetSuspects sets the parts that a collector suspects.
func (s *Screener) SetSuspects(collector string, parts []partblamer.Part) {
	s.update(func(b *partblamer.Blamer, now sequoiasill.Millis) { b.SetSuspects(now, collector, parts) })
}

// Merge merges the report of a process of another entry on a collector.
func (s *Screener) Merge(process string, r partblamer.Report) {
	s.update(func(b *partblamer.Blamer, _ sequoiasill.Millis) { b.Merge(process, r) })
}

// Quarantine quarantines a signature that another entry identified.
func (s *Screener) Quarantine(signature partblamer.Signature, since, until sequoiasill.Millis) {
	s.mu.Lock()
	known := s.blamer.Quarantine(signature, since, until)
	s.mu.Unlock()
	if !known {
		s.logQuarantine(signature, false, "gossip")
	}
}

// Lift ends a quarantine that a call at another entry disproved.
func (s *Screener) Lift(signature partblamer.Signature) {
	s.mu.Lock()
	known := s.blamer.Lift(s.clock.Now(), signature)
	s.mu.Unlock()
	if known {
		s.logQuarantine(signature, true, "gossip")
	}
}

func (s *Screener) logQuarantine(signature partblamer.Signature, lifted bool, source string) {
	s.subject.count(s.meter, lifted, source)
	if lifted {
		s.log.Info(s.subject.lifted, s.subject.key, signature.String(), "source", source)
		return
	}
	s.log.Warn(s.subject.crashes, s.subject.key, signature.String(), "source", source)
}

// Quarantined returns the quarantined signatures, sorted.
func (s *Screener) Quarantined() []partblamer.Signature {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blamer.Quarantined(s.clock.Now())
}

// Restore quarantines stored signatures, unless calls of this process have disproved them.
func (s *Screener) Restore(stored []partblamer.Signature) {
	s.update(func(b *partblamer.Blamer, now sequoiasill.Millis) { b.Restore(now, stored) })
}

// State returns what must outlive the processes of all entries.
func (s *Screener) State() partblamer.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blamer.State(s.clock.Now())
}

// RestoreState continues with a stored state, except for requests that were served by calls of this process.
func (s *Screener) RestoreState(stored partblamer.State) {
	s.update(func(b *partblamer.Blamer, now sequoiasill.Millis) { b.RestoreState(now, stored) })
}

// Flush makes a report of all crashes due at once.
func (s *Screener) Flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blamer.Flush()
}

// Outgoing is what the other entries must be told.
type Outgoing struct {
	Report    partblamer.Report // to the collectors, if it is due
	ReportDue bool
	Changes   []partblamer.Change // to all entries
}

// Idle reports whether there is nothing to exchange.
func (s *Screener) Idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blamer.Idle()
}

// Exchange returns what the other entries must be told. rank is the position of this entry among
// the collectors, or negative if it is not one. Collectors also evaluate the reports of the
// others, and the first one lets calls through that test quarantines.
func (s *Screener) Exchange(rank int) Outgoing {
	s.mu.Lock()
	now := s.clock.Now()
	s.blamer.SetProbing(rank == 0)
	if rank >= 0 {
		s.blamer.Decide(now)
	}
	var out Outgoing
	out.Report, out.ReportDue = s.blamer.Report(now)
	out.Changes = s.blamer.TakeChanges()
	s.mu.Unlock()
	for _, c := range out.Changes {
		if c.Signature != nil && !c.Extended {
			s.logQuarantine(c.Signature, !c.Quarantined, "own")
		}
	}
	return out
}
