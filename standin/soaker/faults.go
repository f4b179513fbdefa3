package soaker

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"syscall"
	"time"

	"sequoiasill.dev/sequoiasill/standin/store"
)

// fault is a fault or a piece of planned work. inject returns when it has ended.
type fault struct {
	name    string
	planned bool
	inject  func(h *Harness, duration time.Duration)
}

// faults are the faults drawn with equal probability unless a storm is selected.
var faults = []fault{
	{"stop an entry", true, func(h *Harness, _ time.Duration) {
		h.withRandomEntry(func(e *entry) { e.restart(e.signal(syscall.SIGTERM), 0) })
	}},
	{"reload an entry", true, func(h *Harness, _ time.Duration) { h.withRandomEntry(func(e *entry) { e.signal(syscall.SIGHUP) }) }},
	{"change a key", true, (*Harness).rotateKey},
	{"configure in series", true, func(h *Harness, _ time.Duration) {
		for range 5 {
			h.writeConfig()
			time.Sleep(100 * time.Millisecond)
		}
	}},
	{"replace a replica", true, (*Harness).replaceReplica},
	{"replace a replica that tells it to its callers only", true, (*Harness).replaceWithoutStoreNotice},
	{oddEntryFault, true, (*Harness).leaveOddEntry},
	{"ask for pauses", false, func(h *Harness, duration time.Duration) {
		h.withRandomReplica(func(r *replica) { withFault([]*replica{r}, duration, requestPause) })
	}},
	{limitReplicaFault, false, func(h *Harness, duration time.Duration) {
		h.withRandomReplica(func(r *replica) { h.announceLimits([]*replica{r}, duration) })
	}},
	{"kill an entry", false, func(h *Harness, _ time.Duration) {
		h.withRandomEntry(func(e *entry) { e.restart(e.signal(syscall.SIGKILL), 300*time.Millisecond) })
	}},
	{killAllFault, false, (*Harness).killAllEntries},
	{"pause an entry", false, func(h *Harness, duration time.Duration) {
		h.withRandomEntry(func(e *entry) { e.signal(syscall.SIGSTOP); time.Sleep(duration); e.signal(syscall.SIGCONT) })
	}},
	{"crash a replica", false, func(h *Harness, duration time.Duration) {
		h.withRandomReplica(func(r *replica) { h.crashReplica(r, duration) })
	}},
	{endProcessFault, false, (*Harness).endReplicaProcess},
	{repeatRefusalsFault, false, (*Harness).repeatReplicaRefusals},
	{"send a request that crashes replicas", false, (*Harness).sendCrashingRunOnce},
	{deadlyPartFault, false, (*Harness).sendDeadlyPrompts},
	{"reset a replica's connections", false, func(h *Harness, _ time.Duration) { h.withRandomReplica(func(r *replica) { r.proxy.reset() }) }},
	{"delay a replica", false, func(h *Harness, duration time.Duration) { h.injectProxyFault(delayData, duration) }},
	{"silence a replica", false, func(h *Harness, duration time.Duration) { h.injectProxyFault(blackhole, duration) }},
	{"cut a replica's answers", false, func(h *Harness, duration time.Duration) { h.injectProxyFault(dropResponses, duration) }},
	{"lose answers", false, func(h *Harness, duration time.Duration) {
		h.withRandomReplica(func(r *replica) { r.lossPer1000.Store(200); time.Sleep(duration); r.lossPer1000.Store(0) })
	}},
	{"fail calls", false, func(h *Harness, duration time.Duration) {
		h.withRandomReplica(func(r *replica) { r.errorsPer1000.Store(400); time.Sleep(duration); r.errorsPer1000.Store(0) })
	}},
	{"store down", false, func(h *Harness, duration time.Duration) {
		h.injectStoreFaults(store.Faults{RefuseStatus: 503}, duration)
	}},
	{"store slow", false, func(h *Harness, duration time.Duration) {
		h.injectStoreFaults(store.Faults{Delay: 200 * time.Millisecond}, duration)
	}},
	{"store loses answers", false, func(h *Harness, duration time.Duration) {
		h.injectStoreFaults(store.Faults{DropResponsesPerThousand: 400, LostWriteDelay: 500 * time.Millisecond}, duration)
	}},
	{"store drops its history", false, func(h *Harness, duration time.Duration) {
		h.withExclusive("store", 0, func() {
			h.store.SetFaults(store.Faults{MissChanges: true})
			h.writeConfig()
			time.Sleep(min(duration, time.Second))
			h.store.DropHistory()
			h.store.SetFaults(store.Faults{})
		})
	}},
	{restoreStoreFault, false, (*Harness).restoreStore},
	{forgetHandOverFault, false, (*Harness).forgetHandOver},
	{partitionFault, false, (*Harness).partitionEntries},
	{brittleFault, false, (*Harness).makeBrittle},
	{"cut an entry from the store", false, func(h *Harness, duration time.Duration) {
		h.withRandomEntry(func(e *entry) {
			e.store.setFault(blackhole)
			time.Sleep(duration)
			e.store.setFault(noFault)
			e.store.reset()
			h.checker.recordDisruption(e)
		})
	}},
	{"reset an entry's connections to the store", false, func(h *Harness, _ time.Duration) { h.withRandomEntry(func(e *entry) { e.store.reset() }) }},
}

const maxConcurrentFaults = 3

// injectFaults starts random faults for the given duration and waits until they have ended.
func (h *Harness) injectFaults(duration time.Duration) {
	end := time.Now().Add(duration)
	slots := make(chan struct{}, maxConcurrentFaults)
	list, maxMillis := h.selectFaults()
	for time.Now().Before(end) {
		f := list[h.randIntN(len(list))]
		faultDuration := time.Duration(200+h.randIntN(maxMillis)) * time.Millisecond
		interval := time.Duration(h.randIntN(900)) * time.Millisecond
		if h.opts.PlannedOnly && !f.planned || slices.Contains(h.opts.ExceptFaults, f.name) {
			continue
		}
		slots <- struct{}{}
		endFault := h.checker.recordFault(f.name, f.planned)
		h.faultLog.Info("fault begins", "name", f.name, "lasts", faultDuration)
		go func() {
			f.inject(h, faultDuration)
			endFault()
			h.faultLog.Info("fault ends", "name", f.name)
			<-slots
		}()
		time.Sleep(interval)
	}
	for range maxConcurrentFaults {
		slots <- struct{}{}
	}
}

// maxFaultMillis bounds the random part of a fault's duration when no storm is selected.
const maxFaultMillis = 3000

// selectFaults returns the faults to draw from and the bound on the random part of their
// duration in milliseconds.
func (h *Harness) selectFaults() (list []fault, maxMillis int) {
	list, maxMillis = faults, maxFaultMillis
	switch {
	case h.opts.Storm:
		list, maxMillis = stormFaults, maxStormMillis
	case h.opts.Silent:
		list = silentFaults
	}
	if i := slices.IndexFunc(list, func(f fault) bool { return f.name == h.opts.OnlyFault }); i >= 0 {
		list = list[i : i+1]
	}
	return list, maxMillis
}

// killAllEntries kills all entries at the same time and restarts them shortly after.
func (h *Harness) killAllEntries(time.Duration) {
	var exited []<-chan struct{}
	for _, e := range h.entries {
		exited = append(exited, e.signal(syscall.SIGKILL))
	}
	time.Sleep(200 * time.Millisecond)
	for i, e := range h.entries {
		h.withExclusive("entry", e.number, func() { e.restart(exited[i], 0) })
	}
}

// withExclusive runs f unless another fault is using the target.
func (h *Harness) withExclusive(target string, number int, f func()) {
	name := fmt.Sprint(target, number)
	h.mu.Lock()
	if h.inUse[name] {
		h.mu.Unlock()
		return
	}
	h.inUse[name] = true
	h.mu.Unlock()
	f()
	h.mu.Lock()
	delete(h.inUse, name)
	h.mu.Unlock()
}

func (h *Harness) randIntN(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rand.IntN(n)
}

func (h *Harness) withRandomEntry(f func(e *entry)) {
	e := h.entries[h.randIntN(len(h.entries))]
	h.withExclusive("entry", e.number, func() { f(e) })
}

// withRandomReplica runs f on a replica, unless it is the only one of its service.
func (h *Harness) withRandomReplica(f func(r *replica)) {
	h.mu.Lock()
	ids := slices.Sorted(maps.Keys(h.replicas))
	if len(ids) == 0 {
		h.mu.Unlock()
		return
	}
	r := h.replicas[ids[h.rand.IntN(len(ids))]]
	tooFew := len(h.replicasOf(r.service)) < 2
	h.mu.Unlock()
	if !tooFew {
		f(r)
	}
}

// replicasOf returns the replicas of a service, sorted by ID. The caller must hold h.mu.
func (h *Harness) replicasOf(service string) []*replica {
	var out []*replica
	for _, id := range slices.Sorted(maps.Keys(h.replicas)) {
		if r := h.replicas[id]; r.service == service {
			out = append(out, r)
		}
	}
	return out
}

// unregister removes a replica from those that faults are injected into. It returns false if
// the replica was not registered.
func (h *Harness) unregister(r *replica) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	registered := h.replicas[r.id] == r
	delete(h.replicas, r.id)
	return registered
}

const (
	endProcessFault = "end the process of a replica under responses without framing"
	// frequentUnframedPer1000 is the share of such responses before the process ends.
	frequentUnframedPer1000 = 800
)

// endReplicaProcess ends the process of a replica once most of its responses have no framing. Its
// connections end without a reset.
func (h *Harness) endReplicaProcess(duration time.Duration) {
	h.withRandomReplica(func(r *replica) {
		r.unframedPer1000.Store(frequentUnframedPer1000)
		time.Sleep(min(duration, time.Second))
		h.restartReplica(r, duration, r.die)
	})
}

// crashReplica closes a replica and, after the given duration, starts another one at the same
// address.
func (h *Harness) crashReplica(r *replica, duration time.Duration) {
	h.restartReplica(r, duration, r.close)
}

// restartReplica ends a replica and, after the given duration, starts another one at the same address.
func (h *Harness) restartReplica(r *replica, duration time.Duration, end func()) {
	if !h.unregister(r) {
		return
	}
	address := r.address()
	end()
	time.Sleep(duration)
	r.proxy.close()
	h.deregister(r)
	err := h.addReplica(r.service, address)
	if errors.Is(err, syscall.EADDRINUSE) {
		// Another socket of the machine got the port in the meantime.
		err = h.addReplica(r.service, "")
	}
	if err != nil {
		h.checker.addViolation("replica not started: %v", err)
	}
}

// crashRestartDelay is the time until a replica that was crashed by a request is replaced.
const crashRestartDelay = time.Second

// handleCrash closes and replaces a replica that was crashed by a request.
func (h *Harness) handleCrash(r *replica) { h.crashReplica(r, crashRestartDelay) }

func (h *Harness) injectProxyFault(f networkFault, duration time.Duration) {
	h.withRandomReplica(func(r *replica) {
		r.proxy.setFault(f)
		time.Sleep(duration)
		r.proxy.setFault(noFault)
		r.proxy.reset()
	})
}

func (h *Harness) injectStoreFaults(f store.Faults, duration time.Duration) {
	h.withExclusive("store", 0, func() {
		h.store.SetFaults(f)
		for end := time.Now().Add(duration); time.Now().Before(end); {
			h.checker.recordStoreFault()
			time.Sleep(min(time.Until(end), storeRecoveryTime.Duration()/2))
		}
		h.store.SetFaults(store.Faults{})
		h.checker.recordStoreFault()
	})
}

// sendCrashingRunOnce repeatedly sends a request that crashes the replicas that run it, each
// time with a new request ID and to a random ready entry.
func (h *Harness) sendCrashingRunOnce(time.Duration) { h.sendCrashingRequests(runOnce) }

func (h *Harness) sendCrashingRequests(k callKind) {
	const sends, interval = 20, 300 * time.Millisecond
	h.mu.Lock()
	h.lastNumber++
	n := h.lastNumber
	h.mu.Unlock()
	for i := range sends {
		if e := h.readyEntry(h.randIntN(len(h.entries))); e != nil {
			h.sendOnce(e, fmt.Sprintf("crash-%d-%d", n, i), k, routePaths[k]+crashPath, fmt.Sprintf("crash %d", n))
		}
		time.Sleep(interval)
	}
}

// rotateKey adds an API key and revokes the previous one once callers use the new one.
func (h *Harness) rotateKey(time.Duration) {
	h.withExclusive("key", 0, func() {
		h.mu.Lock()
		h.lastNumber++
		old, next := h.apiKeys[len(h.apiKeys)-1], fmt.Sprintf("key-%d", h.lastNumber)
		h.apiKeys = []string{old, next}
		h.mu.Unlock()
		h.writeConfig()
		time.Sleep(300 * time.Millisecond)
		h.mu.Lock()
		h.apiKeys = []string{next}
		h.mu.Unlock()
		h.writeConfig()
		h.checker.recordKeyRevocation(old)
	})
}

// replaceWithoutStoreNotice starts a replica and then closes another one, which announces
// draining only in its responses. Its record is deleted from the store without having been
// marked as draining.
func (h *Harness) replaceWithoutStoreNotice(time.Duration) {
	h.withRandomReplica(func(r *replica) {
		if err := h.addReplica(r.service, ""); err != nil {
			h.checker.addViolation("replica not started: %v", err)
			return
		}
		h.unregister(r)
		r.draining.Store(true)
		time.Sleep(replicaDrainTime)
		h.deregister(r)
		time.Sleep(replicaDrainTime / 2)
		r.close()
	})
}

// replicaDrainTime is how long a draining replica continues to serve before its record is
// deleted from the store.
const replicaDrainTime = 4 * time.Second

// replaceReplica starts a replica and then drains and closes another one.
func (h *Harness) replaceReplica(time.Duration) {
	h.withRandomReplica(func(r *replica) {
		if err := h.addReplica(r.service, ""); err != nil {
			h.checker.addViolation("replica not started: %v", err)
			return
		}
		h.retire(r)
	})
}

// retire stops a replica after it has drained.
func (h *Harness) retire(r *replica) {
	h.unregister(r)
	r.startDraining()
	h.store.Put("servers", r.id, r.storeRecord())
	h.checker.recordDraining(r.id)
	time.Sleep(replicaDrainTime)
	h.deregister(r)
	r.close()
}
