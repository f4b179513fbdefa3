package soaker

import "time"

const (
	// quarantineDelay is the time after the third crash within which all entries must
	// quarantine the request. maxLateCrashes is the number of upstreams that it may still
	// crash afterwards.
	quarantineDelay = 3 * time.Second
	maxLateCrashes  = 3
	killAllFault    = "kill all entries"
)

// crashRecord counts the crashes caused by one request.
type crashRecord struct {
	count   int
	thirdAt time.Time
	late    int // more than quarantineDelay after the third crash
	lateBy  countByBuild
}

// recordCrash records that the request of a call crashes an upstream. When all entries are killed they lose
// the quarantine, so each such fault allows for further crashes.
func (c *checker) recordCrash(id, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	crash := c.crashes[body]
	if crash == nil {
		crash = &crashRecord{lateBy: make(countByBuild)}
		c.crashes[body] = crash
	}
	crash.count++
	if crash.count == 3 {
		crash.thirdAt = time.Now()
	}
	if crash.count > 3 && time.Since(crash.thirdAt) > quarantineDelay {
		crash.late++
		if r, ok := c.calls[id]; ok {
			crash.lateBy[r.senderBuild]++
		}
	}
	if maxLate := maxLateCrashes * (1 + c.counts.Faults[killAllFault]); crash.late > maxLate {
		c.addViolationLocked("%s reached an upstream %d times later than %s after its third crash%s", body, crash.late, quarantineDelay, crash.lateBy)
	}
}
