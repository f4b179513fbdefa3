package dispatcher

import (
	"context"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/assigner"
	"sequoiasill.dev/sequoiasill/decide/blamer"
	"sequoiasill.dev/sequoiasill/decide/rationer"
	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/decide/throttler"
)

// job is a call on its way.
type job struct {
	call     *sequoiasill.Call
	route    *sequoiasill.TrafficRoute
	account  *sequoiasill.Account // nil where the route needs no key
	service  string
	engine   bool
	version  uint64 // of the traffic rules that decided
	reply    Reply
	deadline sequoiasill.Millis
	print    blamer.Fingerprint
	ration   *rationer.Call

	tried    map[string]bool
	arrivals int // upstreams that the call reached
	runs     int // of these, those that may have run it
	refusals int
	denials  int    // by the limits of upstreams
	counted  bool   // in the usage
	begun    bool   // the caller got the head of a stream
	after    string // the last event that the caller got
	spare    *spare // an answer to fall back on
}

// spare is a whole answer of an upstream that is delivered if no better one comes.
type spare struct {
	status int
	header http.Header
	body   []byte
}

// Serve carries a call to its answer. It returns when that is sent. The caller's
// leaving ends ctx.
func (d *Dispatcher) Serve(ctx context.Context, call *sequoiasill.Call, reply Reply) {
	d.active.Add(1)
	defer d.active.Add(-1)
	j, failure := d.admit(call, reply)
	if failure != nil {
		d.refuse(call, reply, failure)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, (j.deadline - d.clock.Now()).Duration())
	defer cancel()
	d.run(ctx, j)
}

func (d *Dispatcher) refuse(call *sequoiasill.Call, reply Reply, f *sequoiasill.Failure) {
	d.meter.Refused(f.Code)
	d.log.Info("refused", "request", call.ID, "status", f.Status, "code", string(f.Code), "reason", f.Message, "verdict", f.Verdict.String(),
		"retryAfter", f.RetryAfter, "after", d.clock.Now()-call.Arrived)
	reply.Refuse(f)
}

// admit finds route and organisation and spends the allowance.
func (d *Dispatcher) admit(call *sequoiasill.Call, reply Reply) (*job, *sequoiasill.Failure) {
	t := d.traffic.Load()
	if t == nil {
		return nil, sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeNoUpstream, http.StatusServiceUnavailable,
			"no configuration yet").WithRetryAfter(d.opts.RetryAfter)
	}
	route, ok := t.Route(call.Host, call.Path())
	if !ok {
		return nil, sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeNotFound, http.StatusNotFound,
			"no route for this host and path in configuration %d", t.Version)
	}
	j := &job{call: call, route: route, version: t.Version, reply: reply, tried: make(map[string]bool), after: call.LastEvent}
	if !route.Anonymous && len(t.Accounts) > 0 {
		if j.account, ok = t.AccountByKey(call.Key); !ok {
			return nil, sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeUnauthorised, http.StatusUnauthorized,
				"unknown key in configuration %d", t.Version)
		}
	}
	j.service = route.ServiceFor(xxhash.Sum64String(call.ID))
	if s, ok := t.Service(j.service); ok {
		j.engine = s.Engine != nil
	}
	j.deadline = call.Deadline
	if end := call.Arrived + route.Timeout; route.Timeout > 0 && (j.deadline == 0 || end < j.deadline) {
		j.deadline = end
	}
	if j.deadline <= d.clock.Now() {
		return nil, sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeDeadline, http.StatusServiceUnavailable,
			"no time left on arrival")
	}
	if end := sequoiasill.Millis(d.end.Load()); end > 0 && route.Kind == sequoiasill.Streaming && end-d.clock.Now() < d.opts.StreamSpan {
		return nil, sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeLeaving, http.StatusServiceUnavailable,
			"entry ends in %s", end-d.clock.Now()).WithRetryAfter(leavingRetry)
	}
	j.print = fingerprint(call, j.account)
	if failure := d.refusedAsCulprit(j); failure != nil {
		return nil, failure
	}
	if wait, ok := d.allow(j); !ok {
		return nil, sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeOverloaded, http.StatusTooManyRequests,
			"allowance of %s is spent", j.account.Name).WithRetryAfter(wait)
	}
	return j, nil
}

// leavingRetry is what callers of an entry that ends are told: others serve them at
// once.
const leavingRetry = 20 * sequoiasill.Millis(1)

// allow spends the organisation's allowance on the call.
func (d *Dispatcher) allow(j *job) (sequoiasill.Millis, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if j.account != nil {
		if wait, ok := d.allotter.Take(now, j.account, j.account.Cost(j.call.Prompt)); !ok {
			d.log.Debug("allowance is spent", "request", j.call.ID, "organisation", j.account.Name,
				"rate", j.account.RatePerSec, "share", d.allotter.Share(now, j.account))
			return wait, false
		}
	}
	j.ration = d.rationer.Call(now, j.service)
	return 0, true
}

// giveBack returns the allowance of a call that was not run.
func (d *Dispatcher) giveBack(j *job) {
	if j.account == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.allotter.Return(d.clock.Now(), j.account, j.account.Cost(j.call.Prompt))
}

// next says what follows an attempt.
type next int

const (
	done  next = iota // the caller has its answer
	again             // another upstream may try
	stop              // nobody may try again
)

// run makes attempts until one ends the call.
func (d *Dispatcher) run(ctx context.Context, j *job) {
	defer d.returnRepeat(j)
	for {
		p, ok := d.place(ctx, j)
		if !ok {
			d.finish(ctx, j, noUpstream(j))
			return
		}
		n, reason := d.attempt(ctx, j, p)
		switch {
		case n == done:
			return
		case n == stop || ctx.Err() != nil:
			d.finish(ctx, j, reason)
			return
		case !d.mayRepeat(j):
			d.finish(ctx, j, reason+"; no further attempt is allowed")
			return
		}
	}
}

// ofVersion returns the candidates of the version that the call goes to while its
// service moves to another. A call that is to go to the new version goes to the old
// one where the new one has no upstream, but never the other way round.
func (d *Dispatcher) ofVersion(j *job, candidates []registrar.Candidate) []registrar.Candidate {
	target, to := d.moves.Target(j.service, j.call.ID)
	if target == "" {
		return candidates
	}
	var old, next []registrar.Candidate
	for _, c := range candidates {
		if c.Replica.Version == target {
			next = append(next, c)
		} else {
			old = append(old, c)
		}
	}
	if to && slices.ContainsFunc(next, func(c registrar.Candidate) bool { return !j.tried[c.Replica.Name] }) {
		return next
	}
	return old
}

// noUpstream says why no upstream may have a call.
func noUpstream(j *job) string {
	if j.denials > 0 {
		return "upstreams limit their calls"
	}
	return "no upstream left"
}

// placement is the upstream that gets a call.
type placement struct {
	choice assigner.Choice
	permit *throttler.Permit // nil where the upstream limits no calls
	send   *rationer.Send
}

// place chooses an upstream, with a permit where it limits its calls, and counts the call
// there.
func (d *Dispatcher) place(ctx context.Context, j *job) (placement, bool) {
	for ctx.Err() == nil {
		p, ok := d.choose(j)
		if !ok || p.send != nil {
			return p, ok
		}
		if p.permit, ok = d.permit(ctx, j, p.choice.Replica); ok {
			d.mu.Lock()
			defer d.mu.Unlock()
			p.send = d.begin(j, p.choice)
			return p, true
		}
	}
	return placement{}, false
}

// choose chooses an upstream that has not had the call, and counts the call there unless
// it needs a permit.
func (d *Dispatcher) choose(j *job) (placement, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	candidates := d.ofVersion(j, d.registrar.Candidates(now, j.service))
	if j.denials >= d.opts.Denials {
		candidates = unlimited(candidates)
	}
	choice, ok := d.assign(j, candidates)
	if !ok || choice.Limited {
		return placement{choice: choice}, ok
	}
	return placement{choice: choice, send: d.begin(j, choice)}, true
}

// begin counts a call at the upstream that it goes to. The caller holds the lock.
func (d *Dispatcher) begin(j *job, choice assigner.Choice) *rationer.Send {
	now := d.clock.Now()
	d.registrar.Sent(choice.Replica.Name, choice.Prefill)
	d.addWork(now, j, choice)
	return d.rationer.Sent(now, j.ration, choice.Replica.Name)
}

// assign weighs candidates. The caller holds the lock.
func (d *Dispatcher) assign(j *job, candidates []registrar.Candidate) (assigner.Choice, bool) {
	return d.assigner.Choose(assigner.Request{
		Zone: d.opts.Zone, Engine: j.engine, Prompt: j.call.Prompt, Tried: j.tried,
	}, candidates)
}

// isAnother reports whether there is an upstream that has not had the call and needs no
// permit. The caller holds the lock.
func (d *Dispatcher) isAnother(now sequoiasill.Millis, j *job) bool {
	_, ok := d.assign(j, unlimited(d.ofVersion(j, d.registrar.Candidates(now, j.service))))
	return ok
}

// returnRepeat gives back a repeat that was taken and not sent.
func (d *Dispatcher) returnRepeat(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rationer.Return(j.ration)
}

// mayRepeat reports whether the call may be sent once more.
func (d *Dispatcher) mayRepeat(j *job) bool {
	if j.runs >= j.route.MaxAttempts || j.refusals >= d.opts.Refusals {
		return false
	}
	if j.arrivals == 0 {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if j.ration.Granted() {
		return true
	}
	now := d.clock.Now()
	before := d.rationer.State(now, j.ration)
	allowed := d.rationer.Repeat(now, j.ration)
	d.tellRepeat(j, j.arrivals, allowed, before)
	return allowed
}

// finish ends a call that no upstream answered well.
func (d *Dispatcher) finish(ctx context.Context, j *job, reason string) {
	left := d.clock.Now() - j.call.Arrived
	switch {
	case j.begun:
		d.meter.Ended(j.route.Kind, "cut", left)
		d.log.Info("stream cut", "request", j.call.ID, "reason", reason, "event", j.after, "after", left)
		j.reply.Cut()
	case errors.Is(context.Cause(ctx), context.Canceled):
		d.meter.Ended(j.route.Kind, "left", left)
		d.log.Info("caller left", "request", j.call.ID, "after", left)
		j.reply.Cut()
	case j.spare != nil:
		d.meter.Ended(j.route.Kind, "failed", left)
		d.log.Info("answered", "request", j.call.ID, "status", j.spare.status, "reason", reason, "after", left)
		if err := j.reply.Whole(j.spare.status, j.spare.header, j.spare.body); err != nil {
			d.log.Debug("answer not delivered", "request", j.call.ID, "error", err)
		}
	case j.runs == 0:
		d.giveBack(j)
		d.refuse(j.call, j.reply, sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeNoUpstream,
			http.StatusServiceUnavailable, "%s", reason).WithRetryAfter(d.comeBack(j.service)))
	case ctx.Err() != nil:
		d.refuse(j.call, j.reply, sequoiasill.NewFailure(sequoiasill.MayHaveRun, sequoiasill.CodeDeadline,
			http.StatusGatewayTimeout, "%s", reason))
	default:
		d.refuse(j.call, j.reply, sequoiasill.NewFailure(sequoiasill.MayHaveRun, sequoiasill.CodeUpstreamFailed,
			http.StatusBadGateway, "%s", reason))
	}
}

// sendEnded tells the ration how a send ended.
func (d *Dispatcher) sendEnded(s *rationer.Send, e rationer.End) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rationer.Ended(s, e)
}

// ended counts an attempt off.
func (d *Dispatcher) ended(choice assigner.Choice, prefill int, o registrar.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registrar.Ended(d.clock.Now(), choice.Replica.Name, prefill, o)
}
