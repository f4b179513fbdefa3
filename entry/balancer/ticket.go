package balancer

import (
	"sync"
	"time"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/limiter"
	"sequoiasill.dev/sequoiasill/decide/picker"
)

// Admission is a request for a slot.
type Admission struct {
	Request          sequoiasill.Request
	Weight           int                // of the organisation
	ExpectedDuration sequoiasill.Millis // expected duration of the run
	Pool             string
	Version          string
	// Accepted means that the system has already accepted the request from its caller
	// and does not refuse it any more.
	Accepted bool
	End      <-chan struct{} // ends the wait when it is closed; may be nil
}

// Ticket is the slot of a request in a pool. It must be released with End.
type Ticket struct {
	balancer *Balancer
	shard    *shard
	req      sequoiasill.Request
	once     sync.Once
}

// Admit waits for a slot and returns a ticket, or a Failure with verdict NotRun and the
// time after which to retry.
func (b *Balancer) Admit(a Admission) (*Ticket, *sequoiasill.Failure) {
	s := b.shard(a.Pool, a.Version)
	now := b.clock.Now()
	if !a.Accepted && len(b.Usable(a.Pool, a.Version)) == 0 {
		return nil, noUpstream(a)
	}
	action := s.enqueue(now, limiter.Item{
		ID:           a.Request.ID,
		Organisation: a.Request.Organisation,
		Weight:       a.Weight,
		Class:        a.Request.Class,
		Cost:         a.Request.Cost(),
		Service:      a.ExpectedDuration,
		Deadline:     a.Request.Deadline,
		Accepted:     a.Accepted,
	})
	t := &Ticket{balancer: b, shard: s, req: a.Request}
	select {
	case act := <-action:
		return t.result(act)
	default:
	}
	timer := time.NewTimer((a.Request.Deadline - now).Duration())
	defer timer.Stop()
	select {
	case act := <-action:
		return t.result(act)
	case <-timer.C:
	case <-a.End:
	}
	if s.withdraw(b.clock.Now(), a.Request.ID) {
		return nil, overloaded(sequoiasill.Second)
	}
	return t.result(<-action)
}

func (t *Ticket) result(a limiter.Action) (*Ticket, *sequoiasill.Failure) {
	if r, refused := a.(limiter.Refuse); refused {
		return nil, overloaded(r.RetryAfter)
	}
	return t, nil
}

func overloaded(after sequoiasill.Millis) *sequoiasill.Failure {
	return sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeOverloaded, 503,
		"the request could not finish in time").WithRetryAfter(after)
}

func noUpstream(a Admission) *sequoiasill.Failure {
	return sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeNoUpstream, 503,
		"no upstream of service %q is available", a.Request.Service).WithRetryAfter(sequoiasill.Second)
}

// Pick chooses an upstream that is not in avoid. It must be released with Release.
func (t *Ticket) Pick(avoid map[string]bool) (picker.Choice, bool) {
	return t.shard.pick(t.balancer.clock.Now(), t.req, avoid)
}

// PickNamed chooses the named upstream if the platform lists it and it is not draining,
// even if it is ejected.
func (t *Ticket) PickNamed(name string) (picker.Choice, bool) {
	i, ok := t.balancer.Instance(name)
	if !ok || t.balancer.Draining(name) {
		return picker.Choice{}, false
	}
	return t.shard.pickNamed(i), true
}

// PickPreferred chooses the named upstream, or one that is not in avoid if the name is
// empty or that upstream is not available.
func (t *Ticket) PickPreferred(name string, avoid map[string]bool) (picker.Choice, bool) {
	if name != "" {
		if c, ok := t.PickNamed(name); ok {
			return c, true
		}
	}
	return t.Pick(avoid)
}

// Release ends the use of an upstream that a Pick method returned.
func (t *Ticket) Release(upstream string) { t.shard.release(upstream) }

// End releases the slot. It may be called more than once.
func (t *Ticket) End() {
	t.once.Do(func() { t.shard.end(t.balancer.clock.Now(), t.req.ID) })
}
