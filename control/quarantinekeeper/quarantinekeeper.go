// Package quarantinekeeper keeps the quarantined parts of prompts and requests in the store, so that they are
// not sent to upstreams again after all entries were restarted at the same time.
package quarantinekeeper

import (
	"bytes"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/control/leaseholder"
)

const (
	// checkInterval is the interval at which the quarantines are compared with the stored ones.
	checkInterval = 250 * time.Millisecond
	// retryDelay is the delay after a failed call to the store.
	retryDelay = sequoiasill.Second
)

// Record is the content of one object in the store.
type Record interface {
	// Name returns the name of the object.
	Name() string
	// Encode returns the current content, and whether there is nothing to store.
	Encode() (value []byte, empty bool, err error)
	// Restore takes over stored content at all entries, unless calls of this process have disproved it. It
	// returns what it took over, for the log.
	Restore(value []byte) (count int, err error)
}

// Ranker returns the position of this entry among the collectors, negative if it is not one.
type Ranker interface{ Rank() int }

// Keeper loads a stored record on each collector and stores changes on the first one.
type Keeper struct {
	store  leaseholder.Store
	record Record
	ranker Ranker
	clock  sequoiasill.Clock
	log    hclog.Logger
	stop   chan struct{}
	done   chan struct{}

	startAt sequoiasill.Millis // time of the first step, or of the next one after a failure
	loaded  bool
	era     uint64 // of the store when the record was loaded
	version uint64
	stored  []byte // nil if it is unknown
}

// New returns a Keeper that starts after a delay, in which the other entries are discovered, and
// works until Close.
func New(store leaseholder.Store, r Record, ranker Ranker, delay sequoiasill.Millis, clock sequoiasill.Clock, log hclog.Logger) *Keeper {
	k := &Keeper{
		store: store, record: r, ranker: ranker, clock: clock, log: log.Named("quarantines").With("record", r.Name()), startAt: clock.Now() + delay,
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go func() {
		defer close(k.done)
		tick := time.NewTicker(checkInterval)
		defer tick.Stop()
		for {
			select {
			case <-k.stop:
				return
			case <-tick.C:
				k.step()
			}
		}
	}()
	return k
}

// Close stops the keeper.
func (k *Keeper) Close() {
	close(k.stop)
	<-k.done
}

// step loads the stored quarantines, or stores the current ones if they changed.
func (k *Keeper) step() {
	k.checkEra()
	rank := k.ranker.Rank()
	if rank < 0 {
		// Another collector may change the record before this entry is one again.
		k.loaded = false
		return
	}
	if k.clock.Now() < k.startAt {
		return
	}
	var err error
	switch {
	case !k.loaded:
		err = k.load()
	case rank == 0:
		err = k.save()
	}
	if err != nil {
		// The outcome of a failed write is unknown.
		k.loaded, k.startAt = false, k.clock.Now()+retryDelay
		k.log.Warn("quarantines not synchronised with the store", "error", err)
	}
}

// checkEra makes the keeper load the record again if the store came back from a copy.
func (k *Keeper) checkEra() {
	if s, ok := k.store.(leaseholder.EraStore); ok && s.Era() != k.era {
		k.era, k.loaded = s.Era(), false
	}
}

func (k *Keeper) load() error {
	value, version, err := k.store.Read(k.record.Name())
	if err != nil {
		return errors.Annotate(err, "read quarantines")
	}
	k.stored = nil
	if version > 0 {
		count, err := k.record.Restore(value)
		if err != nil {
			k.log.Warn("stored quarantines cannot be read and will be replaced", "error", err)
		}
		if count > 0 {
			k.log.Info("stored quarantines loaded", "signatures", count, "version", version)
		}
		k.stored = value
	}
	k.loaded, k.version = true, version
	return nil
}

func (k *Keeper) save() error {
	value, empty, err := k.record.Encode()
	if err != nil {
		return errors.Annotate(err, "encode quarantines")
	}
	if bytes.Equal(value, k.stored) || empty && k.version == 0 {
		return nil
	}
	version, err := k.store.Write(k.record.Name(), value, k.version)
	if err != nil {
		return errors.Annotate(err, "write quarantines")
	}
	k.version, k.stored = version, value
	k.log.Info("quarantines stored", "bytes", len(value), "empty", empty, "version", version)
	return nil
}
