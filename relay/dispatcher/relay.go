package dispatcher

import (
	"context"
	"net/http"
	"slices"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/assigner"
	"sequoiasill.dev/sequoiasill/decide/blamer"
	"sequoiasill.dev/sequoiasill/decide/classifier"
	"sequoiasill.dev/sequoiasill/decide/pathmonitor"
	"sequoiasill.dev/sequoiasill/decide/peerpicker"
	"sequoiasill.dev/sequoiasill/decide/rationer"
)

// Relays lets other entries serve calls whose upstreams this entry does not reach.
type Relays interface {
	// Pick returns an untried entry that may reach the upstreams of a service.
	Pick(service string, tried map[string]bool) (peerpicker.Peer, bool)
	// Offer asks an entry whether it would serve a call now, and waits only a short time for its answer.
	Offer(p peerpicker.Peer, c RelayedCall) bool
	// Send lets an entry serve a call. Its errors carry a verdict, see Verdict; a RefusalError is the
	// entry's own.
	Send(ctx context.Context, p peerpicker.Peer, c RelayedCall) (*Response, error)
	// NoneReaches reports whether all other entries, and at least one, announce that they reach no upstream
	// of a service.
	NoneReaches(service string) bool
}

// RelayedCall is a call that one entry lets another one serve.
type RelayedCall struct {
	Call           *sequoiasill.Call // as the caller sent it, except for the last event
	Service        string            // only for the offer; the serving entry resolves the route again
	TrafficVersion uint64            // of the traffic rules under which the call was admitted
	Runs           int               // upstreams that may have run it
}

// RefusalError is the error of a call that another entry refused or failed to serve.
type RefusalError struct {
	Failure  *sequoiasill.Failure
	Runs     int // upstreams that may have run the call, those before it was relayed included
	Arrivals int // upstreams that received the call from the other entry, those that rejected it included
}

// Error returns the failure's text.
func (e *RefusalError) Error() string { return "refused by another entry: " + e.Failure.Error() }

// Unwrap returns the failure.
func (e *RefusalError) Unwrap() error { return e.Failure }

// Ran returns the verdict.
func (e *RefusalError) Ran() sequoiasill.Verdict { return e.Failure.Verdict }

// sendResult returns the result for the retry budget: without an arrival at an upstream, nothing was sent.
func (e *RefusalError) sendResult(runsBefore int) rationer.SendResult {
	if e.Arrivals == 0 && (e.Failure.Verdict == sequoiasill.NotRun || e.Runs <= runsBefore) {
		return rationer.NotSent
	}
	return rationer.Answered
}

// pickRelay chooses an entry that serves the call on behalf of this one. A call that another entry
// relayed here is not relayed again.
func (d *Dispatcher) pickRelay(j *job) (*peerpicker.Peer, bool) {
	if j.relayed || len(j.triedPeers) >= d.opts.MaxRelays {
		return nil, false
	}
	if p := j.acceptedBy; p != nil && !j.triedPeers[p.Name] {
		return p, true
	}
	p, ok := d.relays.Pick(j.service, j.triedPeers)
	return &p, ok
}

// nextPlacement chooses an upstream, or an entry that reaches them if this one does not.
func (d *Dispatcher) nextPlacement(ctx context.Context, j *job) (placement, bool) {
	if d.paths.State(j.service) == pathmonitor.Unreachable {
		peer, ok := d.pickRelay(j)
		return placement{relay: peer}, ok
	}
	if p, ok := d.place(ctx, j); ok || ctx.Err() != nil || !d.missesUpstreams(j) {
		return p, ok
	}
	peer, ok := d.pickRelay(j)
	return placement{relay: peer}, ok
}

// missesUpstreams reports whether the call found no upstream because some could not be reached from
// here.
func (d *Dispatcher) missesUpstreams(j *job) bool {
	if j.notSent > 0 {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registrar.AnyUnreachable(d.clock.Now(), j.service)
}

// attemptRelay lets another entry serve the call and delivers the response to the caller if it is
// good.
func (d *Dispatcher) attemptRelay(ctx context.Context, j *job, peer peerpicker.Peer) (nextStep, string) {
	j.triedPeers[peer.Name] = true
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := &try{
		job: j, d: d, relay: true, choice: assigner.Choice{Replica: sequoiasill.Replica{Name: peer.Name, Zone: peer.Zone}},
		started: d.clock.Now(), arrivalsBefore: j.arrivals, cancel: cancel,
	}
	call := *j.call
	call.LastEvent = j.events.last
	call.Deadline = d.callEnd(j)
	send, ok := d.countRelay(t, peer)
	if !ok {
		return stop, "caller left"
	}
	timer := newAttemptTimer(t)
	defer timer.stop()
	response, err := d.relays.Send(attemptCtx, peer, RelayedCall{Call: &call, Service: j.service, TrafficVersion: j.trafficVersion, Runs: j.runs})
	var refusal *RefusalError
	switch {
	case errors.As(err, &refusal):
		timer.stop()
		d.recordSendEnd(send, refusal.sendResult(j.runs))
		return t.handleRelayRefusal(ctx, refusal)
	case err != nil:
		timer.stop()
		e := classifySendError(attemptCtx, err, false)
		d.recordSendEnd(send, classifier.Classify(e).Send)
		return t.handleSendError(e, err, context.Cause(attemptCtx))
	}
	d.recordSendEnd(send, rationer.Answered)
	return t.handleResponse(attemptCtx, response, timer)
}

// countRelay counts a call towards the retry budget as it is offered to another entry, unless its caller
// has left. Whether the other entry has sent the call is not known here, so a caller that leaves later
// cancels it.
func (d *Dispatcher) countRelay(t *try, peer peerpicker.Peer) (*rationer.Send, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.endIfCallerLeft(t.job) {
		return nil, false
	}
	return d.rationer.Sent(t.started, t.retryBudget, peer.Name), true
}

// handleRelayRefusal concludes an attempt that the other entry refused. What it refused for lack of
// an upstream may go to another entry.
func (t *try) handleRelayRefusal(ctx context.Context, refusal *RefusalError) (nextStep, string) {
	f := refusal.Failure
	// The runs there include those that were told with the call.
	ranThere := t.runs == 0 || refusal.Runs != t.runs
	if f.Verdict != sequoiasill.NotRun && ranThere {
		t.arrivals += max(refusal.Arrivals, 1)
		t.runs = max(t.runs+1, refusal.Runs)
		return t.conclude(classifier.End{Kind: classifier.Failed}, "failed at another entry", f.Message, "status", f.Status)
	}
	t.arrivals += refusal.Arrivals
	next, reason := t.conclude(classifier.End{Kind: classifier.NotSent}, "refused by another entry", f.Message, "status", f.Status, "code", string(f.Code))
	if t.mayRelayAgain(f.Code) {
		return next, reason
	}
	if t.runs > 0 || t.headerSent || ctx.Err() != nil {
		return stop, f.Message
	}
	t.d.refundQuota(t.job)
	t.d.refuse(t.call, t.reply, f)
	return done, ""
}

// mayRelayAgain reports whether a call that another entry refused may go elsewhere. One that has run under the
// traffic rules of this entry does not end because another entry has newer rules, or found no upstream for it.
func (t *try) mayRelayAgain(code sequoiasill.Code) bool {
	switch code {
	case sequoiasill.CodeNoUpstream, sequoiasill.CodeLeaving, sequoiasill.CodeOverloaded:
		return true
	case sequoiasill.CodeUnauthorised, sequoiasill.CodeNotFound, sequoiasill.CodeUpstreamFailed:
		return t.runs > 0
	}
	return false
}

// AcceptRelayed decides whether this entry would serve a call of a service for another one, whose
// traffic rules have the given version. It returns the refusal if not.
func (d *Dispatcher) AcceptRelayed(service string, trafficVersion uint64) *sequoiasill.Failure {
	refuse := func(code sequoiasill.Code, reason string) *sequoiasill.Failure {
		return sequoiasill.NewFailure(sequoiasill.NotRun, code, http.StatusServiceUnavailable, "%s", reason).WithRetryAfter(d.opts.RetryAfter)
	}
	t := d.traffic.Load()
	switch {
	case d.shutdown.Load() != nil:
		return refuse(sequoiasill.CodeLeaving, "entry is leaving")
	case t == nil || t.Version < trafficVersion:
		return refuse(sequoiasill.CodeNoUpstream, "entry has an older configuration")
	case d.paths.State(service) != pathmonitor.Reachable:
		return refuse(sequoiasill.CodeNoUpstream, "entry does not reach the upstreams")
	case d.relayedCalls.Load() >= int64(d.opts.MaxRelayedCalls):
		return refuse(sequoiasill.CodeOverloaded, "entry serves too many calls of others")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.registrar.Candidates(d.clock.Now(), service)) == 0 {
		return refuse(sequoiasill.CodeNoUpstream, "no upstream left")
	}
	return nil
}

// RelayWriter writes the response to an entry that relayed a call.
type RelayWriter interface {
	ResponseWriter

	// SetCounts sets the number of upstreams that may have run the call up to now, and of those that have
	// received it from this entry. It is called before the methods of ResponseWriter.
	SetCounts(runs, arrivals int)
}

// ServeRelayed runs a call that another entry relayed and returns when its response has been sent.
// The other entry has charged the quota. runs is the number of upstreams that may have run the call.
func (d *Dispatcher) ServeRelayed(ctx context.Context, call *sequoiasill.Call, runs int, reply RelayWriter) {
	d.relayedCalls.Add(1)
	defer d.relayedCalls.Add(-1)
	d.serve(ctx, call, nil, func(j *job) {
		j.relayed = true
		j.runs, j.arrivals, j.arrivalsElsewhere = runs, runs, runs
		j.reply = &countingWriter{RelayWriter: reply, job: j, arrivalsBefore: runs}
	})
}

// countingWriter tells the numbers of runs and arrivals with each part of a response.
type countingWriter struct {
	RelayWriter

	job            *job
	arrivalsBefore int // of the call at other entries
}

func (w *countingWriter) count(runs int) { w.SetCounts(runs, w.job.arrivals-w.arrivalsBefore) }

// SendWhole implements ResponseWriter.
func (w *countingWriter) SendWhole(status int, header http.Header, body []byte) error {
	w.count(w.job.runs)
	return w.RelayWriter.SendWhole(status, header, body)
}

// Refuse implements ResponseWriter.
func (w *countingWriter) Refuse(f *sequoiasill.Failure) {
	w.count(w.job.runs)
	w.RelayWriter.Refuse(f)
}

// Begin implements ResponseWriter. The upstream that sends the stream is counted when it has ended.
func (w *countingWriter) Begin(status int, header http.Header) error {
	w.count(w.job.runs + 1)
	return w.RelayWriter.Begin(status, header)
}

// End implements ResponseWriter.
func (w *countingWriter) End() error {
	w.count(w.job.runs)
	return w.RelayWriter.End()
}

// Abort implements ResponseWriter.
func (w *countingWriter) Abort() {
	w.count(w.job.runs)
	w.RelayWriter.Abort()
}

// RelayedCalls returns the number of calls in progress that other entries relayed.
func (d *Dispatcher) RelayedCalls() int { return int(d.relayedCalls.Load()) }

// track registers the attempt until the returned function is called.
func (t *try) track() (end func()) {
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	t.lastData, t.patience = t.started, stalledTime
	t.d.tries[t] = true
	return func() {
		t.d.mu.Lock()
		defer t.d.mu.Unlock()
		delete(t.d.tries, t)
	}
}

// recordProgress records that data of the response arrived.
func (t *try) recordProgress() {
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	t.lastData = t.d.clock.Now()
}

// pathBreak is a connection that broke under an attempt.
type pathBreak struct {
	upstream string
	request  blamer.Fingerprint
	at       sequoiasill.Millis
}

const (
	// breakWindow is the time within which connections break together. An upstream that crashes
	// breaks only its own.
	breakWindow = 100 * sequoiasill.Millis(1)
	// minBreaksTogether is the number of upstreams, and of different requests, whose connections must
	// break together to be attributed to this entry. A request that crashes upstreams may come to
	// several of them in a moment.
	minBreaksTogether = 3
)

// recordBreak records that the connection of the attempt broke.
func (t *try) recordBreak() {
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	now := t.d.clock.Now()
	kept := slices.DeleteFunc(t.d.breaks[t.service], func(b pathBreak) bool { return now-b.at > 2*maxDoubt })
	t.d.breaks[t.service] = append(kept, pathBreak{t.choice.Replica.Name, t.fingerprint, now})
}

// brokeTogether reports whether the connections to most upstreams of a service with attempts in
// progress broke around a time: then this entry lost them, also if it reaches the upstreams again.
func (d *Dispatcher) brokeTogether(service string, at sequoiasill.Millis) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	broken, sound, requests := make(map[string]bool), make(map[string]bool), make(map[blamer.Fingerprint]bool)
	for _, b := range d.breaks[service] {
		if b.at >= at-breakWindow && b.at <= at+breakWindow {
			broken[b.upstream], requests[b.request] = true, true
		}
	}
	if min(len(broken), len(requests)) < minBreaksTogether {
		return false
	}
	for t := range d.tries {
		if name := t.choice.Replica.Name; t.service == service && t.started < at && !broken[name] {
			sound[name] = true
		}
	}
	return len(broken) > len(sound)
}
