package exchanger

import (
	"slices"
	"sort"

	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/picker"
)

// StoreAway tells the others whether the store answers this entry.
func (e *Exchanger) StoreAway(away bool) {
	e.mu.Lock()
	changed := e.away != away
	e.away = away
	e.mu.Unlock()
	if !changed {
		return
	}
	value := []byte{}
	if away {
		value = []byte{1}
	}
	e.gossip.Publish(keyAway+e.opts.Name, uint64(e.clock.Now()), value, true, awaySpan)
}

// Turn returns this entry's place among those that watch the store for the others,
// -1 if it is none of them, and how many they are: the first in rendezvous order of
// each zone, and the first of all. Those that the store does not answer are passed
// over.
func (e *Exchanger) Turn() (place, of int) {
	names := e.watchers()
	return slices.Index(names, e.opts.Name), len(names)
}

func (e *Exchanger) watchers() []string {
	var fit, stay []gossiper.Member
	for _, m := range e.gossip.Members() {
		if m.Leaving {
			continue
		}
		stay = append(stay, m)
		if f, ok := e.gossip.Fact(keyAway + m.Name); !ok || len(f.Value) == 0 {
			fit = append(fit, m)
		}
	}
	if len(fit) == 0 {
		// The store answers nobody; it will answer some sooner than others.
		fit = stay
	}
	sort.Slice(fit, func(i, j int) bool {
		return picker.Rendezvous(keyConfig, 0, fit[i].Name) > picker.Rendezvous(keyConfig, 0, fit[j].Name)
	})
	var out []string
	zones := make(map[string]bool)
	spare := spareWatchers
	for _, m := range fit {
		switch {
		case !zones[m.Zone]:
			zones[m.Zone] = true
		case spare > 0:
			spare--
		default:
			continue
		}
		out = append(out, m.Name)
	}
	return out
}

// Rank returns this entry's place among the collectors, -1 if it is none of them.
func (e *Exchanger) Rank() int { return slices.Index(e.collectors(), e.opts.Name) }

// collectors returns the names of the entries that sum up what all tell: the first
// in rendezvous order of those that stay.
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
	return names[:min(len(names), collectors)]
}

// Holding spreads that this entry holds the duties under an epoch, so that the
// others tell it of themselves.
func (e *Exchanger) Holding(epoch uint64) {
	f, ok := e.gossip.Fact(keyHolder)
	if ok && f.Version>>epochShift == epoch && f.Expires-e.clock.Now() > holderSpan/2 {
		return
	}
	version := epoch<<epochShift | uint64(e.clock.Now())&(1<<epochShift-1)
	e.gossip.Publish(keyHolder, version, []byte(e.opts.Name), true, holderSpan)
}

// epochShift puts the epoch before the time in the version of the holder's fact;
// milliseconds of many years fit below it.
const epochShift = 44
