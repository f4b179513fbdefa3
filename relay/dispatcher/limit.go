package dispatcher

import (
	"context"
	"slices"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/appraiser"
	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/decide/throttler"
)

// startOf names the start of an upstream.
func startOf(r sequoiasill.Replica) throttler.Upstream {
	return throttler.Upstream{Name: r.Name, Born: r.Born}
}

// unlimited returns the candidates that need no permit.
func unlimited(candidates []registrar.Candidate) []registrar.Candidate {
	return slices.DeleteFunc(candidates, func(c registrar.Candidate) bool { return c.Limited })
}

// permit asks for leave to send a call to an upstream that limits its calls. Without it
// the upstream gets no call from here for a while.
func (d *Dispatcher) permit(ctx context.Context, j *job, r sequoiasill.Replica) (*throttler.Permit, bool) {
	u := startOf(r)
	p, decision := d.peers.Ask(ctx, u)
	d.meter.Permitted(decision.Granted, decision.Free)
	if decision.Granted {
		return &p, true
	}
	if decision.Free {
		d.limitLifted(u, "keeper", true)
		return nil, true
	}
	j.denials++
	d.Registrar(func(g *registrar.Registrar) { g.Deny(u, d.clock.Now()+decision.Wait) })
	d.log.Debug("call denied by the limit of an upstream", "request", j.call.ID, "upstream", r.Name, "keeper", p.Keeper, "wait", decision.Wait)
	return nil, false
}

// namesLimit takes in what an answer says of the calls that an upstream takes.
func (d *Dispatcher) namesLimit(r sequoiasill.Replica, l registrar.Limit) {
	var before float64
	var begins bool
	d.Registrar(func(g *registrar.Registrar) { before, begins = g.NamesLimit(d.clock.Now(), r, l) })
	if !begins {
		if l.Limited && l.PerSecond != before {
			d.log.Info("upstream names another limit", "upstream", r.Name, "service", r.Service, "perSecond", l.PerSecond, "before", before)
		}
		return
	}
	d.meter.Told("limit", "answer")
	d.log.Info("upstream limits its calls", "upstream", r.Name, "service", r.Service, "perSecond", l.PerSecond, "source", "answer")
	d.peers.LimitNamed(startOf(r), l.PerSecond)
}

// LimitHeard takes in that the start of an upstream limits its calls.
func (d *Dispatcher) LimitHeard(u throttler.Upstream, perSecond float64, source string) {
	var fresh bool
	d.Registrar(func(g *registrar.Registrar) { fresh = g.LimitHeard(u, perSecond) })
	if fresh {
		d.meter.Told("limit", source)
		d.log.Info("upstream limits its calls", "upstream", u.Name, "perSecond", perSecond, "source", source)
	}
}

// LimitLifted takes in that the limit of the start of an upstream is over.
func (d *Dispatcher) LimitLifted(u throttler.Upstream, source string) {
	d.limitLifted(u, source, false)
}

func (d *Dispatcher) limitLifted(u throttler.Upstream, source string, byKeeper bool) {
	var fresh bool
	d.Registrar(func(g *registrar.Registrar) { fresh = g.LimitLifted(d.clock.Now(), u, byKeeper) })
	if fresh {
		d.meter.Told("no limit", source)
		d.log.Info("upstream limits its calls no longer", "upstream", u.Name, "source", source)
	}
}

// KnownLimit returns what is known of the limit of the start of an upstream.
func (d *Dispatcher) KnownLimit(u throttler.Upstream) registrar.KnownLimit {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registrar.KnownLimit(d.clock.Now(), u)
}

// granter returns who granted an attempt, empty for nobody.
func (t *try) granter() string {
	if t.permit == nil {
		return ""
	}
	return t.permit.Granter
}

// departs counts a call that is about to be sent. The caller holds the dispatcher's lock.
func (t *try) departs() {
	t.departed = true
	t.d.registrar.Departs(t.choice.Replica.Name, t.granter())
}

// landed tells what became of what was sent: to the registrar, and to the keeper of the
// upstream's limit where that gave a permit. It has no answer where l tells nothing. What
// may still come keeps its place with the keeper.
func (t *try) landed(k appraiser.Kind, l registrar.Limit) {
	if t.departed {
		t.d.Registrar(func(g *registrar.Registrar) { g.Came(t.d.clock.Now(), t.choice.Replica.Name, t.granter()) })
	}
	switch {
	case t.permit == nil:
	case !t.departed:
		t.d.peers.Used(*t.permit, throttler.Unsent, l)
	case k != appraiser.Unclear && k != appraiser.GivenUp:
		t.d.peers.Used(*t.permit, throttler.Came, l)
	}
}
