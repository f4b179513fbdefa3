package dispatcher

import (
	"context"
	"time"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill/decide/pathmonitor"
)

// recordGivenUp records whether the attempt was cancelled for want of a response.
func (t *try) recordGivenUp(ctx context.Context) {
	if errors.Is(context.Cause(ctx), errAttemptTimeout) {
		t.gaveUp = t.gaveUp || t.maybeSent
		t.unanswered = append(t.unanswered, t.choice.Replica.Name)
	}
}

// mayAwait reports whether a call may wait for another attempt: its upstream did not fail but was silent until
// the attempt was given up, and the caller cannot be told that the call has not run.
func (d *Dispatcher) mayAwait(j *job) bool {
	return j.gaveUp && j.runs > 0 && !j.relayed && j.fallback == nil
}

// awaitUpstream waits for a moment if a call found no upstream only because some do not respond, and reports
// whether to look for one again. Silent upstreams may go on.
func (d *Dispatcher) awaitUpstream(ctx context.Context, j *job) bool {
	if !d.mayAwait(j) || len(j.unanswered) == 0 && d.paths.State(j.service) != pathmonitor.Unreachable && !d.missesUpstreams(j) {
		return false
	}
	for _, name := range j.unanswered {
		delete(j.tried, name)
	}
	j.unanswered = nil
	return d.pause(ctx, j)
}

// awaitRetry waits until the retry budget allows the call another attempt, and reports whether it does.
func (d *Dispatcher) awaitRetry(ctx context.Context, j *job) bool {
	for d.mayAwait(j) && d.hasAttemptsLeft(j) && d.pause(ctx, j) {
		if d.takeRetry(j) {
			return true
		}
	}
	return false
}

// pause waits for retryCheckInterval and reports whether the call goes on.
func (d *Dispatcher) pause(ctx context.Context, j *job) bool {
	if !j.awaited {
		j.awaited = true
		d.log.Info("awaiting an upstream", "request", j.call.ID, "service", j.service, "runs", j.runs, "after", d.clock.Now()-j.call.ArrivedAt)
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryCheckInterval.Duration()):
		return true
	}
}
