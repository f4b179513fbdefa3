package dispatcher

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/assigner"
	"sequoiasill.dev/sequoiasill/decide/blamer"
	"sequoiasill.dev/sequoiasill/decide/partblamer"
	"sequoiasill.dev/sequoiasill/decide/peerpicker"
	"sequoiasill.dev/sequoiasill/decide/rationer"
	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/decide/throttler"
)

// job is the state of a call in progress.
type job struct {
	call           *sequoiasill.Call
	route          *sequoiasill.TrafficRoute
	account        *sequoiasill.Account // nil if the route needs no key
	service        string
	engine         bool
	trafficVersion uint64 // version of the traffic rules that apply to the call
	reply          ResponseWriter
	deadline       sequoiasill.Millis
	fingerprint    blamer.Fingerprint
	parts          []partblamer.Part // shared parts of the prompt
	testsPart      bool              // the call tests whether its quarantined parts still crash upstreams
	testsRequest   bool              // the call tests whether the request, which is quarantined, still crashes upstreams
	retryBudget    *rationer.Call

	tried      map[string]bool
	triedPeers map[string]bool  // entries to which the call was offered
	acceptedBy *peerpicker.Peer // entry that accepts the call; set under the dispatcher's lock while an attempt is in progress
	relayed    bool             // another entry relayed the call
	notSent    int              // upstreams to which no connection could be made
	unanswered []string         // tried upstreams to which no connection could be made, or whose attempts were given up
	gaveUp     bool             // an attempt that may have been sent was cancelled for want of a response
	awaited    bool             // the call has waited for an upstream
	arrivals   int              // upstreams that the call reached
	// arrivalsElsewhere are those of them that it reached from the entry that relayed it, which took a repeat for
	// one more arrival.
	arrivalsElsewhere int
	runs              int // those that may have run it
	refusals          int
	rejectedBy        string      // version of the upstream that last rejected the call, empty if none did
	denials           int         // permits denied by rate limits
	retryDenied       bool        // the retry budget was exhausted at the last check
	usageCounted      bool        // the call is in its organisation's usage
	headerSent        bool        // the header of a stream was sent to the caller
	streaming         atomic.Bool // the same as headerSent, for the shutdown
	writeFailed       bool        // part of a stream could not be written to the caller
	events            numbering   // of the events that were sent to the caller
	fallback          *fallbackResponse

	// For calls that run only once:
	caller     context.Context // ends when the caller leaves
	cancelCall context.CancelCauseFunc
	passedOn   bool // an upstream has the call; guarded by the dispatcher's lock
}

// isLastRun reports whether the call may not be retried once another upstream has run it.
func (j *job) isLastRun() bool { return !j.route.MayRetry() || j.runs+1 >= j.route.MaxAttempts }

// fallbackResponse is a complete error response that is delivered if no attempt yields a
// better one.
type fallbackResponse struct {
	status int
	header http.Header
	body   []byte
}

// Serve runs a call and returns when its response has been sent. ctx is cancelled if the
// caller disconnects.
func (d *Dispatcher) Serve(ctx context.Context, call *sequoiasill.Call, reply ResponseWriter) {
	d.serve(ctx, call, reply, func(*job) {})
}

// serve runs a call. prepare sets what is known of the call before it is admitted.
func (d *Dispatcher) serve(ctx context.Context, call *sequoiasill.Call, reply ResponseWriter, prepare func(j *job)) {
	d.active.Add(1)
	defer d.active.Add(-1)
	// What refers to the job after its end, such as a failure that is not attributed yet, does not keep the body.
	own := *call
	defer func() { own.Body = nil }()
	j := &job{call: &own, reply: reply, tried: make(map[string]bool), triedPeers: make(map[string]bool), events: numbering{last: call.LastEvent}}
	prepare(j)
	failure := d.admit(j)
	if failure != nil {
		d.refuse(call, j.reply, failure)
		return
	}
	ctx, cancel := d.callContext(ctx, j)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer d.endWithShutdown(j, end)()
	d.run(ctx, j)
}

func (d *Dispatcher) refuse(call *sequoiasill.Call, reply ResponseWriter, f *sequoiasill.Failure) {
	d.meter.Refused(f.Code)
	d.countShutdown(f)
	d.log.Info("refused", "request", call.ID, "status", f.Status, "code", string(f.Code), "reason", f.Message, "verdict", f.Verdict.String(),
		"retryAfter", f.RetryAfter, "after", d.clock.Now()-call.ArrivedAt)
	reply.Refuse(f)
}

// admit looks up the route and the organisation, sets the deadline and charges the quota unless the
// entry that relayed the call has done so. It refuses a call that has no time left, that the shutdown
// would break off or that the load of the upstreams does not admit, and a quarantined request.
func (d *Dispatcher) admit(j *job) *sequoiasill.Failure {
	call := j.call
	t := d.traffic.Load()
	if t == nil {
		return sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeNoUpstream, http.StatusServiceUnavailable,
			"no configuration yet").WithRetryAfter(d.opts.RetryAfter)
	}
	route, ok := t.Route(call.Host, call.Path())
	if !ok {
		return sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeNotFound, http.StatusNotFound,
			"no route for this host and path in configuration %d", t.Version)
	}
	j.setRoute(t, route)
	if !route.Anonymous && len(t.Accounts) > 0 {
		if j.account, ok = t.AccountByKey(call.Key); !ok {
			return sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeUnauthorised, http.StatusUnauthorized,
				"unknown key in configuration %d", t.Version)
		}
	}
	j.deadline = call.Deadline
	if end := call.ArrivedAt + route.Timeout; route.Timeout > 0 && (j.deadline == 0 || end < j.deadline) {
		j.deadline = end
	}
	if j.deadline <= d.clock.Now() {
		return sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeDeadline, http.StatusServiceUnavailable,
			"no time left on arrival")
	}
	if failure := d.checkShutdown(j); failure != nil {
		return failure
	}
	j.fingerprint = fingerprint(call, j.account)
	if failure := d.checkQuarantine(j); failure != nil {
		return failure
	}
	j.parts = partblamer.PartsOf(call.Prompt)
	if failure := d.screen(j); failure != nil {
		return failure
	}
	return d.charge(j)
}

// setRoute sets the route and the service that follows from it.
func (j *job) setRoute(t *sequoiasill.Traffic, route *sequoiasill.TrafficRoute) {
	j.route, j.trafficVersion = route, t.Version
	j.service = route.ServiceFor(xxhash.Sum64String(j.call.ID))
	if s, ok := t.Service(j.service); ok {
		j.engine = s.Engine != nil
	}
}

// takeQuota charges the cost of the call to the organisation's quota. If the quota is exhausted, it
// returns false and the time to wait before a retry. The caller holds the lock.
func (d *Dispatcher) takeQuota(now sequoiasill.Millis, j *job) (sequoiasill.Millis, bool) {
	if j.account != nil {
		take, lessUrgent := d.allotter.Take, d.admitter.LessUrgent(now, j.service, j.route.Priority)
		if lessUrgent {
			take = d.allotter.TakeLessUrgent
		}
		if wait, ok := take(now, j.account, j.account.Cost(j.call.Prompt)); !ok {
			d.log.Debug("allowance is spent", "request", j.call.ID, "organisation", j.account.Name,
				"rate", j.account.RatePerSec, "lessUrgent", lessUrgent, "share", hclog.Fmt("%+v", d.allotter.Share(now, j.account)))
			return wait, false
		}
	}
	return 0, true
}

// refundQuota refunds the cost of a call that was not run.
func (d *Dispatcher) refundQuota(j *job) {
	if j.account == nil || j.relayed {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.allotter.Refund(d.clock.Now(), j.account, j.account.Cost(j.call.Prompt))
}

// nextStep is the action that follows an attempt.
type nextStep int

const (
	done  nextStep = iota // the call has ended
	retry                 // another upstream may run the call
	stop                  // no upstream may run the call again
)

// run makes attempts until the call has ended.
func (d *Dispatcher) run(ctx context.Context, j *job) {
	defer d.returnRetry(j)
	for {
		if failure := d.screen(j); failure != nil {
			d.finishRefused(ctx, j, failure)
			return
		}
		if failure := d.checkFurtherAttempt(j); failure != nil {
			d.finishRefused(ctx, j, failure)
			return
		}
		p, ok := d.nextPlacement(ctx, j)
		if !ok {
			if d.awaitUpstream(ctx, j) {
				continue
			}
			d.finish(ctx, j, d.noUpstreamReason(j))
			return
		}
		var n nextStep
		var reason string
		if p.relay != nil {
			n, reason = d.attemptRelay(ctx, j, *p.relay)
		} else {
			n, reason = d.attempt(ctx, j, p)
		}
		if n == retry {
			d.recordReturn(j)
		}
		switch {
		case n == done:
			return
		case n == stop || ctx.Err() != nil:
			d.finish(ctx, j, reason)
			return
		case !d.mayRetry(j) && !d.awaitRetry(ctx, j):
			d.finish(ctx, j, reason+"; no further attempt is allowed")
			return
		}
	}
}

// candidatesForVersion returns the candidates of the version that the call is assigned to. If it has
// no untried upstream, or has rejected the call, the call falls back to the other versions, but never to
// the target of a move nor to a version that was rejected before.
func (d *Dispatcher) candidatesForVersion(j *job, candidates []registrar.Candidate) []registrar.Candidate {
	a := d.moves.Assign(j.service, j.call.ID)
	if a.Target == "" {
		return candidates
	}
	assigned := a.InUse
	if a.ToTarget {
		assigned = a.Target
	}
	var onAssigned, others []registrar.Candidate
	for _, c := range candidates {
		if assigned != "" && c.Replica.Version == assigned {
			onAssigned = append(onAssigned, c)
		}
		if c.Replica.Version != a.Target && (a.Rejected == "" || c.Replica.Version != a.Rejected) {
			others = append(others, c)
		}
	}
	isUntried := func(c registrar.Candidate) bool { return !j.tried[c.Replica.Name] }
	// What one upstream of the target rejected, another one would probably reject too.
	rejected := a.ToTarget && j.rejectedBy == a.Target && slices.ContainsFunc(others, isUntried)
	if !rejected && slices.ContainsFunc(onAssigned, isUntried) {
		return onAssigned
	}
	return others
}

// placement is the chosen upstream of an attempt, or the entry to which the call is relayed.
type placement struct {
	relay  *peerpicker.Peer // nil unless the call is relayed
	choice assigner.Choice
	permit *throttler.Permit // nil if the upstream has no rate limit
	send   *rationer.Send
}

// place chooses an upstream, requests a permit if it is rate-limited, and counts the call
// there.
func (d *Dispatcher) place(ctx context.Context, j *job) (placement, bool) {
	for ctx.Err() == nil {
		p, ok := d.choose(j)
		if !ok || p.send != nil {
			return p, ok
		}
		if p.permit, ok = d.requestPermit(ctx, j, p.choice.Replica); ok {
			d.mu.Lock()
			defer d.mu.Unlock()
			p.send = d.countSend(j, p.choice)
			return p, true
		}
	}
	return placement{}, false
}

// choose chooses an untried upstream and counts the call there, unless it needs a permit
// first.
func (d *Dispatcher) choose(j *job) (placement, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	candidates := d.candidatesForVersion(j, d.registrar.Candidates(now, j.service))
	if j.denials >= d.opts.MaxDenials {
		candidates = unlimited(candidates)
	}
	choice, ok := d.chooseFrom(j, candidates)
	if !ok || choice.Limited {
		return placement{choice: choice}, ok
	}
	return placement{choice: choice, send: d.countSend(j, choice)}, true
}

// countSend counts a call towards the load of its upstream. The caller holds the lock.
func (d *Dispatcher) countSend(j *job, choice assigner.Choice) *rationer.Send {
	now := d.clock.Now()
	d.registrar.CallSent(choice.Replica.Name, choice.Prefill)
	if choice.ByConnection {
		d.meter.ChosenByConnection()
	}
	d.addEngineLoad(now, j, choice.Prefill)
	return d.rationer.Sent(now, j.retryBudget, choice.Replica.Name)
}

// chooseFrom chooses one of the candidates. The caller holds the lock.
func (d *Dispatcher) chooseFrom(j *job, candidates []registrar.Candidate) (assigner.Choice, bool) {
	d.markConnected(candidates)
	return d.assigner.Choose(assigner.Request{
		Zone: d.opts.Zone, Engine: j.engine, Prompt: j.call.Prompt, Tried: j.tried,
	}, candidates)
}

// hasAlternative reports whether there is an untried upstream that needs no permit. The caller holds
// the lock.
func (d *Dispatcher) hasAlternative(now sequoiasill.Millis, j *job) bool {
	_, ok := d.chooseFrom(j, unlimited(d.candidatesForVersion(j, d.registrar.Candidates(now, j.service))))
	return ok
}

// recordSendEnd records the end of a send in the retry budget.
func (d *Dispatcher) recordSendEnd(s *rationer.Send, e rationer.SendResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rationer.SendEnded(s, e)
}

// recordAttemptEnd records the end and the outcome of an attempt in the registrar.
func (d *Dispatcher) recordAttemptEnd(choice assigner.Choice, prefill int, outcome registrar.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registrar.CallEnded(d.clock.Now(), choice.Replica.Name, prefill, outcome)
}
