// Package demander shares each entry's demand for upstream slots with the other entries
// by gossip. Each entry computes its share of the slots from all demands.
package demander

import (
	"encoding/json"
	"strings"
	"sync"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/sharer"
)

// Prefix is the prefix of the keys of demand facts; the name of the entry follows.
const Prefix = "demand/"

// Gossip is the part of the gossip membership that a Demander uses.
type Gossip interface {
	Self() gossiper.Member
	Members() []gossiper.Member
	Publish(key string, version uint64, value []byte, urgent bool, ttl sequoiasill.Millis)
}

const (
	// demandTTL is how long a demand is valid unless it is renewed.
	demandTTL = sequoiasill.Minute
	// decayPercent is the percentage of a demand that remains at the next update, so that
	// a short lull does not give the slots away.
	decayPercent = 80
	// minChangePercent is the minimum change of a demand that is published before its
	// renewal is due.
	minChangePercent = 20
	// maxFactsPerSecond is the maximum rate at which all entries together publish demands.
	maxFactsPerSecond = 38
)

// Demander holds the demands. It is safe for concurrent use.
type Demander struct {
	gossip Gossip
	clock  sequoiasill.Clock

	mu          sync.Mutex
	peers       map[string]map[string]int // by entry, then by pool and version
	smoothed    map[string]int
	published   map[string]int
	publishedAt sequoiasill.Millis
}

// New returns a Demander without demands.
func New(g Gossip, clock sequoiasill.Clock) *Demander {
	return &Demander{gossip: g, clock: clock, peers: make(map[string]map[string]int), smoothed: make(map[string]int)}
}

// Key names a pool and version in a demand.
func Key(pool, version string) string { return pool + "/" + version }

// Demands implements balancer.Demands. Every entry counts as at least one slot, also one
// that has reported no demand.
func (d *Demander) Demands(pool, version string) []sharer.Demand {
	key := Key(pool, version)
	self := d.gossip.Self().Name
	members := d.gossip.Members()
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]sharer.Demand, 0, len(members))
	for _, m := range members {
		slots := d.peers[m.Name][key]
		if m.Name == self {
			slots = d.published[key]
		}
		if !m.Leaving || m.Name == self {
			out = append(out, sharer.Demand{Entry: m.Name, Slots: max(slots, 1)})
		}
	}
	return out
}

// HandleFact records the demand in another entry's fact.
func (d *Demander) HandleFact(f gossiper.Fact) {
	entry, ok := strings.CutPrefix(f.Key, Prefix)
	if !ok || entry == d.gossip.Self().Name {
		return
	}
	var slots map[string]int
	if json.Unmarshal(f.Value, &slots) != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers[entry] = slots
}

// Update records this entry's demand and publishes it if that is due. It should be
// called every second. It reports whether it published the demand.
func (d *Demander) Update(slots map[string]int) bool {
	now := d.clock.Now()
	d.mu.Lock()
	for k, n := range slots {
		d.smoothed[k] = max(n, d.smoothed[k]*decayPercent/100)
	}
	members := len(d.gossip.Members())
	interval := max(sequoiasill.Second, sequoiasill.Millis(members)*sequoiasill.Second/maxFactsPerSecond)
	due := now-d.publishedAt >= interval && d.changed() || now-d.publishedAt >= demandTTL/3
	if !due {
		d.mu.Unlock()
		return false
	}
	d.publishedAt = now
	d.published = make(map[string]int, len(d.smoothed))
	for k, n := range d.smoothed {
		d.published[k] = n
	}
	value, err := json.Marshal(d.published)
	d.mu.Unlock()
	if err != nil {
		return false
	}
	d.gossip.Publish(Prefix+d.gossip.Self().Name, uint64(now), value, false, demandTTL)
	return true
}

// changed reports whether the demand differs enough from the published one.
func (d *Demander) changed() bool {
	for k, n := range d.smoothed {
		old, ok := d.published[k]
		if diff := max(n-old, old-n); !ok || diff*100 > minChangePercent*max(old, 1) {
			return true
		}
	}
	return false
}
