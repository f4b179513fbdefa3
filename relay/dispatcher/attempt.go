package dispatcher

import (
	"context"
	"net"
	"net/http"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/appraiser"
	"sequoiasill.dev/sequoiasill/decide/assigner"
	"sequoiasill.dev/sequoiasill/decide/rationer"
	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/decide/throttler"
)

// mostUrgent and leastUrgent bound the urgency that engines take.
const (
	mostUrgent  = 0
	leastUrgent = 9
)

// urgency returns how urgent a call is among others at an engine.
func (j *job) urgency() int {
	u := j.route.Priority
	if j.account != nil && j.account.Priority < leastUrgent {
		u = j.account.Priority*2 + min(j.route.Priority, 1)
	}
	return min(max(u, mostUrgent), leastUrgent)
}

// try is an attempt in progress.
type try struct {
	*job

	d       *Dispatcher
	choice  assigner.Choice
	prefill int // tokens not yet counted off
	began   sequoiasill.Millis
	// arrivalsThen are the upstreams that the call had reached before this attempt.
	arrivalsThen int
	first        sequoiasill.Millis // from the begin to the first event, 0 before it
	withheld     bool               // the upstream may not have the call any longer
	limit        registrar.Limit    // that the answer tells
	permit       *throttler.Permit  // nil where the upstream limits no calls
	departed     bool               // something may have been sent
	cancel       context.CancelCauseFunc
}

// errGivenUp ends an attempt whose answer is not awaited any longer.
var errGivenUp = errors.New("no answer in time")

// attempt sends the call to one upstream and delivers its answer if that is good.
func (d *Dispatcher) attempt(ctx context.Context, j *job, p placement) (next, string) {
	choice := p.choice
	j.tried[choice.Replica.Name] = true
	actx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := &try{job: j, d: d, choice: choice, prefill: choice.Prefill, began: d.clock.Now(), arrivalsThen: j.arrivals, permit: p.permit, cancel: cancel}
	a := Attempt{
		Call: j.call, Replica: choice.Replica, Left: j.deadline - t.began, Urgency: j.urgency(), After: j.after, MaySend: t.maySend,
	}
	if j.account != nil {
		a.Organisation = j.account.Name
	}
	timer := newGiveUpTimer(t)
	defer timer.stop()
	answer, err := d.courier.Send(actx, a)
	if err != nil {
		timer.stop()
		e := unanswered(actx, err, t.withheld)
		t.landed(e.Kind, registrar.Limit{})
		d.sendEnded(p.send, appraiser.Appraise(e).Send)
		return t.failed(e, err, context.Cause(actx))
	}
	t.landed(appraiser.Answered, answer.Limit)
	d.sendEnded(p.send, rationer.Answered)
	return t.judge(actx, answer, timer)
}

// unanswered returns how a send without an answer ended: what was written may still come
// to the upstream, unless that has closed the connection.
func unanswered(ctx context.Context, err error, withheld bool) appraiser.End {
	e := appraiser.End{Ended: ctx.Err() != nil, CallerLeft: callerLeft(ctx)}
	var timeout net.Error
	switch {
	case withheld:
		e.Kind = appraiser.Withheld
	case Verdict(err) == sequoiasill.NotRun:
		e.Kind = appraiser.NotSent
	case e.Ended:
		e.Kind = appraiser.GivenUp
	case errors.As(err, &timeout) && timeout.Timeout():
		e.Kind = appraiser.Unclear
	default:
		e.Kind = appraiser.Closed
	}
	return e
}

func callerLeft(ctx context.Context) bool { return errors.Is(context.Cause(ctx), context.Canceled) }

// maySend reports whether the upstream may still have the call: it may have told
// meanwhile, of this call or of another, that it leaves or wants a pause.
func (t *try) maySend() bool {
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	t.withheld = !t.d.registrar.MaySend(t.d.clock.Now(), t.choice.Replica, t.permit != nil)
	if !t.withheld {
		t.departs()
	}
	return !t.withheld
}

// end counts the attempt off and logs it.
func (t *try) end(o registrar.Outcome, what string, args ...any) {
	t.d.ended(t.choice, t.prefill, o)
	t.prefill = 0
	took := t.d.clock.Now() - t.began
	t.d.meter.Attempted(what, took)
	if o == registrar.Failed || o == registrar.Good && t.first == 0 {
		t.record(o == registrar.Failed, took)
	}
	if !t.d.log.IsInfo() {
		return
	}
	if t.limit.Limited {
		args = append(args, "limit", t.limit.PerSecond)
	}
	t.d.log.Info("attempt", append([]any{
		"request", t.call.ID, "route", t.route.Name, "config", t.version, "upstream", t.choice.Replica.Name,
		"zone", t.choice.Replica.Zone, "cost", int(t.choice.Cost), "prefill", t.choice.Prefill, "home", t.choice.Home, "candidates", t.choice.Choices, "reportAge", t.choice.Age,
		"took", t.d.clock.Now() - t.began, "service", t.service, "arrivals", t.arrivals, "end", what,
	}, args...)...)
}

// record tells those who judge versions how the attempt went. A stream is told at its first
// event, and again if it breaks off.
func (t *try) record(failed bool, took sequoiasill.Millis) {
	t.d.moves.Record(t.service, t.route.Name, t.choice.Replica.Version, failed, took)
}

// conclude charges the call, counts the attempt off and says whether the call may go on.
func (t *try) conclude(e appraiser.End, what, reason string, args ...any) (next, string) {
	a := appraiser.Appraise(e)
	if a.Charge {
		t.charge()
	}
	t.end(a.Outcome, what, args...)
	if a.Onward == appraiser.Elsewhere || a.Onward == appraiser.Repeats && t.route.MayRepeat() {
		return again, reason
	}
	return stop, reason
}

// failed takes in an attempt without an answer.
func (t *try) failed(e appraiser.End, err, cause error) (next, string) {
	switch e.Kind {
	case appraiser.Withheld:
		return t.conclude(e, "withheld", "upstream leaves, rests or limits its calls")
	case appraiser.NotSent:
		return t.conclude(e, "not sent", "upstream cannot be reached", "error", err)
	}
	t.arrivals++
	t.runs++
	t.count()
	if e.CallerLeft {
		return t.conclude(e, "caller left", "caller left")
	}
	what := "failed"
	if errors.Is(cause, errGivenUp) {
		what = "given up"
	}
	return t.conclude(e, what, "upstream gave no answer", "error", err, "cause", cause)
}

// count adds the call to the usage, once.
func (t *try) count() {
	if t.counted || t.account == nil {
		return
	}
	t.counted = true
	t.d.peers.Began(t.account.Name)
}

// judge takes in an answer.
func (t *try) judge(ctx context.Context, a *Answer, timer *giveUpTimer) (next, string) {
	t.arrivals++
	t.heed(a)
	switch {
	case a.Refused || a.Elsewhere:
		timer.stop()
		t.refusals++
		a.Close(readRefusal(a.Body))
		e := appraiser.End{Kind: appraiser.Refused, Pause: a.Pause}
		return t.conclude(e, "refused by upstream", "upstreams are full", "status", a.Status, "pause", a.Pause)
	case a.Events && a.Status == http.StatusOK:
		return t.stream(ctx, a, timer)
	}
	return t.whole(ctx, a, timer)
}

// promisesNotRun reports whether a status tells callers that the call has not run and will
// not.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// maxRefusalBytes bounds what is read of a refusal's body.
const maxRefusalBytes = 64 << 10

// whole delivers an answer that is not a stream of events.
func (t *try) whole(ctx context.Context, a *Answer, timer *giveUpTimer) (next, string) {
	t.runs++
	t.count()
	body, free, err := t.d.readBody(a.Body)
	defer free()
	timer.stop()
	a.Close(err == nil)
	e := appraiser.End{Kind: appraiser.Foreign, CallerLeft: callerLeft(ctx), Pause: a.Pause}
	switch {
	case e.CallerLeft:
		return t.conclude(e, "caller left", "caller left")
	case err != nil:
		e.Kind = appraiser.BrokenOff
		return t.conclude(e, "answer broke off", "answer broke off", "error", err)
	case !a.Genuine:
		return t.conclude(e, "answer is not the upstream's", "answer is not the upstream's", "status", a.Status)
	case t.begun:
		// A stream cannot go on with an answer of another kind.
		return t.conclude(e, "no stream", "upstream did not resume the stream", "status", a.Status)
	case promisesNotRun(a.Status):
		// The upstream does not say so by its own means, and the caller would take it as a promise.
		e.Kind = appraiser.Failed
		return t.conclude(e, "error of the upstream", "upstream refused a call that may have run", "status", a.Status, "pause", a.Pause)
	case a.Status >= http.StatusInternalServerError:
		e.Kind = appraiser.Failed
		t.spare = &spare{status: a.Status, header: a.Header, body: body}
		return t.conclude(e, "error of the upstream", "error of the upstream", "status", a.Status, "pause", a.Pause)
	}
	t.answered()
	e.Kind = appraiser.Answered
	t.conclude(e, "answered", "", "status", a.Status, "bytes", len(body))
	if err := t.reply.Whole(a.Status, a.Header, body); err != nil {
		t.d.log.Info("answer not delivered", "request", t.call.ID, "error", err)
	}
	t.d.meter.Ended(t.route.Kind, "good", t.d.clock.Now()-t.call.Arrived)
	return done, ""
}
