package invoker

import (
	"sync/atomic"
	"time"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/entry/forwarder"
	"sequoiasill.dev/sequoiasill/entry/handlers"
)

// EndAt sets the time at which the calls that still run are ended, as the entry shuts
// down. Calls that are not expected to finish by then are refused. It must be called at
// most once.
func (i *Invoker) EndAt(at sequoiasill.Millis) {
	i.endAt.Store(int64(at))
	time.AfterFunc((at - i.clock.Now()).Duration(), func() {
		close(i.ended)
		i.forwarder.EndCalls()
	})
}

func (i *Invoker) hasEnded() bool {
	select {
	case <-i.ended:
		return true
	default:
		return false
	}
}

// tooLate reports whether an attempt of the call is not expected to finish before the
// calls are ended. A call whose deadline comes first loses nothing by the shutdown.
func (i *Invoker) tooLate(call handlers.PlainCall) bool {
	endAt := sequoiasill.Millis(i.endAt.Load())
	if endAt == 0 {
		return false
	}
	if i.hasEnded() {
		return true
	}
	expected, ok := i.versions.UsualLatency(call.Request.Service, call.Route.Path)
	if !ok {
		expected = expectedServiceTime
	}
	return call.Request.Deadline > endAt && i.clock.Now()+expected > endAt
}

// sleep returns false, at once, when the calls are ended.
func (i *Invoker) sleep(delay sequoiasill.Millis) bool {
	timer := time.NewTimer(delay.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-i.ended:
		return false
	}
}

// runFunc makes the attempts of a call.
type runFunc func(call handlers.PlainCall) (forwarder.Response, *sequoiasill.Failure)

// claimUntilEnd claims and runs a call. If the calls are ended while it still waits for
// the journal or another attempt, it returns at once and the call never runs.
func (i *Invoker) claimUntilEnd(call handlers.PlainCall) (forwarder.Response, *sequoiasill.Failure) {
	type result struct {
		response forwarder.Response
		failure  *sequoiasill.Failure
	}
	var decided atomic.Bool // either the attempts have begun, or they are never made
	done := make(chan result, 1)
	go func() {
		response, failure := i.runClaimed(call, func(call handlers.PlainCall) (forwarder.Response, *sequoiasill.Failure) {
			if !decided.CompareAndSwap(false, true) {
				return forwarder.Response{}, leavingFailure(sequoiasill.NotRun, nil)
			}
			return i.runAttempts(call)
		})
		done <- result{response: response, failure: failure}
	}()
	select {
	case r := <-done:
		return r.response, r.failure
	case <-i.ended:
	}
	if decided.CompareAndSwap(false, true) {
		return forwarder.Response{}, leavingFailure(sequoiasill.NotRun, nil)
	}
	r := <-done
	return r.response, r.failure
}

// leavingFailure returns the Failure of a call that the shutdown ended or refused, with
// the verdict of its attempts.
func leavingFailure(verdict sequoiasill.Verdict, cause error) *sequoiasill.Failure {
	f := sequoiasill.NewFailure(verdict, sequoiasill.CodeOutcomeUnknown, 502, "the call's outcome is unknown: this entry leaves")
	if verdict == sequoiasill.NotRun {
		f = sequoiasill.NewFailure(verdict, sequoiasill.CodeLeaving, 503, "this entry leaves").WithRetryAfter(sequoiasill.Second)
	}
	if cause != nil {
		return f.WithCause(cause)
	}
	return f
}
