package exchanger

import (
	"slices"
	"sort"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/picker"
)

// SetStoreUnavailable publishes whether the store is unavailable to this entry.
func (e *Exchanger) SetStoreUnavailable(unavailable bool) {
	e.updateAway(func() { e.storeUnavailable = unavailable })
}

// SetWatchOverdue publishes whether the store owes this entry the answer to a watch of a kind, so that other
// entries watch in its place.
func (e *Exchanger) SetWatchOverdue(kind string, overdue bool) {
	e.updateAway(func() {
		if overdue {
			e.overdueWatches[kind] = true
		} else {
			delete(e.overdueWatches, kind)
		}
	})
}

// updateAway changes what this entry knows of the store, and publishes whether it hears from the store if that
// changed.
func (e *Exchanger) updateAway(change func()) {
	e.awayMu.Lock()
	defer e.awayMu.Unlock()
	before := e.isAwayLocked()
	change()
	away := e.isAwayLocked()
	if away == before {
		return
	}
	value := []byte{}
	if away {
		value = []byte{1}
	}
	key := keyUnavailable + e.opts.Name
	e.gossip.Publish(key, e.newerVersion(key), value, true, unavailableTTL)
}

// isAway reports whether this entry does not hear from the store.
func (e *Exchanger) isAway() bool {
	e.awayMu.Lock()
	defer e.awayMu.Unlock()
	return e.isAwayLocked()
}

func (e *Exchanger) isAwayLocked() bool { return e.storeUnavailable || len(e.overdueWatches) > 0 }

// WatchPosition returns this entry's position among the entries that watch the store on behalf
// of all, or -1 if it is not one of them, and their number. The watchers are the first of each
// zone in rendezvous hashing order and the first extraWatchers of the rest, without entries to
// which the store is unavailable. Their deputies watch while all watchers are silent.
func (e *Exchanger) WatchPosition() (place, total int) {
	e.refreshTiers()
	v := &e.vigil
	v.mu.Lock()
	defer v.mu.Unlock()
	tier, place := v.position(e.opts.Name)
	if !v.watches(tier) {
		return -1, len(v.tiers[0])
	}
	return place, len(v.tiers[tier])
}

// tiersTTL is how long the tiers are used until they are determined again.
const tiersTTL = 100 * sequoiasill.Millis(1)

// refreshTiers determines the tiers again if they are old.
func (e *Exchanger) refreshTiers() {
	v, now := &e.vigil, e.bootClock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.tiers == nil || now-v.tiersAt >= tiersTTL {
		v.tiers, v.tiersAt = chooseTiers(e.eligibleWatchers()), now
	}
}

// eligibleWatchers returns the entries that may watch the store, in rendezvous hashing order.
func (e *Exchanger) eligibleWatchers() []gossiper.Member {
	var eligible, remaining []gossiper.Member
	for _, m := range e.gossip.Members() {
		if m.Leaving {
			continue
		}
		remaining = append(remaining, m)
		if f, ok := e.gossip.Fact(keyUnavailable + m.Name); !ok || len(f.Value) == 0 {
			eligible = append(eligible, m)
		}
	}
	if len(eligible) == 0 {
		// The store is unavailable to all entries and may recover for some of them first.
		eligible = remaining
	}
	sort.Slice(eligible, func(i, j int) bool {
		return picker.Rendezvous(keyConfig, 0, eligible[i].Name) > picker.Rendezvous(keyConfig, 0, eligible[j].Name)
	})
	return eligible
}

// chooseTiers returns the names of the watchers and of the tiers of their deputies, each chosen like the watchers
// from the members that are left.
func chooseTiers(members []gossiper.Member) [][]string {
	watchers, others := chooseWatchers(members)
	tiers := [][]string{watchers}
	for len(others) > 0 {
		var deputies []string
		deputies, others = chooseWatchers(others)
		tiers = append(tiers, deputies)
	}
	return tiers
}

// chooseWatchers returns the names of the first member of each zone and of the first extraWatchers of the
// rest, and the members that were not chosen.
func chooseWatchers(members []gossiper.Member) (chosen []string, others []gossiper.Member) {
	zones := make(map[string]bool)
	extra := extraWatchers
	for _, m := range members {
		switch {
		case !zones[m.Zone]:
			zones[m.Zone] = true
		case extra > 0:
			extra--
		default:
			others = append(others, m)
			continue
		}
		chosen = append(chosen, m.Name)
	}
	return chosen, others
}

// Rank returns this entry's position among the collectors, or -1 if it is not one.
func (e *Exchanger) Rank() int { return slices.Index(e.collectors(), e.opts.Name) }

// collectors returns the names of the entries that aggregate the reports of all entries:
// the first in rendezvous hashing order of those that are not leaving.
func (e *Exchanger) collectors() []string {
	var names []string
	for _, m := range e.gossip.Members() {
		if !m.Leaving {
			names = append(names, m.Name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		return picker.Rendezvous(keyState, 0, names[i]) > picker.Rendezvous(keyState, 0, names[j])
	})
	return names[:min(len(names), maxCollectors)]
}

// AnnounceHolder announces that this entry holds the lease with the given epoch, so that the
// other entries send it their reports.
func (e *Exchanger) AnnounceHolder(epoch uint64) {
	f, ok := e.gossip.Fact(keyHolder)
	if ok && f.Version>>epochShift == epoch && f.Expires-e.clock.Now() > holderTTL/2 {
		return
	}
	version := epoch<<epochShift | uint64(e.clock.Now())&(1<<epochShift-1)
	e.gossip.Publish(keyHolder, version, []byte(e.opts.Name), true, holderTTL)
}

// epochShift is the position of the epoch, in bits, in the version of the lease holder's
// fact. The low bits hold the time in milliseconds; 44 bits suffice for centuries.
const epochShift = 44
