package dispatcher

import (
	"math"
	"time"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/rationer"
)

// lookAgainSpan is the pause between looks for something better to do than to wait for a
// slow answer. A ration fills within seconds, and callers do not notice less.
const lookAgainSpan = 50 * sequoiasill.Millis(1)

// patience ends an attempt whose answer does not begin in time, once the call can be sent
// elsewhere.
type patience struct {
	try   *try
	span  sequoiasill.Millis
	timer *time.Timer

	// Guarded by the dispatcher's lock:
	over   bool
	late   bool // the answer did not come in time
	denied bool // no repeat was left at the first look
}

// newPatience starts to wait where the call may be repeated and there is time for this
// attempt and another one. Stop must be called when the answer begins or the attempt ends.
func newPatience(t *try) *patience {
	p := &patience{try: t, span: t.route.Latency * sequoiasill.Millis(t.d.opts.GiveUpPart) / 100}
	if !t.route.MayRepeat() || t.runs+1 >= t.route.MaxAttempts || p.span <= 0 || t.deadline-t.began < 2*p.span {
		p.over = true
		return p
	}
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	p.timer = time.AfterFunc(p.span.Duration(), p.look)
	return p
}

// stop ends the waiting.
func (p *patience) stop() {
	d := p.try.d
	d.mu.Lock()
	defer d.mu.Unlock()
	if !p.over {
		p.over = true
		p.timer.Stop()
	}
}

// look gives the attempt up if there is an upstream that has not had the call and a
// repeat is left, which it takes. Else it looks again later.
func (p *patience) look() {
	t, d := p.try, p.try.d
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if p.over || t.deadline-now < p.span {
		return
	}
	if _, ok := d.choose(now, t.job); !ok || !p.takeRepeat(now) {
		if !p.late {
			p.late = true
			d.registrar.Late(now, t.choice.Replica.Name)
		}
		p.timer.Reset(lookAgainSpan.Duration())
		return
	}
	p.over = true
	t.cancel(errGivenUp)
}

// takeRepeat takes a repeat for the call. That none is left is told once.
func (p *patience) takeRepeat(now sequoiasill.Millis) bool {
	t := p.try
	before := t.d.rationer.State(now, t.ration)
	allowed := t.d.rationer.Repeat(now, t.ration)
	if allowed || !p.denied {
		t.d.tellRepeat(t.job, t.arrivalsThen+1, allowed, before)
	}
	p.denied = !allowed
	return allowed
}

// tellRepeat counts and logs a wish to send a call once more.
func (d *Dispatcher) tellRepeat(j *job, arrivals int, allowed bool, before rationer.State) {
	d.meter.Repeated(j.service, allowed)
	d.log.Info("repeat", "request", j.call.ID, "service", j.service, "allowed", allowed, "arrivals", arrivals,
		"left", math.Round(before.Left*100)/100, "open", before.Open, "entries", before.Entries)
}
