package journaler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

// fakeStore is a store with conditional writes, which may be delayed, lost or
// unanswered.
type fakeStore struct {
	head          Head
	version       uint64
	segments      map[string][]SealedKey
	unconditional bool // accepts every write, like a store without conditional writes
}

func (s *fakeStore) applyWrite(w WriteHead) WriteResult {
	if s.version != w.Version && !s.unconditional {
		return WriteConflict
	}
	s.version++
	s.head = w.Head
	return WriteOK
}

// simulation drives several owners of one bucket, and the runners that use them, over
// one store with seeded faults.
type simulation struct {
	rand          *rand.Rand
	now           sequoiasill.Millis
	store         *fakeStore
	owners        []*owner
	delayedWrites []WriteHead // reach the store later, without a response
	faults        bool
	attempts      map[uint64]*attempt // by op id
	nextID        uint64
	runs          map[KeyHash]int
	refusedNonces map[uint64]bool // nonces whose caller got the verdict notRun
	ranNonces     map[uint64]bool // nonces that ran
	history       []porcupine.Operation
	t             *testing.T
}

type owner struct {
	bucket  *Bucket
	pending Action
	doneAt  sequoiasill.Millis
	lost    bool
}

// attempt is one request of a caller at a runner.
type attempt struct {
	key        KeyHash
	nonce      uint64
	startedAt  sequoiasill.Millis
	deadline   sequoiasill.Millis
	isConclude bool // a Conclude rather than a Begin
	client     int
}

func newSimulation(t *testing.T, seed uint64, owners int, opts Options) *simulation {
	w := &simulation{
		rand: rand.New(rand.NewPCG(seed, 5)), store: &fakeStore{segments: make(map[string][]SealedKey)},
		attempts: make(map[uint64]*attempt), runs: make(map[KeyHash]int), refusedNonces: make(map[uint64]bool),
		ranNonces: make(map[uint64]bool), faults: true, t: t,
	}
	for range owners {
		w.owners = append(w.owners, &owner{bucket: New(opts)})
	}
	return w
}

func (w *simulation) chance(perCent int) bool { return w.faults && w.rand.IntN(100) < perCent }

// step passes an event to an owner and performs the resulting actions.
func (w *simulation) step(o *owner, ev Event) {
	for _, a := range o.bucket.Step(w.now, ev) {
		switch a := a.(type) {
		case Answer:
			w.handleAnswer(o, a)
		case WriteHead:
			o.pending, o.doneAt, o.lost = a, w.now+1+sequoiasill.Millis(w.rand.IntN(8)), w.chance(20)
		default:
			o.pending, o.doneAt, o.lost = a, w.now+1+sequoiasill.Millis(w.rand.IntN(4)), w.chance(10)
		}
	}
}

// completeAction completes the store operation of an owner.
func (w *simulation) completeAction(o *owner) {
	a, lost := o.pending, o.lost
	o.pending = nil
	switch a := a.(type) {
	case ReadHead:
		w.step(o, HeadRead{Head: w.store.head, Version: w.store.version, Failed: lost})
	case ReadSegment:
		keys, ok := w.store.segments[a.Name]
		w.step(o, SegmentRead{Name: a.Name, Keys: keys, Failed: lost || !ok})
	case WriteSegment:
		w.store.segments[a.Name] = a.Keys
		w.step(o, WriteDone{Result: pick(lost, WriteUnknown, WriteOK)})
	case WriteHead:
		if !lost {
			r := w.store.applyWrite(a)
			w.step(o, WriteDone{Version: w.store.version, Result: r})
			return
		}
		switch w.rand.IntN(3) {
		case 0: // takes effect, the response is lost
			w.store.applyWrite(a)
		case 1: // delayed; takes effect if its version still matches then
			w.delayedWrites = append(w.delayedWrites, a)
		}
		w.step(o, WriteDone{Result: WriteUnknown})
	}
}

func pick[T any](cond bool, yes, no T) T {
	if cond {
		return yes
	}
	return no
}

// handleAnswer handles a decision as a runner does.
func (w *simulation) handleAnswer(o *owner, a Answer) {
	c, ok := w.attempts[a.ID]
	if !ok {
		return
	}
	delete(w.attempts, a.ID)
	if c.isConclude {
		return
	}
	ran := false
	switch a.Decision {
	case Granted:
		if w.refusedNonces[c.nonce] {
			return
		}
		w.runs[c.key]++
		w.ranNonces[c.nonce] = true
		ran = true
		w.submit(o, &attempt{key: c.key, nonce: c.nonce, isConclude: true}, Conclude{
			Key: c.key, Nonce: c.nonce, State: Done, Outcome: Outcome{Verdict: sequoiasill.Ran, Status: 200},
		})
	case Unavailable:
		w.refusedNonces[c.nonce] = true
	}
	w.history = append(w.history, porcupine.Operation{
		ClientId: c.client, Input: c.key, Call: int64(c.startedAt)*2 + 1, Output: observation{ran: ran, decision: a.Decision}, Return: int64(w.now)*2 + 2,
	})
}

func (w *simulation) submit(o *owner, c *attempt, ev Event) {
	w.nextID++
	w.attempts[w.nextID] = c
	switch e := ev.(type) {
	case Begin:
		e.ID = w.nextID
		ev = e
	case Conclude:
		e.ID = w.nextID
		ev = e
	}
	w.step(o, ev)
}

// begin submits a request with the key to a random owner.
func (w *simulation) begin(key KeyHash) {
	c := &attempt{
		key: key, nonce: w.rand.Uint64() | 1, startedAt: w.now, client: int(w.nextID),
		deadline: w.now + 20 + sequoiasill.Millis(w.rand.IntN(400)),
	}
	w.submit(w.owners[w.rand.IntN(len(w.owners))], c, Begin{Key: key, Digest: 1, Nonce: c.nonce, Deadline: c.deadline})
}

// advance moves the clock forward.
func (w *simulation) advance(span sequoiasill.Millis) {
	for range span {
		w.now++
		for _, o := range w.owners {
			if o.pending != nil && w.now >= o.doneAt {
				w.completeAction(o)
			}
			if w.now%5 == 0 {
				w.step(o, Tick{})
			}
		}
		if len(w.delayedWrites) > 0 && w.rand.IntN(30) == 0 {
			w.store.applyWrite(w.delayedWrites[0])
			w.delayedWrites = w.delayedWrites[1:]
		}
	}
}

// restart replaces an owner that crashed and lost its state. Its pending operations
// are never answered: their callers time out with the verdict notRun, and their runners
// close the attempts.
func (w *simulation) restart(i int, opts Options) {
	if a, ok := w.owners[i].pending.(WriteHead); ok && w.rand.IntN(2) == 0 {
		w.delayedWrites = append(w.delayedWrites, a)
	}
	w.owners[i] = &owner{bucket: New(opts)}
}

func keyOf(i int) KeyHash { return HashKey("mall", fmt.Sprint(i)) }

// seeds is the number of seeded runs of each property.
const seeds = 300

func TestAtMostOnce(t *testing.T) {
	opts := DefaultOptions()
	opts.MaxHeadEntries, opts.BodyRetention, opts.IntentRetention, opts.MaxSegmentKeys = 8, 300, 2000, 16
	tests := map[string]struct {
		owners, keys, requests int
		restarts               bool
	}{
		"one owner":               {owners: 1, keys: 4, requests: 60},
		"two owners, one key":     {owners: 2, keys: 1, requests: 60},
		"three owners, many keys": {owners: 3, keys: 40, requests: 200},
		"owners crash":            {owners: 3, keys: 5, requests: 100, restarts: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				w := newSimulation(t, seed, tc.owners, opts)
				for range tc.requests {
					w.begin(keyOf(w.rand.IntN(tc.keys)))
					w.advance(sequoiasill.Millis(w.rand.IntN(40)))
					if tc.restarts && w.rand.IntN(25) == 0 {
						w.restart(w.rand.IntN(tc.owners), opts)
					}
				}
				w.faults = false
				w.advance(3000)
				w.check(seed, tc.restarts)
			}
		})
	}
}

// check verifies the invariants at the end of a run.
func (w *simulation) check(seed uint64, restarts bool) {
	w.t.Helper()
	for key, n := range w.runs {
		if n > 1 {
			w.t.Errorf("seed %d: key %x ran %d times", seed, key[:4], n)
		}
	}
	for nonce := range w.ranNonces {
		if w.refusedNonces[nonce] {
			w.t.Errorf("seed %d: an attempt ran although it got the verdict notRun", seed)
		}
	}
	if !restarts && len(w.attempts) > 0 {
		w.t.Errorf("seed %d: %d calls were never answered", seed, len(w.attempts))
	}
	if !porcupine.CheckOperations(onceModel, w.history) {
		w.t.Errorf("seed %d: the history violates the model that grants each key once", seed)
	}
}

// observation is the result of a Begin as its caller sees it.
type observation struct {
	ran      bool
	decision Decision
}

// onceModel is the sequential specification: a request runs only if none with its key
// ran before, and Repeat is returned only after a run.
var onceModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[KeyHash][]porcupine.Operation)
		for _, op := range history {
			k := op.Input.(KeyHash)
			byKey[k] = append(byKey[k], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		ran, o := state.(bool), output.(observation)
		switch {
		case o.ran:
			return !ran, true
		case o.decision == Repeat:
			return ran, ran
		}
		return true, ran
	},
}

// TestCheckDetectsUnconditionalWrites checks that the simulation detects repeated runs if
// writes to the store are unconditional.
func TestCheckDetectsUnconditionalWrites(t *testing.T) {
	found := 0
	for seed := range uint64(50) {
		w := newSimulation(t, seed, 2, DefaultOptions())
		w.store.unconditional = true
		for range 60 {
			w.begin(keyOf(0))
			w.advance(sequoiasill.Millis(w.rand.IntN(40)))
		}
		if w.runs[keyOf(0)] > 1 {
			found++
		}
	}
	if found == 0 {
		t.Error("no key ran twice in 50 seeds with unconditional writes")
	}
}

func TestDecisions(t *testing.T) {
	writer := Writer{Entry: "entry-1", Session: 9}
	intent := Entry{Key: keyOf(1), Digest: 1, Writer: writer, Nonce: 5, State: Intent}
	done := intent.WithState(Done, Outcome{Verdict: sequoiasill.Ran, Status: 200, Body: []byte("x")})
	tests := map[string]struct {
		entries []Entry
		begin   Begin
		want    Answer
	}{
		"another attempt is running": {entries: []Entry{intent}, begin: Begin{Key: keyOf(1), Digest: 1, Nonce: 6}, want: Answer{Decision: Running, Entry: intent}},
		"same attempt again":         {entries: []Entry{intent}, begin: Begin{Key: keyOf(1), Digest: 1, Nonce: 5}, want: Answer{Decision: Granted, Entry: intent}},
		"ran before":                 {entries: []Entry{done}, begin: Begin{Key: keyOf(1), Digest: 1, Nonce: 6}, want: Answer{Decision: Repeat, Entry: done}},
		"another body":               {entries: []Entry{done}, begin: Begin{Key: keyOf(1), Digest: 2, Nonce: 6}, want: Answer{Decision: Mismatch}},
		"voided by the same attempt": {
			entries: []Entry{intent.WithState(Void, Outcome{})}, begin: Begin{Key: keyOf(1), Digest: 1, Nonce: 5}, want: Answer{Decision: Unavailable},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := New(DefaultOptions())
			tc.begin.Deadline = sequoiasill.Minute
			if diff := cmp.Diff([]Action{ReadHead{}}, b.Step(10, tc.begin)); diff != "" {
				t.Fatalf("first actions (-want +got):\n%s", diff)
			}
			got := b.Step(11, HeadRead{Head: Head{Entries: tc.entries}, Version: 3})
			if diff := cmp.Diff([]Action{tc.want}, got); diff != "" {
				t.Errorf("actions (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSealedKeysAreRemembered checks that keys still run only once after they were moved
// from the head to segments.
func TestSealedKeysAreRemembered(t *testing.T) {
	const keys = 500
	opts := DefaultOptions()
	opts.MaxHeadEntries, opts.BodyRetention, opts.MaxSegmentKeys = 20, 100, 200
	w := newSimulation(t, 3, 2, opts)
	w.faults = false
	for i := range keys {
		w.begin(keyOf(i))
		w.advance(30)
	}
	for i := range keys {
		w.begin(keyOf(i))
		w.advance(30)
	}
	for i := range keys {
		if w.runs[keyOf(i)] != 1 {
			t.Errorf("key %d ran %d times", i, w.runs[keyOf(i)])
		}
	}
	if n := len(w.store.head.Entries); n > opts.MaxHeadEntries {
		t.Errorf("the head holds %d entries, more than %d", n, opts.MaxHeadEntries)
	}
	if len(w.store.head.Sealed) == 0 {
		t.Error("no segment was sealed")
	}
}
