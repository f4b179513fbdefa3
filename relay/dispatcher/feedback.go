package dispatcher

import (
	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// recordFeedback records the upstream's state in a response: its load, draining, pause and
// rate limit.
func (t *try) recordFeedback(a *Response) {
	if t.relay {
		return
	}
	r := t.choice.Replica
	t.recordPressure(a)
	if a.HasLoad {
		t.d.WithRegistrar(func(g *registrar.Registrar) { g.RecordLoad(t.d.clock.Now(), r.Name, a.Load) })
		t.d.recordPace(r, a.Load.Pace)
	}
	if a.Draining && t.d.RecordDraining(r.Name, r.StartedAt, "answer") {
		t.d.peers.AnnounceDraining(r.Name, r.StartedAt)
	}
	if a.Pause > 0 {
		t.d.pauseUpstream(r, a.Pause)
	}
	t.d.updateBrittleness(r, a.Brittle)
	t.d.updateCold(r, a.ColdFor)
	t.limit = a.Limit
	t.d.updateLimit(r, a.Limit)
}

// updateBrittleness records what a response says of the brittleness of its upstream, and announces to
// the other entries that a service has become brittle.
func (d *Dispatcher) updateBrittleness(r sequoiasill.Replica, b registrar.Brittleness) {
	var tell bool
	d.WithRegistrar(func(g *registrar.Registrar) { tell = g.BrittleAnnounced(d.clock.Now(), r, b) })
	if tell {
		d.meter.UpstreamSignal("brittle", "answer")
		d.log.Info("upstreams are brittle", "service", r.Service, "upstream", r.Name, "rejections", b.Rejections, "source", "answer")
		d.peers.AnnounceBrittle(r.Service, b.Rejections)
	}
}

// RecordBrittle records that another entry announced the upstreams of a service as brittle.
func (d *Dispatcher) RecordBrittle(service string, rejections float64) {
	var isNew bool
	d.WithRegistrar(func(g *registrar.Registrar) { isNew = g.BrittleGossiped(d.clock.Now(), service, rejections) })
	if isNew {
		d.meter.UpstreamSignal("brittle", "gossip")
		d.log.Info("upstreams are brittle", "service", service, "rejections", rejections, "source", "gossip")
	}
}

// RecordDraining records that an upstream incarnation is draining. It returns false if that was
// already known.
func (d *Dispatcher) RecordDraining(name string, startedAt sequoiasill.Millis, source string) bool {
	var isNew bool
	d.WithRegistrar(func(g *registrar.Registrar) { isNew = g.MarkDraining(d.clock.Now(), name, startedAt) })
	if isNew {
		d.meter.UpstreamSignal("leaving", source)
		d.log.Info("upstream leaves", "upstream", name, "born", startedAt, "source", source)
	}
	return isNew
}

// pauseUpstream sends an upstream no calls for the time that it requested.
func (d *Dispatcher) pauseUpstream(r sequoiasill.Replica, pause sequoiasill.Millis) {
	var until sequoiasill.Millis
	now := d.clock.Now()
	d.WithRegistrar(func(g *registrar.Registrar) { until = g.Pause(now, r.Name, pause) })
	d.meter.UpstreamSignal("pause", "answer")
	d.log.Info("upstream rests", "upstream", r.Name, "service", r.Service, "asked", pause, "rests", until-now)
}

// retryAfter returns the delay before a retry for callers whose calls found no upstream: the
// time until one is expected to accept calls again, or the default if that is unknown.
func (d *Dispatcher) retryAfter(service string) sequoiasill.Millis {
	wait, known := sequoiasill.Millis(0), false
	d.WithRegistrar(func(g *registrar.Registrar) { wait, known = g.NextAvailable(d.clock.Now(), service) })
	if !known {
		return d.opts.RetryAfter
	}
	return wait
}
