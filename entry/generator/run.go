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

// run is the attempts of one generation on this entry.
type run struct {
	g       *Generator
	gen     *Generation
	ticket  *balancer.Ticket
	epoch   int             // of the generation; a later one makes this run void
	stop    <-chan struct{} // closed with the epoch
	avoid   map[string]bool // upstreams that failed this request
	prior   place           // where the generation ran before, if that may still be of use
	attempt int
	began   time.Time
}

// place is a stream on an upstream.
type place struct {
	upstream string
	streamID string
}

// loop makes attempts until the generation ends.
func (r *run) loop() {
	r.began = time.Now()
	if job := r.gen.Job(); job.Upstream != "" {
		r.prior = place{upstream: job.Upstream, streamID: job.StreamID}
	}
	for {
		r.attempt++
		loss := r.try()
		if loss == nil || r.halted() {
			return
		}
		if !r.again(loss) {
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

// attemptLoss is a failed attempt with the upstream that failed.
type attemptLoss struct {
	*forwarder.Loss
	upstream sequoiasill.Upstream
	evacuate bool // the upstream lives and leaves; its KV cache can be had
}

// changeVersion moves the request to another version of its service if its own
// has no upstream left.
func (r *run) changeVersion(job Job) bool {
	version, ok := r.g.versions.Other(job.Request.Service, job.Pool, job.Version)
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

// modelRoute names all requests to model services in the evidence on versions.
const modelRoute = "chat"

// record tells how a request to a version went.
func (r *run) record(version string, failed bool, since time.Time) {
	r.g.versions.Record(r.gen.Job().Request.Service, modelRoute, version, failed, time.Since(since).Microseconds())
}

// callersFault reports whether the upstream found the request itself wrong.
func (l *attemptLoss) callersFault() bool {
	return l.Status == 400 || l.Status == 413 || l.Status == 422
}

// try makes one attempt. It returns nil if the generation has ended.
func (r *run) try() *attemptLoss {
	job := r.gen.Job()
	listed := func() []string { return r.g.balancer.Listed(job.Pool, job.Version) }
	placed, failure := r.g.isolator.Place(job.Request.Digest, r.verdict(), listed, r.sleep)
	if failure != nil {
		r.end(failure)
		return nil
	}
	choice, ok := r.choose(placed)
	if !ok && r.changeVersion(job) {
		job = r.gen.Job()
		choice, ok = r.choose(placed)
	}
	if !ok {
		clear(r.avoid)
		return &attemptLoss{Loss: &forwarder.Loss{Verdict: sequoiasill.NotRun, Dial: true, Err: errors.New("no upstream is available")}}
	}
	up := choice.Upstream
	defer r.ticket.Release(up.Name)
	r.log(job, choice)
	r.g.meter.Attempts.Add(1)
	fp := quarantiner.Fingerprint(job.Request.Digest)
	r.g.isolator.Step(quarantiner.Started{Fingerprint: fp, Upstream: up.Name})
	loss := r.on(up)
	clean := loss == nil && !r.halted()
	if loss == nil || !loss.Crash() {
		r.g.isolator.Step(quarantiner.Finished{Fingerprint: fp, Upstream: up.Name, Clean: clean})
	}
	return loss
}

// verdict returns what can be said of a request that is given up now.
func (r *run) verdict() sequoiasill.Verdict {
	if r.attempt > 1 || r.gen.length() > 0 {
		return sequoiasill.MayHaveRun
	}
	return sequoiasill.NotRun
}

// choose leases an upstream: the one where the stream can be resumed, or the one
// that the request was placed on, or the picker's choice.
func (r *run) choose(placed string) (picker.Choice, bool) {
	if r.prior.upstream != "" && !r.g.balancer.Leaving(r.prior.upstream) {
		if c, ok := r.ticket.PickNamed(r.prior.upstream); ok {
			return c, true
		}
	}
	return r.ticket.PickPlaced(placed, r.avoid)
}

func (r *run) log(job Job, c picker.Choice) {
	r.g.log.Info("routed", "request", job.Request.ID, "organisation", job.Request.Organisation,
		"service", job.Request.Service, "class", job.Request.Class, "upstream", c.Upstream.Name,
		"version", c.Upstream.Version, "reason", c.Reason, "attempt", r.attempt, "offset", r.gen.length())
}

// on runs the generation on an upstream until it ends or is lost.
func (r *run) on(up sequoiasill.Upstream) *attemptLoss {
	streamID := fmt.Sprintf("%s-%s-%d", r.gen.Job().Request.ID, r.g.name, r.gen.nextStream())
	sent := time.Now()
	stream, streamID, loss := r.open(up, streamID)
	if loss != nil {
		return &attemptLoss{Loss: loss, upstream: up}
	}
	defer stream.Close()
	r.gen.place(up.Name, streamID)
	return r.read(stream, place{upstream: up.Name, streamID: streamID}, up, sent)
}

// read takes tokens off the stream until it ends, breaks or has to move.
func (r *run) read(stream *forwarder.Stream, at place, up sequoiasill.Upstream, sent time.Time) *attemptLoss {
	last := time.Now()
	for first := true; ; first = false {
		ev, loss := stream.Next()
		if r.halted() {
			return nil
		}
		if loss != nil {
			return &attemptLoss{Loss: loss, upstream: up}
		}
		if ev.Done {
			r.end(nil)
			return nil
		}
		have := r.gen.length()
		if ev.ID > 0 && ev.ID <= have {
			continue
		}
		if ev.ID > have+1 {
			return &attemptLoss{upstream: up, Loss: &forwarder.Loss{
				Verdict: sequoiasill.MayHaveRun, Status: 200, Err: errors.Errorf("stream skipped from %d to %d", have, ev.ID),
			}}
		}
		r.gen.append(r.epoch, ev.Text, ev.Finish)
		if first {
			r.record(up.Version, false, sent)
		}
		last = r.measure(first, have == 0, last, up)
		if r.gen.mustMove(r.g.clock.Now()) {
			r.prior = at
			return &attemptLoss{upstream: up, evacuate: true, Loss: &forwarder.Loss{
				Verdict: sequoiasill.MayHaveRun, Status: 200, Err: errors.New("moved off an upstream that leaves"),
			}}
		}
	}
}

// measure records the time of a token and returns the present time.
func (r *run) measure(firstHere, firstOfAll bool, last time.Time, up sequoiasill.Upstream) time.Time {
	now := time.Now()
	r.g.meter.Tokens.Add(1)
	if firstOfAll {
		r.g.meter.FirstToken.RecordMicros(now.Sub(r.began).Microseconds())
	}
	if !firstHere {
		gap := now.Sub(last).Microseconds()
		r.gen.gap(gap)
		r.g.meter.BetweenTokens.RecordMicros(gap)
		r.g.balancer.Observe(tracker.Answered{Upstream: up.Name, Micros: gap})
	}
	return now
}

// again decides on another attempt and waits for it.
func (r *run) again(l *attemptLoss) bool {
	job := r.gen.Job()
	if l.callersFault() {
		r.end(r.failure(l, retrier.InvalidRequest))
		return false
	}
	planned := r.observe(l)
	if !planned && l.upstream.Name != "" && !l.Dial {
		r.record(l.upstream.Version, true, r.began)
	}
	if l.upstream.Name != "" {
		r.avoid[l.upstream.Name] = true
	}
	action := r.g.budgets.Step(retrier.AttemptFailed{
		Organisation: job.Request.Organisation, Pool: job.Pool, Attempt: r.attempt,
		Verdict: l.Verdict, Idempotent: true, Draining: planned, Crashed: l.Crash(), Unsent: l.Dial, Deadline: job.Request.Deadline,
	})
	retry, ok := action.(retrier.Retry)
	if !ok {
		r.end(r.failure(l, action.(retrier.Stop).Reason))
		return false
	}
	r.g.meter.Retries.Add(1)
	r.g.log.Info("retry", "request", job.Request.ID, "upstream", l.upstream.Name, "cause", l.Error(),
		"verdict", l.Verdict, "after", retry.After, "offset", r.gen.length())
	return r.sleep(retry.After)
}

// sleep waits, and returns false if the run has to end.
func (r *run) sleep(span sequoiasill.Millis) bool {
	select {
	case <-time.After(span.Duration()):
		return true
	case <-r.stop:
		return false
	}
}

// observe tells the tracker of the loss. It reports whether the upstream had
// announced that it leaves.
func (r *run) observe(l *attemptLoss) bool {
	name := l.upstream.Name
	switch {
	case name == "":
		return false
	case l.evacuate:
		return true
	case l.Refused():
		r.g.balancer.Observe(tracker.Leaving{Upstream: name, Source: tracker.FromRefusal})
		return true
	case l.Status == 0:
		r.lost(l)
	case l.Status != 404:
		r.g.balancer.Observe(tracker.Failed{Upstream: name})
	}
	return r.g.balancer.Leaving(name)
}

// lost tells a crash from a connection that broke while its upstream lives on.
func (r *run) lost(l *attemptLoss) {
	up := l.upstream
	planned := r.g.balancer.Leaving(up.Name)
	r.g.balancer.Observe(tracker.Unreachable{Upstream: up.Name})
	if !l.Crash() {
		return
	}
	if planned || r.g.forwarder.Lives(up.Address) {
		fp := quarantiner.Fingerprint(r.gen.Job().Request.Digest)
		r.g.isolator.Step(quarantiner.Finished{Fingerprint: fp, Upstream: up.Name})
		return
	}
	r.g.isolator.Step(quarantiner.Crashed{Upstream: up.Name})
}

// failure is the final answer after the attempts are over.
func (r *run) failure(l *attemptLoss, reason retrier.Reason) *sequoiasill.Failure {
	f := sequoiasill.NewFailure(l.Verdict, sequoiasill.CodeUpstreamFailed, 502, "no upstream finished the request: %s", reason)
	if l.callersFault() {
		f.Status = l.Status
		f.Message = strings.TrimSpace(string(l.Body))
	}
	if l.Verdict == sequoiasill.NotRun && r.verdict() == sequoiasill.NotRun {
		f.Status = 503
		return f.WithRetryAfter(sequoiasill.Second).WithCause(l)
	}
	if f.Verdict == sequoiasill.NotRun {
		f.Verdict = sequoiasill.MayHaveRun
	}
	return f.WithCause(l)
}

func (r *run) end(f *sequoiasill.Failure) { r.gen.endRun(r.epoch, r.g.clock.Now(), f) }
