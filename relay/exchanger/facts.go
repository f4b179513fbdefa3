package exchanger

import (
	"strconv"
	"strings"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/blamer"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
)

// AnnounceConfig announces that this entry applied a configuration version.
func (e *Exchanger) AnnounceConfig(version uint64) {
	e.gossip.Publish(keyConfig, version, []byte(e.opts.Address), true, 0)
}

// Publish publishes a fact about version moves to all entries. It expires after ttl; with
// a ttl of 0 it never does.
func (e *Exchanger) Publish(key string, version uint64, value []byte, urgent bool, ttl sequoiasill.Millis) {
	e.gossip.Publish(key, version, value, urgent, ttl)
}

// SendToCollectors sends a fact about version moves to the collectors only.
func (e *Exchanger) SendToCollectors(key string, version uint64, value []byte) {
	e.gossip.SendDirect(e.collectors(), key, version, value)
}

// AnnounceUpstream publishes the announcement of an upstream.
func (e *Exchanger) AnnounceUpstream(r sequoiasill.Replica) {
	b, err := encodeReplica(r)
	if err != nil {
		e.log.Error("cannot encode replica", "error", err)
		return
	}
	e.gossip.Publish(keyReplica+r.Name, r.Revision, b, true, replicaTTL)
	e.applyKnownLimit(r.Name)
}

// AnnounceRemoval publishes that an upstream's object was removed from the store at a revision.
func (e *Exchanger) AnnounceRemoval(name string, revision uint64) {
	e.gossip.Publish(keyReplica+name, revision, nil, true, replicaTTL)
}

// AnnounceDraining publishes that the upstream incarnation that started at the given time
// announced that it is draining.
func (e *Exchanger) AnnounceDraining(name string, startedAt sequoiasill.Millis) {
	e.gossip.Publish(keyDraining+name, uint64(startedAt)+baseVersion, nil, true, replicaTTL)
}

// baseVersion is the version of messages about limits, and of facts about an upstream
// whose start time is unknown.
const baseVersion = 1

// AnnounceQuarantine publishes that a request crashes upstreams and must be refused until the
// given time.
func (e *Exchanger) AnnounceQuarantine(f blamer.Fingerprint, until sequoiasill.Millis) {
	key := keyQuarantine + strconv.FormatUint(uint64(f), 16)
	e.gossip.Publish(key, uint64(until), nil, true, until-e.clock.Now())
}

func (e *Exchanger) handleQuarantine(hex string, f gossiper.Fact) {
	fp, err := strconv.ParseUint(hex, 16, 64)
	if err != nil {
		e.log.Warn("fact cannot be read", "key", f.Key, "error", err)
		return
	}
	e.calls.Quarantine(blamer.Fingerprint(fp), f.Expires)
}

// handleFact dispatches a fact received from another entry.
func (e *Exchanger) handleFact(f gossiper.Fact) {
	switch {
	case f.Key == keyConfig:
		e.noteConfigVersion(f.Version, string(f.Value))
	case strings.HasPrefix(f.Key, keyHeartbeat):
		e.vigil.heard(strings.TrimPrefix(f.Key, keyHeartbeat), e.bootClock.Now())
	case strings.HasPrefix(f.Key, keyReplica):
		e.handleReplica(strings.TrimPrefix(f.Key, keyReplica), f)
	case strings.HasPrefix(f.Key, keyDraining):
		e.replicas.RecordDraining(strings.TrimPrefix(f.Key, keyDraining), sequoiasill.Millis(f.Version-baseVersion), "gossip")
	case strings.HasPrefix(f.Key, keyState):
		e.handleState(strings.TrimPrefix(f.Key, keyState), f)
	case strings.HasPrefix(f.Key, keyQuarantine):
		e.handleQuarantine(strings.TrimPrefix(f.Key, keyQuarantine), f)
	case strings.HasPrefix(f.Key, keyDemand):
		e.handleDemand(strings.TrimPrefix(f.Key, keyDemand), f)
	case strings.HasPrefix(f.Key, keyBrittle):
		e.handleBrittle(strings.TrimPrefix(f.Key, keyBrittle), f)
	case strings.HasPrefix(f.Key, keyPace):
		e.handlePace(strings.TrimPrefix(f.Key, keyPace), f)
	case strings.HasPrefix(f.Key, keyLimit):
		e.handleLimit(strings.TrimPrefix(f.Key, keyLimit), f)
	case strings.HasPrefix(f.Key, keyAsk):
		e.handleAsk(strings.TrimPrefix(f.Key, keyAsk), f)
	case strings.HasPrefix(f.Key, keyDecision):
		e.handleDecision(strings.TrimPrefix(f.Key, keyDecision), f)
	case strings.HasPrefix(f.Key, keyUse):
		e.handleUse(f)
	case strings.HasPrefix(f.Key, keyCensus):
		e.handleCensus(f)
	case strings.HasPrefix(f.Key, keyEvacuation):
		e.handleEvacuation(strings.TrimPrefix(f.Key, keyEvacuation), f)
	case e.handleCrashFact(f):
	case f.Key != keyHolder && f.Key != keyUsage && !strings.HasPrefix(f.Key, keyUnavailable) && !strings.HasPrefix(f.Key, keyUnreachable):
		e.moves.HandleFact(f)
	}
}

// noteConfigVersion records the configuration version that another entry announced and
// triggers a pull.
func (e *Exchanger) noteConfigVersion(version uint64, address string) {
	e.mu.Lock()
	if version > e.targetVersion {
		e.targetVersion, e.targetAddress = version, address
	}
	e.mu.Unlock()
	signal(e.wake)
}

func (e *Exchanger) handleReplica(name string, f gossiper.Fact) {
	if len(f.Value) == 0 {
		e.replicas.Remove(name, f.Version, "gossip")
		return
	}
	r, err := decodeReplica(name, f.Version, f.Value)
	if err != nil {
		e.log.Warn("fact cannot be read", "key", f.Key, "error", err)
		return
	}
	e.replicas.Announce(r, "gossip")
	e.applyKnownLimit(name)
}

func (e *Exchanger) handleState(entry string, f gossiper.Fact) {
	s, err := decodeState(f.Value, e.clock.Now())
	if err != nil {
		e.log.Warn("fact cannot be read", "key", f.Key, "error", err)
		return
	}
	if !s.ReportsCrashes {
		e.mergeOlderCharges(s.Process, s.Charges)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tallier.Merge(s.Process, s.Tally)
	before := e.demands[entry]
	if before.process == s.Process {
		// The first report of a process is only the baseline: its count is cumulative and
		// may already be included.
		e.addSpent(before.demand.Spent, s.Demand.Spent)
	}
	e.demands[entry] = receivedDemand{process: s.Process, demand: s.Demand, receivedAt: e.clock.Now(), shares: before.shares}
	signal(e.reported)
}

func (e *Exchanger) handleDemand(collector string, f gossiper.Fact) {
	if collector == e.opts.Name {
		return
	}
	demand, err := decodeDemand(f.Value)
	if err != nil {
		e.log.Warn("fact cannot be read", "key", f.Key, "error", err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sums[collector] = receivedDemand{demand: demand, receivedAt: e.clock.Now()}
	signal(e.summed)
}
