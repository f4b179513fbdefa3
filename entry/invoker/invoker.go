// Package invoker runs calls to plain services.
package invoker

import (
	"sync"
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
	"sequoiasill.dev/sequoiasill/entry/generator"
	"sequoiasill.dev/sequoiasill/entry/handlers"
	"sequoiasill.dev/sequoiasill/entry/isolator"
	"sequoiasill.dev/sequoiasill/entry/meter"
)

// expectedCall is how long a call to a plain service is thought to take.
const expectedCall = 50 * sequoiasill.Millis(1)

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
	versions  generator.Versions
	running   sync.WaitGroup
}

// New returns an Invoker.
func New(clock sequoiasill.Clock, b *balancer.Balancer, f *forwarder.Forwarder, m *meter.Meter, budgets *budgeter.Budgeter, iso *isolator.Isolator, claims *claimer.Claimer, v generator.Versions, log hclog.Logger) *Invoker {
	return &Invoker{
		isolator: iso, claimer: claims, versions: v,
		clock: clock, balancer: b, forwarder: f, meter: m, budgets: budgets, log: log.Named("invoker")}
}

// Run admits a call and runs it to its end.
func (i *Invoker) Run(call handlers.PlainCall) (forwarder.Answer, *sequoiasill.Failure) {
	i.running.Add(1)
	defer i.running.Done()
	if call.Route.Idempotent || call.Key == "" {
		return i.attempts(call)
	}
	claim := claimer.Claim{
		Key:    journaler.HashKey(call.Request.Organisation, call.Request.Service+"\x00"+call.Key),
		Digest: call.Request.Digest, Deadline: call.Request.Deadline,
	}
	outcome, failure := i.claimer.Run(claim, func() (journaler.Outcome, *sequoiasill.Failure) {
		answer, failure := i.attempts(call)
		return journaler.Outcome{
			Verdict: sequoiasill.Ran, Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body,
		}, failure
	})
	return forwarder.Answer{Status: outcome.Status, ContentType: outcome.ContentType, Body: outcome.Body}, failure
}

// Drain waits until no call runs, or for the span. It reports whether all ended.
func (i *Invoker) Drain(span sequoiasill.Millis) bool { return drainer.Wait(&i.running, span) }

// attempts sends the call until it has an answer or must not be repeated.
func (i *Invoker) attempts(call handlers.PlainCall) (forwarder.Answer, *sequoiasill.Failure) {
	ticket, failure := i.balancer.Admit(balancer.Admission{
		Request: call.Request, Weight: call.Weight, Service: expectedCall, Pool: call.Pool, Version: call.Version,
	})
	if failure != nil {
		return forwarder.Answer{}, failure
	}
	defer ticket.End()
	i.budgets.Step(retrier.FirstAttempt{Organisation: call.Request.Organisation, Pool: call.Pool})
	avoid := make(map[string]bool)
	sent := sequoiasill.NotRun // of all attempts so far
	listed := func() []string { return i.balancer.Listed(call.Pool, call.Version) }
	for attempt := 1; ; attempt++ {
		placed, failure := i.isolator.Place(call.Request.Digest, sent, listed, sleep)
		if failure != nil {
			return forwarder.Answer{}, failure
		}
		answer, up, loss := i.try(call, ticket, placed, avoid, attempt)
		if loss == nil {
			return answer, nil
		}
		if loss.Verdict != sequoiasill.NotRun {
			sent = sequoiasill.MayHaveRun
		}
		planned := i.observe(up, loss)
		avoid[up] = true
		action := i.budgets.Step(retrier.AttemptFailed{
			Organisation: call.Request.Organisation, Pool: call.Pool, Attempt: attempt, Verdict: loss.Verdict,
			Idempotent: call.Route.Idempotent, Draining: planned, Unsent: loss.Dial, Deadline: call.Request.Deadline,
		})
		retry, again := action.(retrier.Retry)
		if !again {
			return forwarder.Answer{}, failureOf(sent, loss, action.(retrier.Stop).Reason)
		}
		i.meter.Retries.Add(1)
		i.log.Info("retry", "request", call.Request.ID, "upstream", up, "cause", loss.Error(),
			"verdict", loss.Verdict, "after", retry.After)
		time.Sleep(retry.After.Duration())
	}
}

func sleep(span sequoiasill.Millis) bool {
	time.Sleep(span.Duration())
	return true
}

func (i *Invoker) try(call handlers.PlainCall, ticket *balancer.Ticket, placed string, avoid map[string]bool, attempt int) (forwarder.Answer, string, *forwarder.Loss) {
	choice, ok := ticket.PickPlaced(placed, avoid)
	if !ok {
		clear(avoid)
		return forwarder.Answer{}, "", &forwarder.Loss{Verdict: sequoiasill.NotRun, Dial: true, Err: errors.New("no upstream is available")}
	}
	up := choice.Upstream
	defer ticket.Release(up.Name)
	i.log.Info("routed", "request", call.Request.ID, "organisation", call.Request.Organisation,
		"service", call.Request.Service, "upstream", up.Name, "version", up.Version,
		"reason", choice.Reason, "attempt", attempt)
	i.meter.Attempts.Add(1)
	fp := quarantiner.Fingerprint(call.Request.Digest)
	i.isolator.Step(quarantiner.Started{Fingerprint: fp, Upstream: up.Name})
	began := time.Now()
	answer, loss := i.forwarder.Do(forwarder.Call{
		Address: up.Address, Method: call.Method, URI: call.URI, Body: call.Body, Headers: call.Headers,
		RequestID: call.Request.ID, Timeout: call.Request.Deadline - i.clock.Now(), Once: !call.Route.Idempotent,
	})
	if loss == nil {
		i.balancer.Observe(tracker.Answered{Upstream: up.Name, Micros: time.Since(began).Microseconds()})
	}
	if loss == nil || !loss.Dial && !loss.Refused() {
		failed := loss != nil || answer.Status >= 500
		i.versions.Record(call.Request.Service, call.Route.Path, up.Version, failed, time.Since(began).Microseconds())
	}
	if loss == nil || !loss.Crash() || i.forwarder.Lives(up.Address) {
		i.isolator.Step(quarantiner.Finished{Fingerprint: fp, Upstream: up.Name, Clean: loss == nil})
	} else {
		i.isolator.Step(quarantiner.Crashed{Upstream: up.Name})
	}
	return answer, up.Name, loss
}

// observe tells the tracker of a loss. It reports whether the upstream had
// announced that it leaves.
func (i *Invoker) observe(up string, loss *forwarder.Loss) bool {
	switch {
	case up == "":
		return false
	case loss.Refused():
		i.balancer.Observe(tracker.Leaving{Upstream: up, Source: tracker.FromRefusal})
		return true
	case loss.Dial:
		i.balancer.Observe(tracker.Unreachable{Upstream: up})
	default:
		i.balancer.Observe(tracker.Failed{Upstream: up})
	}
	return false
}

func failureOf(sent sequoiasill.Verdict, loss *forwarder.Loss, reason retrier.Reason) *sequoiasill.Failure {
	if sent == sequoiasill.NotRun {
		return sequoiasill.NewFailure(sent, sequoiasill.CodeNoUpstream, 503, "no upstream took the call: %s", reason).
			WithRetryAfter(sequoiasill.Second).WithCause(loss)
	}
	return sequoiasill.NewFailure(sent, sequoiasill.CodeOutcomeUnknown, 502, "the call's outcome is unknown: %s", reason).WithCause(loss)
}
