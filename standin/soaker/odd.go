package soaker

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"syscall"
	"time"
)

const oddEntryFault = "another writer leaves an odd entry"

// oddSpecs are specs of entries of kind servers that name no replica to use.
var oddSpecs = []string{
	strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
	strings.Repeat(`{"a":`, 12000) + "1" + strings.Repeat("}", 12000),
	"{\"service\":\x00nil}",
	oddSpec("127.0.0.1:9", "1e999"), oddSpec("127.0.0.1:9", "1e300"), oddSpec("127.0.0.1:99999", "4"), oddSpec("127.0.0.1:-1", "4"), oddSpec("127.0.0.1:http", "4"),
}

func oddSpec(address, slots string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":%s,"state":"ready","sequence":1}`, plainService, address, slots)
}

// oddFollowTime is the time within which entries must follow a new replica, and get ready after a
// restart, beside an odd entry. Both take under 2 s in calm.
const oddFollowTime = 6 * time.Second

// leaveOddEntry leaves an odd entry among those of the replicas while a replica is replaced and an
// entry restarts, which must go as well as without it.
func (h *Harness) leaveOddEntry(time.Duration) {
	number := h.randIntN(len(oddSpecs))
	h.withExclusive("odd", number, func() {
		name := fmt.Sprintf("odd-%d", number)
		h.store.PutRaw("servers", name, []byte(oddSpecs[number]))
		defer h.store.Delete("servers", name)
		// Entries that watch the store take the entry up before what follows it.
		time.Sleep(time.Second)
		h.withRandomReplica(func(r *replica) {
			added, err := h.addedReplica(r.service)
			if err != nil {
				h.checker.addViolation("replica not started: %v", err)
				return
			}
			// Another fault may retire it before its first call.
			h.expectBesideOddEntry("no call at the new replica "+added.id, func() bool { return added.arrivals.Load() > 0 || added.draining.Load() })
			h.retire(r)
		})
		h.withRandomEntry(func(e *entry) {
			e.restart(e.signal(syscall.SIGTERM), 0)
			h.expectBesideOddEntry(fmt.Sprintf("entry %d not ready", e.number), e.isReady)
		})
	})
}

// addedReplica starts a replica and returns it.
func (h *Harness) addedReplica(service string) (*replica, error) {
	h.mu.Lock()
	before := maps.Clone(h.replicas)
	h.mu.Unlock()
	if err := h.addReplica(service, ""); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, r := range h.replicas {
		if before[id] == nil && r.service == service {
			return r, nil
		}
	}
	return nil, errors.New("it is gone")
}

// expectBesideOddEntry adds a violation unless a condition is met within oddFollowTime or an
// unplanned fault may have kept it from being met.
func (h *Harness) expectBesideOddEntry(violation string, met func() bool) {
	begin := time.Now()
	for !met() {
		if time.Since(begin) > oddFollowTime {
			if h.checker.undisturbed(begin) {
				h.checker.addViolation("%s within %s beside an odd entry", violation, oddFollowTime)
			}
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// undisturbed reports whether no unplanned fault was active, or had lasting effects, since a time.
func (c *checker) undisturbed(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.undisturbedSince(since)
}
