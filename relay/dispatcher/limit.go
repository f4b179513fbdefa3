package dispatcher

import (
	"context"
	"slices"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/classifier"
	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/decide/throttler"
)

// incarnationOf returns the incarnation of an upstream, which changes when the upstream
// restarts.
func incarnationOf(r sequoiasill.Replica) throttler.Upstream {
	return throttler.Upstream{Name: r.Name, StartedAt: r.StartedAt}
}

// unlimited returns the candidates without a rate limit, which need no permit.
func unlimited(candidates []registrar.Candidate) []registrar.Candidate {
	return slices.DeleteFunc(candidates, func(c registrar.Candidate) bool { return c.Limited })
}

// requestPermit requests a permit for a call to a rate-limited upstream and reports whether
// the call may be sent. The permit is nil if the limit was lifted. If the permit is denied,
// this entry sends the upstream no call for the time that the decision sets.
func (d *Dispatcher) requestPermit(ctx context.Context, j *job, r sequoiasill.Replica) (*throttler.Permit, bool) {
	u := incarnationOf(r)
	p, decision := d.peers.RequestPermit(ctx, u)
	d.meter.PermitDecided(decision.Granted, decision.Lifted)
	if decision.Granted {
		return &p, true
	}
	if decision.Lifted {
		d.recordLimitLifted(u, "keeper", true)
		return nil, true
	}
	j.denials++
	d.WithRegistrar(func(g *registrar.Registrar) { g.Deny(u, d.clock.Now()+decision.Wait) })
	d.log.Debug("call denied by the limit of an upstream", "request", j.call.ID, "upstream", r.Name, "keeper", p.Keeper, "wait", decision.Wait)
	return nil, false
}

// updateLimit records the rate limit in a response and announces it to the other entries if
// the upstream had none before.
func (d *Dispatcher) updateLimit(r sequoiasill.Replica, l registrar.Limit) {
	var before float64
	var isNew bool
	d.WithRegistrar(func(g *registrar.Registrar) { before, isNew = g.LimitAnnounced(d.clock.Now(), r, l) })
	if !isNew {
		if l.Limited && l.PerSecond != before {
			d.log.Info("upstream names another limit", "upstream", r.Name, "service", r.Service, "perSecond", l.PerSecond, "before", before)
		}
		return
	}
	d.meter.UpstreamSignal("limit", "answer")
	d.log.Info("upstream limits its calls", "upstream", r.Name, "service", r.Service, "perSecond", l.PerSecond, "source", "answer")
	d.peers.AnnounceLimit(incarnationOf(r), l.PerSecond)
}

// RecordLimit records the rate limit of an upstream incarnation that another entry announced.
func (d *Dispatcher) RecordLimit(u throttler.Upstream, perSecond float64, source string) {
	var isNew bool
	d.WithRegistrar(func(g *registrar.Registrar) { isNew = g.LimitGossiped(u, perSecond) })
	if isNew {
		d.meter.UpstreamSignal("limit", source)
		d.log.Info("upstream limits its calls", "upstream", u.Name, "perSecond", perSecond, "source", source)
	}
}

// RecordLimitLifted records that an upstream incarnation no longer has a rate limit.
func (d *Dispatcher) RecordLimitLifted(u throttler.Upstream, source string) {
	d.recordLimitLifted(u, source, false)
}

func (d *Dispatcher) recordLimitLifted(u throttler.Upstream, source string, byKeeper bool) {
	var isNew bool
	d.WithRegistrar(func(g *registrar.Registrar) { isNew = g.LimitLifted(d.clock.Now(), u, byKeeper) })
	if isNew {
		d.meter.UpstreamSignal("no limit", source)
		d.log.Info("upstream limits its calls no longer", "upstream", u.Name, "source", source)
	}
}

// KnownLimit returns the known state of the rate limit of an upstream incarnation.
func (d *Dispatcher) KnownLimit(u throttler.Upstream) registrar.KnownLimit {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registrar.KnownLimit(d.clock.Now(), u)
}

// granter identifies the source of the permit, and is empty without one.
func (t *try) granter() string {
	if t.permit == nil {
		return ""
	}
	return t.permit.Granter
}

// markSent records that the call is about to be sent. The caller holds the dispatcher's lock.
func (t *try) markSent() {
	t.maybeSent = true
	t.d.registrar.SendStarted(t.choice.Replica.Name, t.granter())
}

// settleSend reports the end of the send to the registrar and, if there was a permit, to the
// keeper of the upstream's rate limit. l is the zero value without a response. The registrar and
// the keeper go on counting a call that may still reach the upstream as outstanding.
func (t *try) settleSend(k classifier.Kind, l registrar.Limit) {
	mayArrive := k == classifier.NoResponse || k == classifier.GivenUp
	if t.maybeSent {
		t.d.WithRegistrar(func(g *registrar.Registrar) {
			if mayArrive {
				g.SendAbandoned(t.d.clock.Now(), t.choice.Replica.Name, t.granter())
				return
			}
			g.SendArrived(t.d.clock.Now(), t.choice.Replica.Name, t.granter())
		})
	}
	switch {
	case t.permit == nil:
	case !t.maybeSent:
		t.d.peers.ReportOutcome(*t.permit, throttler.Unsent, l)
	case !mayArrive:
		t.d.peers.ReportOutcome(*t.permit, throttler.Arrived, l)
	}
}
