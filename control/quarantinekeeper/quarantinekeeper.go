// Package quarantinekeeper keeps the quarantined parts of prompts in the store, so that they are
// not sent to upstreams again after all entries were restarted at the same time.
package quarantinekeeper

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/control/leaseholder"
	"sequoiasill.dev/sequoiasill/decide/partblamer"
)

// recordName is the name of the object with the quarantined parts.
const recordName = "quarantines"

const (
	// checkInterval is the interval at which the quarantines are compared with the stored ones.
	checkInterval = 250 * time.Millisecond
	// retryDelay is the delay after a failed call to the store.
	retryDelay = sequoiasill.Second
)

// Quarantines are the quarantines that an entry knows.
type Quarantines interface {
	Quarantined() []partblamer.Signature
	// Restore quarantines stored signatures at all entries, unless a call of this process has
	// disproved them.
	Restore(stored []partblamer.Signature)
}

// Ranker returns the position of this entry among the collectors, negative if it is not one.
type Ranker interface{ Rank() int }

// record is the encoding of the stored signatures: lists of parts in hexadecimal.
type record struct {
	Parts [][]string `json:"parts"`
}

// Keeper loads the stored quarantines on each collector and stores changes on the first one.
type Keeper struct {
	store       leaseholder.Store
	quarantines Quarantines
	ranker      Ranker
	clock       sequoiasill.Clock
	log         hclog.Logger
	stop        chan struct{}
	done        chan struct{}

	startAt sequoiasill.Millis // time of the first step, or of the next one after a failure
	loaded  bool
	era     uint64 // of the store when the record was loaded
	version uint64
	stored  []partblamer.Signature
}

// New returns a Keeper that starts after a delay, in which the other entries are discovered, and
// works until Close.
func New(store leaseholder.Store, q Quarantines, ranker Ranker, delay sequoiasill.Millis, clock sequoiasill.Clock, log hclog.Logger) *Keeper {
	k := &Keeper{
		store: store, quarantines: q, ranker: ranker, clock: clock, log: log.Named("quarantines"), startAt: clock.Now() + delay,
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
	value, version, err := k.store.Read(recordName)
	if err != nil {
		return errors.Annotate(err, "read quarantines")
	}
	k.stored = nil
	if version > 0 {
		var r record
		if err := json.Unmarshal(value, &r); err != nil {
			k.log.Warn("stored quarantines cannot be read and will be replaced", "error", err)
		}
		k.stored = decode(r)
	}
	k.loaded, k.version = true, version
	if len(k.stored) > 0 {
		k.log.Info("stored quarantines loaded", "signatures", len(k.stored), "version", version)
		k.quarantines.Restore(k.stored)
	}
	return nil
}

func (k *Keeper) save() error {
	current := k.quarantines.Quarantined()
	if slices.EqualFunc(current, k.stored, slices.Equal[partblamer.Signature]) {
		return nil
	}
	value, err := json.Marshal(encode(current))
	if err != nil {
		return errors.Annotate(err, "encode quarantines")
	}
	version, err := k.store.Write(recordName, value, k.version)
	if err != nil {
		return errors.Annotate(err, "write quarantines")
	}
	k.version, k.stored = version, current
	k.log.Info("quarantines stored", "signatures", len(current), "version", version)
	return nil
}

func encode(signatures []partblamer.Signature) record {
	r := record{Parts: [][]string{}}
	for _, s := range signatures {
		var ids []string
		for _, p := range s {
			ids = append(ids, strconv.FormatUint(uint64(p), 16))
		}
		r.Parts = append(r.Parts, ids)
	}
	return r
}

// decode returns the signatures of a record. Those that cannot be read are left out.
func decode(r record) []partblamer.Signature {
	var out []partblamer.Signature
	for _, ids := range r.Parts {
		var s partblamer.Signature
		for _, id := range ids {
			p, err := strconv.ParseUint(id, 16, 64)
			if err != nil {
				s = nil
				break
			}
			s = append(s, partblamer.Part(p))
		}
		if len(s) > 0 {
			slices.Sort(s)
			out = append(out, s)
		}
	}
	return out
}
