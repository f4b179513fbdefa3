// Package holder keeps a lease in the platform's store. It drives the decisions
// of leaser.
package holder

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/config/encoder"
	"sequoiasill.dev/sequoiasill/decide/leaser"
)

// ErrConflict is what a write of an object yields that has another version. Any
// other error means that the write may have taken effect or may do so later.
const ErrConflict = errors.ConstError("lease has another version")

// Store keeps lease objects.
type Store interface {
	// Read returns a lease object and its version, which is 0 where there is none.
	Read(name string) (value []byte, version uint64, err error)
	// Write writes an object that still has the version and returns the new one.
	Write(name string, value []byte, version uint64) (uint64, error)
}

// tickEvery is the interval at which the lease looks at the time.
const tickEvery = 100 * time.Millisecond

// Holder competes for one lease. It is safe for concurrent use.
type Holder struct {
	store Store
	name  string // of the object
	clock sequoiasill.Clock
	log   hclog.Logger
	stop  chan bool // whether to give the lease up
	once  sync.Once
	ended chan struct{}

	mu    sync.Mutex
	lease *leaser.Lease
}

// New competes for the lease with the name until Close. Self must differ at each
// start of the process.
func New(store Store, name, self string, opts leaser.Options, clock sequoiasill.Clock, log hclog.Logger) *Holder {
	h := &Holder{
		store: store, name: encoder.LeasePrefix + name, clock: clock, log: log.Named("lease").With("lease", name),
		stop: make(chan bool, 1), ended: make(chan struct{}), lease: leaser.New(self, opts),
	}
	go func() {
		defer close(h.ended)
		tick := time.NewTicker(tickEvery)
		defer tick.Stop()
		held := uint64(0)
		for {
			h.step(leaser.Tick{})
			if epoch, ok := h.MayAct(); ok && epoch != held {
				held = epoch
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

// Close gives the lease up, so that another can take it at once.
func (h *Holder) Close() {
	h.once.Do(func() { h.stop <- true })
	<-h.ended
}

// Abandon stops competing and leaves a lease that is held to lapse, so that no
// other holder acts soon after this one.
func (h *Holder) Abandon() {
	h.once.Do(func() { h.stop <- false })
	<-h.ended
}

// MayAct reports whether this process may act under the lease now, and the epoch.
// It must be asked before each act.
func (h *Holder) MayAct() (epoch uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.MayAct(h.clock.Now())
}

// Left returns how long an act under an epoch may still take before it must be broken
// off, 0 where the lease is no longer held under it.
func (h *Holder) Left(epoch uint64) sequoiasill.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if held, _ := h.lease.MayAct(now); held != epoch {
		return 0
	}
	return h.lease.Left(now)
}

// step feeds an event and carries out what follows until nothing is due.
func (h *Holder) step(ev leaser.Event) {
	for ev != nil {
		h.mu.Lock()
		a := h.lease.Step(h.clock.Now(), ev)
		h.mu.Unlock()
		ev = h.carryOut(a)
	}
}

func (h *Holder) carryOut(a leaser.Action) leaser.Event {
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
		return leaser.Read{}
	}
	var l encoder.Lease
	if err == nil {
		l, err = encoder.DecodeLease(value)
	}
	if err != nil {
		h.log.Debug("lease not read", "error", err)
		return leaser.Read{Failed: true}
	}
	return leaser.Read{Record: leaser.Record(l), Version: version}
}

func (h *Holder) write(a leaser.WriteRecord) leaser.Event {
	value, err := encoder.EncodeLease(encoder.Lease(a.Record))
	if err != nil {
		return leaser.Written{Result: leaser.Unknown}
	}
	version, err := h.store.Write(h.name, value, a.Version)
	switch {
	case err == nil:
		return leaser.Written{Version: version, Result: leaser.OK}
	case errors.Is(err, ErrConflict):
		return leaser.Written{Result: leaser.Conflict}
	}
	h.log.Debug("lease's write unknown", "error", err)
	return leaser.Written{Result: leaser.Unknown}
}
