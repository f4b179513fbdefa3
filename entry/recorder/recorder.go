// Package recorder stores the journal of requests in the platform's store. It
// runs one journaler.Bucket state machine for each bucket.
package recorder

import (
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/journaler"
	"sequoiasill.dev/sequoiasill/entry/meter"
	"sequoiasill.dev/sequoiasill/platform/storer"
)

// Store is the part of the object API that the journal uses.
type Store interface {
	Get(name string) (storer.Object, error)
	Put(name string, value []byte, version uint64) (uint64, error)
}

// tickInterval is the interval of ticks to buckets with pending work.
const tickInterval = 5 * time.Millisecond

// Recorder distributes the journal over buckets, each with its own lock. It is
// safe for concurrent use.
type Recorder struct {
	store   Store
	clock   sequoiasill.Clock
	meter   *meter.Meter
	log     hclog.Logger
	stop    chan struct{}
	buckets []*bucket
}

type bucket struct {
	recorder *Recorder
	name     string

	mu      sync.Mutex
	machine *journaler.Bucket
	nextID  uint64
	waiters map[uint64]chan journaler.Answer
}

// New returns a recorder and starts its ticks, which continue until Close. The
// number of buckets must be the same on every entry, as a key is mapped to its
// bucket by that number.
func New(store Store, buckets int, opts journaler.Options, clock sequoiasill.Clock, m *meter.Meter, log hclog.Logger) *Recorder {
	r := &Recorder{store: store, clock: clock, meter: m, log: log.Named("journal"), stop: make(chan struct{})}
	for i := range buckets {
		r.buckets = append(r.buckets, &bucket{
			recorder: r, name: fmt.Sprintf("journal/%04d", i), machine: journaler.New(opts),
			waiters: make(map[uint64]chan journaler.Answer),
		})
	}
	go func() {
		tick := time.NewTicker(tickInterval)
		defer tick.Stop()
		for {
			select {
			case <-r.stop:
				return
			case <-tick.C:
				for _, b := range r.buckets {
					b.tick()
				}
			}
		}
	}()
	return r
}

// Close stops the recorder. Pending calls to Begin return the decision
// Unavailable; pending calls to Conclude return although it is unknown whether the
// outcome is stored.
func (r *Recorder) Close() { close(r.stop) }

// Buckets returns the number of buckets.
func (r *Recorder) Buckets() int { return len(r.buckets) }

// Begin records the intent to run a request and waits for the decision.
func (r *Recorder) Begin(ev journaler.Begin) journaler.Answer {
	return r.buckets[ev.Key.Bucket(len(r.buckets))].submit(func(id uint64) journaler.Event {
		ev.ID = id
		return ev
	})
}

// Conclude records the outcome of an intent and waits until it is stored or the
// recorder is closed.
func (r *Recorder) Conclude(ev journaler.Conclude) {
	r.buckets[ev.Key.Bucket(len(r.buckets))].submit(func(id uint64) journaler.Event {
		ev.ID = id
		return ev
	})
}

func (b *bucket) submit(event func(id uint64) journaler.Event) journaler.Answer {
	answer := make(chan journaler.Answer, 1)
	b.mu.Lock()
	b.nextID++
	b.waiters[b.nextID] = answer
	b.step(event(b.nextID))
	b.mu.Unlock()
	select {
	case result := <-answer:
		return result
	case <-b.recorder.stop:
		return journaler.Answer{Decision: journaler.Unavailable}
	}
}

func (b *bucket) tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.machine.Idle() {
		b.step(journaler.Tick{})
	}
}

// step passes an event to the state machine and starts the resulting actions. The
// caller must hold b.mu.
func (b *bucket) step(ev journaler.Event) {
	for _, a := range b.machine.Step(b.recorder.clock.Now(), ev) {
		if answer, ok := a.(journaler.Answer); ok {
			if waiter, found := b.waiters[answer.ID]; found {
				delete(b.waiters, answer.ID)
				waiter <- answer
			}
			continue
		}
		go func() {
			result := b.execute(a)
			b.mu.Lock()
			defer b.mu.Unlock()
			b.step(result)
		}()
	}
}

// execute runs an action against the store and returns the resulting event.
func (b *bucket) execute(a journaler.Action) journaler.Event {
	switch a := a.(type) {
	case journaler.ReadHead:
		return b.readHead()
	case journaler.ReadSegment:
		return b.readSegment(a.Name)
	case journaler.WriteSegment:
		value, err := EncodeSegment(a.Keys)
		return b.put(b.segmentName(a.Name), value, 0, err)
	case journaler.WriteHead:
		b.recorder.meter.StoreWrites.Add(1)
		value, err := EncodeHead(a.Head)
		return b.put(b.name, value, a.Version, err)
	}
	return journaler.Tick{}
}

func (b *bucket) segmentName(name string) string { return b.name + "/" + name }

func (b *bucket) readHead() journaler.Event {
	o, err := b.recorder.store.Get(b.name)
	if errors.Is(err, storer.ErrNotFound) {
		return journaler.HeadRead{}
	}
	var h journaler.Head
	if err == nil {
		h, err = DecodeHead(o.Value)
	}
	if err != nil {
		b.recorder.log.Warn("cannot read journal head", "bucket", b.name, "error", err)
		return journaler.HeadRead{Failed: true}
	}
	return journaler.HeadRead{Head: h, Version: o.Version}
}

func (b *bucket) readSegment(name string) journaler.Event {
	o, err := b.recorder.store.Get(b.segmentName(name))
	var keys []journaler.SealedKey
	if err == nil {
		keys, err = DecodeSegment(o.Value)
	}
	if err != nil {
		b.recorder.log.Warn("cannot read journal segment", "bucket", b.name, "segment", name, "error", err)
		return journaler.SegmentRead{Name: name, Failed: true}
	}
	return journaler.SegmentRead{Name: name, Keys: keys}
}

func (b *bucket) put(name string, value []byte, version uint64, err error) journaler.Event {
	if err == nil {
		version, err = b.recorder.store.Put(name, value, version)
	}
	switch {
	case err == nil:
		return journaler.WriteDone{Version: version, Result: journaler.WriteOK}
	case errors.Is(err, storer.ErrConflict):
		return journaler.WriteDone{Result: journaler.WriteConflict}
	case errors.Is(err, storer.ErrRefused):
		return journaler.WriteDone{Result: journaler.WriteRefused}
	}
	b.recorder.log.Warn("outcome of journal write unknown", "object", name, "error", err)
	return journaler.WriteDone{Result: journaler.WriteUnknown}
}
