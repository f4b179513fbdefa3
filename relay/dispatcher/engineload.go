package dispatcher

import (
	"math"

	"sequoiasill.dev/sequoiasill"
)

// Engine time of a call. Engines read 92 to 140 prompt tokens a millisecond, and a batch of
// about twenty calls shares each decoding step, so that a token costs a twentieth of a step.
const (
	promptTokensPerMilli = 100
	millisPerOutputToken = 0.25
)

// engineLoadDecay is the time in which an engine load falls to 1/e.
const engineLoadDecay = 5 * sequoiasill.Second

// engineLoad is the engine time in milliseconds that calls of a service need per second, as an
// exponentially decaying average.
type engineLoad struct {
	rate    float64
	updated sequoiasill.Millis
}

func (l *engineLoad) decay(now sequoiasill.Millis) {
	l.rate *= math.Exp(-float64(max(now-l.updated, 0)) / float64(engineLoadDecay))
	l.updated = max(now, l.updated)
}

// addEngineLoad adds the engine time of a call of which an engine prefills the given number of tokens. The
// caller holds the lock.
func (d *Dispatcher) addEngineLoad(now sequoiasill.Millis, j *job, prefill int) {
	if !j.engine {
		return
	}
	l := d.engineLoads[j.service]
	if l == nil {
		l = &engineLoad{updated: now}
		d.engineLoads[j.service] = l
	}
	l.decay(now)
	millis := float64(prefill)/promptTokensPerMilli + float64(j.call.Prompt.ExpectedOutput())*millisPerOutputToken
	l.rate += millis / float64(engineLoadDecay) * float64(sequoiasill.Second)
}

// EngineLoads returns the engine time in milliseconds that the calls of this entry need per
// second, by service.
func (d *Dispatcher) EngineLoads() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]float64, len(d.engineLoads))
	for service, l := range d.engineLoads {
		l.decay(d.clock.Now())
		out[service] = l.rate
	}
	return out
}
