package exchanger

import (
	"context"
	"time"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/decide/throttler"
)

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
