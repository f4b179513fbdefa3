// Package shifter splits a service's traffic between versions during a move,
// collects the evidence on both, and brakes a move on this entry's own evidence
// at once, with the store down as well.
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

// Prefixes of the facts of moves; a move's name follows.
const (
	StatusPrefix   = "move/"     // the recorded status, in stored form
	BrakePrefix    = "brake/"    // latched; the value is the reason
	EvidencePrefix = "evidence/" // with an entry's name after the move's
)

// evidenceSpan is how long an entry's evidence holds without being renewed.
const evidenceSpan = sequoiasill.Minute

// Publisher spreads facts between entries.
type Publisher interface {
	Publish(key string, version uint64, value []byte, urgent bool, span sequoiasill.Millis)
}

// Shifter holds the moves of an entry. It is safe for concurrent use.
type Shifter struct {
	entry     string
	clock     sequoiasill.Clock
	publisher Publisher
	log       hclog.Logger

	mu       sync.Mutex
	moves    []sequoiasill.Move
	current  uint64 // generation
	statuses map[string]sequoiasill.MoveStatus
	brakes   map[string]string     // reasons by move
	trials   map[string]*trial     // by move
	paces    map[string]*latencies // by service
	evidence map[string]map[string]map[string]mover.Sample
}

// New returns the shifter of the named entry.
func New(entry string, clock sequoiasill.Clock, p Publisher, log hclog.Logger) *Shifter {
	return &Shifter{
		entry: entry, clock: clock, publisher: p, log: log.Named("shifter"),
		statuses: make(map[string]sequoiasill.MoveStatus), brakes: make(map[string]string),
		trials: make(map[string]*trial), paces: make(map[string]*latencies), evidence: make(map[string]map[string]map[string]mover.Sample),
	}
}

// SetConfig tells the declared moves. A brake holds for its move until the move
// is declared anew with other times.
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
	s.current = cfg.Generation
}

// scale is the unit of shares.
const scale = 1000

// Version returns the version that a request to a service goes to.
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

// Split returns the move of a service, if there is one, and whether a request goes
// to its new version.
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
	return m, int(xxhash.Sum64String(string(id))%scale) < status.Share, true
}

// Versions returns all versions of a service that may get traffic.
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

// Record takes in how a request to a version went. The latency, in microseconds,
// is that to the first token or of the whole call.
func (s *Shifter) Record(service, route, version string, failed bool, micros int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pace, ok := s.paces[service]
	if !ok {
		pace = newLatencies()
		s.paces[service] = pace
	}
	slow, isNew := pace.slow(route, micros), false
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
	if err := pace.remember(route, micros); err != nil {
		s.log.Debug("latency not kept", "service", service, "route", route, "micros", micros, "error", err)
	}
}

// Look judges this entry's own evidence and publishes it. It should be called
// every second.
func (s *Shifter) Look() {
	type outgoing struct {
		move     string
		evidence []byte
		brake    string
	}
	var out []outgoing
	s.mu.Lock()
	now := s.clock.Now()
	for _, pace := range s.paces {
		pace.refresh()
	}
	for _, m := range s.moves {
		t, ok := s.trials[m.Name]
		if !ok || s.statuses[m.Name].End != sequoiasill.MoveOpen {
			continue
		}
		o := outgoing{move: m.Name}
		if _, braked := s.brakes[m.Name]; !braked {
			o.brake = t.judge()
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
	generation := s.current
	s.mu.Unlock()
	for _, o := range out {
		if o.brake != "" {
			s.log.Warn("move braked", "move", o.move, "reason", o.brake)
			s.publisher.Publish(BrakePrefix+o.move, generation, []byte(o.brake), true, 0)
		}
		if o.evidence != nil {
			s.publisher.Publish(EvidencePrefix+o.move+"/"+s.entry, uint64(now), o.evidence, false, evidenceSpan)
		}
	}
}

// Learn takes a fact of another entry in.
func (s *Shifter) Learn(f gossiper.Fact) {
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
		s.learnEvidence(rest, f.Value)
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

func (s *Shifter) learnEvidence(key string, value []byte) {
	at := strings.LastIndexByte(key, '/')
	if at < 0 {
		return
	}
	samples, err := reporter.DecodeSamples(value)
	if err != nil {
		return
	}
	move, entry := key[:at], key[at+1:]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evidence[move] == nil {
		s.evidence[move] = make(map[string]map[string]mover.Sample)
	}
	s.evidence[move][entry] = samples
}

// Reports returns what this entry knows of all declared moves.
func (s *Shifter) Reports() []reporter.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []reporter.Report
	for _, m := range s.moves {
		r := reporter.Report{
			Move: m, Status: s.statuses[m.Name], Braked: s.brakes[m.Name], Entries: make(map[string]map[string]mover.Sample),
		}
		for entry, samples := range s.evidence[m.Name] {
			r.Entries[entry] = samples
		}
		if t, ok := s.trials[m.Name]; ok {
			r.Entries[s.entry] = maps.Clone(t.total)
		}
		out = append(out, r)
	}
	return out
}
