package dispatcher

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
)

// errShutdown cancels the calls that are in progress when the time for them is over.
var errShutdown = errors.New("entry shuts down")

// drainRetryAfter is the delay before a retry for callers that a draining entry refuses. It is
// short, as other entries can serve them at once.
const drainRetryAfter = 20 * sequoiasill.Millis(1)

// How the shutdown ends calls, in the metrics.
const (
	shutdownRefused = "refused" // not run
	shutdownFailed  = "failed"  // answered with an error, may have run
	shutdownCut     = "cut"     // a stream
)

// ShutdownTimes are the times at which a shutdown ends what is in progress.
type ShutdownTimes struct {
	Calls   sequoiasill.Millis // calls that need a final answer
	Streams sequoiasill.Millis // streams whose header was sent
}

// SetShutdownTimes starts the shutdown of the entry: from now on, calls that are not expected to end in
// time are refused, and at the given times the remaining ones are ended.
func (d *Dispatcher) SetShutdownTimes(t ShutdownTimes) {
	d.shutdown.Store(&t)
	now := d.clock.Now()
	time.AfterFunc((t.Calls - now).Duration(), d.endCalls)
	time.AfterFunc((t.Streams - now).Duration(), d.endStreams)
}

// endWithShutdown calls end when the shutdown ends the call, unless stop is called before.
func (d *Dispatcher) endWithShutdown(j *job, end context.CancelCauseFunc) (stop func()) {
	stopCall := d.OnCallsEnd(func() {
		if !j.streaming.Load() {
			end(errShutdown)
		}
	})
	stopStream := context.AfterFunc(d.streamsEnd, func() { end(errShutdown) })
	return func() {
		stopCall()
		stopStream()
	}
}

// OnCallsEnd calls f when the shutdown ends the remaining calls, unless stop is called before.
func (d *Dispatcher) OnCallsEnd(f func()) (stop func() bool) { return context.AfterFunc(d.callsEnd, f) }

// RefuseUnread refuses a call whose request was not read completely before the shutdown ended the
// remaining calls.
func (d *Dispatcher) RefuseUnread(call *sequoiasill.Call, reply ResponseWriter) {
	d.refuse(call, reply, leaving("request is not complete and the entry shuts down"))
}

// leaving returns the refusal of a call that has not run and will not run, as the entry shuts down.
func leaving(format string, args ...any) *sequoiasill.Failure {
	return sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeLeaving, http.StatusServiceUnavailable, format, args...).WithRetryAfter(drainRetryAfter)
}

// callEnd returns the time at which the call ends at the latest: its deadline, or earlier if the entry
// shuts down.
func (d *Dispatcher) callEnd(j *job) sequoiasill.Millis {
	t := d.shutdown.Load()
	switch {
	case t == nil:
		return j.deadline
	case j.route.Kind == sequoiasill.Streaming:
		return min(j.deadline, t.Streams)
	}
	return min(j.deadline, t.Calls)
}

// checkShutdown returns the refusal of an attempt that the shutdown would probably break off. A call
// whose deadline comes first loses nothing by the shutdown.
func (d *Dispatcher) checkShutdown(j *job) *sequoiasill.Failure {
	t := d.shutdown.Load()
	if t == nil || j.deadline <= t.Calls {
		return nil
	}
	left := max(t.Calls-d.clock.Now(), 0)
	expected, basis := d.expectedDuration(j.route)
	if left >= expected && left > 0 {
		return nil
	}
	return leaving("entry shuts down in %s, the call is expected to take %s (%s)", left, expected, basis)
}

// checkFurtherAttempt returns the refusal of an attempt that the shutdown would probably break off, unless
// the call was given up at an upstream that was silent: another attempt needs only the rest of its
// response, and the call cannot be refused as not run.
func (d *Dispatcher) checkFurtherAttempt(j *job) *sequoiasill.Failure {
	if j.gaveUp {
		return nil
	}
	return d.checkShutdown(j)
}

// expectedDuration returns the duration that an attempt is expected to stay within, and what that is
// based on. A stream that has begun cannot be given another answer, so all streams must have stayed
// within it.
func (d *Dispatcher) expectedDuration(r *sequoiasill.TrafficRoute) (sequoiasill.Millis, string) {
	percentile := usualPercentile
	if r.Kind == sequoiasill.Streaming {
		percentile = slowestPercentile
	}
	if usual, ok := d.durations.percentile(r.Name, percentile); ok {
		return usual, "measured"
	}
	switch {
	case r.Kind == sequoiasill.Streaming:
		return d.opts.TypicalStreamDuration, "typical stream"
	case r.TargetLatency > 0:
		return d.attemptTimeout(r), "target latency"
	}
	return d.opts.TypicalCallDuration, "typical call"
}

// endedByShutdown reports whether the shutdown has ended the call of a context.
func endedByShutdown(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errShutdown) }

// shutdownFailure returns the final answer to a call that the shutdown has ended.
func (d *Dispatcher) shutdownFailure(j *job) *sequoiasill.Failure {
	left := j.deadline - d.clock.Now()
	if j.runs == 0 {
		return leaving("entry shuts down %s before the deadline, no upstream received the call", left)
	}
	return sequoiasill.NewFailure(sequoiasill.MayHaveRun, sequoiasill.CodeLeaving, http.StatusGatewayTimeout,
		"entry shuts down %s before the deadline, no upstream has answered", left)
}

// countShutdown counts a failure that is due to the shutdown.
func (d *Dispatcher) countShutdown(f *sequoiasill.Failure) {
	switch {
	case f.Code != sequoiasill.CodeLeaving:
	case f.Verdict == sequoiasill.NotRun:
		d.meter.ShutdownEnded(shutdownRefused)
	default:
		d.meter.ShutdownEnded(shutdownFailed)
	}
}

// countNoRetry counts a call that is not retried, as the entry shuts down.
func (d *Dispatcher) countNoRetry(ctx context.Context, j *job, f *sequoiasill.Failure) {
	switch {
	case f.Code != sequoiasill.CodeLeaving || ctx.Err() != nil:
	case j.headerSent:
		d.meter.ShutdownEnded(shutdownCut)
	default:
		d.meter.ShutdownEnded(shutdownFailed)
	}
}
