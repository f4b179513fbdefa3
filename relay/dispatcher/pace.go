package dispatcher

import (
	"math"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// IdleConnections is implemented by transports that keep idle connections to upstreams.
type IdleConnections interface {
	// HasIdle reports whether there is one to an upstream. It is called for each candidate of each call
	// while the dispatcher's lock is held.
	HasIdle(upstream string) bool
}

// markConnected marks the candidates to which the transport keeps an idle connection.
func (d *Dispatcher) markConnected(candidates []registrar.Candidate) {
	idle, ok := d.transport.(IdleConnections)
	if !ok {
		return
	}
	for i := range candidates {
		candidates[i].Connected = idle.HasIdle(candidates[i].Replica.Name)
	}
}

// recordPace records the pace that an upstream reported, and announces its usual pace to the other
// entries when it is new.
func (d *Dispatcher) recordPace(r sequoiasill.Replica, pace float64) {
	if pace == 0 {
		return
	}
	var usual float64
	var tell bool
	d.WithRegistrar(func(g *registrar.Registrar) { usual, tell = g.RecordPace(d.clock.Now(), r, pace) })
	if tell {
		d.meter.UpstreamSignal("pace", "answer")
		d.log.Info("usual pace of upstream", "upstream", r.Name, "service", r.Service, "born", r.StartedAt, "pace", usual, "reported", pace, "source", "answer")
		d.peers.AnnouncePace(r.Name, r.StartedAt, usual)
	}
}

// RecordPace records the usual pace of an upstream incarnation that another entry announced.
func (d *Dispatcher) RecordPace(upstream string, startedAt sequoiasill.Millis, usual float64) {
	var changed bool
	d.WithRegistrar(func(g *registrar.Registrar) { changed = g.PaceGossiped(d.clock.Now(), upstream, startedAt, usual) })
	if changed {
		d.meter.UpstreamSignal("pace", "gossip")
		d.log.Debug("usual pace of upstream", "upstream", upstream, "born", startedAt, "pace", usual, "source", "gossip")
	}
}

// UsualPaces returns the lowest and the highest usual pace of upstreams that is known, 0 if none is.
func (d *Dispatcher) UsualPaces() (lowest, highest float64) {
	d.WithRegistrar(func(g *registrar.Registrar) { lowest, highest = g.UsualPaces() })
	return lowest, highest
}

// paceFields returns the log fields of a choice that depended on paces or on idle connections.
func (t *try) paceFields() []any {
	var out []any
	if pace := math.Round(t.choice.Pace*100) / 100; pace != 1 {
		out = append(out, "pace", pace)
	}
	if t.choice.ByConnection {
		out = append(out, "byConnection", true)
	}
	return out
}
