package soaker

import (
	"sync"
	"syscall"
	"time"
)

// maxStormMillis bounds the random part of the duration of a storm. It is longer than
// the default window of the limit on retries.
const maxStormMillis = 12_000

const stallServiceFault = "freeze a service"

// stormFaults are the faults that cause many retries, and those that change which entries share
// the retry budget.
var stormFaults = []fault{
	{"freeze some of a service", false, func(h *Harness, duration time.Duration) { h.injectNetworkFault(h.someReplicas(), stall, duration) }},
	{stallServiceFault, false, func(h *Harness, duration time.Duration) {
		h.injectNetworkFault(h.randomServiceReplicas(), stall, duration)
	}},
	{"fail calls of a service", false, func(h *Harness, duration time.Duration) {
		withFault(h.randomServiceReplicas(), duration, func(r *replica, on bool) { r.errorsPer1000.Store(strengthIf(450, on)) })
	}},
	{"lose answers of a service", false, func(h *Harness, duration time.Duration) {
		withFault(h.randomServiceReplicas(), duration, func(r *replica, on bool) { r.lossPer1000.Store(strengthIf(400, on)) })
	}},
	{"refuse calls of a service", false, func(h *Harness, duration time.Duration) {
		withFault(h.randomServiceReplicas(), duration, func(r *replica, on bool) { r.rejectsPer1000.Store(strengthIf(700, on)) })
	}},
	{"limit a service", false, func(h *Harness, duration time.Duration) { h.announceLimits(h.randomServiceReplicas(), duration) }},
	{"ask for pauses of a service", false, func(h *Harness, duration time.Duration) {
		withFault(h.randomServiceReplicas(), duration, requestPause)
	}},
	{"slow a service down", false, func(h *Harness, duration time.Duration) {
		withFault(h.randomServiceReplicas(), duration, func(r *replica, on bool) { r.extraLatencyMillis.Store(strengthIf(800, on)) })
	}},
	{"send a request that may repeat and crashes replicas", false, func(h *Harness, _ time.Duration) { h.sendCrashingRequests(repeatable) }},
	{"send a stream that crashes replicas", false, func(h *Harness, _ time.Duration) { h.sendCrashingRequests(resumableStream) }},
	{deadlyPartFault, false, (*Harness).sendDeadlyPrompts},
	{endProcessFault, false, (*Harness).endReplicaProcess},
	{repeatRefusalsFault, false, (*Harness).repeatReplicaRefusals},
	{"cut the answers of a service", false, func(h *Harness, duration time.Duration) {
		h.injectNetworkFault(h.randomServiceReplicas(), dropResponses, duration)
	}},
	{"silence some of a service", false, func(h *Harness, duration time.Duration) { h.injectNetworkFault(h.someReplicas(), blackhole, duration) }},
	{"reset the connections of a service", false, func(h *Harness, _ time.Duration) {
		for _, r := range h.randomServiceReplicas() {
			r.proxy.reset()
		}
	}},
	{killAllFault, false, (*Harness).killAllEntries},
	{restoreStoreFault, false, (*Harness).restoreStore},
	{brittleFault, false, (*Harness).makeBrittle},
	{partitionFault, false, (*Harness).partitionEntries},
	{"pause some entries", false, (*Harness).pauseSomeEntries},
	{"kill some entries", false, (*Harness).killSomeEntries},
	{"stop an entry", true, func(h *Harness, _ time.Duration) {
		h.withRandomEntry(func(e *entry) { e.restart(e.signal(syscall.SIGTERM), 0) })
	}},
}

// requestPause makes a replica reject a fraction of its calls and request a pause each time.
func requestPause(r *replica, on bool) {
	r.rejectsPer1000.Store(strengthIf(300, on))
	r.pauseMillis.Store(strengthIf(1800, on))
}

const (
	limitReplicaFault = "limit a replica"
	// minLimitPer1000s and maxLimitPer1000s bound the rate limits that replicas announce, in
	// calls per 1000 seconds.
	minLimitPer1000s = 400
	maxLimitPer1000s = 12_000
)

// announceLimits makes replicas announce rate limits for the given duration plus limitGrace,
// after which limits are checked. On average half of the replicas change their limit halfway.
func (h *Harness) announceLimits(replicas []*replica, duration time.Duration) {
	duration += limitGrace.Duration()
	for range 2 {
		withFault(replicas, duration/2, func(r *replica, on bool) {
			if on && (r.limitPer1000s.Load() == 0 || h.randIntN(2) == 0) {
				r.setLimit(minLimitPer1000s + int64(h.randIntN(maxLimitPer1000s-minLimitPer1000s)))
			}
		})
	}
	for _, r := range replicas {
		r.setLimit(0)
	}
}

// strengthIf returns the strength of a fault if it is on, and 0 otherwise.
func strengthIf(strength int64, on bool) int64 {
	if on {
		return strength
	}
	return 0
}

// withFault enables a fault of replicas for the given duration.
func withFault(replicas []*replica, duration time.Duration, set func(r *replica, on bool)) {
	for _, r := range replicas {
		set(r, true)
	}
	time.Sleep(duration)
	for _, r := range replicas {
		set(r, false)
	}
}

// injectNetworkFault applies a network fault to replicas for the given duration. Data sent to a
// stalled replica arrives when the fault ends.
func (h *Harness) injectNetworkFault(replicas []*replica, f networkFault, duration time.Duration) {
	withFault(replicas, duration, func(r *replica, on bool) {
		if on {
			r.proxy.setFault(f)
			return
		}
		r.proxy.setFault(noFault)
	})
}

// randomServiceReplicas returns the replicas of a random service.
func (h *Harness) randomServiceReplicas() []*replica {
	service := []string{plainService, streamService}[h.randIntN(2)]
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replicasOf(service)
}

// someReplicas returns up to half of the replicas of a random service, at least one if there is
// one.
func (h *Harness) someReplicas() []*replica {
	all := h.randomServiceReplicas()
	return all[:min(1+h.randIntN(max(len(all)/2, 1)), len(all))]
}

// withSomeEntries runs f concurrently on up to two thirds of the entries, skipping those that
// another fault is using.
func (h *Harness) withSomeEntries(f func(e *entry)) {
	var done sync.WaitGroup
	first, n := h.randIntN(len(h.entries)), 1+h.randIntN(max(len(h.entries)*2/3, 1))
	for i := range n {
		e := h.entries[(first+i)%len(h.entries)]
		done.Go(func() { h.withExclusive("entry", e.number, func() { f(e) }) })
	}
	done.Wait()
}

func (h *Harness) pauseSomeEntries(duration time.Duration) {
	h.withSomeEntries(func(e *entry) { e.signal(syscall.SIGSTOP); time.Sleep(duration); e.signal(syscall.SIGCONT) })
}

func (h *Harness) killSomeEntries(time.Duration) {
	h.withSomeEntries(func(e *entry) { e.restart(e.signal(syscall.SIGKILL), 300*time.Millisecond) })
}
