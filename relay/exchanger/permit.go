package exchanger

import (
	"context"
	"time"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/decide/throttler"
)

// RequestPermit requests a permit for a call to an upstream from the keeper of its rate limit.
// If the upstream has no known limit, the call needs no permit.
func (e *Exchanger) RequestPermit(ctx context.Context, u throttler.Upstream) (throttler.Permit, throttler.Decision) {
	known := e.calls.KnownLimit(u)
	if !known.Active {
		return throttler.Permit{}, throttler.Decision{Lifted: true}
	}
	a := e.newAsk(u, true, known, 0)
	p, d := e.askKeeper(ctx, u, a)
	p.Granter = d.Granter
	return p, d
}

func (e *Exchanger) askKeeper(ctx context.Context, u throttler.Upstream, a wireAsk) (throttler.Permit, throttler.Decision) {
	l := e.limits
	l.mu.Lock()
	p := throttler.Permit{Upstream: u, Keeper: l.keeper(u.Name), Call: throttler.Call{Process: a.Process, ID: a.ID}}
	wait := l.silentUntil[p.Keeper] - e.clock.Now()
	answer := make(chan throttler.Decision, 1)
	if p.Keeper != e.opts.Name && wait <= 0 {
		l.pendingAsks[a.ID] = answer
	}
	l.mu.Unlock()
	switch {
	case p.Keeper == e.opts.Name:
		return p, e.decide(e.opts.Name, a)
	case wait > 0:
		return p, throttler.Decision{Wait: wait}
	}
	d, result := e.awaitDecision(ctx, p.Keeper, a, answer)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pendingAsks, a.ID)
	switch result {
	case answered:
		l.usedPermits[a.ID] = e.clock.Now()
	case unanswered:
		l.silentUntil[p.Keeper] = e.clock.Now() + keeperRetryDelay
		e.log.Info("keeper of a limit does not answer", "upstream", u.Name, "keeper", p.Keeper, "asksAgainIn", keeperRetryDelay)
	}
	return p, d
}

// waitResult is the outcome of waiting for a keeper's decision.
type waitResult int

// Outcomes of awaitDecision.
const (
	answered waitResult = iota
	unanswered
	abandoned
)

// awaitDecision sends an ask and repeats it until the decision arrives. If none arrives,
// the call is denied, and a permit that arrives later is returned to the keeper.
func (e *Exchanger) awaitDecision(ctx context.Context, keeper string, a wireAsk, answer <-chan throttler.Decision) (throttler.Decision, waitResult) {
	denied := throttler.Decision{Wait: keeperRetryDelay}
	retry := time.NewTimer(askTimeout)
	defer retry.Stop()
	for range maxAskAttempts {
		e.sendTo(keeper, keyAsk, a)
		select {
		case d := <-answer:
			return d, answered
		case <-ctx.Done():
			return denied, abandoned
		case <-e.stop:
			return denied, abandoned
		case <-retry.C:
			retry.Reset(askTimeout)
		}
	}
	return denied, unanswered
}

// handleDecision handles the decision of a keeper. A permit that no call is waiting for any
// more is given back to the keeper as unused.
func (e *Exchanger) handleDecision(keeper string, f gossiper.Fact) {
	w, err := decodeDecision(f.Value)
	if err != nil {
		e.log.Warn("fact cannot be read", "key", f.Key, "error", err)
		return
	}
	u := throttler.Upstream{Name: w.Upstream, StartedAt: sequoiasill.Millis(w.StartedAt)}
	l := e.limits
	l.mu.Lock()
	if r := l.pendingReports[u]; r != nil && (r.lastAskID == w.ID || w.WantsPermit) {
		delete(l.pendingReports, u)
	}
	answer, pending := l.pendingAsks[w.ID]
	_, used := l.usedPermits[w.ID]
	l.mu.Unlock()
	switch {
	case pending:
		select {
		case answer <- throttler.Decision{Granted: w.Granted, Lifted: w.Lifted, Wait: sequoiasill.Millis(w.WaitMillis), Granter: w.Granter}:
		default: // a decision was already delivered
		}
	case w.Granted && !used:
		e.ReportOutcome(throttler.Permit{Upstream: u, Keeper: keeper, Call: throttler.Call{Process: e.processID(), ID: w.ID}}, throttler.Unsent, registrar.Limit{})
	}
}

// ReportOutcome reports to the keeper how a call that it granted ended.
func (e *Exchanger) ReportOutcome(p throttler.Permit, end throttler.Outcome, limit registrar.Limit) {
	w := wireUse{
		Upstream: p.Upstream.Name, StartedAt: int64(p.Upstream.StartedAt), Process: p.Call.Process, ID: p.Call.ID, Reached: end == throttler.Arrived,
		Reported: limit.FromUpstream, Limited: limit.Limited, PerSecond: limit.PerSecond,
	}
	if p.Keeper == e.opts.Name {
		e.endCall(w)
		return
	}
	e.sendTo(p.Keeper, keyUse, w)
}
