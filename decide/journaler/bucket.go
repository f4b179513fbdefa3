package journaler

import (
	"slices"

	"sequoiasill.dev/sequoiasill"
)

// Bucket is the state of one bucket. It is not safe for concurrent use.
type Bucket struct {
	opts Options

	headLoaded bool // version and entries are those of the head that was last read or written
	version    uint64
	entries    map[KeyHash]Entry
	sealed     []SegmentRef
	segments   map[string]segment

	pending     []*op
	inFlight    *batch
	busy        bool // a store operation is in progress
	lastWriteAt sequoiasill.Millis
	retryAt     sequoiasill.Millis
	retries     int
	actions     []Action
}

// op is a queued Begin or Conclude.
type op struct {
	id        uint64
	key       KeyHash
	nonce     uint64
	begin     *Begin
	conclude  *Conclude
	queuedAt  sequoiasill.Millis
	abandoned bool // answered Unavailable while its write was in flight
}

// batch is the write in progress.
type batch struct {
	ops            []*op
	head           Head
	segment        *WriteSegment // written before the head, nil if nothing is sealed
	segmentWritten bool
}

// New returns a bucket that reads its head when the first operation is queued.
func New(opts Options) *Bucket {
	return &Bucket{opts: opts, entries: make(map[KeyHash]Entry), segments: make(map[string]segment)}
}

// Step handles one event and returns the resulting actions, in order.
func (b *Bucket) Step(now sequoiasill.Millis, ev Event) []Action {
	b.actions = nil
	switch ev := ev.(type) {
	case Begin:
		b.pending = append(b.pending, &op{id: ev.ID, key: ev.Key, nonce: ev.Nonce, begin: &ev, queuedAt: now})
	case Conclude:
		b.enqueueConclude(now, ev)
	case HeadRead:
		b.handleHeadRead(now, ev)
	case SegmentRead:
		b.handleSegmentRead(now, ev)
	case WriteDone:
		b.handleWritten(now, ev)
	}
	b.expireBegins(now)
	b.answerDecided(now)
	b.startNextAction(now)
	return b.actions
}

// Idle reports whether no operation is queued or in progress.
func (b *Bucket) Idle() bool { return len(b.pending) == 0 && !b.busy && b.inFlight == nil }

func (b *Bucket) answer(o *op, d Decision, e Entry) {
	b.actions = append(b.actions, Answer{ID: o.id, Decision: d, Entry: e})
}

// enqueueConclude queues a Conclude. Voiding an intent that is still queued removes it
// from the queue.
func (b *Bucket) enqueueConclude(now sequoiasill.Millis, ev Conclude) {
	if ev.State == Void {
		for i, o := range b.pending {
			if o.begin != nil && o.nonce == ev.Nonce {
				b.answer(o, Unavailable, Entry{})
				b.pending = slices.Delete(b.pending, i, i+1)
				break
			}
		}
	}
	if ev.State == Void && b.inFlight != nil {
		for _, o := range b.inFlight.ops {
			if o.begin != nil && o.nonce == ev.Nonce && !o.abandoned {
				b.answer(o, Unavailable, Entry{})
				o.abandoned = true
			}
		}
	}
	b.pending = append(b.pending, &op{id: ev.ID, key: ev.Key, nonce: ev.Nonce, conclude: &ev, queuedAt: now})
}

// expireBegins answers the Begins whose deadline has passed. A Begin whose write is in
// flight is voided once the write is known to have taken effect.
func (b *Bucket) expireBegins(now sequoiasill.Millis) {
	late := func(o *op) bool { return o.begin != nil && !o.abandoned && now >= o.begin.Deadline }
	b.pending = slices.DeleteFunc(b.pending, func(o *op) bool {
		if !late(o) {
			return false
		}
		b.answer(o, Unavailable, Entry{})
		return true
	})
	if b.inFlight == nil {
		return
	}
	for _, o := range b.inFlight.ops {
		if late(o) {
			b.answer(o, Unavailable, Entry{})
			o.abandoned = true
		}
	}
}

// answerDecided answers the operations that the current entries decide without a write.
func (b *Bucket) answerDecided(sequoiasill.Millis) {
	if !b.entriesCurrent() {
		return
	}
	b.pending = slices.DeleteFunc(b.pending, func(o *op) bool {
		decision, e := b.decide(o)
		if decision == 0 {
			return false
		}
		b.answer(o, decision, e)
		return true
	})
}

// entriesCurrent reports whether the entries match the last known state of the store and
// all sealed segments have been read. The entries may be out of date while a write is in
// flight.
func (b *Bucket) entriesCurrent() bool {
	return b.headLoaded && b.inFlight == nil && b.unreadSegment() == ""
}

// decide returns the decision on an operation, or 0 if the operation needs a write.
func (b *Bucket) decide(o *op) (Decision, Entry) {
	e, found := b.entries[o.key]
	if o.conclude != nil {
		if found && e.Nonce == o.nonce && e.State == Intent {
			return 0, Entry{}
		}
		// The intent was concluded or voided before, or was never written.
		return Recorded, Entry{}
	}
	if !found {
		if v, ok := b.lookup(o.key); ok {
			return Repeat, Entry{Key: o.key, State: Done, Outcome: Outcome{Verdict: v, BodyDropped: true}}
		}
		return 0, Entry{}
	}
	switch {
	case e.Nonce == o.nonce && e.State == Intent:
		return Granted, e
	case e.Nonce == o.nonce && e.State == Void:
		return Unavailable, Entry{}
	case e.State == Void || e.State == Intent && e.Nonce == o.begin.VoidedNonce:
		return 0, Entry{}
	case e.Digest != o.begin.Digest:
		return Mismatch, Entry{}
	case e.State == Done:
		return Repeat, e
	}
	return Running, e
}

// startNextAction starts the next store operation if one is due.
func (b *Bucket) startNextAction(now sequoiasill.Millis) {
	if b.busy || now < b.retryAt {
		return
	}
	switch {
	case !b.headLoaded:
		if len(b.pending) > 0 || b.inFlight != nil {
			b.startAction(ReadHead{})
		}
	case b.unreadSegment() != "":
		b.startAction(ReadSegment{Name: b.unreadSegment()})
	case b.inFlight != nil && b.inFlight.segment != nil && !b.inFlight.segmentWritten:
		b.startAction(*b.inFlight.segment)
	case b.inFlight != nil:
		b.startAction(WriteHead{Head: b.inFlight.head, Version: b.version})
	case b.writeDue(now):
		b.inFlight = b.buildBatch(now)
		b.startNextAction(now)
	}
}

func (b *Bucket) startAction(a Action) {
	b.busy = true
	b.actions = append(b.actions, a)
}

// writeDue reports whether the queued operations should be written now.
func (b *Bucket) writeDue(now sequoiasill.Millis) bool {
	if len(b.pending) == 0 || now-b.lastWriteAt < b.opts.MinWriteInterval {
		return false
	}
	for _, o := range b.pending {
		if o.begin != nil || now-o.queuedAt >= b.opts.OutcomeLinger {
			return true
		}
	}
	return false
}

// buildBatch moves queued operations into a batch. Of several operations on the same
// key, only the first is included.
func (b *Bucket) buildBatch(now sequoiasill.Millis) *batch {
	next := make(map[KeyHash]Entry, len(b.entries)+len(b.pending))
	for k, e := range b.entries {
		next[k] = e
	}
	taken := make(map[KeyHash]bool)
	bt := &batch{}
	b.pending = slices.DeleteFunc(b.pending, func(o *op) bool {
		if taken[o.key] {
			return false
		}
		taken[o.key] = true
		next[o.key] = b.entryOf(now, o)
		bt.ops = append(bt.ops, o)
		return true
	})
	sealed := b.unexpiredSegments(now)
	bt.segment, sealed = b.seal(now, next, sealed)
	bt.head = Head{Entries: sortedEntries(next), Sealed: sealed}
	return bt
}

func (b *Bucket) entryOf(now sequoiasill.Millis, o *op) Entry {
	if o.conclude != nil {
		return b.entries[o.key].WithState(o.conclude.State, o.conclude.Outcome)
	}
	return Entry{
		Key: o.key, Digest: o.begin.Digest, Writer: o.begin.Writer, Nonce: o.nonce, At: now, State: Intent,
	}
}

// sortedEntries returns the entries sorted by time, then by key.
func sortedEntries(m map[KeyHash]Entry) []Entry {
	out := make([]Entry, 0, len(m))
	for _, e := range m {
		out = append(out, e)
	}
	slices.SortFunc(out, func(x, y Entry) int {
		if x.At != y.At {
			return int(x.At - y.At)
		}
		return slices.Compare(x.Key[:], y.Key[:])
	})
	return out
}

// handleWritten handles the result of a write.
func (b *Bucket) handleWritten(now sequoiasill.Millis, ev WriteDone) {
	b.busy = false
	if seg := b.inFlight.segment; seg != nil && !b.inFlight.segmentWritten {
		b.handleSegmentWritten(now, ev)
		return
	}
	switch ev.Result {
	case WriteOK:
		b.lastWriteAt = now
		b.retries = 0
		b.version = ev.Version
		b.applyHead(b.inFlight.head)
		b.resolveBatch(now)
	case WriteRefused:
		b.backOff(now)
	case WriteConflict:
		b.headLoaded = false
	case WriteUnknown:
		b.headLoaded = false
		b.backOff(now)
	}
}

func (b *Bucket) backOff(now sequoiasill.Millis) {
	delay := min(b.opts.InitialBackoff<<min(b.retries, 10), b.opts.MaxBackoff)
	b.retries++
	b.retryAt = now + delay
}

// applyHead replaces the entries with those of a head and drops segments that the head
// does not reference.
func (b *Bucket) applyHead(h Head) {
	clear(b.entries)
	for _, e := range h.Entries {
		b.entries[e.Key] = e
	}
	b.sealed = h.Sealed
	for name := range b.segments {
		if !slices.ContainsFunc(h.Sealed, func(r SegmentRef) bool { return r.Name == name }) {
			delete(b.segments, name)
		}
	}
}

// resolveBatch resolves the operations of the batch against the current entries.
// Operations that were not written return to the front of the queue.
func (b *Bucket) resolveBatch(now sequoiasill.Millis) {
	var requeued []*op
	for _, o := range b.inFlight.ops {
		e, found := b.entries[o.key]
		present := found && e.Nonce == o.nonce && (o.begin != nil || e.State != Intent)
		switch {
		case o.abandoned && present && e.State == Intent:
			requeued = append(requeued, &op{
				key: o.key, nonce: o.nonce, queuedAt: now,
				conclude: &Conclude{Key: o.key, Nonce: o.nonce, State: Void},
			})
		case o.abandoned:
		case present && o.conclude != nil:
			b.answer(o, Recorded, Entry{})
		case present && e.State == Intent:
			b.answer(o, Granted, e)
		default:
			requeued = append(requeued, o)
		}
	}
	b.inFlight = nil
	b.pending = append(requeued, b.pending...)
}

// handleHeadRead handles the result of a read of the head.
func (b *Bucket) handleHeadRead(now sequoiasill.Millis, ev HeadRead) {
	b.busy = false
	if ev.Failed {
		b.backOff(now)
		return
	}
	b.headLoaded = true
	b.version = ev.Version
	b.retries = 0
	b.applyHead(ev.Head)
	if b.inFlight != nil {
		b.resolveBatch(now)
	}
}
