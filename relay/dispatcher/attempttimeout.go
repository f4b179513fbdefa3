package dispatcher

import (
	"math"
	"time"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/pathmonitor"
	"sequoiasill.dev/sequoiasill/decide/rationer"
)

// retryCheckInterval is the interval of checks whether a slow attempt can be replaced by a
// retry, and whether a call that was given up can be retried. Retry budgets refill within seconds, and callers do not notice a shorter delay.
const retryCheckInterval = 50 * sequoiasill.Millis(1)

// attemptTimer cancels an attempt whose response does not start in time, as soon as the call
// can be retried at another upstream.
type attemptTimer struct {
	try     *try
	timeout sequoiasill.Millis
	timer   *time.Timer

	// Guarded by the dispatcher's lock:
	stopped     bool
	overdue     bool // the response did not start in time
	retryDenied bool // the retry budget was exhausted at the last check
}

// attemptTimeout returns the attempt timeout of a route, 0 if the route has no target latency.
func (d *Dispatcher) attemptTimeout(r *sequoiasill.TrafficRoute) sequoiasill.Millis {
	return r.TargetLatency * sequoiasill.Millis(d.opts.AttemptTimeoutPercent) / 100
}

// newAttemptTimer starts a timer if the call may be retried and the deadline leaves time for
// this attempt and another one. The caller must call stop when the response starts or the
// attempt ends. An entry that serves a relayed call has timers of its own.
func newAttemptTimer(t *try) *attemptTimer {
	g := &attemptTimer{try: t, timeout: t.d.attemptTimeout(t.route)}
	if t.relay || t.last || g.timeout <= 0 || t.d.callEnd(t.job)-t.started < 2*g.timeout {
		g.stopped = true
		return g
	}
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	g.timer = time.AfterFunc(g.timeout.Duration(), g.check)
	return g
}

// stop stops the timer.
func (g *attemptTimer) stop() {
	d := g.try.d
	d.mu.Lock()
	defer d.mu.Unlock()
	if !g.stopped {
		g.stopped = true
		g.timer.Stop()
	}
}

// check cancels the attempt if there is an untried upstream and the retry budget allows a
// retry, which it then takes. If this entry reaches no upstream, it offers the call to other entries. Otherwise it schedules another check, and the first time reports
// the call to the registrar as overdue. It does nothing if too little time is left for another
// attempt.
func (g *attemptTimer) check() {
	t, d := g.try, g.try.d
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if g.stopped || d.callEnd(t.job)-now < g.timeout || d.checkShutdown(t.job) != nil {
		return
	}
	unreachable := d.paths.State(t.service) == pathmonitor.Unreachable
	if unreachable {
		t.patience = min(t.patience, g.timeout)
		d.startOffering(t)
	}
	if unreachable || !d.hasAlternative(now, t.job) || !g.takeRetry(now) {
		if !g.overdue {
			g.overdue = true
			d.registrar.CallOverdue(now, t.choice.Replica.Name)
		}
		g.timer.Reset(retryCheckInterval.Duration())
		return
	}
	g.stopped = true
	t.cancel(errAttemptTimeout)
}

// takeRetry takes a retry from the budget unless the call has one, or needs none as it has been sent to no
// upstream yet. Of successive denials, only the first is recorded.
func (g *attemptTimer) takeRetry(now sequoiasill.Millis) bool {
	t := g.try
	if t.retryBudget.HasUnsentRepeat() || t.arrivalsBefore == 0 && !t.maybeSent {
		return true
	}
	before := t.d.rationer.State(now, t.retryBudget)
	allowed := t.d.rationer.TakeRepeat(now, t.retryBudget)
	if allowed || !g.retryDenied {
		t.d.recordRetry(t.job, t.arrivalsBefore+1, allowed, before)
	}
	g.retryDenied = !allowed
	return allowed
}

// recordRetry counts and logs a requested retry, allowed or denied.
func (d *Dispatcher) recordRetry(j *job, arrivals int, allowed bool, before rationer.State) {
	d.meter.RetryRequested(j.service, allowed)
	d.log.Info("repeat", "request", j.call.ID, "service", j.service, "allowed", allowed, "arrivals", arrivals,
		"left", math.Round(before.Available*100)/100, "open", before.Outstanding, "entries", before.Entries)
}
