// Package spreader keeps this entry's configuration up to date. Two entries of
// each availability zone watch the store. The others learn of new generations
// through gossip and pull the changes from a peer, so that a configuration also
// reaches them while the store is unavailable.
package spreader

import (
	"sort"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/config/applier"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/picker"
	"sequoiasill.dev/sequoiasill/entry/syncer"
)

// Keys of the facts on configuration generations.
const (
	HighestGenerationKey = "generation"  // the highest accepted generation; the value is an address to pull from
	GenerationPrefix     = "generation/" // followed by the name of an entry: the generation that it currently uses
)

// watchersPerZone is the number of entries of a zone that watch the store.
const watchersPerZone = 2

// Gossip is the part of the gossip protocol that this package uses.
type Gossip interface {
	Self() gossiper.Member
	Members() []gossiper.Member
	Publish(key string, version uint64, value []byte, urgent bool, ttl sequoiasill.Millis)
}

// Puller pulls a configuration from another entry.
type Puller interface {
	PullConfig(address string, above uint64, timeout sequoiasill.Millis) (syncer.Delta, error)
}

// Spreader keeps the configuration up to date. It is safe for concurrent use.
type Spreader struct {
	configs *syncer.Configs
	gossip  Gossip
	puller  Puller
	log     hclog.Logger
	wake    chan struct{}

	mu     sync.Mutex
	target uint64 // generation to pull
	source string // address to pull target from
}

// New returns a Spreader, which is inactive until Start.
func New(configs *syncer.Configs, g Gossip, p Puller, log hclog.Logger) *Spreader {
	return &Spreader{configs: configs, gossip: g, puller: p, log: log.Named("spreader"), wake: make(chan struct{}, 1)}
}

// Start watches the store and pulls announced generations until the returned
// function is called.
func (s *Spreader) Start(store applier.Store, w syncer.Watcher) (stop func()) {
	stopWatch := s.configs.Watch(reader{store}, w, s.isWatcher, s.handleStored)
	done := make(chan struct{})
	go func() {
		tick := time.NewTicker(pullInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-s.wake:
			case <-tick.C:
			}
			s.pull()
		}
	}()
	return sync.OnceFunc(func() {
		close(done)
		stopWatch()
	})
}

// pullInterval is the interval at which failed pulls are retried, and the delay of
// Statuses after a failed call to the store or while this entry is no watcher.
const pullInterval = 250 * time.Millisecond

// pullTimeout is the timeout of a pull from one entry.
const pullTimeout = 2 * sequoiasill.Second

// reader reads deltas from the store.
type reader struct{ store applier.Store }

// Read implements syncer.Reader.
func (r reader) Read(known func(string) bool) (syncer.Delta, uint64, error) {
	head, parts, version, err := applier.Read(r.store, known)
	return syncer.Delta{Generation: head.Generation, Names: head.Parts, Parts: parts}, version, err
}

// isWatcher reports whether this entry should watch the store: it is one of its
// zone's watchers, or a newer configuration than its own was announced, or it has
// none.
func (s *Spreader) isWatcher() bool {
	if s.configs.Behind() {
		return true
	}
	self := s.gossip.Self()
	for _, name := range watchersOf(s.gossip.Members(), self.Zone) {
		if name == self.Name {
			return true
		}
	}
	return false
}

// watchersOf returns the names of the entries that watch the store for a zone.
func watchersOf(members []gossiper.Member, zone string) []string {
	var names []string
	for _, m := range members {
		if m.Zone == zone && !m.Leaving {
			names = append(names, m.Name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		return picker.Rendezvous("watch", 0, names[i]) > picker.Rendezvous("watch", 0, names[j])
	})
	return names[:min(len(names), watchersPerZone)]
}

// handleStored handles a new generation from the store. It announces the generation
// before applying it, so that the other entries learn of it if this one stops.
func (s *Spreader) handleStored(d syncer.Delta) {
	s.configs.NoteGeneration(d.Generation)
	s.gossip.Publish(HighestGenerationKey, d.Generation, []byte(s.gossip.Self().Address), true, 0)
	s.accept(d, "store")
}

func (s *Spreader) accept(d syncer.Delta, source string) {
	changed, err := s.configs.Accept(d, source)
	if err != nil {
		s.log.Warn("configuration not accepted", "generation", d.Generation, "error", err)
		return
	}
	if changed {
		s.gossip.Publish(GenerationPrefix+s.gossip.Self().Name, d.Generation, nil, false, 0)
	}
}

// HandleFact handles a fact of another entry. Facts other than the highest generation
// are ignored.
func (s *Spreader) HandleFact(f gossiper.Fact) {
	if f.Key != HighestGenerationKey {
		return
	}
	s.configs.NoteGeneration(f.Version)
	s.mu.Lock()
	if f.Version > s.target {
		s.target, s.source = f.Version, string(f.Value)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// pull updates this entry to the highest generation that was announced to it.
func (s *Spreader) pull() {
	s.mu.Lock()
	target, source := s.target, s.source
	s.mu.Unlock()
	current := s.configs.Current().Generation
	if current >= target {
		return
	}
	for _, address := range s.sources(source) {
		d, err := s.puller.PullConfig(address, current, pullTimeout)
		if err != nil {
			s.log.Debug("configuration not pulled", "address", address, "error", err)
			continue
		}
		if d.Generation > current {
			s.accept(d, address)
			return
		}
	}
}

// maxSources is the maximum number of entries that are tried in one pull.
const maxSources = 4

// sources returns the addresses to pull from, in order: the zone's watchers, the
// entry that announced the generation, and other entries.
func (s *Spreader) sources(announcer string) []string {
	self := s.gossip.Self()
	members := s.gossip.Members()
	byName := make(map[string]string)
	for _, m := range members {
		byName[m.Name] = m.Address
	}
	var out []string
	add := func(address string) {
		if address == "" || address == self.Address || len(out) == maxSources {
			return
		}
		for _, a := range out {
			if a == address {
				return
			}
		}
		out = append(out, address)
	}
	for _, name := range watchersOf(members, self.Zone) {
		add(byName[name])
	}
	add(announcer)
	for _, m := range members {
		add(m.Address)
	}
	return out
}
