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

// Keys of facts on the limits of upstreams. All but the first go to one entry only.
const (
	keyLimit    = "limit/"    // and an upstream: whether it limits its calls
	keyAsk      = "ask/"      // and the entry that asks or reports
	keyDecision = "decision/" // and the keeper that answers
	keyUse      = "use/"      // and the entry that used a permit
	keyCensus   = "census/"   // and the keeper that wants a report
)

const (
	// askWait is how long an entry waits for the answer of a keeper until it asks again,
	// and askTries how often it asks.
	askWait  = 60 * time.Millisecond
	askTries = 3
	// silentWait is how long a keeper that did not answer is not asked.
	silentWait = 500 * sequoiasill.Millis(1)
	// reportTries is how often an entry reports what it sent until the keeper confirms it,
	// at each look of lookEvery.
	reportTries = 20
	lookEvery   = 250 * time.Millisecond
	// usedSpan is how long it is known that a permit was used: answers to asks that were
	// repeated come later.
	usedSpan = 2 * sequoiasill.Second
)

// limits is what an entry knows of upstreams that limit their calls, those whose limits it
// keeps itself and those that it asks others about.
type limits struct {
	mu        sync.Mutex
	throttler *throttler.Throttler
	names     []string // entries that may be keepers
	number    uint64   // of the last ask or report of this process
	asks      map[uint64]chan throttler.Decision
	used      map[uint64]sequoiasill.Millis // asks whose answer was taken
	silent    map[string]sequoiasill.Millis // keepers that did not answer, until when they are not asked
	reports   map[throttler.Upstream]*reporting
}

// reporting is a report on its way to the keeper of a limit.
type reporting struct {
	perSecond float64 // the limit, as news tells
	number    uint64  // of the last try
	tries     int
}

func newLimits(self, process string, now sequoiasill.Millis, seed uint64) *limits {
	return &limits{
		throttler: throttler.New(now, process, seed), names: []string{self}, asks: make(map[uint64]chan throttler.Decision),
		used: make(map[uint64]sequoiasill.Millis), silent: make(map[string]sequoiasill.Millis), reports: make(map[throttler.Upstream]*reporting),
	}
}

// keeper returns the entry that keeps the limit of an upstream: the first in rendezvous
// order. The caller holds the lock of l.
func (l *limits) keeper(upstream string) string {
	first, weight := "", uint64(0)
	for _, name := range l.names {
		if w := picker.Rendezvous(keyLimit+upstream, 0, name); first == "" || w > weight {
			first, weight = name, w
		}
	}
	return first
}

// LimitNamed spreads that an upstream limits its calls, and tells the keeper what was sent.
func (e *Exchanger) LimitNamed(u throttler.Upstream, perSecond float64) {
	e.publishLimit(u, wireLimit{Born: int64(u.Born), Limited: true, PerSecond: perSecond})
	e.report(u, perSecond)
}

// publishLimit spreads news of a limit unless the same is known.
func (e *Exchanger) publishLimit(u throttler.Upstream, w wireLimit) {
	now := e.clock.Now()
	version := uint64(now)
	if f, ok := e.gossip.Fact(keyLimit + u.Name); ok {
		version = max(version, f.Version+1)
		known, err := decodeLimit(f.Value)
		if err == nil && known.Born == w.Born && known.Limited == w.Limited && f.Expires-now > replicaSpan/2 {
			return
		}
	}
	b, err := encodeLimit(w)
	if err != nil {
		e.log.Error("limit not told", "upstream", u.Name, "error", err)
		return
	}
	e.gossip.Publish(keyLimit+u.Name, version, b, true, replicaSpan)
}

// learnLimit takes in news of a limit.
func (e *Exchanger) learnLimit(upstream string, f gossiper.Fact) {
	w, err := decodeLimit(f.Value)
	if err != nil {
		e.log.Warn("fact cannot be read", "key", f.Key, "error", err)
		return
	}
	u := throttler.Upstream{Name: upstream, Born: sequoiasill.Millis(w.Born)}
	if !w.Limited {
		e.calls.LimitLifted(u, "gossip")
		return
	}
	e.calls.LimitHeard(u, w.PerSecond, "gossip")
	e.report(u, w.PerSecond)
}

// recallLimit takes in what is known of the limit of an upstream that was announced.
func (e *Exchanger) recallLimit(upstream string) {
	if f, ok := e.gossip.Fact(keyLimit + upstream); ok {
		e.learnLimit(upstream, f)
	}
}

// report tells the keeper of a limit what this entry sent, until it confirms that.
func (e *Exchanger) report(u throttler.Upstream, perSecond float64) {
	e.limits.mu.Lock()
	e.limits.reports[u] = &reporting{perSecond: perSecond}
	e.limits.mu.Unlock()
	e.tryReport(u)
}

func (e *Exchanger) tryReport(u throttler.Upstream) {
	l := e.limits
	l.mu.Lock()
	r, keeper := l.reports[u], l.keeper(u.Name)
	if r == nil || r.tries >= reportTries {
		delete(l.reports, u)
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()
	a := e.newAsk(u, false, e.calls.KnownLimit(u), r.perSecond)
	l.mu.Lock()
	r.number = a.ID
	r.tries++
	if keeper == e.opts.Name {
		delete(l.reports, u)
	}
	l.mu.Unlock()
	if keeper == e.opts.Name {
		e.decide(e.opts.Name, a)
		return
	}
	e.tellOne(keeper, keyAsk, a)
}

// newAsk returns an ask for a call to an upstream, or a report only. PerSecond is its
// limit where this entry knows of it by news only.
func (e *Exchanger) newAsk(u throttler.Upstream, wants bool, k registrar.KnownLimit, perSecond float64) wireAsk {
	if k.Holds {
		perSecond = k.PerSecond
	}
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	e.limits.number++
	return wireAsk{
		Upstream: u.Name, Born: int64(u.Born), ID: e.limits.number, Wants: wants, Named: k.Own, PerSecond: perSecond, AgeMillis: int64(k.Age),
		Process: e.process(), Sends: toWireSends(k.Sends),
	}
}

// process names this process among those of all entries.
func (e *Exchanger) process() string { return e.opts.Name + "/" + e.opts.Session }

// learnCensus reports what this entry sent to an upstream, as its keeper asks.
func (e *Exchanger) learnCensus(f gossiper.Fact) {
	w, err := decodeCensus(f.Value)
	if err != nil {
		e.log.Warn("fact cannot be read", "key", f.Key, "error", err)
		return
	}
	u := throttler.Upstream{Name: w.Upstream, Born: sequoiasill.Millis(w.Born)}
	e.calls.LimitHeard(u, w.PerSecond, "keeper")
	e.report(u, w.PerSecond)
}
