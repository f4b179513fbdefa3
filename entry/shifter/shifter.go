// Package shifter splits a service's traffic between two versions during a move (a
// rollout of a new version) and counts requests, errors and slow requests of both (the
// evidence). If this entry's own evidence shows a regression, it brakes the move
// immediately: all traffic returns to the old version, also while the store is
// unavailable.
package shifter

import (
	"cmp"
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
	statuses     map[moveKey]versionedStatus
	brakes       map[string]brake               // by move
	trials       map[string]*trial              // by move
	latencies    map[string]*latencies          // by service
	peerEvidence map[string]map[string]evidence // by move and entry
}

// moveKey identifies a move among those of the same name.
type moveKey struct {
	name  string
	order uint64
}

// versionedStatus is the status of a move and its version in the store.
type versionedStatus struct {
	sequoiasill.MoveStatus

	version uint64
}

// brake is a stop of a move because of a regression.
type brake struct {
	reason string
	// order is that of the move. Older builds tell the generation of their configuration instead, which
	// is not below it.
	order uint64
}

// evidence is what another entry measured of a move.
type evidence struct {
	order   uint64 // 0 if the entry does not tell
	samples map[string]mover.Sample
}

// New returns the shifter of the named entry.
func New(entry string, clock sequoiasill.Clock, p Publisher, log hclog.Logger) *Shifter {
	return &Shifter{
		entry: entry, clock: clock, publisher: p, log: log.Named("shifter"),
		statuses: make(map[moveKey]versionedStatus), brakes: make(map[string]brake),
		trials: make(map[string]*trial), latencies: make(map[string]*latencies), peerEvidence: make(map[string]map[string]evidence),
	}
}

// SetConfig sets the declared moves. A brake remains until its move is ordered again, or
// declared again with a change, such as other times.
func (s *Shifter) SetConfig(cfg sequoiasill.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, old := range s.moves {
		i := slices.IndexFunc(cfg.Moves, func(m sequoiasill.Move) bool { return m.Name == old.Name })
		if i < 0 || cfg.Moves[i].Order != old.Order || old.Order == 0 && cfg.Moves[i] != old {
			delete(s.trials, old.Name)
		}
		if i >= 0 && cfg.Moves[i].Order == 0 && cfg.Moves[i] != old {
			delete(s.brakes, old.Name)
		}
	}
	for _, m := range cfg.Moves {
		maps.DeleteFunc(s.statuses, func(k moveKey, _ versionedStatus) bool { return k.name == m.Name && 0 < k.order && k.order < m.Order })
	}
	s.moves = cfg.Moves
	s.generation = cfg.Generation
}

// status returns the status of a move. The caller holds the lock.
func (s *Shifter) status(m sequoiasill.Move) sequoiasill.MoveStatus {
	if status, ok := s.statuses[moveKey{m.Name, m.Order}]; ok {
		return status.MoveStatus
	}
	if status, ok := s.statuses[moveKey{m.Name, 0}]; ok && status.BelongsTo(m, status.version) {
		return status.MoveStatus
	}
	return sequoiasill.MoveStatus{}
}

// brakeReason returns why a move is braked, or "". The caller holds the lock.
func (s *Shifter) brakeReason(m sequoiasill.Move) string {
	if b := s.brakes[m.Name]; b.order >= m.Order {
		return b.reason
	}
	return ""
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
	status := s.status(m)
	switch {
	case status.End == sequoiasill.MoveDone:
		return m, true, true
	case status.End == sequoiasill.MoveRolledBack || s.brakeReason(m) != "":
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
func (s *Shifter) Record(service, route, version string, result sequoiasill.VersionResult, micros int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	serviceLatencies := s.serviceLatencies(service)
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
		isNew = version == m.To && s.status(m).End != sequoiasill.MoveDone
		t.record(route, version == m.To, result, slow)
	}
	if result != sequoiasill.VersionServed || isNew {
		// Failures and refusals of a request take another time than its work.
		return
	}
	if err := serviceLatencies.record(route, micros); err != nil {
		s.log.Debug("latency not kept", "service", service, "route", route, "micros", micros, "error", err)
	}
}

// RecordDuration records how long a call to a version took in all, in microseconds.
func (s *Shifter) RecordDuration(service, version string, micros int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.moves {
		if m.Service == service && version == m.To && s.status(m).End != sequoiasill.MoveDone {
			return
		}
	}
	if err := s.serviceLatencies(service).recordDuration(micros); err != nil {
		s.log.Debug("duration not kept", "service", service, "micros", micros, "error", err)
	}
}

// serviceLatencies returns the latencies of a service. The caller holds the lock.
func (s *Shifter) serviceLatencies(service string) *latencies {
	l, ok := s.latencies[service]
	if !ok {
		l = newLatencies()
		s.latencies[service] = l
	}
	return l
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
		order    uint64
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
		if !ok || s.status(m).End != sequoiasill.MoveOpen {
			continue
		}
		// Moves without an order are told apart by the configuration that declares them.
		o := outgoing{move: m.Name, order: cmp.Or(m.Order, s.generation)}
		if s.brakeReason(m) == "" {
			o.brake = t.evaluate()
			if o.brake != "" {
				s.brakes[m.Name] = brake{reason: o.brake, order: m.Order}
			}
		}
		value, err := reporter.EncodeSamples(t.total, m.Order)
		if err == nil && t.changed {
			t.changed = false
			o.evidence = value
		}
		out = append(out, o)
	}
	s.mu.Unlock()
	for _, o := range out {
		if o.brake != "" {
			s.log.Warn("move braked", "move", o.move, "reason", o.brake)
			s.publisher.Publish(BrakePrefix+o.move, o.order, []byte(o.brake), true, 0)
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
			s.setStatus(status, f.Version)
		}
		return
	}
	if move, ok := strings.CutPrefix(f.Key, BrakePrefix); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.brakes[move].order > f.Version {
			return
		}
		s.brakes[move] = brake{reason: string(f.Value), order: f.Version}
		s.log.Warn("move braked elsewhere", "move", move, "reason", string(f.Value))
		return
	}
	if rest, ok := strings.CutPrefix(f.Key, EvidencePrefix); ok {
		s.applyEvidence(rest, f.Value)
	}
}

// setStatus applies a status unless the move has ended.
func (s *Shifter) setStatus(status sequoiasill.MoveStatus, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.moves, func(m sequoiasill.Move) bool { return m.Name == status.Move })
	if i >= 0 && status.Order == 0 && status.BelongsTo(s.moves[i], version) {
		status.Order = s.moves[i].Order
	}
	key := moveKey{status.Move, status.Order}
	old := s.statuses[key]
	if old.End != sequoiasill.MoveOpen {
		return
	}
	s.statuses[key] = versionedStatus{status, version}
	if old.MoveStatus != status {
		s.log.Info("move", "name", status.Move, "share", status.Share, "end", status.End, "reason", status.Reason)
	}
}

func (s *Shifter) applyEvidence(key string, value []byte) {
	separator := strings.LastIndexByte(key, '/')
	if separator < 0 {
		return
	}
	samples, order, err := reporter.DecodeSamples(value)
	if err != nil {
		return
	}
	move, entry := key[:separator], key[separator+1:]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peerEvidence[move] == nil {
		s.peerEvidence[move] = make(map[string]evidence)
	}
	s.peerEvidence[move][entry] = evidence{order, samples}
}

// Reports returns this entry's view of all declared moves.
func (s *Shifter) Reports() []reporter.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []reporter.Report
	for _, m := range s.moves {
		r := reporter.Report{
			Move: m, Status: s.status(m), BrakeReason: s.brakeReason(m), Entries: make(map[string]map[string]mover.Sample),
		}
		if l, ok := s.latencies[m.Service]; ok {
			r.DrainTime = l.drainTime
		}
		for entry, e := range s.peerEvidence[m.Name] {
			if e.order == m.Order || e.order == 0 {
				r.Entries[entry] = e.samples
			}
		}
		if t, ok := s.trials[m.Name]; ok {
			r.Entries[s.entry] = maps.Clone(t.total)
		}
		out = append(out, r)
	}
	return out
}
