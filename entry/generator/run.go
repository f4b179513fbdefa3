package generator

import (
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/picker"
	"sequoiasill.dev/sequoiasill/decide/quarantiner"
	"sequoiasill.dev/sequoiasill/decide/retrier"
	"sequoiasill.dev/sequoiasill/decide/tracker"
	"sequoiasill.dev/sequoiasill/entry/balancer"
	"sequoiasill.dev/sequoiasill/entry/forwarder"
)

// run makes the attempts for one generation on this entry.
type run struct {
	g         *Generator
	gen       *Generation
	ticket    *balancer.Ticket
	epoch     int             // of the generation; a later epoch supersedes this run
	stop      <-chan struct{} // closed when the epoch ends
	avoid     map[string]bool // upstreams that failed this request
	previous  streamLocation  // stream of the preceding attempt, if it may be resumed or its KV cache moved
	attempt   int
	startedAt time.Time
}

// streamLocation identifies a stream on an upstream.
type streamLocation struct {
	upstream string
	streamID string
}

// loop makes attempts until the generation ends or the run is halted.
func (r *run) loop() {
	r.startedAt = time.Now()
	if job := r.gen.Job(); job.Upstream != "" {
		r.previous = streamLocation{upstream: job.Upstream, streamID: job.StreamID}
	}
	for {
		r.attempt++
		failed := r.tryOnce()
		if failed == nil || r.halted() {
			return
		}
		if !r.prepareRetry(failed) {
			return
		}
	}
}

func (r *run) halted() bool {
	select {
	case <-r.stop:
		return true
	default:
		return false
	}
}

// failedAttempt is the error of an attempt with the upstream that was used.
type failedAttempt struct {
	*forwarder.AttemptError
	upstream sequoiasill.Upstream
	evacuate bool // the upstream is draining but alive, so the KV cache can be exported
}

// changeVersion assigns the request to another version of its service, as its own
// version has no available upstream. It reports whether it did.
func (r *run) changeVersion(job Job) bool {
	version, ok := r.g.versions.FallbackVersion(job.Request.Service, job.Pool, job.Version)
	if !ok {
		return false
	}
	ticket, failure := r.g.balancer.Admit(balancer.Admission{
		Request: job.Request, Weight: job.Weight, Pool: job.Pool, Version: version, Accepted: true,
	})
	if failure != nil {
		return false
	}
	r.ticket.End()
	r.ticket = ticket
	r.gen.setVersion(version)
	return true
}

// modelRoute is the route recorded for all requests to model services.
const modelRoute = "chat"

// record records the result and the latency of an attempt for its version.
func (r *run) record(version string, result sequoiasill.VersionResult, since time.Time) {
	r.g.versions.Record(r.gen.Job().Request.Service, modelRoute, version, result, time.Since(since).Microseconds())
}

// invalidRequest reports whether the upstream rejected the request as invalid.
func (a *failedAttempt) invalidRequest() bool {
	return a.Status == 400 || a.Status == 413 || a.Status == 422
}

// tryOnce makes one attempt. It returns nil if the generation has ended or the run
// was halted.
func (r *run) tryOnce() *failedAttempt {
	job := r.gen.Job()
	listed := func() []string { return r.g.balancer.Listed(job.Pool, job.Version) }
	placed, failure := r.g.isolator.Place(job.Request.Digest, r.verdict(), listed, r.sleep)
	if failure != nil {
		r.end(failure)
		return nil
	}
	choice, ok := r.pickUpstream(placed)
	if !ok && r.changeVersion(job) {
		job = r.gen.Job()
		choice, ok = r.pickUpstream(placed)
	}
	if !ok {
		clear(r.avoid)
		return &failedAttempt{AttemptError: &forwarder.AttemptError{Verdict: sequoiasill.NotRun, DialFailed: true, Err: errors.New("no upstream is available")}}
	}
	up := choice.Upstream
	defer r.ticket.Release(up.Name)
	r.log(job, choice)
	r.g.meter.Attempts.Add(1)
	fp := quarantiner.Fingerprint(job.Request.Digest)
	r.g.isolator.Step(quarantiner.Started{Fingerprint: fp, Upstream: up.Name})
	failed := r.runOn(up)
	clean := failed == nil && !r.halted()
	if failed == nil || !failed.PossibleCrash() {
		r.g.isolator.Step(quarantiner.Finished{Fingerprint: fp, Upstream: up.Name, Clean: clean})
	}
	return failed
}

// verdict returns the verdict for a request that fails at this point.
func (r *run) verdict() sequoiasill.Verdict {
	if r.attempt > 1 || r.gen.tokenCount() > 0 {
		return sequoiasill.MayHaveRun
	}
	return sequoiasill.NotRun
}

// pickUpstream picks and reserves an upstream: the one that can resume the stream,
// else the one that the isolator placed the request on, else the picker's choice.
func (r *run) pickUpstream(placed string) (picker.Choice, bool) {
	if r.previous.upstream != "" && !r.g.balancer.Draining(r.previous.upstream) {
		if c, ok := r.ticket.PickNamed(r.previous.upstream); ok {
			return c, true
		}
	}
	return r.ticket.PickPreferred(placed, r.avoid)
}

func (r *run) log(job Job, c picker.Choice) {
	r.g.log.Info("routed", "request", job.Request.ID, "organisation", job.Request.Organisation,
		"service", job.Request.Service, "class", job.Request.Class, "upstream", c.Upstream.Name,
		"version", c.Upstream.Version, "reason", c.Reason, "attempt", r.attempt, "offset", r.gen.tokenCount())
}

// runOn runs the generation on an upstream until it ends or the attempt fails.
func (r *run) runOn(up sequoiasill.Upstream) *failedAttempt {
	streamID := fmt.Sprintf("%s-%s-%d", r.gen.Job().Request.ID, r.g.name, r.gen.nextStreamNumber())
	sent := time.Now()
	stream, streamID, attemptErr := r.open(up, streamID)
	if attemptErr != nil {
		return &failedAttempt{AttemptError: attemptErr, upstream: up}
	}
	defer stream.Close()
	r.gen.setStream(up.Name, streamID)
	return r.readTokens(stream, streamLocation{upstream: up.Name, streamID: streamID}, up, sent)
}

// readTokens reads tokens from the stream until it ends or fails, or the generation
// must move to another upstream.
func (r *run) readTokens(stream *forwarder.Stream, location streamLocation, up sequoiasill.Upstream, sent time.Time) *failedAttempt {
	last := time.Now()
	for first := true; ; first = false {
		ev, attemptErr := stream.Next()
		if r.halted() {
			return nil
		}
		if attemptErr != nil {
			return &failedAttempt{AttemptError: attemptErr, upstream: up}
		}
		if ev.Done {
			r.end(nil)
			return nil
		}
		received := r.gen.tokenCount()
		if ev.ID > 0 && ev.ID <= received {
			continue
		}
		if ev.ID > received+1 {
			return &failedAttempt{upstream: up, AttemptError: &forwarder.AttemptError{
				Verdict: sequoiasill.MayHaveRun, Status: 200, Err: errors.Errorf("stream skipped from %d to %d", received, ev.ID),
			}}
		}
		r.gen.append(r.epoch, ev.Text, ev.FinishReason)
		if first {
			r.record(up.Version, sequoiasill.VersionServed, sent)
		}
		last = r.measureToken(first, received == 0, last, up)
		if r.gen.moveDue(r.g.clock.Now()) {
			r.previous = location
			return &failedAttempt{upstream: up, evacuate: true, AttemptError: &forwarder.AttemptError{
				Verdict: sequoiasill.MayHaveRun, Status: 200, Err: errors.New("moved off an upstream that leaves"),
			}}
		}
	}
}

// measureToken records the latency of a token and returns the current time.
func (r *run) measureToken(firstInAttempt, firstOverall bool, last time.Time, up sequoiasill.Upstream) time.Time {
	now := time.Now()
	r.g.meter.Tokens.Add(1)
	if firstOverall {
		r.g.meter.FirstToken.RecordMicros(now.Sub(r.startedAt).Microseconds())
	}
	if !firstInAttempt {
		interval := now.Sub(last).Microseconds()
		r.gen.recordTokenInterval(interval)
		r.g.meter.BetweenTokens.RecordMicros(interval)
		r.g.balancer.Observe(tracker.Answered{Upstream: up.Name, Micros: interval})
	}
	return now
}

// prepareRetry decides whether there is another attempt and waits for its delay. It
// returns false if the run has ended.
func (r *run) prepareRetry(failed *failedAttempt) bool {
	job := r.gen.Job()
	if failed.invalidRequest() {
		r.record(failed.upstream.Version, sequoiasill.VersionDeclined, r.startedAt)
		r.end(r.failure(failed, retrier.InvalidRequest))
		return false
	}
	planned := r.observe(failed)
	if !planned && failed.upstream.Name != "" && !failed.DialFailed {
		r.record(failed.upstream.Version, sequoiasill.VersionFailed, r.startedAt)
	}
	if failed.upstream.Name != "" {
		r.avoid[failed.upstream.Name] = true
	}
	action := r.g.budgets.Step(retrier.AttemptFailed{
		Organisation: job.Request.Organisation, Pool: job.Pool, Attempt: r.attempt,
		Verdict: failed.Verdict, Idempotent: true, Draining: planned, Crashed: failed.PossibleCrash(), Unsent: failed.DialFailed, Deadline: job.Request.Deadline,
	})
	retry, ok := action.(retrier.Retry)
	if !ok {
		r.end(r.failure(failed, action.(retrier.Stop).Reason))
		return false
	}
	r.g.meter.Retries.Add(1)
	r.g.log.Info("retry", "request", job.Request.ID, "upstream", failed.upstream.Name, "cause", failed.Error(),
		"verdict", failed.Verdict, "after", retry.After, "offset", r.gen.tokenCount())
	return r.sleep(retry.After)
}

// sleep waits for the delay. It returns false if the run was halted.
func (r *run) sleep(delay sequoiasill.Millis) bool {
	select {
	case <-time.After(delay.Duration()):
		return true
	case <-r.stop:
		return false
	}
}

// observe reports the failure to the tracker. It returns whether the upstream had
// announced that it drains.
func (r *run) observe(failed *failedAttempt) bool {
	name := failed.upstream.Name
	switch {
	case name == "":
		return false
	case failed.evacuate:
		return true
	case failed.Refused():
		r.g.balancer.Observe(tracker.Leaving{Upstream: name, Source: tracker.FromRefusal})
		return true
	case failed.Status == 0:
		r.handleConnectionLoss(failed)
	case failed.Status != 404:
		r.g.balancer.Observe(tracker.Failed{Upstream: name})
	}
	return r.g.balancer.Draining(name)
}

// handleConnectionLoss handles an attempt that ended without a complete response. It
// distinguishes a crash of the upstream from a failed or broken connection.
func (r *run) handleConnectionLoss(failed *failedAttempt) {
	up := failed.upstream
	planned := r.g.balancer.Draining(up.Name)
	r.g.balancer.Observe(tracker.Unreachable{Upstream: up.Name})
	if !failed.PossibleCrash() {
		return
	}
	if planned || r.g.forwarder.Reachable(up.Address) {
		fp := quarantiner.Fingerprint(r.gen.Job().Request.Digest)
		r.g.isolator.Step(quarantiner.Finished{Fingerprint: fp, Upstream: up.Name})
		return
	}
	r.g.isolator.Step(quarantiner.Crashed{Upstream: up.Name})
}

// failure returns the final failure for the caller after the last attempt.
func (r *run) failure(failed *failedAttempt, reason retrier.Reason) *sequoiasill.Failure {
	f := sequoiasill.NewFailure(failed.Verdict, sequoiasill.CodeUpstreamFailed, 502, "no upstream finished the request: %s", reason)
	if failed.invalidRequest() {
		f.Status = failed.Status
		f.Message = strings.TrimSpace(string(failed.Body))
	}
	if failed.Verdict == sequoiasill.NotRun && r.verdict() == sequoiasill.NotRun {
		f.Status = 503
		return f.WithRetryAfter(sequoiasill.Second).WithCause(failed)
	}
	if f.Verdict == sequoiasill.NotRun {
		f.Verdict = sequoiasill.MayHaveRun
	}
	return f.WithCause(failed)
}

func (r *run) end(f *sequoiasill.Failure) { r.gen.endRun(r.epoch, r.g.clock.Now(), f) }
