// Package leaseholder acquires and renews a lease in the platform's store. The decisions
// are made by leaser.
package leaseholder

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/config/encoder"
	"sequoiasill.dev/sequoiasill/decide/leaser"
)

// ErrConflict is returned for a conditional write whose version does not match. After
// any other error the write may have taken effect or may do so later.
const ErrConflict = errors.ConstError("lease version conflict")

// Store stores lease objects.
type Store interface {
	// Read returns a lease object and its version, which is 0 if there is none.
	Read(name string) (value []byte, version uint64, err error)
	// Write replaces an object if it still has the version and returns the new version.
	Write(name string, value []byte, version uint64) (uint64, error)
}

// EraStore is a Store that may come back from a copy, see sequoiasill.StoreVersion.
type EraStore interface {
	Store

	// Era returns the newest known era, 0 if the store has none.
	Era() uint64
}

// tickInterval is the interval of the lease's time checks.
const tickInterval = 100 * time.Millisecond

// Holder competes for one lease. It is safe for concurrent use.
type Holder struct {
	store Store
	name  string // name of the lease object
	clock sequoiasill.Clock
	log   hclog.Logger
	stop  chan bool // whether to release the lease

	unreadable uint64 // version of the last object that could not be decoded
	once       sync.Once
	done       chan struct{}

	mu      sync.Mutex
	lease   *leaser.Lease
	era     uint64
	wasRead bool // the lease was read in the era
}

// New returns a Holder that competes for the named lease until Close or Abandon. Self
// must differ at each start of the process.
func New(store Store, name, self string, opts leaser.Options, clock sequoiasill.Clock, log hclog.Logger) *Holder {
	h := &Holder{
		store: store, name: encoder.LeasePrefix + name, clock: clock, log: log.Named("lease").With("lease", name),
		stop: make(chan bool, 1), done: make(chan struct{}), lease: leaser.New(self, opts),
	}
	go func() {
		defer close(h.done)
		tick := time.NewTicker(tickInterval)
		defer tick.Stop()
		heldEpoch := uint64(0)
		for {
			h.step(leaser.Tick{})
			if epoch, ok := h.MayAct(); ok && epoch != heldEpoch {
				heldEpoch = epoch
				h.log.Info("lease held", "epoch", epoch)
			}
			select {
			case release := <-h.stop:
				if release {
					h.step(leaser.Release{})
				}
				return
			case <-tick.C:
			}
		}
	}()
	return h
}

// Close releases the lease, so that another process can acquire it immediately.
func (h *Holder) Close() {
	h.once.Do(func() { h.stop <- true })
	<-h.done
}

// Abandon stops competing and lets a held lease expire instead of releasing it, so that
// no other holder acts immediately after this one.
func (h *Holder) Abandon() {
	h.once.Do(func() { h.stop <- false })
	<-h.done
}

// MayAct reports whether this process may act under the lease now, and the lease epoch.
// It must be checked before each action.
func (h *Holder) MayAct() (epoch uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkEra()
	return h.lease.MayAct(h.clock.Now())
}

// checkEra ends the lease if the store is in another era than when it was read. The caller must
// hold h.mu.
func (h *Holder) checkEra() {
	s, ok := h.store.(EraStore)
	if !ok {
		return
	}
	era := s.Era()
	if era == h.era {
		return
	}
	if h.wasRead {
		h.lease.ChangeEra(h.clock.Now(), era)
	} else {
		h.lease.SetEra(era)
	}
	h.log.Info("lease starts anew in an era of the store", "before", h.era, "era", era)
	h.era = era
}

// Remaining returns the remaining time of the lease, after which an action under the epoch
// must be cancelled. It is 0 if the lease is no longer held under that epoch.
func (h *Holder) Remaining(epoch uint64) sequoiasill.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkEra()
	now := h.clock.Now()
	if heldEpoch, _ := h.lease.MayAct(now); heldEpoch != epoch {
		return 0
	}
	return h.lease.Remaining(now)
}

// step processes an event and performs the resulting actions until there are none.
func (h *Holder) step(ev leaser.Event) {
	for ev != nil {
		h.mu.Lock()
		h.checkEra()
		read, isRead := ev.(leaser.ReadDone)
		h.wasRead = h.wasRead || isRead && !read.Failed
		a := h.lease.Step(h.clock.Now(), ev)
		h.mu.Unlock()
		ev = h.perform(a)
	}
}

func (h *Holder) perform(a leaser.Action) leaser.Event {
	switch a := a.(type) {
	case leaser.ReadRecord:
		return h.read()
	case leaser.WriteRecord:
		return h.write(a)
	}
	return nil
}

func (h *Holder) read() leaser.Event {
	value, version, err := h.store.Read(h.name)
	if err == nil && version == 0 {
		return leaser.ReadDone{}
	}
	var l encoder.Lease
	if err == nil {
		l, err = encoder.DecodeLease(value)
		if err != nil && version != h.unreadable {
			h.unreadable = version
			h.log.Warn("lease cannot be decoded, nobody can take it until its object is deleted", "version", version, "error", err)
		}
	}
	if err != nil {
		h.log.Debug("failed to read lease", "error", err)
		return leaser.ReadDone{Failed: true}
	}
	return leaser.ReadDone{Record: leaser.Record(l), Version: version}
}

func (h *Holder) write(a leaser.WriteRecord) leaser.Event {
	value, err := encoder.EncodeLease(encoder.Lease(a.Record))
	if err != nil {
		return leaser.WriteDone{Result: leaser.Unknown}
	}
	version, err := h.store.Write(h.name, value, a.Version)
	switch {
	case err == nil:
		return leaser.WriteDone{Version: version, Result: leaser.OK}
	case errors.Is(err, ErrConflict):
		return leaser.WriteDone{Result: leaser.Conflict}
	}
	h.log.Debug("outcome of lease write unknown", "error", err)
	return leaser.WriteDone{Result: leaser.Unknown}
}
