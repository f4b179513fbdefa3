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

// giveUpTimer ends an attempt whose answer does not begin in time, once the call can be
// sent elsewhere.
type giveUpTimer struct {
	try   *try
	span  sequoiasill.Millis
	timer *time.Timer

	// Guarded by the dispatcher's lock:
	over   bool
	late   bool // the answer did not come in time
	denied bool // no repeat was left at the first look
}

// newGiveUpTimer starts a timer where the call may be repeated and there is time for this
// attempt and another one. Stop must be called when the answer begins or the attempt ends.
func newGiveUpTimer(t *try) *giveUpTimer {
	g := &giveUpTimer{try: t, span: t.route.Latency * sequoiasill.Millis(t.d.opts.GiveUpPart) / 100}
	if !t.route.MayRepeat() || t.runs+1 >= t.route.MaxAttempts || g.span <= 0 || t.deadline-t.began < 2*g.span {
		g.over = true
		return g
	}
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	g.timer = time.AfterFunc(g.span.Duration(), g.look)
	return g
}

// stop ends the waiting.
func (g *giveUpTimer) stop() {
	d := g.try.d
	d.mu.Lock()
	defer d.mu.Unlock()
	if !g.over {
		g.over = true
		g.timer.Stop()
	}
}

// look gives the attempt up if there is an upstream that has not had the call and a
// repeat is left, which it takes. Else it looks again later.
func (g *giveUpTimer) look() {
	t, d := g.try, g.try.d
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if g.over || t.deadline-now < g.span {
		return
	}
	if !d.isAnother(now, t.job) || !g.takeRepeat(now) {
		if !g.late {
			g.late = true
			d.registrar.Late(now, t.choice.Replica.Name)
		}
		g.timer.Reset(lookAgainSpan.Duration())
		return
	}
	g.over = true
	t.cancel(errGivenUp)
}

// takeRepeat takes a repeat for the call. That none is left is told once.
func (g *giveUpTimer) takeRepeat(now sequoiasill.Millis) bool {
	t := g.try
	before := t.d.rationer.State(now, t.ration)
	allowed := t.d.rationer.Repeat(now, t.ration)
	if allowed || !g.denied {
		t.d.tellRepeat(t.job, t.arrivalsThen+1, allowed, before)
	}
	g.denied = !allowed
	return allowed
}

// tellRepeat counts and logs a wish to send a call once more.
func (d *Dispatcher) tellRepeat(j *job, arrivals int, allowed bool, before rationer.State) {
	d.meter.Repeated(j.service, allowed)
	d.log.Info("repeat", "request", j.call.ID, "service", j.service, "allowed", allowed, "arrivals", arrivals,
		"left", math.Round(before.Left*100)/100, "open", before.Open, "entries", before.Entries)
}
