package soaker

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"sequoiasill.dev/sequoiasill"
)

const partitionFault = "partition some entries from all replicas"

// partition is a way in which an entry may lose its paths to all replicas.
type partition int

const (
	noPartition partition = iota
	// hang holds all data back until the partition ends, also on new connections.
	hang
	// reset resets the open connections and holds the data on new ones back.
	reset
	// refuse resets new connections. Open ones live on.
	refuse
)

var partitionNames = map[partition]string{hang: "hang", reset: "reset", refuse: "refuse"}

// partitions is the state of the paths between entries and replicas. It is safe for concurrent use.
type partitions struct {
	// sender returns the number of the entry that opened a connection, or -1 if it is unknown.
	sender func(remote net.Addr) int

	mu      sync.Mutex
	active  map[int]partition // by entry
	endedAt map[int]time.Time // by entry, end of its last partition
	changed chan struct{}     // closed and replaced when active changes
}

func newPartitions(sender func(net.Addr) int) *partitions {
	return &partitions{sender: sender, active: make(map[int]partition), endedAt: make(map[int]time.Time), changed: make(chan struct{})}
}

func (p *partitions) set(entry int, to partition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active[entry] = to
	if to == noPartition {
		p.endedAt[entry] = time.Now()
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// state returns the partition of an entry, and a channel that is closed when one changes.
func (p *partitions) state(entry int) (partition, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active[entry], p.changed
}

// heldWithin reports whether an entry is partitioned, or was less than the given duration ago.
func (p *partitions) heldWithin(entry int, duration time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active[entry] != noPartition || time.Since(p.endedAt[entry]) < duration
}

// waitWhileHeld waits until data of an entry's connections is not held back.
func (p *partitions) waitWhileHeld(entry int) {
	for {
		state, changed := p.state(entry)
		if state != hang && state != reset {
			return
		}
		<-changed
	}
}

// minPartition is the shortest duration of a partition, of which the part after contactTime is
// checked.
const minPartition = contactTime + 3*sequoiasill.Second

// partitionEntries partitions some entries from all replicas, unless others are partitioned.
func (h *Harness) partitionEntries(duration time.Duration) {
	h.withExclusive("partition", 0, func() { h.partitionSome(duration) })
}

func (h *Harness) partitionSome(duration time.Duration) {
	way := []partition{hang, reset, refuse}[h.randIntN(3)]
	duration = max(duration, minPartition.Duration())
	var mu sync.Mutex
	var cut []int
	begin := nowMillis()
	h.withSomeEntries(func(e *entry) {
		mu.Lock()
		cut = append(cut, e.number)
		mu.Unlock()
		h.paths.set(e.number, way)
		if way == reset {
			h.resetPaths(e.number)
		}
		time.Sleep(duration)
		h.paths.set(e.number, noPartition)
	})
	h.faultLog.Info("entries were partitioned", "entries", cut, "how", partitionNames[way], "lasted", duration)
	h.checker.recordPartition(partitionPeriod{begin: begin, end: begin + sequoiasill.MillisOf(duration), entries: cut, way: way})
}

// resetPaths resets the connections of an entry to all replicas.
func (h *Harness) resetPaths(entry int) {
	h.mu.Lock()
	replicas := slices.Collect(maps.Values(h.registered))
	h.mu.Unlock()
	for _, r := range replicas {
		r.proxy.resetSender(entry)
	}
}

// senderOf returns the number of the entry that opened a connection, or -1 if none did. Entries
// connect to replicas from their own addresses.
func (h *Harness) senderOf(remote net.Addr) int {
	tcp, ok := remote.(*net.TCPAddr)
	if !ok {
		return -1
	}
	for n := range h.opts.Entries {
		if h.entryIP(n) == tcp.IP.String() {
			return n
		}
	}
	return -1
}

// Bounds on how much worse callers of partitioned entries may be served.
const (
	// contactTime is the time after the start of a partition from which it is checked.
	contactTime = 3 * sequoiasill.Second
	// minServedRatio is the least share of calls that partitioned entries serve, as a fraction of
	// that of the other entries, while more than maxUnserved and maxUnservedShare of all calls fail
	// at them.
	minServedRatio   = 2.0 / 3
	maxUnserved      = 10
	maxUnservedShare = 0.02
)

// partitionPeriod is a time in which entries were partitioned from all replicas.
type partitionPeriod struct {
	begin, end sequoiasill.Millis
	entries    []int
	way        partition
}

// partitionChecker checks whether entries that reach no replica serve their callers. All times must
// come from one clock. It is not safe for concurrent use.
type partitionChecker struct {
	periods     []partitionPeriod
	disruptions map[int][]sequoiasill.Millis // by entry
	calls       []partitionCall
	served      int // calls that partitioned entries served
	counted     int // calls that they were sent
}

// partitionCall is the first attempt of a call.
type partitionCall struct {
	sent   sequoiasill.Millis
	entry  int
	served bool
}

func newPartitionChecker() *partitionChecker {
	return &partitionChecker{disruptions: make(map[int][]sequoiasill.Millis)}
}

func (p *partitionChecker) recordDisruption(at sequoiasill.Millis, entry int) {
	p.disruptions[entry] = append(p.disruptions[entry], at)
}

// inTouch reports whether an entry was not disrupted shortly before or after a call was sent to it.
func (p *partitionChecker) inTouch(c partitionCall) bool {
	return !slices.ContainsFunc(p.disruptions[c.entry], func(at sequoiasill.Millis) bool {
		return at >= c.sent-contactTime && at <= c.sent+sequoiasill.MillisOf(callerTimeout)
	})
}

// results returns the violations.
func (p *partitionChecker) results() []string {
	var out []string
	for _, period := range p.periods {
		var asked, served [2]float64 // by whether the entry was partitioned
		for _, c := range p.calls {
			if c.sent < period.begin+contactTime || c.sent > period.end || !p.inTouch(c) {
				continue
			}
			group := 0
			if slices.Contains(period.entries, c.entry) {
				group = 1
			}
			asked[group]++
			if c.served {
				served[group]++
			}
		}
		p.served += int(served[1])
		p.counted += int(asked[1])
		unserved := asked[1] - served[1]
		if asked[0] == 0 || served[1]/max(asked[1], 1) >= minServedRatio*served[0]/asked[0] {
			continue
		}
		if unserved > maxUnserved+maxUnservedShare*(asked[0]+asked[1]) {
			out = append(out, fmt.Sprintf("entries %v, partitioned from all replicas (%s) for %s, served %.0f of %.0f calls, the others %.0f of %.0f",
				period.entries, partitionNames[period.way], period.end-period.begin, served[1], asked[1], served[0], asked[0]))
		}
	}
	return out
}
