package dispatcher

import (
	"fmt"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// SetColdEntries sets the number of entries among which the rates of cold upstreams are divided.
func (d *Dispatcher) SetColdEntries(n int) {
	d.WithRegistrar(func(r *registrar.Registrar) { r.SetColdEntries(n) })
}

// ReportColdStarts logs and counts the cold times that records announced since the last call.
func (d *Dispatcher) ReportColdStarts() {
	var starts []registrar.RecordedColdStart
	d.WithRegistrar(func(r *registrar.Registrar) { starts = r.ColdStarts() })
	for _, s := range starts {
		d.reportCold(s.Name, s.Service, s.ColdStart, "record")
	}
}

// updateCold records what a response says of the cold time of its upstream.
func (d *Dispatcher) updateCold(r sequoiasill.Replica, coldFor sequoiasill.Millis) {
	if coldFor > 0 {
		d.RecordCold(r, coldFor, "answer")
	}
}

// RecordCold records that an upstream announced how much longer it stays cold.
func (d *Dispatcher) RecordCold(r sequoiasill.Replica, coldFor sequoiasill.Millis, source string) {
	var start registrar.ColdStart
	var isNew bool
	d.WithRegistrar(func(g *registrar.Registrar) { start, isNew = g.ColdAnnounced(d.clock.Now(), r, coldFor) })
	if isNew {
		d.reportCold(r.Name, r.Service, start, source)
	}
}

// RecordColdAt is RecordCold for the upstream of a name and an address, by the response to a probe.
func (d *Dispatcher) RecordColdAt(name, address string, coldFor sequoiasill.Millis, source string) {
	var found *sequoiasill.Replica
	d.WithRegistrar(func(r *registrar.Registrar) { found = r.Find(name, address) })
	if found != nil {
		d.RecordCold(*found, coldFor, source)
	}
}

func (d *Dispatcher) reportCold(upstream, service string, s registrar.ColdStart, source string) {
	d.meter.UpstreamSignal("cold", source)
	d.log.Info("upstream is cold", "upstream", upstream, "service", service, "for", s.For, "firstSendIn", s.Wait, "interval", s.Interval,
		"entries", s.Entries, "source", source)
}

// applyColdRates passes the rates of cold upstreams in the current configuration on to the registrar.
func (d *Dispatcher) applyColdRates() {
	d.WithRegistrar(func(r *registrar.Registrar) {
		// The configuration is read under the lock, so that the newest one stays.
		rates := make(map[string]float64)
		for _, s := range d.traffic.Load().Services {
			if s.ColdPerSec > 0 {
				rates[s.Name] = s.ColdPerSec
			}
		}
		r.SetColdRates(rates)
	})
}

// noUpstreamReason returns the reason why no upstream can run a call.
func (d *Dispatcher) noUpstreamReason(j *job) string {
	if j.denials > 0 {
		return "upstreams limit their calls"
	}
	const reason = "no upstream left"
	var u registrar.Unavailable
	d.WithRegistrar(func(r *registrar.Registrar) { u = r.Unavailable(d.clock.Now(), j.service) })
	if u.Cold == 0 && u.Evacuated == 0 {
		return reason
	}
	return fmt.Sprintf("%s; %d are cold, %d in evacuated zones", reason, u.Cold, u.Evacuated)
}
