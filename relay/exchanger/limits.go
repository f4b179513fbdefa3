package exchanger

import (
	"sync"
	"time"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/picker"
	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/decide/throttler"
)

// Key prefixes of facts about the limits of upstreams. All but the first are sent to a
// single entry.
const (
	keyLimit    = "limit/"    // + upstream: its limit, if any
	keyAsk      = "ask/"      // + entry that asks or reports
	keyDecision = "decision/" // + keeper that answers
	keyUse      = "use/"      // + entry that used a permit
	keyCensus   = "census/"   // + keeper that requests a report
)

const (
	// askTimeout is how long an entry waits for a keeper's decision before it repeats the
	// ask, up to maxAskAttempts times in total.
	askTimeout     = 60 * time.Millisecond
	maxAskAttempts = 3
	// keeperRetryDelay is how long an entry does not ask a keeper that did not answer.
	keeperRetryDelay = 500 * sequoiasill.Millis(1)
	// maxReportAttempts is how often an entry sends an unconfirmed report to a keeper, once
	// every limitCheckInterval.
	maxReportAttempts  = 20
	limitCheckInterval = 250 * time.Millisecond
	// usedPermitTTL is how long an entry remembers that it used a permit: a repeated ask can
	// yield a second, later answer, whose permit must not be returned as unused.
	usedPermitTTL = 2 * sequoiasill.Second
)

// limits is an entry's state for upstreams with a rate limit: the throttler for limits
// that this entry keeps, and the pending asks and reports to the keepers of others.
type limits struct {
	mu             sync.Mutex
	throttler      *throttler.Throttler
	candidates     []string // entries eligible as keepers
	lastID         uint64   // ID of this process's last ask or report
	pendingAsks    map[uint64]chan throttler.Decision
	usedPermits    map[uint64]sequoiasill.Millis // by ask ID: when its decision was received
	silentUntil    map[string]sequoiasill.Millis // by unresponsive keeper: when it may be asked again
	pendingReports map[throttler.Upstream]*pendingReport

	// publishMu is held while the state of a kept limit is read and published, so that a renewal does
	// not undo its end. It is locked before mu.
	publishMu sync.Mutex
}

// pendingReport is a report that the keeper of a limit has not confirmed.
type pendingReport struct {
	perSecond float64 // the limit, as learned from other entries
	lastAskID uint64  // ID of the last attempt
	attempts  int
}

func newLimits(self, process string, now sequoiasill.Millis, seed uint64) *limits {
	return &limits{
		throttler: throttler.New(now, process, seed), candidates: []string{self}, pendingAsks: make(map[uint64]chan throttler.Decision),
		usedPermits: make(map[uint64]sequoiasill.Millis), silentUntil: make(map[string]sequoiasill.Millis), pendingReports: make(map[throttler.Upstream]*pendingReport),
	}
}

// keeper returns the entry that keeps the limit of an upstream: the first in rendezvous
// hashing order. The caller must hold l.mu.
func (l *limits) keeper(upstream string) string {
	first, weight := "", uint64(0)
	for _, name := range l.candidates {
		if w := picker.Rendezvous(keyLimit+upstream, 0, name); first == "" || w > weight {
			first, weight = name, w
		}
	}
	return first
}

// AnnounceLimit publishes the limit that an upstream announced to this entry, and reports
// this entry's calls to the keeper.
func (e *Exchanger) AnnounceLimit(u throttler.Upstream, perSecond float64) {
	e.publishLimit(u, wireLimit{StartedAt: int64(u.StartedAt), Limited: true, PerSecond: perSecond})
	e.startReport(u, perSecond)
}

// publishLimit publishes whether an upstream incarnation has a limit, and its rate. It does
// nothing if the gossip already says whether it has one, even with another rate, and that
// fact has more than half of its TTL left.
func (e *Exchanger) publishLimit(u throttler.Upstream, w wireLimit) {
	now := e.clock.Now()
	version := uint64(now)
	if f, ok := e.gossip.Fact(keyLimit + u.Name); ok {
		version = max(version, f.Version+1)
		known, err := decodeLimit(f.Value)
		if err == nil && known.StartedAt == w.StartedAt && known.Limited == w.Limited && f.Expires-now > replicaTTL/2 {
			return
		}
	}
	b, err := encodeLimit(w)
	if err != nil {
		e.log.Error("cannot encode limit", "upstream", u.Name, "error", err)
		return
	}
	e.gossip.Publish(keyLimit+u.Name, version, b, true, replicaTTL)
}

// handleLimit handles a published change of a limit.
func (e *Exchanger) handleLimit(upstream string, f gossiper.Fact) {
	w, err := decodeLimit(f.Value)
	if err != nil {
		e.log.Warn("fact cannot be read", "key", f.Key, "error", err)
		return
	}
	u := throttler.Upstream{Name: upstream, StartedAt: sequoiasill.Millis(w.StartedAt)}
	if !w.Limited {
		e.calls.RecordLimitLifted(u, "gossip")
		return
	}
	e.calls.RecordLimit(u, w.PerSecond, "gossip")
	e.startReport(u, w.PerSecond)
}

// applyKnownLimit applies a limit that was published before its upstream was announced
// here.
func (e *Exchanger) applyKnownLimit(upstream string) {
	if f, ok := e.gossip.Fact(keyLimit + upstream); ok {
		e.handleLimit(upstream, f)
	}
}

// startReport reports this entry's calls to the keeper of a limit. The report is repeated
// until the keeper confirms it.
func (e *Exchanger) startReport(u throttler.Upstream, perSecond float64) {
	e.limits.mu.Lock()
	e.limits.pendingReports[u] = &pendingReport{perSecond: perSecond}
	e.limits.mu.Unlock()
	e.sendReport(u)
}

func (e *Exchanger) sendReport(u throttler.Upstream) {
	l := e.limits
	l.mu.Lock()
	r, keeper := l.pendingReports[u], l.keeper(u.Name)
	if r == nil || r.attempts >= maxReportAttempts {
		delete(l.pendingReports, u)
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()
	a := e.newAsk(u, false, e.calls.KnownLimit(u), r.perSecond)
	l.mu.Lock()
	r.lastAskID = a.ID
	r.attempts++
	if keeper == e.opts.Name {
		delete(l.pendingReports, u)
	}
	l.mu.Unlock()
	if keeper == e.opts.Name {
		e.decide(e.opts.Name, a)
		return
	}
	e.sendTo(keeper, keyAsk, a)
}

// newAsk returns an ask for a permit, or a mere report if wantsPermit is false. The
// argument perSecond is used only if this entry knows no active limit of the upstream.
func (e *Exchanger) newAsk(u throttler.Upstream, wantsPermit bool, k registrar.KnownLimit, perSecond float64) wireAsk {
	if k.Active {
		perSecond = k.PerSecond
	}
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	e.limits.lastID++
	return wireAsk{
		Upstream: u.Name, StartedAt: int64(u.StartedAt), ID: e.limits.lastID, WantsPermit: wantsPermit, FromUpstream: k.Direct, PerSecond: perSecond, AgeMillis: int64(k.Age),
		Process: e.processID(), Sends: toWireSends(k.Sends),
	}
}

// processID returns an ID of this process that is unique among all entries.
func (e *Exchanger) processID() string { return e.opts.Name + "/" + e.opts.Session }

// handleCensus reports this entry's calls to an upstream at the keeper's request.
func (e *Exchanger) handleCensus(f gossiper.Fact) {
	w, err := decodeCensus(f.Value)
	if err != nil {
		e.log.Warn("fact cannot be read", "key", f.Key, "error", err)
		return
	}
	u := throttler.Upstream{Name: w.Upstream, StartedAt: sequoiasill.Millis(w.StartedAt)}
	e.calls.RecordLimit(u, w.PerSecond, "keeper")
	e.startReport(u, w.PerSecond)
}
