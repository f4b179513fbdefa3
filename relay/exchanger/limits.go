package exchanger

import (
	"context"
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

// Ask asks the keeper of an upstream's limit whether a call may go there.
func (e *Exchanger) Ask(ctx context.Context, u throttler.Upstream) (throttler.Permit, throttler.Decision) {
	known := e.calls.KnownLimit(u)
	if !known.Holds {
		return throttler.Permit{}, throttler.Decision{Free: true}
	}
	a := e.newAsk(u, true, known, 0)
	p, d := e.ask(ctx, u, a)
	p.Granter = d.Granter
	return p, d
}

func (e *Exchanger) ask(ctx context.Context, u throttler.Upstream, a wireAsk) (throttler.Permit, throttler.Decision) {
	l := e.limits
	l.mu.Lock()
	p := throttler.Permit{Upstream: u, Keeper: l.keeper(u.Name), Call: throttler.Call{Process: a.Process, ID: a.ID}}
	wait := l.silent[p.Keeper] - e.clock.Now()
	answer := make(chan throttler.Decision, 1)
	if p.Keeper != e.opts.Name && wait <= 0 {
		l.asks[a.ID] = answer
	}
	l.mu.Unlock()
	switch {
	case p.Keeper == e.opts.Name:
		return p, e.decide(e.opts.Name, a)
	case wait > 0:
		return p, throttler.Decision{Wait: wait}
	}
	d, end := e.await(ctx, p.Keeper, a, answer)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.asks, a.ID)
	switch end {
	case answered:
		l.used[a.ID] = e.clock.Now()
	case unanswered:
		l.silent[p.Keeper] = e.clock.Now() + silentWait
		e.log.Info("keeper of a limit does not answer", "upstream", u.Name, "keeper", p.Keeper, "asksAgainIn", silentWait)
	}
	return p, d
}

// wait is how the waiting for an answer ended.
type wait int

// The ends of waiting.
const (
	answered wait = iota
	unanswered
	abandoned
)

// await sends an ask until its answer comes. Without one the call is denied; a permit that
// comes later is given back.
func (e *Exchanger) await(ctx context.Context, keeper string, a wireAsk, answer <-chan throttler.Decision) (throttler.Decision, wait) {
	denied := throttler.Decision{Wait: silentWait}
	again := time.NewTimer(askWait)
	defer again.Stop()
	for range askTries {
		e.tellOne(keeper, keyAsk, a)
		select {
		case d := <-answer:
			return d, answered
		case <-ctx.Done():
			return denied, abandoned
		case <-e.stop:
			return denied, abandoned
		case <-again.C:
			again.Reset(askWait)
		}
	}
	return denied, unanswered
}

// decide answers an ask of an entry as the keeper.
func (e *Exchanger) decide(entry string, a wireAsk) throttler.Decision {
	now := e.boot.Now()
	u := throttler.Upstream{Name: a.Upstream, Born: sequoiasill.Millis(a.Born)}
	l := e.limits
	l.mu.Lock()
	if l.keeper(u.Name) != e.opts.Name {
		// The entries differ in who lives; soon they will not.
		l.mu.Unlock()
		return throttler.Decision{Wait: silentWait}
	}
	begins := l.take(now, u, a)
	l.throttler.Reported(now, u, throttler.Report{Entry: entry, Process: a.Process, Number: a.ID, Sends: fromWireSends(a.Sends)})
	var d throttler.Decision
	if a.Wants {
		d = l.throttler.Ask(now, u, entry, throttler.Call{Process: a.Process, ID: a.ID})
	}
	l.mu.Unlock()
	if begins {
		e.log.Info("keeping the limit of an upstream", "upstream", u.Name, "perSecond", a.PerSecond, "told", entry)
		e.publishLimit(u, wireLimit{Born: a.Born, Limited: true, PerSecond: a.PerSecond})
	}
	return d
}

// take takes in what an ask says of a limit. It returns true if the limit is kept here
// only from now on. The caller holds the lock of l.
func (l *limits) take(now sequoiasill.Millis, u throttler.Upstream, a wireAsk) (begins bool) {
	if a.Named {
		return l.throttler.Named(now, now-sequoiasill.Millis(a.AgeMillis), u, a.PerSecond)
	}
	return l.throttler.Heard(now, u, a.PerSecond)
}

// learnAsk answers an ask or a report of another entry.
func (e *Exchanger) learnAsk(entry string, f gossiper.Fact) {
	a, err := decodeAsk(f.Value)
	if err != nil {
		e.log.Warn("fact cannot be read", "key", f.Key, "error", err)
		return
	}
	d := e.decide(entry, a)
	e.tellOne(entry, keyDecision, wireDecision{
		Upstream: a.Upstream, Born: a.Born, ID: a.ID, Wanted: a.Wants, Granted: d.Granted, Free: d.Free, WaitMillis: int64(d.Wait), Granter: d.Granter,
	})
}

// learnDecision takes in the answer of a keeper. A permit that nobody waits for any longer
// is given back.
func (e *Exchanger) learnDecision(keeper string, f gossiper.Fact) {
	w, err := decodeDecision(f.Value)
	if err != nil {
		e.log.Warn("fact cannot be read", "key", f.Key, "error", err)
		return
	}
	u := throttler.Upstream{Name: w.Upstream, Born: sequoiasill.Millis(w.Born)}
	l := e.limits
	l.mu.Lock()
	if r := l.reports[u]; r != nil && (r.number == w.ID || w.Wanted) {
		delete(l.reports, u)
	}
	answer, waits := l.asks[w.ID]
	_, used := l.used[w.ID]
	l.mu.Unlock()
	switch {
	case waits:
		select {
		case answer <- throttler.Decision{Granted: w.Granted, Free: w.Free, Wait: sequoiasill.Millis(w.WaitMillis), Granter: w.Granter}:
		default: // answered already
		}
	case w.Granted && !used:
		e.Used(throttler.Permit{Upstream: u, Keeper: keeper, Call: throttler.Call{Process: e.process(), ID: w.ID}}, throttler.Unsent, registrar.Limit{})
	}
}

// Used tells the keeper how a call ended that it granted.
func (e *Exchanger) Used(p throttler.Permit, end throttler.End, told registrar.Limit) {
	w := wireUse{
		Upstream: p.Upstream.Name, Born: int64(p.Upstream.Born), Process: p.Call.Process, ID: p.Call.ID, Came: end == throttler.Came,
		Told: told.Told, Limited: told.Limited, PerSecond: told.PerSecond,
	}
	if p.Keeper == e.opts.Name {
		e.use(w)
		return
	}
	e.tellOne(p.Keeper, keyUse, w)
}

// learnUse takes in as the keeper how a call of another entry ended.
func (e *Exchanger) learnUse(f gossiper.Fact) {
	w, err := decodeUse(f.Value)
	if err != nil {
		e.log.Warn("fact cannot be read", "key", f.Key, "error", err)
		return
	}
	e.use(w)
}

func (e *Exchanger) use(w wireUse) {
	now := e.boot.Now()
	u := throttler.Upstream{Name: w.Upstream, Born: sequoiasill.Millis(w.Born)}
	end := throttler.Unsent
	if w.Came {
		end = throttler.Came
	}
	c := throttler.Call{Process: w.Process, ID: w.ID}
	l := e.limits
	l.mu.Lock()
	lifted := w.Told && l.throttler.Answered(now, u, c, w.PerSecond, w.Limited)
	l.throttler.Ended(now, u, c, end)
	l.mu.Unlock()
	if lifted {
		e.log.Info("limit of an upstream is over", "upstream", u.Name)
		e.publishLimit(u, wireLimit{Born: w.Born})
		e.calls.LimitLifted(u, "keeper")
	}
}

// lookAtLimits lets time pass for the limits: it takes in who lives, asks for reports that
// are missing, repeats its own, and renews the news of limits that it keeps.
func (e *Exchanger) lookAtLimits() {
	live, stay := e.lives()
	now := e.boot.Now()
	missing := make(map[throttler.Upstream][]string)
	rates := make(map[throttler.Upstream]float64)
	l := e.limits
	l.mu.Lock()
	l.names = stay
	l.throttler.SetMembers(live, e.gossip.Sharers())
	l.throttler.Tick(now)
	for _, u := range l.throttler.Kept() {
		if l.keeper(u.Name) != e.opts.Name {
			l.throttler.Drop(u)
			continue
		}
		rates[u], _ = l.throttler.Rate(u)
		missing[u] = l.throttler.Missing(now, u)
	}
	var untold []throttler.Upstream
	for u := range l.reports {
		untold = append(untold, u)
	}
	for id, at := range l.used {
		if e.clock.Now()-at > usedSpan {
			delete(l.used, id)
		}
	}
	l.mu.Unlock()
	for u, rate := range rates {
		e.publishLimit(u, wireLimit{Born: int64(u.Born), Limited: true, PerSecond: rate})
		for _, entry := range missing[u] {
			if entry == e.opts.Name {
				e.calls.LimitHeard(u, rate, "keeper")
				e.report(u, rate)
				continue
			}
			e.tellOne(entry, keyCensus, wireCensus{Upstream: u.Name, Born: int64(u.Born), PerSecond: rate})
		}
	}
	for _, u := range untold {
		e.tryReport(u)
	}
}

// lives returns the names of the entries that live, and of those of them that stay.
func (e *Exchanger) lives() (live, stay []string) {
	for _, m := range e.gossip.Members() {
		live = append(live, m.Name)
		if !m.Leaving {
			stay = append(stay, m.Name)
		}
	}
	if len(stay) == 0 {
		stay = live
	}
	return live, stay
}

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
