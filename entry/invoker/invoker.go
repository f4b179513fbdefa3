// Package invoker runs calls to plain services.
package invoker

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/journaler"
	"sequoiasill.dev/sequoiasill/decide/quarantiner"
	"sequoiasill.dev/sequoiasill/decide/retrier"
	"sequoiasill.dev/sequoiasill/decide/tracker"
	"sequoiasill.dev/sequoiasill/entry/balancer"
	"sequoiasill.dev/sequoiasill/entry/budgeter"
	"sequoiasill.dev/sequoiasill/entry/claimer"
	"sequoiasill.dev/sequoiasill/entry/drainer"
	"sequoiasill.dev/sequoiasill/entry/forwarder"
	"sequoiasill.dev/sequoiasill/entry/handlers"
	"sequoiasill.dev/sequoiasill/entry/isolator"
	"sequoiasill.dev/sequoiasill/entry/meter"
)

// expectedServiceTime is the assumed duration of a call to a plain service.
const expectedServiceTime = 50 * sequoiasill.Millis(1)

// Invoker runs calls. It is safe for concurrent use.
type Invoker struct {
	clock     sequoiasill.Clock
	balancer  *balancer.Balancer
	forwarder *forwarder.Forwarder
	meter     *meter.Meter
	log       hclog.Logger
	budgets   *budgeter.Budgeter
	isolator  *isolator.Isolator
	claimer   *claimer.Claimer
	versions  Versions
	running   sync.WaitGroup
	endAt     atomic.Int64  // Millis at which the calls are ended, 0 while unknown
	ended     chan struct{} // closed at endAt
}

// Versions collects the results of calls by version.
type Versions interface {
	// Record records the result of a call to a version. The latency is in microseconds.
	Record(service, route, version string, result sequoiasill.VersionResult, micros int64)
	// UsualLatency returns the latency that most recent calls to a route did not exceed,
	// or false if there were none.
	UsualLatency(service, route string) (sequoiasill.Millis, bool)
}

// New returns an Invoker.
func New(clock sequoiasill.Clock, b *balancer.Balancer, f *forwarder.Forwarder, m *meter.Meter, budgets *budgeter.Budgeter, iso *isolator.Isolator, claims *claimer.Claimer, v Versions, log hclog.Logger) *Invoker {
	return &Invoker{
		isolator: iso, claimer: claims, versions: v, ended: make(chan struct{}),
		clock: clock, balancer: b, forwarder: f, meter: m, budgets: budgets, log: log.Named("invoker")}
}

// Run admits a call and returns its result. A call with an Idempotency-Key to a route
// that is not idempotent is first claimed in the journal, so that it runs at most
// once.
func (i *Invoker) Run(call handlers.PlainCall) (forwarder.Response, *sequoiasill.Failure) {
	i.running.Add(1)
	defer i.running.Done()
	if i.tooLate(call) {
		return forwarder.Response{}, leavingFailure(sequoiasill.NotRun, nil)
	}
	if call.Route.Idempotent || call.Key == "" {
		return i.runAttempts(call)
	}
	return i.claimUntilEnd(call)
}

// runClaimed claims the call in the journal and runs it with run, unless it ran before.
func (i *Invoker) runClaimed(call handlers.PlainCall, run runFunc) (forwarder.Response, *sequoiasill.Failure) {
	claim := claimer.Claim{
		Key:    journaler.HashKey(call.Request.Organisation, call.Request.Service+"\x00"+call.Key),
		Digest: call.Request.Digest, Deadline: call.Request.Deadline,
	}
	outcome, failure := i.claimer.Run(claim, func() (journaler.Outcome, *sequoiasill.Failure) {
		response, failure := run(call)
		return journaler.Outcome{
			Verdict: sequoiasill.Ran, Status: response.Status, ContentType: response.ContentType, Body: response.Body,
		}, failure
	})
	return forwarder.Response{Status: outcome.Status, ContentType: outcome.ContentType, Body: outcome.Body}, failure
}

// Drain waits until all calls have finished or the timeout expires. It reports
// whether all have finished.
func (i *Invoker) Drain(timeout sequoiasill.Millis) bool { return drainer.Wait(&i.running, timeout) }

// runAttempts makes attempts until one gets a response or the call must not be
// retried.
func (i *Invoker) runAttempts(call handlers.PlainCall) (forwarder.Response, *sequoiasill.Failure) {
	ticket, failure := i.balancer.Admit(balancer.Admission{
		Request: call.Request, Weight: call.Weight, ExpectedDuration: expectedServiceTime, Pool: call.Pool, Version: call.Version,
		End: i.ended,
	})
	if failure != nil {
		if i.hasEnded() {
			failure = leavingFailure(sequoiasill.NotRun, failure)
		}
		return forwarder.Response{}, failure
	}
	defer ticket.End()
	i.budgets.Step(retrier.FirstAttempt{Organisation: call.Request.Organisation, Pool: call.Pool})
	avoid := make(map[string]bool)
	verdict := sequoiasill.NotRun // of all attempts so far
	listed := func() []string { return i.balancer.Listed(call.Pool, call.Version) }
	for attempt := 1; ; attempt++ {
		placed, failure := i.isolator.Place(call.Request.Digest, verdict, listed, i.sleep)
		if failure != nil {
			return forwarder.Response{}, failure
		}
		if i.tooLate(call) {
			return forwarder.Response{}, leavingFailure(verdict, nil)
		}
		response, up, attemptErr := i.tryOnce(call, ticket, placed, avoid, attempt)
		if attemptErr == nil {
			return response, nil
		}
		if attemptErr.Verdict != sequoiasill.NotRun {
			verdict = sequoiasill.MayHaveRun
		}
		if i.hasEnded() {
			return forwarder.Response{}, leavingFailure(verdict, attemptErr)
		}
		planned := i.observe(up, attemptErr)
		avoid[up] = true
		action := i.budgets.Step(retrier.AttemptFailed{
			Organisation: call.Request.Organisation, Pool: call.Pool, Attempt: attempt, Verdict: attemptErr.Verdict,
			Idempotent: call.Route.Idempotent, Draining: planned, Unsent: attemptErr.DialFailed, Deadline: call.Request.Deadline,
		})
		retry, ok := action.(retrier.Retry)
		if !ok {
			return forwarder.Response{}, finalFailure(verdict, attemptErr, action.(retrier.Stop).Reason)
		}
		i.meter.Retries.Add(1)
		i.log.Info("retry", "request", call.Request.ID, "upstream", up, "cause", attemptErr.Error(),
			"verdict", attemptErr.Verdict, "after", retry.After)
		i.sleep(retry.After)
	}
}

func (i *Invoker) tryOnce(call handlers.PlainCall, ticket *balancer.Ticket, placed string, avoid map[string]bool, attempt int) (forwarder.Response, string, *forwarder.AttemptError) {
	choice, ok := ticket.PickPreferred(placed, avoid)
	if !ok {
		clear(avoid)
		return forwarder.Response{}, "", &forwarder.AttemptError{Verdict: sequoiasill.NotRun, DialFailed: true, Err: errors.New("no upstream is available")}
	}
	up := choice.Upstream
	defer ticket.Release(up.Name)
	i.log.Info("routed", "request", call.Request.ID, "organisation", call.Request.Organisation,
		"service", call.Request.Service, "upstream", up.Name, "version", up.Version,
		"reason", choice.Reason, "attempt", attempt)
	i.meter.Attempts.Add(1)
	fp := quarantiner.Fingerprint(call.Request.Digest)
	i.isolator.Step(quarantiner.Started{Fingerprint: fp, Upstream: up.Name})
	startedAt := time.Now()
	response, attemptErr := i.forwarder.Do(forwarder.Call{
		Address: up.Address, Method: call.Method, URI: call.URI, Body: call.Body, Headers: call.Headers,
		RequestID: call.Request.ID, Timeout: call.Request.Deadline - i.clock.Now(), SingleUse: !call.Route.Idempotent,
	})
	if attemptErr == nil {
		i.balancer.Observe(tracker.Answered{Upstream: up.Name, Micros: time.Since(startedAt).Microseconds()})
	}
	endedHere := attemptErr != nil && i.hasEnded()
	if attemptErr == nil || !endedHere && !attemptErr.DialFailed && !attemptErr.Refused() {
		result := sequoiasill.VersionServed
		switch {
		case attemptErr != nil || response.Status >= 500:
			result = sequoiasill.VersionFailed
		case response.Status >= 300:
			result = sequoiasill.VersionDeclined
		}
		i.versions.Record(call.Request.Service, call.Route.Path, up.Version, result, time.Since(startedAt).Microseconds())
	}
	if attemptErr == nil || endedHere || !attemptErr.PossibleCrash() || i.forwarder.Reachable(up.Address) {
		i.isolator.Step(quarantiner.Finished{Fingerprint: fp, Upstream: up.Name, Clean: attemptErr == nil})
	} else {
		i.isolator.Step(quarantiner.Crashed{Upstream: up.Name})
	}
	return response, up.Name, attemptErr
}

// observe reports a failed attempt to the tracker. It returns whether the upstream
// rejected the call because it currently accepts no work.
func (i *Invoker) observe(up string, attemptErr *forwarder.AttemptError) bool {
	switch {
	case up == "":
		return false
	case attemptErr.Refused():
		i.balancer.Observe(tracker.Leaving{Upstream: up, Source: tracker.FromRefusal})
		return true
	case attemptErr.DialFailed:
		i.balancer.Observe(tracker.Unreachable{Upstream: up})
	default:
		i.balancer.Observe(tracker.Failed{Upstream: up})
	}
	return false
}

func finalFailure(verdict sequoiasill.Verdict, attemptErr *forwarder.AttemptError, reason retrier.Reason) *sequoiasill.Failure {
	if verdict == sequoiasill.NotRun {
		return sequoiasill.NewFailure(verdict, sequoiasill.CodeNoUpstream, 503, "no upstream took the call: %s", reason).
			WithRetryAfter(sequoiasill.Second).WithCause(attemptErr)
	}
	return sequoiasill.NewFailure(verdict, sequoiasill.CodeOutcomeUnknown, 502, "the call's outcome is unknown: %s", reason).WithCause(attemptErr)
}
