// Package shifter splits a service's traffic between two versions during a move (a
// rollout of a new version) and counts requests, errors and slow requests of both (the
// evidence). If this entry's own evidence shows a regression, it brakes the move
// immediately: all traffic returns to the old version, also while the store is
// unavailable.
package shifter

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/config/encoder"
	"sequoiasill.dev/sequoiasill/config/reporter"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/mover"
)

// Key prefixes of facts on moves, followed by the name of the move.
const (
	StatusPrefix   = "move/"     // status as encoded in the store
	BrakePrefix    = "brake/"    // remains set once published; the value is the reason
	EvidencePrefix = "evidence/" // followed by the name of the move and that of the entry
)

// evidenceTTL is how long an entry's evidence is kept in gossip without renewal.
const evidenceTTL = sequoiasill.Minute

// Publisher publishes facts to the other entries.
type Publisher interface {
	Publish(key string, version uint64, value []byte, urgent bool, ttl sequoiasill.Millis)
}

// Shifter tracks the moves on an entry. It is safe for concurrent use.
type Shifter struct {
	entry     string
	clock     sequoiasill.Clock
	publisher Publisher
	log       hclog.Logger

	mu           sync.Mutex
	moves        []sequoiasill.Move
	generation   uint64 // of the current configuration
	statuses     map[string]sequoiasill.MoveStatus
	brakes       map[string]string                             // reason, by move
	trials       map[string]*trial                             // by move
	latencies    map[string]*latencies                         // by service
	peerEvidence map[string]map[string]map[string]mover.Sample // by move, entry and route
}

// New returns the shifter of the named entry.
func New(entry string, clock sequoiasill.Clock, p Publisher, log hclog.Logger) *Shifter {
	return &Shifter{
		entry: entry, clock: clock, publisher: p, log: log.Named("shifter"),
		statuses: make(map[string]sequoiasill.MoveStatus), brakes: make(map[string]string),
		trials: make(map[string]*trial), latencies: make(map[string]*latencies), peerEvidence: make(map[string]map[string]map[string]mover.Sample),
	}
}

// SetConfig sets the declared moves. A brake remains until its move is declared
// again with a change, such as other times.
func (s *Shifter) SetConfig(cfg sequoiasill.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range cfg.Moves {
		for _, old := range s.moves {
			if old.Name == m.Name && old != m {
				delete(s.brakes, m.Name)
				delete(s.trials, m.Name)
			}
		}
	}
	s.moves = cfg.Moves
	s.generation = cfg.Generation
}

// shareScale is the share that stands for all traffic.
const shareScale = 1000

// Version returns the version of the service to which a request is sent.
func (s *Shifter) Version(svc sequoiasill.Service, id sequoiasill.RequestID) string {
	m, to, moving := s.Split(svc.Name, id)
	switch {
	case !moving:
		return svc.Version
	case to:
		return m.To
	}
	return m.From
}

// Split returns the move of a service, if there is one, and whether a request is
// sent to the new version. While the move is open, this is decided by a hash of
// the request ID.
func (s *Shifter) Split(service string, id sequoiasill.RequestID) (m sequoiasill.Move, to, moving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.moves, func(m sequoiasill.Move) bool { return m.Service == service })
	if i < 0 {
		return sequoiasill.Move{}, false, false
	}
	m = s.moves[i]
	status := s.statuses[m.Name]
	_, braked := s.brakes[m.Name]
	switch {
	case status.End == sequoiasill.MoveDone:
		return m, true, true
	case status.End == sequoiasill.MoveRolledBack || braked:
		return m, false, true
	}
	return m, int(xxhash.Sum64String(string(id))%shareScale) < status.Share, true
}

// Versions returns all versions of a service that may receive traffic.
func (s *Shifter) Versions(svc sequoiasill.Service) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.moves {
		if m.Service == svc.Name {
			return []string{m.From, m.To}
		}
	}
	return []string{svc.Version}
}

// Record counts the outcome of a request to a version. The latency, in
// microseconds, is the time to the first token or that of the whole call.
func (s *Shifter) Record(service, route, version string, failed bool, micros int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	serviceLatencies, ok := s.latencies[service]
	if !ok {
		serviceLatencies = newLatencies()
		s.latencies[service] = serviceLatencies
	}
	slow, isNew := serviceLatencies.isSlow(route, micros), false
	for _, m := range s.moves {
		if m.Service != service || version != m.To && version != m.From && m.From != "" {
			continue
		}
		t, ok := s.trials[m.Name]
		if !ok {
			t = newTrial()
			s.trials[m.Name] = t
		}
		isNew = version == m.To && s.statuses[m.Name].End != sequoiasill.MoveDone
		t.record(route, version == m.To, failed, slow)
	}
	if failed || isNew {
		return
	}
	if err := serviceLatencies.record(route, micros); err != nil {
		s.log.Debug("latency not kept", "service", service, "route", route, "micros", micros, "error", err)
	}
}

// UsualLatency returns the latency that most recent requests to a route did not exceed.
// It is false if there were none.
func (s *Shifter) UsualLatency(service, route string) (sequoiasill.Millis, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	serviceLatencies, ok := s.latencies[service]
	if !ok {
		return 0, false
	}
	return serviceLatencies.usual(route)
}

// Evaluate checks this entry's own evidence for regressions and publishes it. It
// should be called at least every second.
func (s *Shifter) Evaluate() {
	type outgoing struct {
		move     string
		evidence []byte
		brake    string
	}
	var out []outgoing
	s.mu.Lock()
	now := s.clock.Now()
	for _, serviceLatencies := range s.latencies {
		serviceLatencies.refresh()
	}
	for _, m := range s.moves {
		t, ok := s.trials[m.Name]
		if !ok || s.statuses[m.Name].End != sequoiasill.MoveOpen {
			continue
		}
		o := outgoing{move: m.Name}
		if _, braked := s.brakes[m.Name]; !braked {
			o.brake = t.evaluate()
			if o.brake != "" {
				s.brakes[m.Name] = o.brake
			}
		}
		value, err := reporter.EncodeSamples(t.total)
		if err == nil && t.changed {
			t.changed = false
			o.evidence = value
		}
		out = append(out, o)
	}
	generation := s.generation
	s.mu.Unlock()
	for _, o := range out {
		if o.brake != "" {
			s.log.Warn("move braked", "move", o.move, "reason", o.brake)
			s.publisher.Publish(BrakePrefix+o.move, generation, []byte(o.brake), true, 0)
		}
		if o.evidence != nil {
			s.publisher.Publish(EvidencePrefix+o.move+"/"+s.entry, uint64(now), o.evidence, false, evidenceTTL)
		}
	}
}

// HandleFact applies a fact of another entry.
func (s *Shifter) HandleFact(f gossiper.Fact) {
	if move, ok := strings.CutPrefix(f.Key, StatusPrefix); ok {
		if status, err := encoder.DecodeStatus(f.Value); err == nil && status.Move == move {
			s.setStatus(status)
		}
		return
	}
	if move, ok := strings.CutPrefix(f.Key, BrakePrefix); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.brakes[move] = string(f.Value)
		s.log.Warn("move braked elsewhere", "move", move, "reason", string(f.Value))
		return
	}
	if rest, ok := strings.CutPrefix(f.Key, EvidencePrefix); ok {
		s.applyEvidence(rest, f.Value)
	}
}

func (s *Shifter) setStatus(status sequoiasill.MoveStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.statuses[status.Move]
	if old.End != sequoiasill.MoveOpen {
		return
	}
	s.statuses[status.Move] = status
	if old != status {
		s.log.Info("move", "name", status.Move, "share", status.Share, "end", status.End, "reason", status.Reason)
	}
}

func (s *Shifter) applyEvidence(key string, value []byte) {
	separator := strings.LastIndexByte(key, '/')
	if separator < 0 {
		return
	}
	samples, err := reporter.DecodeSamples(value)
	if err != nil {
		return
	}
	move, entry := key[:separator], key[separator+1:]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peerEvidence[move] == nil {
		s.peerEvidence[move] = make(map[string]map[string]mover.Sample)
	}
	s.peerEvidence[move][entry] = samples
}

// Reports returns this entry's view of all declared moves.
func (s *Shifter) Reports() []reporter.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []reporter.Report
	for _, m := range s.moves {
		r := reporter.Report{
			Move: m, Status: s.statuses[m.Name], BrakeReason: s.brakes[m.Name], Entries: make(map[string]map[string]mover.Sample),
		}
		for entry, samples := range s.peerEvidence[m.Name] {
			r.Entries[entry] = samples
		}
		if t, ok := s.trials[m.Name]; ok {
			r.Entries[s.entry] = maps.Clone(t.total)
		}
		out = append(out, r)
	}
	return out
}
