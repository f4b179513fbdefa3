// Package estimator estimates how many upstreams a service needs for its load.
//
// An Estimator is a state machine without I/O. It is designed for a load that rises and
// falls within seconds, with upstreams that take seconds to start and abort long calls
// when they are released.
package estimator

import (
	"math"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/scaler"
)

const (
	// targetUtilisation is the utilisation of an engine at the desired number of
	// upstreams. The loss of a zone's upstreams raises it by half, at which quick calls
	// still meet their latency target.
	targetUtilisation = 0.35
	// fewSlots is the number of slots below which an engine runs out of slots before it runs out of
	// engine time: then calls queue at a utilisation that would otherwise be fine. At such engines the
	// loss of a zone's upstreams is made up by zoneReserve times as many reclaimable upstreams, which
	// start too late if they are ordered after the loss.
	fewSlots    = 20
	zoneReserve = 1.5
	// maxUtilisation is the utilisation above which queues grow.
	maxUtilisation = 0.55
	// zoneLossUtilisation is the target after the loss of a zone's upstreams, while more
	// may be lost before on-demand upstreams have started.
	zoneLossUtilisation = 0.42
	// recentWindow is the window of peak load for which on-demand upstreams are ordered.
	// It is short, as they cost several times as much.
	recentWindow = 5 * sequoiasill.Second
	// warmUpDuration is how long a new lease holder collects stock and load before it
	// orders upstreams.
	warmUpDuration = 2500 * sequoiasill.Millis(1)
	// initialCountDuration is how long the initial number of upstreams, which the operator
	// chose for the load, remains a lower bound after the first load.
	initialCountDuration = 15 * sequoiasill.Second
	// scaleDownDelay is the window of peak load for the number of upstreams. It delays
	// scaling down, as releasing an upstream aborts long calls.
	scaleDownDelay = 60 * sequoiasill.Second
)

// peak is the highest load within a time window.
type peak struct {
	load float64
	at   sequoiasill.Millis
}

func (p *peak) update(now, span sequoiasill.Millis, load float64) {
	if load >= p.load || now-p.at > span {
		p.load, p.at = load, now
	}
}

// upstreams returns the number of upstreams that serve the peak load at a utilisation.
func (p *peak) upstreams(utilisation float64) int {
	return int(sequoiasill.ClampNumber(math.Ceil(p.load/(float64(sequoiasill.Second)*utilisation)), math.MaxInt32))
}

// Estimator tracks the load of one service. Its zero value is ready for use. It is not
// safe for concurrent use.
type Estimator struct {
	slots            int // of each upstream, 0 if it is not an engine
	startedAt        sequoiasill.Millis
	initialUpstreams int                // upstreams before the first load
	firstLoadAt      sequoiasill.Millis // 0 before the first load
	needPeak         peak
	recentPeak       peak
}

// Update sets the stock and the load, in milliseconds of engine time per second.
func (e *Estimator) Update(now sequoiasill.Millis, zones map[string]scaler.Stock, load float64) {
	if e.startedAt == 0 {
		e.startedAt = now
	}
	if e.firstLoadAt == 0 {
		// More upstreams may still announce themselves.
		total := 0
		for _, st := range zones {
			total += max(st.Reclaimable, st.OnDemand)
		}
		e.initialUpstreams = max(e.initialUpstreams, total)
	}
	if load > 0 && e.firstLoadAt == 0 {
		e.firstLoadAt = now
	}
	e.needPeak.update(now, scaleDownDelay, load)
	e.recentPeak.update(now, recentWindow, load)
}

// Ready reports whether there is enough data to order upstreams.
func (e *Estimator) Ready(now sequoiasill.Millis) bool {
	return e.initialUpstreams > 0 && now-e.startedAt >= warmUpDuration
}

// SetSlots sets the slots of each upstream, 0 if it is not an engine.
func (e *Estimator) SetSlots(n int) { e.slots = n }

// reserve returns the factor by which reclaimable upstreams exceed what the load requires.
func (e *Estimator) reserve() float64 {
	if e.slots > 0 && e.slots < fewSlots {
		return zoneReserve
	}
	return 1
}

// Apply sets the numbers of upstreams in v that the load requires.
func (e *Estimator) Apply(now sequoiasill.Millis, v *scaler.View) {
	v.Need = e.needPeak.upstreams(targetUtilisation)
	v.LossWaveTarget = e.recentPeak.upstreams(zoneLossUtilisation)
	v.MinServing = e.recentPeak.upstreams(maxUtilisation)
	if e.firstLoadAt == 0 || now-e.firstLoadAt < initialCountDuration {
		v.Need = max(v.Need, e.initialUpstreams)
		v.MinServing = max(v.MinServing, (e.initialUpstreams+1)/2)
	}
	v.LossWaveTarget = min(max(v.LossWaveTarget, v.MinServing), v.Need)
	v.Need = int(math.Ceil(float64(v.Need) * e.reserve()))
}
