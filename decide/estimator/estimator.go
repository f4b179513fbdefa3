// Package estimator tells how many upstreams of a service its load asks for.
//
// An Estimator is a state machine without I/O. It answers the load that rises and falls
// within seconds, before upstreams that take seconds to start and break off long calls
// when they are given back.
package estimator

import (
	"math"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/scaler"
)

const (
	// usualLoad is the part of an engine's time that calls take at the number of
	// upstreams aimed at. With a zone's upstreams lost it rises by half, which
	// leaves quick calls within their latency.
	usualLoad = 0.35
	// highestLoad is the part above which queues grow.
	highestLoad = 0.55
	// waveLoad is the part aimed at while a zone's upstreams were lost and others may
	// follow before on-demand ones start.
	waveLoad = 0.42
	// recentSpan is how long a load counts for on-demand upstreams, which cost several
	// times as much.
	recentSpan = 5 * sequoiasill.Second
	// learnSpan is how long a new holder waits until it knows stock and load.
	learnSpan = 2500 * sequoiasill.Millis(1)
	// trustSpan is how long load must have been seen before it goes before the number
	// of upstreams at the start, which the operator meant for the load.
	trustSpan = 15 * sequoiasill.Second
	// holdSpan is how long a need is remembered after the load fell, as upstreams
	// that are given back break off long calls.
	holdSpan = 60 * sequoiasill.Second
)

// peak is the highest load within a span.
type peak struct {
	load float64
	at   sequoiasill.Millis
}

func (p *peak) update(now, span sequoiasill.Millis, load float64) {
	if load >= p.load || now-p.at > span {
		p.load, p.at = load, now
	}
}

// upstreams returns the number that takes the load when each bears a part of its
// time.
func (p *peak) upstreams(part float64) int {
	return int(math.Ceil(p.load / (float64(sequoiasill.Second) * part)))
}

// Estimator follows the load of one service. Its zero value knows of none. It is not safe
// for concurrent use.
type Estimator struct {
	since    sequoiasill.Millis
	first    int                // upstreams at the start
	loadedAt sequoiasill.Millis // since when there is load
	held     peak
	recent   peak
}

// Update takes in the stock and the load in milliseconds of engine time a second.
func (e *Estimator) Update(now sequoiasill.Millis, zones map[string]scaler.Stock, load float64) {
	if e.since == 0 {
		e.since = now
	}
	if e.loadedAt == 0 {
		// Upstreams may still announce themselves.
		total := 0
		for _, st := range zones {
			total += max(st.Reclaimable, st.OnDemand)
		}
		e.first = max(e.first, total)
	}
	if load > 0 && e.loadedAt == 0 {
		e.loadedAt = now
	}
	e.held.update(now, holdSpan, load)
	e.recent.update(now, recentSpan, load)
}

// Known reports whether enough is known to order upstreams.
func (e *Estimator) Known(now sequoiasill.Millis) bool {
	return e.first > 0 && now-e.since >= learnSpan
}

// Apply writes to v how many upstreams the load asks for.
func (e *Estimator) Apply(now sequoiasill.Millis, v *scaler.View) {
	v.Need = e.held.upstreams(usualLoad)
	v.Bridge = e.recent.upstreams(waveLoad)
	v.Floor = e.recent.upstreams(highestLoad)
	if e.loadedAt == 0 || now-e.loadedAt < trustSpan {
		v.Need = max(v.Need, e.first)
		v.Floor = max(v.Floor, (e.first+1)/2)
	}
	v.Bridge = min(max(v.Bridge, v.Floor), v.Need)
}
