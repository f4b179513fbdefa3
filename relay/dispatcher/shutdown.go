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

// SetShutdownTime sets the time at which the shutdown of the entry ends the remaining calls.
func (d *Dispatcher) SetShutdownTime(at sequoiasill.Millis) {
	d.shutdownAt.Store(int64(at))
	time.AfterFunc((at - d.clock.Now()).Duration(), d.endCalls)
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
