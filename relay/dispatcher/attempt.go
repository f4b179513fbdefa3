package dispatcher

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/assigner"
	"sequoiasill.dev/sequoiasill/decide/classifier"
	"sequoiasill.dev/sequoiasill/decide/rationer"
	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/decide/throttler"
)

// highestPriority and lowestPriority bound the priorities that engines accept; lower numbers
// are served first.
const (
	highestPriority = 0
	lowestPriority  = 9
)

// enginePriority returns the priority of the call among the others at an engine.
func (j *job) enginePriority() int {
	priority := j.route.Priority
	if j.account != nil && j.account.Priority < lowestPriority {
		priority = j.account.Priority*2 + min(j.route.Priority, 1)
	}
	return min(max(priority, highestPriority), lowestPriority)
}

// try is an attempt in progress.
type try struct {
	*job

	d       *Dispatcher
	choice  assigner.Choice
	prefill int // prompt tokens that still count towards the load of the upstream
	started sequoiasill.Millis
	// arrivalsBefore is the number of upstreams that the call had reached before this attempt.
	arrivalsBefore   int
	timeToFirstEvent sequoiasill.Millis // since the start of the attempt, 0 until the first event
	withheld         bool               // the upstream became unavailable to the call before the send
	limit            registrar.Limit    // rate limit that the response carries
	load             registrar.Load     // load that the response reports if hasLoad is set
	hasLoad          bool
	pathBroke        bool                      // the end of the attempt may be due to the path to the upstream
	untilClose       bool                      // the response has no framing and ends with its connection
	relay            bool                      // another entry serves the call
	last             bool                      // the call may not be retried after this attempt
	permit           *throttler.Permit         // nil if the upstream has no rate limit
	lastData         sequoiasill.Millis        // when the response last made progress; guarded by the dispatcher's lock
	patience         sequoiasill.Millis        // without progress, after which the call may be moved to another entry; guarded by the dispatcher's lock
	offering         bool                      // the call is being offered to other entries; guarded by the dispatcher's lock
	maybeSent        bool                      // part of the request may have been sent
	result           sequoiasill.VersionResult // of an answer that is delivered
	hadRoom          bool                      // the upstream rejected the call though it had room
	cancel           context.CancelCauseFunc
}

// errAttemptTimeout cancels an attempt without a response in time, so that the call can be
// retried.
var errAttemptTimeout = errors.New("no answer in time")

// attempt sends the call to one upstream and delivers the response to the caller if it is
// good.
func (d *Dispatcher) attempt(ctx context.Context, j *job, p placement) (nextStep, string) {
	choice := p.choice
	j.tried[choice.Replica.Name] = true
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := &try{job: j, d: d, choice: choice, prefill: choice.Prefill, started: d.clock.Now(), arrivalsBefore: j.arrivals, permit: p.permit, last: j.isLastRun(), cancel: cancel}
	defer func() { t.recordGivenUp(attemptCtx) }()
	a := Attempt{
		Call: j.call, Replica: choice.Replica, Remaining: d.callEnd(j) - t.started, Priority: j.enginePriority(), ResumeAfter: j.events.last, MaySend: t.maySend,
	}
	if j.account != nil {
		a.Organisation = j.account.Name
	}
	defer t.track()()
	timer := newAttemptTimer(t)
	defer timer.stop()
	response, err := d.transport.Send(attemptCtx, a)
	if t.maybeSent {
		d.paths.RequestEnded(j.service)
	}
	if err != nil {
		timer.stop()
		e := classifySendError(attemptCtx, err, t.withheld)
		t.settleSend(e.Kind, registrar.Limit{})
		d.recordSendEnd(p.send, classifier.Classify(e).Send)
		return t.handleSendError(e, err, context.Cause(attemptCtx))
	}
	t.recordContact(response)
	t.settleSend(classifier.Succeeded, response.Limit)
	d.recordSendEnd(p.send, rationer.Answered)
	return t.handleResponse(attemptCtx, response, timer)
}

// classifySendError returns the end of a send without a response. Bytes that were written may
// still reach the upstream, unless it closed the connection.
func classifySendError(ctx context.Context, err error, withheld bool) classifier.End {
	e := classifier.End{EndedHere: ctx.Err() != nil, CallerDisconnected: callerDisconnected(ctx), Shutdown: endedByShutdown(ctx), ClosedByUpstream: isClose(err)}
	var timeout net.Error
	switch {
	case withheld:
		e.Kind = classifier.Withheld
	case Verdict(err) == sequoiasill.NotRun:
		e.Kind = classifier.NotSent
	case e.EndedHere:
		e.Kind = classifier.GivenUp
	case errors.As(err, &timeout) && timeout.Timeout():
		e.Kind = classifier.NoResponse
	default:
		e.Kind = classifier.ConnectionClosed
	}
	return e
}

// isClose reports whether an error is due to the close of the connection by the upstream. Its close
// arrives over a path that works, while broken paths end connections by resets and timeouts.
func isClose(err error) bool { return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) }

func callerDisconnected(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.Canceled)
}

// maySend reports whether the upstream may still receive the call. It may have started to
// drain, to pause or to limit its calls since it was chosen, a part of the call's prompt may have been
// quarantined, or this entry may shut down too soon.
func (t *try) maySend() bool {
	if t.d.screen(t.job) != nil || t.d.checkFurtherAttempt(t.job) != nil {
		t.withheld = true
		return false
	}
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	t.withheld = !t.d.registrar.MaySend(t.d.clock.Now(), t.choice.Replica, t.permit != nil) || !t.d.passOn(t.job)
	if !t.withheld {
		t.markSent()
		t.d.paths.RequestSent(t.service)
	}
	return !t.withheld
}

// recordEnd records the end of the attempt in the registrar, in the metrics and for the
// evaluation of the version, and logs it.
func (t *try) recordEnd(outcome registrar.Outcome, result string, args ...any) {
	t.d.recordAttemptEnd(t.choice, t.prefill, outcome)
	t.prefill = 0
	took := t.d.clock.Now() - t.started
	t.recordHold(outcome, took)
	t.d.meter.Attempted(result, took)
	if t.untilClose {
		t.d.meter.UnframedEnded(result)
		args = append(args, "untilClose", true)
	}
	if t.relay {
		t.d.log.Info("relayed", append([]any{"request", t.call.ID, "route", t.route.Name, "config", t.trafficVersion, "service", t.service,
			"by", t.choice.Replica.Name, "zone", t.choice.Replica.Zone, "took", took, "end", result}, args...)...)
		return
	}
	switch {
	case outcome == registrar.Failed:
		t.recordForMove(sequoiasill.VersionFailed, took)
	case outcome == registrar.Succeeded && t.timeToFirstEvent == 0:
		t.recordForMove(t.result, took)
	case outcome == registrar.Refused:
		t.recordRejection(took)
	}
	if !t.d.log.IsInfo() {
		return
	}
	if t.limit.Limited {
		args = append(args, "limit", t.limit.PerSecond)
	}
	args = append(args, t.paceFields()...)
	if parts := t.call.Prompt.SharedPartIDs(); parts != "" {
		args = append(args, "parts", parts)
	}
	t.d.log.Info("attempt", append([]any{
		"request", t.call.ID, "route", t.route.Name, "config", t.trafficVersion, "upstream", t.choice.Replica.Name,
		"zone", t.choice.Replica.Zone, "cost", int(t.choice.Cost), "prefill", t.choice.Prefill, "home", t.choice.Home, "candidates", t.choice.Candidates, "reportAge", t.choice.ReportAge,
		"took", t.d.clock.Now() - t.started, "service", t.service, "arrivals", t.arrivals, "end", result,
	}, args...)...)
}

// recordRejection adds a rejection to the evaluation of the version, unless the upstream was full. A call that one
// upstream of a version has rejected is not sent to another one of it if it has a choice.
func (t *try) recordRejection(took sequoiasill.Millis) {
	if t.relay {
		return
	}
	t.rejectedBy = t.choice.Replica.Version
	if t.hadRoom {
		t.recordForMove(sequoiasill.VersionRejected, took)
	}
}

// hasRoom reports whether a response that rejects a call tells that its upstream could have run it.
func hasRoom(a *Response) bool {
	if a.Misdirected || a.Draining || a.Pause > 0 || a.ColdFor > 0 || a.Limit.Limited || !a.HasLoad {
		return false
	}
	return a.Load.Waiting == 0 && a.Load.Running < a.Load.Slots/roomFraction
}

// roomFraction is the part of its slots, as a divisor, up to which an upstream certainly has room. One that runs out of
// memory may reject calls before its slots are taken.
const roomFraction = 2

// recordForMove adds the result of the attempt to the evaluation of the version. A stream
// is recorded at its first event, and again if it is interrupted. The entry that serves a relayed
// call records it.
func (t *try) recordForMove(result sequoiasill.VersionResult, took sequoiasill.Millis) {
	if t.relay {
		return
	}
	record := func() { t.d.moves.Record(t.service, t.route.Name, t.choice.Replica.Version, result, took) }
	if result != sequoiasill.VersionFailed || !t.pathBroke {
		record()
		return
	}
	t.d.whenReached(t.service, "failure of a version", record)
}

// recordDuration records how long an attempt took that was answered in full.
func (t *try) recordDuration() {
	took := t.d.clock.Now() - t.started
	t.d.durations.record(t.route.Name, took)
	if !t.relay {
		t.d.moves.RecordDuration(t.service, t.choice.Replica.Version, took)
	}
}

// conclude records the end of the attempt, and a suspected crash of the upstream, and returns
// whether the call may be retried.
func (t *try) conclude(e classifier.End, result, reason string, args ...any) (nextStep, string) {
	a := classifier.Classify(e)
	if t.pathBroke = t.brokePath(e); t.pathBroke {
		t.recordBreak()
		t.d.paths.Failed(t.service)
	}
	if a.ChargeCrash && !t.relay {
		// A call that tests a quarantined request makes one attempt.
		t.testsRequest = false
		t.suspectCrash(e, a.ConfirmCrash)
	}
	t.recordEnd(a.Outcome, result, args...)
	if a.Retry == classifier.RetryAny || a.Retry == classifier.RetryRepeatable && t.route.MayRetry() {
		return retry, reason
	}
	return stop, reason
}

// recordContact records that the upstream was reached.
func (t *try) recordContact(response *Response) {
	openedAt := sequoiasill.Millis(0)
	if response.NewConnection {
		openedAt = t.started
	}
	t.d.paths.Responded(t.service, openedAt)
	if response.Authentic || response.Refused && !response.Misdirected {
		t.d.requests.RecordAlive(t.incarnation(), t.started)
	}
}

// slowConnect is the duration from which a connect that was given up counts as failed. A connect
// takes a few milliseconds.
const slowConnect = 150 * sequoiasill.Millis(1)

// brokePath reports whether the end of the attempt may be due to the path to the upstream.
func (t *try) brokePath(e classifier.End) bool {
	if t.relay || e.ClosedByUpstream {
		return false
	}
	switch e.Kind {
	case classifier.NotSent:
		return !e.EndedHere || t.d.clock.Now()-t.started >= slowConnect
	case classifier.NoResponse, classifier.ConnectionClosed, classifier.Truncated, classifier.EmptyStream:
		return !e.EndedHere
	}
	return false
}

// handleSendError concludes an attempt without a response.
func (t *try) handleSendError(e classifier.End, err, cause error) (nextStep, string) {
	switch e.Kind {
	case classifier.Withheld:
		return t.conclude(e, "withheld", "upstream leaves, rests, limits its calls, is cold or evacuated, the prompt is quarantined, or the entry shuts down")
	case classifier.NotSent:
		if !t.relay {
			t.notSent++
			t.unanswered = append(t.unanswered, t.choice.Replica.Name)
		}
		return t.conclude(e, "not sent", "upstream cannot be reached", "error", err)
	}
	t.arrivals++
	t.runs++
	if !t.engine || !e.EndedHere {
		// An engine responds with the first token. A call that was cancelled before mostly waited in its
		// queue, so that it is not counted as usage.
		t.countUsage()
	}
	if e.CallerDisconnected {
		return t.conclude(e, "caller left", "caller left")
	}
	result := "failed"
	if errors.Is(cause, errAttemptTimeout) {
		result = "given up"
	}
	return t.conclude(e, result, "upstream gave no answer", "error", err, "cause", cause)
}

// countUsage adds the call to the organisation's usage, once per call. The entry that serves a
// relayed call does so.
func (t *try) countUsage() {
	if t.usageCounted || t.account == nil || t.relay {
		return
	}
	t.usageCounted = true
	t.d.peers.CountUsage(t.account.Name)
}

// handleResponse evaluates a response and delivers it unless it is a refusal.
func (t *try) handleResponse(ctx context.Context, a *Response, timer *attemptTimer) (nextStep, string) {
	t.arrivals++
	t.untilClose = a.UntilClose
	t.recordFeedback(a)
	switch {
	case a.Refused || a.Misdirected:
		timer.stop()
		t.refusals++
		t.hadRoom = hasRoom(a)
		a.Close(readRefusal(a.Body))
		e := classifier.End{Kind: classifier.Refused, Pause: a.Pause}
		return t.conclude(e, "refused by upstream", "upstreams are full", "status", a.Status, "pause", a.Pause)
	case a.EventStream && a.Status == http.StatusOK:
		return t.deliverStream(ctx, a, timer)
	}
	return t.deliverWhole(ctx, a, timer)
}

// promisesNotRun reports whether callers read a status as a promise that the call has not run
// and will not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// countRun counts the upstreams that may have run the call in the attempt.
func (t *try) countRun(a *Response) {
	t.runs++
	if a.Runs != nil {
		t.runs = max(t.runs, a.Runs())
	}
}

// maxRefusalBytes limits how much of a refusal's body is read.
const maxRefusalBytes = 64 << 10

// deliverWhole reads a response that is not an event stream, and delivers it.
func (t *try) deliverWhole(ctx context.Context, a *Response, timer *attemptTimer) (nextStep, string) {
	t.countRun(a)
	t.countUsage()
	body, release, err := t.d.readBody(a.Body)
	defer release()
	timer.stop()
	if err == nil && a.Authentic {
		err = a.complete(ctx)
	}
	// The response to this call may still follow one that is not the upstream's.
	a.Close(err == nil && a.Authentic)
	shutdown := endedByShutdown(ctx)
	e := classifier.End{Kind: classifier.UnexpectedResponse, CallerDisconnected: callerDisconnected(ctx), Shutdown: shutdown, EndedHere: shutdown, Pause: a.Pause, ClosedByUpstream: isClose(err)}
	switch {
	case e.CallerDisconnected:
		return t.conclude(e, "caller left", "caller left")
	case err != nil:
		e.Kind = classifier.Truncated
		e.EndedHere = e.EndedHere || errors.Is(err, errTooLong)
		return t.conclude(e, "answer broke off", "answer broke off", "error", err)
	case !a.Authentic:
		return t.conclude(e, "answer is not the upstream's", "answer is not the upstream's", "status", a.Status)
	}
	t.d.requests.RecordServed(t.requestPart())
	switch {
	case t.headerSent:
		// Only an event stream can continue a stream.
		return t.conclude(e, "no stream", "upstream did not resume the stream", "status", a.Status)
	case promisesNotRun(a.Status):
		// The upstream did not mark it as a refusal, and the caller would read the status as a promise.
		e.Kind = classifier.Failed
		return t.conclude(e, "error of the upstream", "upstream refused a call that may have run", "status", a.Status, "pause", a.Pause)
	case a.Status >= http.StatusInternalServerError:
		e.Kind = classifier.Failed
		t.fallback = &fallbackResponse{status: a.Status, header: a.Header, body: body}
		return t.conclude(e, "error of the upstream", "error of the upstream", "status", a.Status, "pause", a.Pause)
	}
	t.clearSuspicion()
	t.d.screener.RecordServed(t.parts)
	e.Kind = classifier.Succeeded
	if a.Status < http.StatusMultipleChoices {
		t.recordDuration()
	} else {
		t.result = sequoiasill.VersionDeclined
	}
	t.conclude(e, "answered", "", "status", a.Status, "bytes", len(body))
	if err := t.reply.SendWhole(a.Status, a.Header, body); err != nil {
		t.d.recordNotDelivered(t.job, err)
	}
	t.d.meter.CallEnded(t.route.Kind, "good", t.d.clock.Now()-t.call.ArrivedAt)
	return done, ""
}
