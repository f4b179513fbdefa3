package soaker

import (
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
	inject  func(w *Harness, duration time.Duration)
}

// faults are the faults drawn with equal probability unless a storm is selected.
var faults = []fault{
	{"stop an entry", true, func(w *Harness, _ time.Duration) {
		w.withRandomEntry(func(e *entry) { e.restart(e.signal(syscall.SIGTERM), 0) })
	}},
	{"reload an entry", true, func(w *Harness, _ time.Duration) { w.withRandomEntry(func(e *entry) { e.signal(syscall.SIGHUP) }) }},
	{"change a key", true, (*Harness).rotateKey},
	{"configure in series", true, func(w *Harness, _ time.Duration) {
		for range 5 {
			w.writeConfig()
			time.Sleep(100 * time.Millisecond)
		}
	}},
	{"replace a replica", true, (*Harness).replaceReplica},
	{"replace a replica that tells it to its callers only", true, (*Harness).replaceWithoutStoreNotice},
	{"ask for pauses", false, func(w *Harness, duration time.Duration) {
		w.withRandomReplica(func(r *replica) { withFault([]*replica{r}, duration, requestPause) })
	}},
	{limitReplicaFault, false, func(w *Harness, duration time.Duration) {
		w.withRandomReplica(func(r *replica) { w.announceLimits([]*replica{r}, duration) })
	}},
	{"kill an entry", false, func(w *Harness, _ time.Duration) {
		w.withRandomEntry(func(e *entry) { e.restart(e.signal(syscall.SIGKILL), 300*time.Millisecond) })
	}},
	{killAllFault, false, (*Harness).killAllEntries},
	{"pause an entry", false, func(w *Harness, duration time.Duration) {
		w.withRandomEntry(func(e *entry) { e.signal(syscall.SIGSTOP); time.Sleep(duration); e.signal(syscall.SIGCONT) })
	}},
	{"crash a replica", false, func(w *Harness, duration time.Duration) {
		w.withRandomReplica(func(r *replica) { w.crashReplica(r, duration) })
	}},
	{"send a request that crashes replicas", false, (*Harness).sendCrashingRunOnce},
	{"reset a replica's connections", false, func(w *Harness, _ time.Duration) { w.withRandomReplica(func(r *replica) { r.proxy.reset() }) }},
	{"delay a replica", false, func(w *Harness, duration time.Duration) { w.injectProxyFault(delayData, duration) }},
	{"silence a replica", false, func(w *Harness, duration time.Duration) { w.injectProxyFault(blackhole, duration) }},
	{"cut a replica's answers", false, func(w *Harness, duration time.Duration) { w.injectProxyFault(dropResponses, duration) }},
	{"lose answers", false, func(w *Harness, duration time.Duration) {
		w.withRandomReplica(func(r *replica) { r.lossPer1000.Store(200); time.Sleep(duration); r.lossPer1000.Store(0) })
	}},
	{"fail calls", false, func(w *Harness, duration time.Duration) {
		w.withRandomReplica(func(r *replica) { r.errorsPer1000.Store(400); time.Sleep(duration); r.errorsPer1000.Store(0) })
	}},
	{"store down", false, func(w *Harness, duration time.Duration) {
		w.injectStoreFaults(store.Faults{RefuseStatus: 503}, duration)
	}},
	{"store slow", false, func(w *Harness, duration time.Duration) {
		w.injectStoreFaults(store.Faults{Delay: 200 * time.Millisecond}, duration)
	}},
	{"store loses answers", false, func(w *Harness, duration time.Duration) {
		w.injectStoreFaults(store.Faults{LosePerThousand: 400, LostWriteDelay: 500 * time.Millisecond}, duration)
	}},
	{"store drops its history", false, func(w *Harness, duration time.Duration) {
		w.withExclusive("store", 0, func() {
			w.store.SetFaults(store.Faults{MissChanges: true})
			w.writeConfig()
			time.Sleep(min(duration, time.Second))
			w.store.DropHistory()
			w.store.SetFaults(store.Faults{})
		})
	}},
	{"cut an entry from the store", false, func(w *Harness, duration time.Duration) {
		w.withRandomEntry(func(e *entry) {
			e.store.setFault(blackhole)
			time.Sleep(duration)
			e.store.setFault(noFault)
			e.store.reset()
			w.checker.recordDisruption(e)
		})
	}},
	{"reset an entry's connections to the store", false, func(w *Harness, _ time.Duration) { w.withRandomEntry(func(e *entry) { e.store.reset() }) }},
}

const maxConcurrentFaults = 3

// injectFaults starts random faults for the given duration and waits until they have ended.
func (w *Harness) injectFaults(duration time.Duration) {
	end := time.Now().Add(duration)
	slots := make(chan struct{}, maxConcurrentFaults)
	list, maxMillis := w.selectFaults()
	for time.Now().Before(end) {
		f := list[w.randIntN(len(list))]
		faultDuration := time.Duration(200+w.randIntN(maxMillis)) * time.Millisecond
		interval := time.Duration(w.randIntN(900)) * time.Millisecond
		if w.opts.PlannedOnly && !f.planned {
			continue
		}
		slots <- struct{}{}
		endFault := w.checker.recordFault(f.name, f.planned)
		w.faultLog.Info("fault begins", "name", f.name, "lasts", faultDuration)
		go func() {
			f.inject(w, faultDuration)
			endFault()
			w.faultLog.Info("fault ends", "name", f.name)
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
func (w *Harness) selectFaults() (list []fault, maxMillis int) {
	list, maxMillis = faults, maxFaultMillis
	if w.opts.Storm {
		list, maxMillis = stormFaults, maxStormMillis
	}
	if i := slices.IndexFunc(list, func(f fault) bool { return f.name == w.opts.OnlyFault }); i >= 0 {
		list = list[i : i+1]
	}
	return list, maxMillis
}

// killAllEntries kills all entries at the same time and restarts them shortly after.
func (w *Harness) killAllEntries(time.Duration) {
	var exited []<-chan struct{}
	for _, e := range w.entries {
		exited = append(exited, e.signal(syscall.SIGKILL))
	}
	time.Sleep(200 * time.Millisecond)
	for i, e := range w.entries {
		w.withExclusive("entry", e.number, func() { e.restart(exited[i], 0) })
	}
}

// withExclusive runs f unless another fault is using the target.
func (w *Harness) withExclusive(target string, number int, f func()) {
	name := fmt.Sprint(target, number)
	w.mu.Lock()
	if w.inUse[name] {
		w.mu.Unlock()
		return
	}
	w.inUse[name] = true
	w.mu.Unlock()
	f()
	w.mu.Lock()
	delete(w.inUse, name)
	w.mu.Unlock()
}

func (w *Harness) randIntN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.IntN(n)
}

func (w *Harness) withRandomEntry(f func(e *entry)) {
	e := w.entries[w.randIntN(len(w.entries))]
	w.withExclusive("entry", e.number, func() { f(e) })
}

// withRandomReplica runs f on a replica, unless it is the only one of its service.
func (w *Harness) withRandomReplica(f func(r *replica)) {
	w.mu.Lock()
	ids := slices.Sorted(maps.Keys(w.replicas))
	if len(ids) == 0 {
		w.mu.Unlock()
		return
	}
	r := w.replicas[ids[w.rand.IntN(len(ids))]]
	tooFew := len(w.replicasOf(r.service)) < 2
	w.mu.Unlock()
	if !tooFew {
		f(r)
	}
}

// replicasOf returns the replicas of a service, sorted by ID. The caller must hold w.mu.
func (w *Harness) replicasOf(service string) []*replica {
	var out []*replica
	for _, id := range slices.Sorted(maps.Keys(w.replicas)) {
		if r := w.replicas[id]; r.service == service {
			out = append(out, r)
		}
	}
	return out
}

// unregister removes a replica from those that faults are injected into. It returns false if
// the replica was not registered.
func (w *Harness) unregister(r *replica) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	registered := w.replicas[r.id] == r
	delete(w.replicas, r.id)
	return registered
}

// crashReplica closes a replica and, after the given duration, starts another one at the same
// address.
func (w *Harness) crashReplica(r *replica, duration time.Duration) {
	if !w.unregister(r) {
		return
	}
	address := r.address()
	r.close()
	time.Sleep(duration)
	w.store.Delete("servers", r.id)
	if err := w.addReplica(r.service, address); err != nil {
		w.checker.addViolation("replica not started: %v", err)
	}
}

// crashRestartDelay is the time until a replica that was crashed by a request is replaced.
const crashRestartDelay = time.Second

// handleCrash closes and replaces a replica that was crashed by a request.
func (w *Harness) handleCrash(r *replica) { w.crashReplica(r, crashRestartDelay) }

func (w *Harness) injectProxyFault(f networkFault, duration time.Duration) {
	w.withRandomReplica(func(r *replica) {
		r.proxy.setFault(f)
		time.Sleep(duration)
		r.proxy.setFault(noFault)
		r.proxy.reset()
	})
}

func (w *Harness) injectStoreFaults(f store.Faults, duration time.Duration) {
	w.withExclusive("store", 0, func() {
		w.store.SetFaults(f)
		for end := time.Now().Add(duration); time.Now().Before(end); {
			w.checker.recordStoreFault()
			time.Sleep(min(time.Until(end), storeRecoveryTime.Duration()/2))
		}
		w.store.SetFaults(store.Faults{})
		w.checker.recordStoreFault()
	})
}

// sendCrashingRunOnce repeatedly sends a request that crashes the replicas that run it, each
// time with a new request ID and to a random ready entry.
func (w *Harness) sendCrashingRunOnce(time.Duration) { w.sendCrashingRequests(runOnce) }

func (w *Harness) sendCrashingRequests(k callKind) {
	const sends, interval = 20, 300 * time.Millisecond
	w.mu.Lock()
	w.lastNumber++
	n := w.lastNumber
	w.mu.Unlock()
	for i := range sends {
		if e := w.readyEntry(w.randIntN(len(w.entries))); e != nil {
			w.sendOnce(e, fmt.Sprintf("crash-%d-%d", n, i), k, routePaths[k]+crashPath, fmt.Sprintf("crash %d", n))
		}
		time.Sleep(interval)
	}
}

// rotateKey adds an API key and revokes the previous one once callers use the new one.
func (w *Harness) rotateKey(time.Duration) {
	w.withExclusive("key", 0, func() {
		w.mu.Lock()
		w.lastNumber++
		old, next := w.apiKeys[len(w.apiKeys)-1], fmt.Sprintf("key-%d", w.lastNumber)
		w.apiKeys = []string{old, next}
		w.mu.Unlock()
		w.writeConfig()
		time.Sleep(300 * time.Millisecond)
		w.mu.Lock()
		w.apiKeys = []string{next}
		w.mu.Unlock()
		w.writeConfig()
		w.checker.recordKeyRevocation(old)
	})
}

// replaceWithoutStoreNotice starts a replica and then closes another one, which announces
// draining only in its responses. Its record is deleted from the store without having been
// marked as draining.
func (w *Harness) replaceWithoutStoreNotice(time.Duration) {
	w.withRandomReplica(func(r *replica) {
		if err := w.addReplica(r.service, ""); err != nil {
			w.checker.addViolation("replica not started: %v", err)
			return
		}
		w.unregister(r)
		r.draining.Store(true)
		time.Sleep(replicaDrainTime)
		w.store.Delete("servers", r.id)
		time.Sleep(replicaDrainTime / 2)
		r.close()
	})
}

// replicaDrainTime is how long a draining replica continues to serve before its record is
// deleted from the store.
const replicaDrainTime = 4 * time.Second

// replaceReplica starts a replica and then drains and closes another one.
func (w *Harness) replaceReplica(time.Duration) {
	w.withRandomReplica(func(r *replica) {
		if err := w.addReplica(r.service, ""); err != nil {
			w.checker.addViolation("replica not started: %v", err)
			return
		}
		w.unregister(r)
		r.startDraining()
		w.store.Put("servers", r.id, r.storeRecord())
		w.checker.recordDraining(r.id)
		time.Sleep(replicaDrainTime)
		w.store.Delete("servers", r.id)
		r.close()
	})
}
