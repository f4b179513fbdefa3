package dispatcher

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/assigner"
	"sequoiasill.dev/sequoiasill/decide/rationer"
	"sequoiasill.dev/sequoiasill/decide/registrar"
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
	cancel       context.CancelCauseFunc
}

// errGivenUp ends an attempt whose answer is not awaited any longer.
var errGivenUp = errors.New("no answer in time")

// attempt sends the call to one upstream and delivers its answer if that is good.
func (d *Dispatcher) attempt(ctx context.Context, j *job, choice assigner.Choice, send *rationer.Send) (next, string) {
	j.tried[choice.Replica.Name] = true
	actx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := &try{job: j, d: d, choice: choice, prefill: choice.Prefill, began: d.clock.Now(), arrivalsThen: j.arrivals, cancel: cancel}
	a := Attempt{
		Call: j.call, Replica: choice.Replica, Left: j.deadline - t.began, Urgency: j.urgency(), After: j.after,
	}
	if j.account != nil {
		a.Organisation = j.account.Name
	}
	timer := newGiveUpTimer(t)
	defer timer.stop()
	answer, err := d.courier.Send(actx, a)
	if err != nil {
		timer.stop()
		d.sendEnded(send, endOf(actx, err))
		return t.failed(actx, err)
	}
	d.sendEnded(send, rationer.Answered)
	return t.judge(actx, answer, timer)
}

// endOf returns how a send without an answer ended: what was written may still come to
// the upstream, unless that has closed the connection.
func endOf(ctx context.Context, err error) rationer.End {
	var timeout net.Error
	switch {
	case Verdict(err) == sequoiasill.NotRun:
		return rationer.Closed
	case ctx.Err() != nil, errors.As(err, &timeout) && timeout.Timeout():
		return rationer.Abandoned
	}
	return rationer.Closed
}

// end counts the attempt off and logs it.
func (t *try) end(o registrar.Outcome, what string, args ...any) {
	t.d.ended(t.choice, t.prefill, o)
	t.prefill = 0
	took := t.d.clock.Now() - t.began
	t.d.meter.Attempted(what, took)
	if o == registrar.Good || o == registrar.Failed {
		if t.first > 0 {
			took = t.first
		}
		t.d.moves.Record(t.service, t.route.Name, t.choice.Replica.Version, o == registrar.Failed, took)
	}
	if !t.d.log.IsInfo() {
		return
	}
	t.d.log.Info("attempt", append([]any{
		"request", t.call.ID, "route", t.route.Name, "config", t.version, "upstream", t.choice.Replica.Name,
		"zone", t.choice.Replica.Zone, "cost", int(t.choice.Cost), "prefill", t.choice.Prefill, "home", t.choice.Home, "candidates", t.choice.Choices, "reportAge", t.choice.Age,
		"took", t.d.clock.Now() - t.began, "service", t.service, "arrivals", t.arrivals, "end", what,
	}, args...)...)
}

// failed takes in an attempt without an answer.
func (t *try) failed(ctx context.Context, err error) (next, string) {
	left := errors.Is(context.Cause(ctx), context.Canceled)
	if Verdict(err) == sequoiasill.NotRun {
		outcome := registrar.Unreachable
		if left {
			outcome = registrar.Abandoned
		}
		t.end(outcome, "not sent", "error", err)
		return again, "upstream cannot be reached"
	}
	t.arrivals++
	t.runs++
	t.count()
	if left {
		t.end(registrar.Abandoned, "caller left")
		return stop, "caller left"
	}
	t.broke(ctx)
	end := "failed"
	if errors.Is(context.Cause(ctx), errGivenUp) {
		end = "given up"
	}
	t.end(registrar.Failed, end, "error", err, "cause", context.Cause(ctx))
	return t.afterRun("upstream gave no answer")
}

// afterRun says whether a call that may have run can be sent again.
func (t *try) afterRun(reason string) (next, string) {
	if t.route.MayRepeat() {
		return again, reason
	}
	return stop, reason
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
	if a.HasLoad {
		t.d.Registrar(func(r *registrar.Registrar) { r.Reported(t.d.clock.Now(), t.choice.Replica.Name, a.Load) })
	}
	switch {
	case a.Refused || a.Elsewhere:
		timer.stop()
		t.refusals++
		// The body of a refusal is short; the connection can serve on after it.
		_, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxRefusalBytes))
		a.Close(err == nil)
		t.end(registrar.Refused, "refused by upstream", "status", a.Status)
		return again, "upstreams are full"
	case a.Events && a.Status == http.StatusOK:
		return t.stream(ctx, a, timer)
	}
	return t.whole(ctx, a, timer)
}

// maxRefusalBytes bounds what is read of a refusal's body.
const maxRefusalBytes = 64 << 10

// whole delivers an answer that is not a stream of events.
func (t *try) whole(ctx context.Context, a *Answer, timer *giveUpTimer) (next, string) {
	t.runs++
	t.count()
	body, err := io.ReadAll(io.LimitReader(a.Body, int64(t.d.opts.AnswerBytes)+1))
	if err == nil && len(body) > t.d.opts.AnswerBytes {
		err = errors.Errorf("answer is longer than %d bytes", t.d.opts.AnswerBytes)
	}
	timer.stop()
	a.Close(err == nil)
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		t.end(registrar.Abandoned, "caller left")
		return stop, "caller left"
	case err != nil:
		t.end(registrar.Failed, "answer broke off", "error", err)
		return t.afterRun("answer broke off")
	case !a.Genuine:
		t.end(registrar.Failed, "answer is not the upstream's", "status", a.Status)
		return t.afterRun("answer is not the upstream's")
	case t.begun:
		// A stream cannot go on with an answer of another kind.
		t.end(registrar.Failed, "no stream", "status", a.Status)
		return t.afterRun("upstream did not resume the stream")
	case a.Status >= http.StatusInternalServerError:
		t.spare = &spare{status: a.Status, header: a.Header, body: body}
		t.end(registrar.Failed, "error of the upstream", "status", a.Status)
		return t.afterRun("error of the upstream")
	}
	t.answered()
	t.end(registrar.Good, "answered", "status", a.Status, "bytes", len(body))
	if err := t.reply.Whole(a.Status, a.Header, body); err != nil {
		t.d.log.Info("answer not delivered", "request", t.call.ID, "error", err)
	}
	t.d.meter.Ended(t.route.Kind, "good", t.d.clock.Now()-t.call.Arrived)
	return done, ""
}
