package dispatcher

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
)

// callContext returns the context of a call. It ends at the call's deadline and when the caller
// leaves. A caller whose sending side ended may still wait for the response. If its call runs only once
// and has been passed on, the context then goes on, as a cancelled run gains nothing.
func (d *Dispatcher) callContext(caller context.Context, j *job) (context.Context, context.CancelFunc) {
	// The clock counts whole milliseconds, and part of the one in which the call arrived had passed.
	remaining := (j.deadline - d.clock.Now() + 1).Duration()
	if j.route.Kind != sequoiasill.RunOnce {
		return context.WithTimeout(caller, remaining)
	}
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(caller))
	j.caller, j.cancelCall = caller, cancel
	stop := context.AfterFunc(caller, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if !j.passedOn || connectionEnd(caller) != string(sequoiasill.EndedSending) {
			cancel(context.Cause(caller))
		}
	})
	ctx, cancelTimeout := context.WithTimeout(ctx, remaining)
	return ctx, func() {
		stop()
		cancelTimeout()
		cancel(nil)
	}
}

// passOn records that the call is about to be sent, unless its caller has left. The caller holds the lock.
func (d *Dispatcher) passOn(j *job) bool {
	if d.endIfCallerLeft(j) {
		return false
	}
	j.passedOn = true
	return true
}

// endIfCallerLeft ends a call whose caller has left, and reports whether it has. The caller holds the lock.
func (d *Dispatcher) endIfCallerLeft(j *job) bool {
	if j.caller == nil || j.caller.Err() == nil {
		return false
	}
	j.cancelCall(context.Cause(j.caller))
	return true
}

// recordReturn records that no upstream has the call until it is sent again. If the caller has left
// meanwhile, the call ends.
func (d *Dispatcher) recordReturn(j *job) {
	if j.caller == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	j.passedOn = false
	d.endIfCallerLeft(j)
}

// finishLeft ends a call whose caller left. One whose sending side ended is told whether the call may
// have run, as it may still read.
func (d *Dispatcher) finishLeft(ctx context.Context, j *job, elapsed sequoiasill.Millis) {
	cause := connectionEnd(ctx)
	d.meter.CallEnded(j.route.Kind, "left", elapsed)
	d.meter.CallerEnded(cause)
	d.log.Info("caller left", "request", j.call.ID, "cause", cause, "runs", j.runs, "after", elapsed)
	const message = "caller ended its sending side"
	switch {
	case cause != string(sequoiasill.EndedSending):
		j.reply.Abort()
	case j.runs == 0:
		d.refundQuota(j)
		j.reply.Refuse(sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeNoUpstream, http.StatusServiceUnavailable, message).WithRetryAfter(d.opts.RetryAfter))
	default:
		j.reply.Refuse(sequoiasill.NewFailure(sequoiasill.MayHaveRun, sequoiasill.CodeOutcomeUnknown, http.StatusBadGateway, message))
	}
}

// connectionEnd returns how the caller's connection ended, as the cause of a cancelled context.
func connectionEnd(ctx context.Context) string {
	var e *sequoiasill.ConnectionError
	if errors.As(context.Cause(ctx), &e) {
		return string(e.End)
	}
	return causeCallerLeft
}
