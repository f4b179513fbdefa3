package exchanger

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sequoiasill.dev/sequoiasill"
)

const (
	// vigilInterval is the interval at which an entry checks whether the store is watched.
	vigilInterval = 100 * time.Millisecond
	// heartbeatInterval is the minimum interval between two heartbeats of the watchers together. If none was heard for
	// pingAfter, the first watcher pings the store, and each further one pingStagger later.
	heartbeatInterval = 200 * sequoiasill.Millis(1)
	pingAfter         = 400 * sequoiasill.Millis(1)
	pingStagger       = 30 * sequoiasill.Millis(1)
	// heartbeatTTL is how long a heartbeat is kept.
	heartbeatTTL = 5 * sequoiasill.Second
	// pingTimeout is the time after which a ping counts as unanswered. A slow store takes 200 ms.
	pingTimeout = sequoiasill.Second
	// deputyPingInterval is the interval at which a deputy pings a store that does not answer it. It doubles with each
	// ping and with each tier, as a store may be away for all entries.
	deputyPingInterval    = sequoiasill.Second
	maxDeputyPingInterval = 16 * sequoiasill.Second
)

// silenceLimits are the times without a heartbeat after which the next tier watches in place of the one that was heard
// last, the tier after it, and so on; each further tier takes silenceStep longer. A change must be in force everywhere
// within 2 s of being stored, whichever tiers are silent. The steps give a tier the time for its first heartbeat.
var silenceLimits = []sequoiasill.Millis{900, 1150, 1300, 1400}

const silenceStep = 50 * sequoiasill.Millis(1)

// silenceLimit returns the silence after which an entry watches that is a number of tiers, 1 or more, beyond the one
// that was heard last.
func silenceLimit(tiers int) sequoiasill.Millis {
	last := len(silenceLimits) - 1
	return silenceLimits[min(tiers-1, last)] + silenceStep*sequoiasill.Millis(max(tiers-1-last, 0))
}

// vigil is what an entry knows of who watches the store. Watchers that the store answers say so in heartbeats. The other
// entries are the watchers' deputies, in tiers: each tier watches while all lower ones are silent, whether they have
// ended, stand still, are cut off or get no answers. Its times are those of the boot clock.
type vigil struct {
	mu         sync.Mutex
	tiers      [][]string // names of the entries by tier, the watchers first
	tiersAt    sequoiasill.Millis
	heardAt    map[string]sequoiasill.Millis // by entry, when its last heartbeat arrived
	checkedAt  sequoiasill.Millis
	since      sequoiasill.Millis // from when on this entry counts a silence
	active     bool               // this entry watches as a deputy
	pinging    bool
	unanswered bool               // the last ping was not answered
	pingAt     sequoiasill.Millis // when a deputy may ping next
	pingWait   sequoiasill.Millis // from its next ping to the one after it
}

// heard records a heartbeat.
func (v *vigil) heard(entry string, now sequoiasill.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.heardAt[entry] = now
}

// position returns the tier of an entry and its place there, or -1 if it is in no tier.
func (v *vigil) position(entry string) (tier, place int) {
	for tier, names := range v.tiers {
		if place := slices.Index(names, entry); place >= 0 {
			return tier, place
		}
	}
	return -1, -1
}

// lastHeard returns when the last heartbeat of the tiers up to a tier arrived, and of which tier it was. Both are 0 if
// there was none.
func (v *vigil) lastHeard(upTo int) (at sequoiasill.Millis, tier int) {
	for entry, heardAt := range v.heardAt {
		if of, _ := v.position(entry); of >= 0 && of <= upTo && heardAt > at {
			at, tier = heardAt, of
		}
	}
	return at, tier
}

// sinceHeartbeat returns the time since the last heartbeat of the tiers up to a tier.
func (v *vigil) sinceHeartbeat(upTo int, now sequoiasill.Millis) sequoiasill.Millis {
	at, _ := v.lastHeard(upTo)
	return now - at
}

// isSilent reports whether the tiers below a tier, 1 or more, are silent for so long that the tier watches. A tier
// that watched told that the ones below it were silent before.
func (v *vigil) isSilent(tier int, now sequoiasill.Millis) bool {
	at, heard := v.lastHeard(tier - 1)
	return now-max(v.since, at) >= silenceLimit(tier-heard)
}

// watches reports whether an entry of a tier watches.
func (v *vigil) watches(tier int) bool { return tier == 0 || tier > 0 && v.active }

// keepVigil checks whether the store is watched, and pings the store if that is in doubt.
func (e *Exchanger) keepVigil() {
	e.refreshTiers()
	v, now := &e.vigil, e.bootClock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	tier, place := v.position(e.opts.Name)
	stalled := now-v.checkedAt > 3*sequoiasill.MillisOf(vigilInterval)
	v.checkedAt = now
	maps.DeleteFunc(v.heardAt, func(_ string, at sequoiasill.Millis) bool { return now-at > heartbeatTTL })
	if tier <= 0 || stalled {
		v.since = now
	}
	if tier <= 0 || !v.isSilent(tier, now) {
		e.setActive(false)
		v.pingAt, v.pingWait = now, min(deputyPingInterval<<min(max(tier-1, 0), 8), maxDeputyPingInterval)
	}
	switch {
	case v.pinging || tier < 0:
	case v.watches(tier):
		if v.sinceHeartbeat(tier, now) >= pingAfter+pingStagger*sequoiasill.Millis(place) {
			e.startPing()
		}
	case now >= v.pingAt && v.isSilent(tier, now):
		v.pingAt = now + v.pingWait/2 + sequoiasill.Millis(rand.Int64N(int64(v.pingWait)))
		v.pingWait = min(2*v.pingWait, maxDeputyPingInterval)
		e.startPing()
	}
}

// startPing pings the store. The caller holds the vigil's lock.
func (e *Exchanger) startPing() {
	e.vigil.pinging = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout.Duration())
		defer cancel()
		e.handlePing(e.store.Ping(ctx))
	}()
}

// handlePing handles the result of a ping. Watches may have missed changes while the store did not answer, without an
// error, so all objects are listed again.
func (e *Exchanger) handlePing(err error) {
	v := &e.vigil
	v.mu.Lock()
	v.pinging = false
	if err != nil {
		v.unanswered = true
		v.mu.Unlock()
		return
	}
	tier, _ := v.position(e.opts.Name)
	relist := v.unanswered && v.watches(tier)
	v.unanswered = false
	if tier > 0 && !v.active && v.isSilent(tier, e.bootClock.Now()) {
		e.setActive(true)
	}
	v.mu.Unlock()
	if relist {
		e.log.Info("the store answers again, listing again")
		e.store.Relist()
		return
	}
	e.StoreAnswered()
}

// setActive sets whether this entry watches as a deputy. The caller holds the vigil's lock.
func (e *Exchanger) setActive(active bool) {
	if e.vigil.active == active {
		return
	}
	e.vigil.active = active
	if active {
		tier, _ := e.vigil.position(e.opts.Name)
		e.log.Warn("no watcher of the store is heard, watching in their place", "tier", tier)
		return
	}
	e.log.Info("the watchers of the store are heard again")
}

// StoreAnswered records that the store answered this entry. A watcher tells the other entries, unless one did just now.
func (e *Exchanger) StoreAnswered() {
	if e.isAway() || !e.store.IsFollowed() {
		return
	}
	v, now := &e.vigil, e.bootClock.Now()
	v.mu.Lock()
	tier, _ := v.position(e.opts.Name)
	due := v.watches(tier) && v.sinceHeartbeat(tier, now) >= heartbeatInterval
	if due {
		v.heardAt[e.opts.Name] = now
	}
	v.mu.Unlock()
	if due {
		key := keyHeartbeat + e.opts.Name
		e.gossip.Publish(key, e.newerVersion(key), nil, false, heartbeatTTL)
	}
}
