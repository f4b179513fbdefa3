package dispatcher

import (
	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// heed takes in what an upstream tells of itself with an answer: its load, that it
// leaves, or that it wants a pause.
func (t *try) heed(a *Answer) {
	r := t.choice.Replica
	if a.HasLoad {
		t.d.Registrar(func(g *registrar.Registrar) { g.Reported(t.d.clock.Now(), r.Name, a.Load) })
	}
	if a.Leaving && t.d.Left(r.Name, r.Born, "answer") {
		t.d.peers.Left(r.Name, r.Born)
	}
	if a.Pause > 0 {
		t.d.rest(r, a.Pause)
	}
	t.limit = a.Limit
	t.d.namesLimit(r, a.Limit)
}

// Left takes in that the start of an upstream said that it leaves. It returns false if
// that is not new.
func (d *Dispatcher) Left(name string, born sequoiasill.Millis, source string) bool {
	var fresh bool
	d.Registrar(func(g *registrar.Registrar) { fresh = g.Left(d.clock.Now(), name, born) })
	if fresh {
		d.meter.Told("leaving", source)
		d.log.Info("upstream leaves", "upstream", name, "born", born, "source", source)
	}
	return fresh
}

// rest leaves an upstream alone for a span.
func (d *Dispatcher) rest(r sequoiasill.Replica, span sequoiasill.Millis) {
	var until sequoiasill.Millis
	now := d.clock.Now()
	d.Registrar(func(g *registrar.Registrar) { until = g.Rest(now, r.Name, span) })
	d.meter.Told("pause", "answer")
	d.log.Info("upstream rests", "upstream", r.Name, "service", r.Service, "asked", span, "rests", until-now)
}

// comeBack returns what callers are told whose calls found no upstream: when one is
// expected to take calls again, where that is known.
func (d *Dispatcher) comeBack(service string) sequoiasill.Millis {
	wait, known := sequoiasill.Millis(0), false
	d.Registrar(func(g *registrar.Registrar) { wait, known = g.Expected(d.clock.Now(), service) })
	if !known {
		return d.opts.RetryAfter
	}
	return wait
}
