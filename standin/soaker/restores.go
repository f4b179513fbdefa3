package soaker

import (
	"maps"
	"slices"
	"time"

	"sequoiasill.dev/sequoiasill/standin/store"
)

const (
	restoreStoreFault = "the store comes back from a copy"
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
	h.withExclusive("store", 0, func() {
		h.checker.recordStoreFault()
		h.store.SetFaults(store.Faults{DropResponsesPerThousand: 500, LostWriteDelay: lateWriteDelay})
		time.Sleep(time.Duration(h.randIntN(400)) * time.Millisecond)
		h.store.SetFaults(store.Faults{RefuseStatus: 503})
		time.Sleep(time.Duration(100+h.randIntN(600)) * time.Millisecond)
		restored := h.store.RestoreCopy(time.Duration(h.randIntN(maxCopyMillis)) * time.Millisecond)
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
