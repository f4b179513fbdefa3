package soaker

import (
	"maps"
	"slices"
	"syscall"
	"time"

	"sequoiasill.dev/sequoiasill/standin/store"
)

const (
	restoreStoreFault   = "the store comes back from a copy"
	forgetHandOverFault = "the store comes back from a copy from before a hand-over"
	// maxCopyMillis is the maximum age of a copy.
	maxCopyMillis = 8000
	// lateWriteDelay is the delay of writes of the earlier era that arrive in the new one.
	lateWriteDelay = 700 * time.Millisecond
	// rewriteInterval is the time within which replicas write their records again, twice.
	// expiryTime is the time until the store drops records that nobody writes.
	rewriteInterval = 1200 * time.Millisecond
	expiryTime      = 2 * time.Second
)

// restoreStore makes the store unavailable for a moment, after which it comes back from a copy. What
// the operator and the replicas wrote is written again, and some writes from before arrive late.
func (h *Harness) restoreStore(time.Duration) {
	h.restoreFrom(time.Now().Add(-time.Duration(h.randIntN(maxCopyMillis)) * time.Millisecond))
}

const (
	// maxHandOverTime is how long another entry may take to act after the holder of a duty was killed.
	maxHandOverTime = 8 * time.Second
	// copyMargin is the time between the copy and the kill.
	copyMargin = 300 * time.Millisecond
)

// forgetHandOver kills the entry that holds the duty of usage reports and, once another one has acted,
// restores the store from a copy from before.
func (h *Harness) forgetHandOver(time.Duration) {
	holder := h.lastReport().Holder
	i := slices.IndexFunc(h.entries, func(e *entry) bool { return e.name() == holder })
	if i < 0 {
		return
	}
	killedAt := time.Now()
	h.withExclusive("entry", i, func() { h.entries[i].restart(h.entries[i].signal(syscall.SIGKILL), 0) })
	for time.Since(killedAt) < maxHandOverTime {
		if h.lastReport().Holder != holder {
			h.restoreFrom(killedAt.Add(-copyMargin))
			return
		}
		time.Sleep(reportCheckInterval)
	}
}

// reportCheckInterval is the interval at which the reports are checked for another holder.
const reportCheckInterval = 100 * time.Millisecond

// lastReport returns the last usage report, or the zero value.
func (h *Harness) lastReport() store.Usage {
	reports := h.store.Usage()
	if len(reports) == 0 {
		return store.Usage{}
	}
	return reports[len(reports)-1]
}

// restoreFrom restores the store from a copy of a time.
func (h *Harness) restoreFrom(copiedAt time.Time) {
	h.withExclusive("store", 0, func() {
		h.checker.recordStoreFault()
		h.store.SetFaults(store.Faults{DropResponsesPerThousand: 500, LostWriteDelay: lateWriteDelay})
		time.Sleep(time.Duration(h.randIntN(400)) * time.Millisecond)
		h.store.SetFaults(store.Faults{RefuseStatus: 503})
		time.Sleep(time.Duration(100+h.randIntN(600)) * time.Millisecond)
		restored := h.store.RestoreCopy(time.Since(copiedAt))
		h.store.SetFaults(store.Faults{})
		h.faultLog.Info("store restored", "era", restored.Era)
		h.checker.recordStoreFault()
		h.rewriteStore()
		h.checker.recordStoreFault()
	})
}

// rewriteStore writes what the operator and the replicas had written, and drops the records of
// replicas that are gone.
func (h *Harness) rewriteStore() {
	time.Sleep(time.Duration(h.randIntN(300)) * time.Millisecond)
	h.mu.Lock()
	h.store.Put("config", "main", h.config)
	h.mu.Unlock()
	for range 2 {
		for _, r := range h.registeredReplicas() {
			time.Sleep(time.Duration(h.randIntN(int(rewriteInterval/time.Millisecond))) * time.Millisecond / time.Duration(max(len(h.registeredReplicas()), 1)))
			h.writeRecord(r)
		}
		time.Sleep(rewriteInterval)
	}
	time.Sleep(expiryTime - rewriteInterval)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range h.store.Names("servers") {
		if h.registered[name] == nil {
			h.store.Delete("servers", name)
		}
	}
}

// writeRecord writes a replica's record unless it has been deleted.
func (h *Harness) writeRecord(r *replica) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.registered[r.id] == r {
		h.store.Put("servers", r.id, r.storeRecord())
	}
}

func (h *Harness) registeredReplicas() []*replica {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Values(h.registered))
}
