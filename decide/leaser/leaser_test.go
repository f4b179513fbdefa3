package leaser

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"sequoiasill.dev/sequoiasill"
)

// node is a process that competes for the lease.
type node struct {
	lease       *Lease
	pending     Action
	doneAt      sequoiasill.Millis
	pausedUntil sequoiasill.Millis
}

// simulation drives nodes over one store with lost responses, outages and process
// pauses. The clock of each node has a different offset.
type simulation struct {
	rand          *rand.Rand
	now           sequoiasill.Millis
	record        Record
	version       uint64
	delayedWrites []WriteRecord
	nodes         []*node
	outage        bool
}

func (w *simulation) clock(i int) sequoiasill.Millis { return w.now + sequoiasill.Millis(1000*(i+1)) }

func (w *simulation) applyWrite(a WriteRecord) Result {
	if a.Version != w.version {
		return Conflict
	}
	w.version++
	w.record = a.Record
	return OK
}

func (w *simulation) complete(n *node) Event {
	a := n.pending
	n.pending = nil
	lost := w.outage || w.rand.IntN(100) < 15
	switch a := a.(type) {
	case ReadRecord:
		return ReadDone{Record: w.record, Version: w.version, Failed: lost}
	case WriteRecord:
		if !lost {
			return WriteDone{Result: w.applyWrite(a), Version: w.version}
		}
		switch w.rand.IntN(3) {
		case 0:
			w.applyWrite(a)
		case 1:
			w.delayedWrites = append(w.delayedWrites, a)
		}
		return WriteDone{Result: Unknown}
	}
	return Tick{}
}

// step advances one node unless it is paused.
func (w *simulation) step(i int) {
	n := w.nodes[i]
	if n.pausedUntil > w.now {
		return
	}
	ev := Event(Tick{})
	if n.pending != nil {
		if n.doneAt > w.now {
			return
		}
		ev = w.complete(n)
	}
	if a := n.lease.Step(w.clock(i), ev); a != nil {
		n.pending = a
		n.doneAt = w.now + sequoiasill.Millis(w.rand.IntN(200))
	}
	if w.rand.IntN(3000) == 0 {
		n.pausedUntil = w.now + sequoiasill.Millis(w.rand.IntN(15_000))
	}
}

// TestOneHolder checks that no two nodes act at the same time and that epochs never
// decrease, over seeded runs with pauses and lost responses.
func TestOneHolder(t *testing.T) {
	const (
		seeds = 200
		nodes = 3
		span  = 3 * sequoiasill.Minute
	)
	acts := 0
	for seed := range uint64(seeds) {
		w := &simulation{rand: rand.New(rand.NewPCG(seed, 3))}
		for i := range nodes {
			w.nodes = append(w.nodes, &node{lease: New(string(rune('a'+i)), DefaultOptions())})
		}
		var maxEpoch uint64
		for w.now = 1; w.now < span; w.now += 10 {
			w.outage = w.now/20_000%4 == 3
			if len(w.delayedWrites) > 0 && w.rand.IntN(50) == 0 {
				w.applyWrite(w.delayedWrites[0])
				w.delayedWrites = w.delayedWrites[1:]
			}
			holders := 0
			for i := range w.nodes {
				w.step(i)
				if w.nodes[i].pausedUntil > w.now {
					continue
				}
				if epoch, ok := w.nodes[i].lease.MayAct(w.clock(i)); ok {
					holders++
					acts++
					if epoch < maxEpoch {
						t.Fatalf("seed %d at %s: epoch %d acts after %d", seed, w.now, epoch, maxEpoch)
					}
					maxEpoch = epoch
				}
			}
			if holders > 1 {
				t.Fatalf("seed %d at %s: %d nodes act at once", seed, w.now, holders)
			}
		}
	}
	if want := seeds * int(span) / 10 / 3; acts < want {
		t.Errorf("the lease allowed %d actions, want at least %d", acts, want)
	}
}

// call is a call in flight to a platform that does not check epochs.
type call struct {
	node      int
	epoch     uint64
	arrivesAt sequoiasill.Millis
}

// sendCalls adds calls of the nodes that may act. It removes the calls of paused nodes,
// which cancel them when they resume.
func (w *simulation) sendCalls(calls []call, options Options, maxDuration func(remaining sequoiasill.Millis) sequoiasill.Millis) []call {
	for i, n := range w.nodes {
		if n.pausedUntil > w.now {
			calls = slices.DeleteFunc(calls, func(c call) bool { return c.node == i })
			continue
		}
		if epoch, ok := n.lease.MayAct(w.clock(i)); ok && w.rand.IntN(20) == 0 {
			arrivesAt := w.now + sequoiasill.Millis(w.rand.Int64N(int64(maxDuration(n.lease.Remaining(w.clock(i)))+1))) +
				sequoiasill.Millis(w.rand.Int64N(int64(options.MaxMessageDelay)))
			calls = append(calls, call{node: i, epoch: epoch, arrivesAt: arrivesAt})
		}
	}
	return calls
}

// arrivals records, for each consecutive run of calls from one holder, the node and the
// time of the last call.
type arrivals struct {
	maxEpoch     uint64
	nodes        []int
	lastArrivals []sequoiasill.Millis
}

// observe records the arrival of a call and describes the violation that it causes, or
// returns "".
func (t *arrivals) observe(c call, bound sequoiasill.Millis) string {
	if c.epoch < t.maxEpoch {
		return fmt.Sprintf("epoch %d arrives after %d", c.epoch, t.maxEpoch)
	}
	t.maxEpoch = c.epoch
	n := len(t.nodes)
	if n > 0 && t.nodes[n-1] == c.node {
		t.lastArrivals[n-1] = c.arrivesAt
		return ""
	}
	t.nodes, t.lastArrivals = append(t.nodes, c.node), append(t.lastArrivals, c.arrivesAt)
	if n >= 2 && t.nodes[n-2] == c.node && c.arrivesAt-t.lastArrivals[n-2] < bound {
		return fmt.Sprintf("holder %d interleaves with another within %s", c.node, c.arrivesAt-t.lastArrivals[n-2])
	}
	return ""
}

// simulateCalls runs nodes that make calls and returns the violations and the number of
// calls that arrived. MaxDuration returns the limit of a call's duration for the
// remaining time of the lease.
func simulateCalls(seeds uint64, maxDuration func(remaining sequoiasill.Millis) sequoiasill.Millis) (violations []string, arrived int) {
	const bound = 3 * sequoiasill.Second
	options := Options{Length: bound + 200, Margin: 800, MaxMessageDelay: 200, PollInterval: 2 * sequoiasill.Second}
	for seed := range seeds {
		w := &simulation{rand: rand.New(rand.NewPCG(seed, 5))}
		for i := range 3 {
			w.nodes = append(w.nodes, &node{lease: New(string(rune('a'+i)), options)})
		}
		var calls []call
		var seen arrivals
		for w.now = 1; w.now < 2*sequoiasill.Minute; w.now += 10 {
			w.outage = w.now/10_000%3 == 2
			if len(w.delayedWrites) > 0 && w.rand.IntN(50) == 0 {
				w.applyWrite(w.delayedWrites[0])
				w.delayedWrites = w.delayedWrites[1:]
			}
			for i := range w.nodes {
				w.step(i)
			}
			calls = w.sendCalls(calls, options, maxDuration)
			calls = slices.DeleteFunc(calls, func(c call) bool {
				if c.arrivesAt > w.now {
					return false
				}
				arrived++
				if b := seen.observe(c, bound); b != "" {
					violations = append(violations, fmt.Sprintf("seed %d at %s: %s", seed, w.now, b))
				}
				return true
			})
		}
	}
	return violations, arrived
}

// On a platform that does not check epochs, no call arrives after a call of a later
// holder, and calls of two holders do not alternate.
func TestCallsOfHoldersDoNotInterleave(t *testing.T) {
	violations, arrived := simulateCalls(200, func(remaining sequoiasill.Millis) sequoiasill.Millis { return remaining })
	for _, b := range violations[:min(len(violations), 5)] {
		t.Error(b)
	}
	// Calls are possible at least a third of the time.
	if want := 200 * int(2*sequoiasill.Minute) / 10 / 20 / 3; arrived < want {
		t.Errorf("%d calls arrived, want at least %d", arrived, want)
	}
}

// The simulation detects late calls if calls are not cancelled when the lease expires.
func TestUnboundedCallsOfHoldersInterleave(t *testing.T) {
	if violations, _ := simulateCalls(200, func(sequoiasill.Millis) sequoiasill.Millis { return 3 * sequoiasill.Second }); len(violations) == 0 {
		t.Error("no violation was detected")
	}
}

func TestReleaseIsTakenOverAtOnce(t *testing.T) {
	a, b := New("a", DefaultOptions()), New("b", DefaultOptions())
	a.Step(1, Tick{})
	got := a.Step(2, ReadDone{})
	w, ok := got.(WriteRecord)
	if !ok {
		t.Fatalf("first action is %T, want a write", got)
	}
	a.Step(3, WriteDone{Version: 1})
	if _, ok := a.MayAct(4); !ok {
		t.Fatal("the holder may not act")
	}
	w, ok = a.Step(5, Release{}).(WriteRecord)
	if !ok || w.Record.Length != 0 {
		t.Fatalf("release writes %+v", w)
	}
	b.Step(6, Tick{})
	if _, ok := b.Step(7, ReadDone{Record: w.Record, Version: 2}).(WriteRecord); !ok {
		t.Error("the successor waits although the lease was released")
	}
}

// A lease whose holder crashed is taken over as soon as the record's length has passed,
// not at the next poll after that. With the later takeover, when all processes were
// killed at once, the store became unavailable before any process could order upstreams.
func TestTakeoverAtEndOfLeaseLength(t *testing.T) {
	opts := Options{Length: 3200, Margin: 800, PollInterval: 2 * sequoiasill.Second}
	l := New("next", opts)
	dead := Record{Holder: "dead", Epoch: 4, Length: opts.Length}
	for now := sequoiasill.Millis(1000); now < 10*sequoiasill.Second; now += 100 {
		for a := l.Step(now, Tick{}); a != nil; {
			switch w := a.(type) {
			case ReadRecord:
				a = l.Step(now, ReadDone{Record: dead, Version: 9})
			case WriteRecord:
				if w.Record.Epoch != 5 {
					t.Errorf("taken over under epoch %d", w.Record.Epoch)
				}
				if held := now - 1000; held > opts.Length+100 {
					t.Errorf("taken over after %s, the length is %s", held, opts.Length)
				}
				return
			}
		}
	}
	t.Error("not taken over")
}
