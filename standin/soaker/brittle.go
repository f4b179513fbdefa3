package soaker

import (
	"slices"
	"sync"
	"time"

	"sequoiasill.dev/sequoiasill"
)

const brittleFault = "make a service brittle"

// Figures of brittle replicas.
const (
	// withstoodRejections is how many calls a brittle replica may reject in a second.
	withstoodRejections = 6
	// waitingCalls is the number of calls beyond its slots that it lets wait until entries have had
	// the time to notice, and brittleLatencyMillis the latency that fills it.
	waitingCalls         = 12
	brittleLatencyMillis = 1000
	// maxFalls and maxFallShare bound the falls of a service's replicas in one time of brittleness.
	maxFalls     = 2
	maxFallShare = 0.1
)

// brittleness is the state of a replica that falls over when it has to reject too many calls.
type brittleness struct {
	mu         sync.Mutex
	active     bool
	slots      int64 // calls that it takes at a time once entries have had the time to notice
	shrinksAt  sequoiasill.Millis
	rejections []sequoiasill.Millis // in the last second
	onFall     func()
}

// start makes the replica brittle.
func (b *brittleness) start(slots int64, onFall func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active, b.slots, b.shrinksAt, b.rejections, b.onFall = true, slots, nowMillis()+contactTime, nil, onFall
}

func (b *brittleness) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active = false
}

// state reports whether the replica is brittle, and how many calls it takes at a time.
func (b *brittleness) state() (active bool, maxCalls int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !b.active:
		return false, maxCallsInFlight
	case nowMillis() < b.shrinksAt:
		return true, maxCallsInFlight + waitingCalls
	}
	return true, b.slots
}

// recordRejection records that a call was rejected for want of room.
func (b *brittleness) recordRejection() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := nowMillis()
	if !b.active || now < b.shrinksAt {
		return
	}
	b.rejections = slices.DeleteFunc(b.rejections, func(at sequoiasill.Millis) bool { return at <= now-sequoiasill.Second })
	if b.rejections = append(b.rejections, now); len(b.rejections) > withstoodRejections {
		b.active = false
		go b.onFall()
	}
}

// makeBrittle makes the replicas of a service brittle and slow, unless others are brittle. A replica
// that falls over is replaced after a moment by one that is not brittle.
func (h *Harness) makeBrittle(duration time.Duration) {
	h.withExclusive("brittle", 0, func() { h.makeServiceBrittle(duration) })
}

func (h *Harness) makeServiceBrittle(duration time.Duration) {
	replicas := h.randomServiceReplicas()
	slots := int64(maxCallsInFlight)
	if h.opts.BrittleSlots > 0 {
		slots = int64(h.opts.BrittleSlots)
	}
	var mu sync.Mutex
	falls := 0
	for _, r := range replicas {
		r.extraLatencyMillis.Store(brittleLatencyMillis)
		r.brittle.start(slots, func() {
			mu.Lock()
			falls++
			mu.Unlock()
			h.crashReplica(r, crashRestartDelay)
		})
	}
	time.Sleep(max(duration, minPartition.Duration()))
	for _, r := range replicas {
		r.brittle.stop()
		r.extraLatencyMillis.Store(0)
	}
	mu.Lock()
	defer mu.Unlock()
	h.faultLog.Info("replicas were brittle", "replicas", len(replicas), "falls", falls)
	if most := maxFalls + maxFallShare*float64(len(replicas)); float64(falls) > most {
		h.checker.addViolation("%d brittle replicas fell over %d times, %.1f times are allowed", len(replicas), falls, most)
	}
}
