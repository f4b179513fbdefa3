package balancer

import (
	"sync"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/limiter"
	"sequoiasill.dev/sequoiasill/decide/picker"
)

// shard is the state of one pool and version.
type shard struct {
	key    shardKey
	filled sync.Once // with its first candidates

	mu         sync.Mutex
	limiter    *limiter.Limiter
	picker     *picker.Picker
	candidates []picker.Candidate // without the counts, which own and reports hold
	own        map[string]int     // requests by upstream
	reports    map[string]reported
	waiters    map[sequoiasill.RequestID]chan limiter.Action
}

type reported struct {
	load    sequoiasill.LoadReport
	ownThen int
	at      sequoiasill.Millis // when it came; the upstream's clock is not this one
}

func newShard(key shardKey, opts limiter.Options, seed uint64) *shard {
	return &shard{
		key:     key,
		limiter: limiter.New(opts),
		picker:  picker.New(seed),
		own:     make(map[string]int),
		reports: make(map[string]reported),
		waiters: make(map[sequoiasill.RequestID]chan limiter.Action),
	}
}

func (s *shard) demand() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Demand()
}

func (s *shard) report(now sequoiasill.Millis, upstream string, r sequoiasill.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.reports[upstream]; ok && old.load.ReportedAt == r.ReportedAt {
		return
	}
	s.reports[upstream] = reported{load: r, ownThen: s.own[upstream], at: now}
}

func (s *shard) resize(now sequoiasill.Millis, candidates []picker.Candidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.candidates = candidates
	total := 0
	for _, c := range candidates {
		total += c.Limit
	}
	s.step(now, limiter.SlotsChanged{Slots: total})
}

// step feeds the limiter and wakes those that it lets go. The lock is held.
func (s *shard) step(now sequoiasill.Millis, ev limiter.Event) {
	for _, a := range s.limiter.Step(now, ev) {
		var id sequoiasill.RequestID
		switch a := a.(type) {
		case limiter.Start:
			id = a.ID
		case limiter.Refuse:
			id = a.ID
		}
		if w, ok := s.waiters[id]; ok {
			delete(s.waiters, id)
			w <- a
		}
	}
}

// arrive queues an item and returns the channel on which its action comes.
func (s *shard) arrive(now sequoiasill.Millis, it limiter.Item) <-chan limiter.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := make(chan limiter.Action, 1)
	s.waiters[it.ID] = w
	s.step(now, limiter.Arrived{Item: it})
	return w
}

// withdraw takes a waiting item back. It returns false if it has its action.
func (s *shard) withdraw(now sequoiasill.Millis, id sequoiasill.RequestID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, waits := s.waiters[id]; !waits {
		return false
	}
	delete(s.waiters, id)
	s.step(now, limiter.Withdrawn{ID: id})
	return true
}

func (s *shard) end(now sequoiasill.Millis, id sequoiasill.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(now, limiter.Ended{ID: id})
}

// pick leases an upstream outside of avoid. Where none of the others has room,
// the least loaded one is taken, since the request already holds a slot.
func (s *shard) pick(now sequoiasill.Millis, req sequoiasill.Request, avoid map[string]bool) (picker.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var open []picker.Candidate
	for _, c := range s.candidates {
		if avoid[c.Upstream.Name] {
			continue
		}
		c.InFlight = s.own[c.Upstream.Name]
		if r, ok := s.reports[c.Upstream.Name]; ok {
			c.Report, c.Reported, c.InFlightAtReport, c.ReportAge = r.load, true, r.ownThen, now-r.at
		}
		open = append(open, c)
	}
	choice, ok := s.picker.Pick(req, open)
	if !ok {
		for i := range open {
			open[i].Limit = open[i].InFlight + 1
		}
		choice, ok = s.picker.Pick(req, open)
	}
	if ok {
		s.own[choice.Upstream.Name]++
	}
	return choice, ok
}

// pickNamed leases an upstream, whether it has room or not.
func (s *shard) pickNamed(i sequoiasill.Instance) picker.Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own[i.Name]++
	return picker.Choice{Reason: picker.ByCaller, Upstream: sequoiasill.Upstream{
		Name: i.Name, Address: i.Address, Zone: i.Zone, Pool: i.Pool, Version: i.Version,
	}}
}

func (s *shard) release(upstream string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own[upstream]--
	if s.own[upstream] <= 0 {
		delete(s.own, upstream)
	}
}
