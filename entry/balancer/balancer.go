// Package balancer admits requests to a pool and chooses upstreams for them. It drives
// the state machines of limiter, picker, tracker and sharer. The state of each pool and
// version is a shard with its own lock.
package balancer

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/limiter"
	"sequoiasill.dev/sequoiasill/decide/picker"
	"sequoiasill.dev/sequoiasill/decide/sharer"
	"sequoiasill.dev/sequoiasill/decide/tracker"
	"sequoiasill.dev/sequoiasill/entry/demander"
)

// Demands returns the demand of all live entries for slots in a pool and version.
type Demands interface {
	Demands(pool, version string) []sharer.Demand
}

// Balancer holds the shards and the tracker of an entry. It is safe for
// concurrent use.
type Balancer struct {
	entry       string
	clock       sequoiasill.Clock
	demands     Demands
	log         hclog.Logger
	limiterOpts limiter.Options

	trackerMu  sync.Mutex
	tracker    *tracker.Tracker
	onDraining func(tracker.Marked)

	mu     sync.Mutex
	shards map[shardKey]*shard
	slots  map[string]int // by pool
}

type shardKey struct {
	pool    string
	version string
}

// New returns a Balancer of the named entry.
func New(entry string, clock sequoiasill.Clock, demands Demands, log hclog.Logger) *Balancer {
	return &Balancer{
		entry:       entry,
		clock:       clock,
		demands:     demands,
		log:         log.Named("balancer"),
		limiterOpts: limiter.DefaultOptions(),
		tracker:     tracker.New(tracker.DefaultOptions()),
		onDraining:  func(tracker.Marked) {},
		shards:      make(map[shardKey]*shard),
		slots:       make(map[string]int),
	}
}

// OnDraining sets the function that is called when this entry first learns that an upstream
// is draining. It must be called before the balancer is used.
func (b *Balancer) OnDraining(f func(tracker.Marked)) { b.onDraining = f }

// SetPools sets the slots per upstream of the declared pools.
func (b *Balancer) SetPools(pools []sequoiasill.Pool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range pools {
		b.slots[p.Name] = p.Slots
	}
}

// Observe passes an event to the tracker and updates the shards if necessary.
func (b *Balancer) Observe(ev tracker.Event) {
	b.trackerMu.Lock()
	marks := b.tracker.Step(b.clock.Now(), ev)
	b.trackerMu.Unlock()
	for _, m := range marks {
		b.log.Info("upstream leaves", "upstream", m.Upstream, "source", m.Source)
		b.onDraining(m)
	}
	switch ev.(type) {
	case tracker.Answered, tracker.Failed:
	default:
		b.Refresh()
	}
}

// RecordLoad records a load report of an upstream.
func (b *Balancer) RecordLoad(upstream, pool, version string, r sequoiasill.LoadReport) {
	b.shard(pool, version).report(b.clock.Now(), upstream, r)
}

// Draining reports whether the upstream is draining.
func (b *Balancer) Draining(upstream string) bool {
	b.trackerMu.Lock()
	defer b.trackerMu.Unlock()
	return b.tracker.IsLeaving(b.clock.Now(), upstream)
}

// Instance returns an upstream by name.
func (b *Balancer) Instance(upstream string) (sequoiasill.Instance, bool) {
	b.trackerMu.Lock()
	defer b.trackerMu.Unlock()
	return b.tracker.Instance(upstream)
}

// Usable returns the upstreams that may get new requests.
func (b *Balancer) Usable(pool, version string) []sequoiasill.Instance {
	b.trackerMu.Lock()
	defer b.trackerMu.Unlock()
	return b.tracker.Usable(b.clock.Now(), pool, version)
}

// Listed returns the names of all upstreams that the platform lists and that are not
// draining.
func (b *Balancer) Listed(pool, version string) []string {
	b.trackerMu.Lock()
	defer b.trackerMu.Unlock()
	return b.tracker.Listed(b.clock.Now(), pool, version)
}

// Refresh recomputes the limits of all shards.
func (b *Balancer) Refresh() {
	b.mu.Lock()
	shards := make([]*shard, 0, len(b.shards))
	for _, s := range b.shards {
		shards = append(shards, s)
	}
	b.mu.Unlock()
	for _, s := range shards {
		b.refresh(s)
	}
}

// Demand returns the slots that this entry would use in each pool and version, to be
// reported to its peers.
func (b *Balancer) Demand() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(b.shards))
	for k, s := range b.shards {
		out[demander.Key(k.pool, k.version)] = s.demand()
	}
	return out
}

func (b *Balancer) refresh(s *shard) {
	usable := b.Usable(s.key.pool, s.key.version)
	shares := sharer.New(b.entry, b.demands.Demands(s.key.pool, s.key.version))
	b.mu.Lock()
	slots := b.slots[s.key.pool]
	b.mu.Unlock()
	listed := b.Listed(s.key.pool, s.key.version)
	candidates := make([]picker.Candidate, 0, len(usable))
	total := 0
	for _, i := range usable {
		b.trackerMu.Lock()
		slowness := b.tracker.Slowness(i.Name)
		b.trackerMu.Unlock()
		limit := shares.Slots(slices.Index(listed, i.Name), slots)
		total += limit
		candidates = append(candidates, picker.Candidate{
			Upstream: sequoiasill.Upstream{
				Name: i.Name, Address: i.Address, Zone: i.Zone, Pool: i.Pool, Version: i.Version, Slots: slots,
			},
			Limit:    limit,
			Slowness: slowness,
		})
	}
	if total == 0 && len(candidates) > 0 {
		// There are more entries than slots. This entry may still run one request, on
		// the upstream that the entry's name hashes to.
		candidates[int(xxhash.Sum64String(b.entry)%uint64(len(candidates)))].Limit = 1
	}
	s.resize(b.clock.Now(), candidates)
}

func (b *Balancer) shard(pool, version string) *shard {
	key := shardKey{pool: pool, version: version}
	b.mu.Lock()
	s, ok := b.shards[key]
	if !ok {
		s = newShard(key, b.limiterOpts, xxhash.Sum64String(b.entry+pool+version))
		b.shards[key] = s
	}
	b.mu.Unlock()
	s.initOnce.Do(func() { b.refresh(s) })
	return s
}
