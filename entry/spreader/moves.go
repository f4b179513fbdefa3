package spreader

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill/config/encoder"
	"sequoiasill.dev/sequoiasill/entry/shifter"
	"sequoiasill.dev/sequoiasill/platform/storer"
)

// MoveStore is the part of the object API that Statuses uses.
type MoveStore interface {
	Get(name string) (storer.Object, error)
	List(prefix string) ([]storer.Object, error)
	Watch(prefix string, after uint64) ([]storer.Change, error)
}

// Statuses distributes the stored status of moves to all entries. The
// watchers of each zone watch the store and publish changes by gossip.
type Statuses struct {
	store     MoveStore
	isWatcher func() bool
	gossip    Gossip
	apply     func(key string, version uint64, value []byte)
	log       hclog.Logger
	seen      uint64
}

// NewStatuses returns a Statuses that passes each status to apply on this entry
// too.
func NewStatuses(s *Spreader, store MoveStore, apply func(key string, version uint64, value []byte)) *Statuses {
	return &Statuses{store: store, isWatcher: s.isWatcher, gossip: s.gossip, apply: apply, log: s.log}
}

// Start polls the store until the returned function is called.
func (s *Statuses) Start() (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			if !s.isWatcher() || !s.poll() {
				select {
				case <-done:
					return
				case <-time.After(pullInterval):
				}
			}
			select {
			case <-done:
				return
			default:
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

// poll waits for changes and publishes the changed statuses. If it has not read any
// status yet, it first publishes all of them. It returns false if a call to the store
// failed.
func (s *Statuses) poll() bool {
	if s.seen == 0 {
		objects, err := s.store.List(encoder.StatusPrefix)
		if err != nil {
			return false
		}
		for _, o := range objects {
			if !s.publishStatus(o.Name) {
				return false
			}
			s.seen = max(s.seen, o.Version)
		}
	}
	changes, err := s.store.Watch(encoder.StatusPrefix, s.seen)
	if err != nil {
		return false
	}
	for _, c := range changes {
		if !c.Deleted && !s.publishStatus(c.Name) {
			return false
		}
		s.seen = max(s.seen, c.Version)
	}
	return true
}

func (s *Statuses) publishStatus(name string) bool {
	o, err := s.store.Get(name)
	if err != nil {
		s.log.Warn("cannot read move status", "object", name, "error", err)
		return false
	}
	key := shifter.StatusPrefix + name[len(encoder.StatusPrefix):]
	s.gossip.Publish(key, o.Version, o.Value, true, 0)
	s.apply(key, o.Version, o.Value)
	return true
}
