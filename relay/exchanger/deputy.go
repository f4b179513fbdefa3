package exchanger

import (
	"slices"
	"sync/atomic"
	"time"

	"sequoiasill.dev/sequoiasill"
)

const (
	// watcherCheckInterval is the interval at which a deputy checks whether it hears from the watchers.
	watcherCheckInterval = 200 * time.Millisecond
	// watcherPingAfter is how long a deputy hears from no watcher until it pings them, pingsPerCheck of them at
	// each check, and watcherSilence until it watches in their place. The failure detector takes several
	// seconds, and a change must be in force everywhere within 2 s of being stored.
	watcherPingAfter = 250 * sequoiasill.Millis(1)
	pingsPerCheck    = 2
	watcherSilence   = 900 * sequoiasill.Millis(1)
	// deputyCheckInterval is the interval at which another entry checks whether it has become a deputy.
	deputyCheckInterval = sequoiasill.Second
)

// deputy is the state of an entry that watches the store while all watchers are silent: stalled, cut off from it or
// ended without being known as dead.
type deputy struct {
	active    atomic.Bool
	since     sequoiasill.Millis // when the entry became a deputy, 0 if it is not one
	checkedAt sequoiasill.Millis
	nextPing  int
}

// checkWatchers checks, at a deputy, whether any watcher was heard lately.
func (e *Exchanger) checkWatchers() {
	d, now := &e.deputy, e.clock.Now()
	if d.since == 0 && now-d.checkedAt < deputyCheckInterval {
		return
	}
	watchers, deputies := e.watchers()
	stalled := now-d.checkedAt > 3*sequoiasill.MillisOf(watcherCheckInterval)
	d.checkedAt = now
	if !slices.Contains(deputies, e.opts.Name) {
		d.since = 0
		e.setDeputyActive(false)
		return
	}
	if d.since == 0 || stalled {
		d.since = now
	}
	heardAt := d.since
	for _, w := range watchers {
		heardAt = max(heardAt, e.gossip.HeardAt(w))
	}
	e.setDeputyActive(now-heardAt >= watcherSilence)
	if now-heardAt < watcherPingAfter {
		return
	}
	for range min(pingsPerCheck, len(watchers)) {
		e.gossip.Ping(watchers[d.nextPing%len(watchers)])
		d.nextPing++
	}
}

func (e *Exchanger) setDeputyActive(active bool) {
	if e.deputy.active.Swap(active) == active {
		return
	}
	if active {
		e.log.Warn("no watcher of the store is heard, watching in their place", "silentFor", watcherSilence)
		return
	}
	e.log.Info("the watchers of the store are heard again")
}
