package balancer

import (
	"sync"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/limiter"
	"sequoiasill.dev/sequoiasill/decide/picker"
)

// shard is the state of one pool and version.
type shard struct {
	key      shardKey
	initOnce sync.Once // sets the first candidates

	mu         sync.Mutex
	limiter    *limiter.Limiter
	picker     *picker.Picker
	candidates []picker.Candidate // without the request counts, which are in inFlight and reports
	inFlight   map[string]int     // requests of this entry, by upstream
	reports    map[string]receivedReport
	waiters    map[sequoiasill.RequestID]chan limiter.Action
}

type receivedReport struct {
	load         sequoiasill.LoadReport
	inFlightThen int
	receivedAt   sequoiasill.Millis // by the local clock; the upstream's clock may differ
}

func newShard(key shardKey, opts limiter.Options, seed uint64) *shard {
	return &shard{
		key:      key,
		limiter:  limiter.New(opts),
		picker:   picker.New(seed),
		inFlight: make(map[string]int),
		reports:  make(map[string]receivedReport),
		waiters:  make(map[sequoiasill.RequestID]chan limiter.Action),
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
	s.reports[upstream] = receivedReport{load: r, inFlightThen: s.inFlight[upstream], receivedAt: now}
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

// step passes an event to the limiter and wakes the requests that it starts or refuses.
// The caller holds the lock.
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

// enqueue queues an item and returns the channel that will receive its action.
func (s *shard) enqueue(now sequoiasill.Millis, it limiter.Item) <-chan limiter.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := make(chan limiter.Action, 1)
	s.waiters[it.ID] = w
	s.step(now, limiter.Arrived{Item: it})
	return w
}

// withdraw removes a waiting item. It returns false if the item already has an action.
func (s *shard) withdraw(now sequoiasill.Millis, id sequoiasill.RequestID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, waiting := s.waiters[id]; !waiting {
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

// pick chooses an upstream that is not in avoid and counts the request there. If all
// are at their limits, it chooses the least loaded one, since the request already has a
// slot.
func (s *shard) pick(now sequoiasill.Millis, req sequoiasill.Request, avoid map[string]bool) (picker.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var eligible []picker.Candidate
	for _, c := range s.candidates {
		if avoid[c.Upstream.Name] {
			continue
		}
		c.InFlight = s.inFlight[c.Upstream.Name]
		if r, ok := s.reports[c.Upstream.Name]; ok {
			c.Report, c.Reported, c.InFlightAtReport, c.ReportAge = r.load, true, r.inFlightThen, now-r.receivedAt
		}
		eligible = append(eligible, c)
	}
	choice, ok := s.picker.Pick(req, eligible)
	if !ok {
		for i := range eligible {
			eligible[i].Limit = eligible[i].InFlight + 1
		}
		choice, ok = s.picker.Pick(req, eligible)
	}
	if ok {
		s.inFlight[choice.Upstream.Name]++
	}
	return choice, ok
}

// pickNamed counts the request at the given upstream, regardless of its limit.
func (s *shard) pickNamed(i sequoiasill.Instance) picker.Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[i.Name]++
	return picker.Choice{Reason: picker.ByCaller, Upstream: sequoiasill.Upstream{
		Name: i.Name, Address: i.Address, Zone: i.Zone, Pool: i.Pool, Version: i.Version,
	}}
}

func (s *shard) release(upstream string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[upstream]--
	if s.inFlight[upstream] <= 0 {
		delete(s.inFlight, upstream)
	}
}
