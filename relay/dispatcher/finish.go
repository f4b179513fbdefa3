package dispatcher

import (
	"context"
	"net/http"

	"sequoiasill.dev/sequoiasill"
)

// Causes of ends without a complete response, in logs and metrics.
const (
	causeStreamCut    = "stream cut"
	causeNotDelivered = "not delivered"
	causeCallerLeft   = "caller left" // over a connection that does not tell how it ended
)

// cutCause returns why a stream ended before its end.
func (j *job) cutCause(ctx context.Context) string {
	switch {
	case endedByShutdown(ctx):
		return string(sequoiasill.EndedByStop)
	case callerDisconnected(ctx):
		return connectionEnd(ctx)
	case j.writeFailed:
		return causeNotDelivered
	}
	return causeStreamCut
}

// recordNotDelivered records that the response to a call could not be written.
func (d *Dispatcher) recordNotDelivered(j *job, err error) {
	d.meter.CallerEnded(causeNotDelivered)
	d.log.Info("response not delivered", "request", j.call.ID, "cause", causeNotDelivered, "error", err)
}

// finishRefused ends a call that may make no further attempt, with the given refusal if no upstream has
// run it.
func (d *Dispatcher) finishRefused(ctx context.Context, j *job, failure *sequoiasill.Failure) {
	if j.runs > 0 || j.headerSent || ctx.Err() != nil {
		d.countNoRetry(ctx, j, failure)
		d.finish(ctx, j, failure.Message)
		return
	}
	d.refundQuota(j)
	d.refuse(j.call, j.reply, failure)
}

// finishCut ends a stream before its end.
func (d *Dispatcher) finishCut(ctx context.Context, j *job, reason string, elapsed sequoiasill.Millis) {
	var args []any
	if endedByShutdown(ctx) {
		d.meter.ShutdownEnded(shutdownCut)
		reason = errShutdown.Error()
		args = append(args, "left", j.deadline-d.clock.Now())
	}
	cause := j.cutCause(ctx)
	d.meter.CallerEnded(cause)
	d.meter.CallEnded(j.route.Kind, "cut", elapsed)
	d.log.Info("stream cut", append([]any{"request", j.call.ID, "reason", reason, "cause", cause, "event", j.events.last, "after", elapsed}, args...)...)
	j.reply.Abort()
}

// finish ends a call without a good response of an upstream.
func (d *Dispatcher) finish(ctx context.Context, j *job, reason string) {
	elapsed := d.clock.Now() - j.call.ArrivedAt
	switch {
	case j.headerSent:
		d.finishCut(ctx, j, reason, elapsed)
	case callerDisconnected(ctx):
		d.finishLeft(ctx, j, elapsed)
	case j.fallback != nil:
		d.meter.CallEnded(j.route.Kind, "failed", elapsed)
		d.log.Info("answered", "request", j.call.ID, "status", j.fallback.status, "reason", reason, "after", elapsed)
		if err := j.reply.SendWhole(j.fallback.status, j.fallback.header, j.fallback.body); err != nil {
			d.recordNotDelivered(j, err)
		}
	case endedByShutdown(ctx):
		if j.runs == 0 {
			d.refundQuota(j)
		}
		d.refuse(j.call, j.reply, d.shutdownFailure(j))
	case j.runs == 0:
		d.refundQuota(j)
		d.refuse(j.call, j.reply, sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeNoUpstream,
			http.StatusServiceUnavailable, "%s", reason).WithRetryAfter(d.retryAfter(j.service)))
	case ctx.Err() != nil:
		d.refuse(j.call, j.reply, sequoiasill.NewFailure(sequoiasill.MayHaveRun, sequoiasill.CodeDeadline,
			http.StatusGatewayTimeout, "%s", reason))
	default:
		d.refuse(j.call, j.reply, sequoiasill.NewFailure(sequoiasill.MayHaveRun, sequoiasill.CodeUpstreamFailed,
			http.StatusBadGateway, "%s", reason))
	}
}
