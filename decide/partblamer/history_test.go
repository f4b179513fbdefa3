package partblamer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/partblamer"
)

// The bounds on a part that crashes upstreams: after crash number knownAt and a further
// contactTime, lateArrivals calls with it may arrive from entries that were undisturbed for
// contactTime.
const (
	knownAt      = 5
	lateArrivals = 3
	contactTime  = 3 * second
)

const (
	collectors     = 3
	tickTime       = 50 * sequoiasill.Millis(1)
	firstEventTime = 150 * sequoiasill.Millis(1)
	rebootTime     = 3 * second
	playTime       = 60 * second
	// lossPercent is the share of messages that are lost. Gossip that is lost comes later.
	lossPercent      = 3
	antiEntropyTime  = 3 * second
	maxDirectDelay   = 30
	maxGossipDelay   = 900 // with hundreds of entries
	soundParts       = 40
	soundCallsPerSec = 120
)

// history plays entries, upstreams and calls on a virtual clock.
type history struct {
	now        sequoiasill.Millis
	rand       *rand.Rand
	queue      queue
	entries    []*simEntry
	upstreams  []*simUpstream
	requests   uint64
	crashes    int // under the deadly part
	knownSince sequoiasill.Millis
	late       int
	violations []string
}

type simEntry struct {
	*partblamer.Blamer

	number      int
	disturbedAt sequoiasill.Millis
}

type simUpstream struct {
	incarnation uint64
	up          bool
	waiting     map[uint64]simCall // before their first event, by request
}

type simCall struct {
	entry *simEntry
	parts []partblamer.Part
}

type event struct {
	due  sequoiasill.Millis
	seq  uint64
	call func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].due < q[j].due || q[i].due == q[j].due && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newHistory(seed uint64, entries, upstreams int) *history {
	h := &history{now: sequoiasill.Hour, rand: rand.New(rand.NewPCG(seed, 1))}
	for i := range entries {
		e := &simEntry{Blamer: partblamer.New(partblamer.DefaultOptions()), number: i}
		h.entries = append(h.entries, e)
		h.every(tickTime, func() { h.exchange(e) })
	}
	for range upstreams {
		h.upstreams = append(h.upstreams, &simUpstream{incarnation: h.rand.Uint64(), up: true, waiting: make(map[uint64]simCall)})
	}
	return h
}

func (h *history) after(d sequoiasill.Millis, f func()) {
	h.requests++
	heap.Push(&h.queue, event{h.now + d, h.requests, f})
}

func (h *history) every(d sequoiasill.Millis, f func()) {
	h.after(sequoiasill.Millis(h.rand.Int64N(int64(d)+1)), func() { f(); h.every(d, f) })
}

func (h *history) draw(n int) sequoiasill.Millis { return sequoiasill.Millis(h.rand.IntN(n)) }

func (h *history) lost() bool { return h.rand.IntN(100) < lossPercent }

// exchange plays the exchange of an entry with the others.
func (h *history) exchange(e *simEntry) {
	if e.Idle() {
		return
	}
	rank := -1
	if e.number < collectors {
		rank = e.number
		e.Decide(h.now)
	}
	e.SetProbing(rank == 0)
	if r, due := e.Report(h.now); due {
		for _, c := range h.entries[:min(collectors, len(h.entries))] {
			if c != e && !h.lost() {
				h.after(h.draw(maxDirectDelay), func() { c.Merge(fmt.Sprint(e.number), r) })
			}
		}
	}
	for _, change := range e.TakeChanges() {
		h.gossip(e, change)
	}
}

func (h *history) gossip(from *simEntry, c partblamer.Change) {
	maxDelay := min(100+4*len(h.entries), maxGossipDelay)
	for _, e := range h.entries {
		if e == from {
			continue
		}
		delay := h.draw(maxDelay)
		if h.lost() {
			delay += antiEntropyTime
		}
		h.after(delay, func() {
			switch {
			case c.Signature == nil:
				e.SetSuspects(h.now, fmt.Sprint(from.number), c.Suspects)
			case c.Quarantined:
				e.Quarantine(c.Signature, c.Since, c.Until)
			default:
				e.Lift(h.now, c.Signature)
			}
		})
	}
}

// call plays a call with the given parts at a random entry and upstream.
func (h *history) call(parts ...partblamer.Part) {
	e, u := h.entries[h.rand.IntN(len(h.entries))], h.upstreams[h.rand.IntN(len(h.upstreams))]
	h.requests++
	request, incarnation := h.requests, u.incarnation
	slices.Sort(parts)
	if e.Screen(h.now, parts).Refused || !u.up {
		return
	}
	isDeadly := slices.Contains(parts, deadly)
	if isDeadly && h.knownSince > 0 && h.now > h.knownSince+contactTime && h.now > e.disturbedAt+contactTime {
		if h.late++; h.late == lateArrivals+1 {
			h.violations = append(h.violations, fmt.Sprintf("%d late arrivals at %s", h.late, h.now-sequoiasill.Hour))
		}
	}
	u.waiting[request] = simCall{e, parts}
	h.after(firstEventTime/2+h.draw(int(firstEventTime)), func() {
		switch _, waiting := u.waiting[request]; {
		case !waiting || u.incarnation != incarnation:
		case isDeadly:
			h.crashes++
			if h.crashes == knownAt {
				h.knownSince = h.now
			}
			h.crash(u)
		default:
			delete(u.waiting, request)
			e.RecordServed(h.now, parts)
		}
	})
}

// crash ends an upstream and the calls that wait there, and starts it again later.
func (h *history) crash(u *simUpstream) {
	if !u.up {
		return
	}
	for request, c := range u.waiting {
		crash := partblamer.Crash{Request: request, Upstream: u.incarnation, Parts: c.parts}
		h.after(1+h.draw(10), func() {
			crash.At = h.now
			c.entry.RecordCrash(h.now, crash)
		})
	}
	u.up = false
	clear(u.waiting)
	h.after(rebootTime, func() { u.up, u.incarnation = true, h.rand.Uint64() })
}

// restart starts an entry anew. It receives the quarantines that the others know.
func (h *history) restart(e *simEntry) {
	e.Blamer, e.disturbedAt = partblamer.New(partblamer.DefaultOptions()), h.now
	h.after(second, func() {
		for _, from := range h.entries {
			for _, s := range from.Quarantined(h.now) {
				e.Quarantine(s, h.now, h.now+sequoiasill.Minute)
			}
		}
		e.disturbedAt = h.now
	})
}

// run plays the queue and checks that only the deadly part is ever quarantined.
func (h *history) run() {
	for end := h.now + playTime; len(h.queue) > 0 && h.now < end; {
		ev := heap.Pop(&h.queue).(event)
		h.now = ev.due
		ev.call()
	}
	for _, e := range h.entries {
		for _, s := range e.Quarantined(h.now) {
			if !slices.Contains(s, deadly) {
				h.violations = append(h.violations, fmt.Sprintf("entry %d refuses the sound parts %s", e.number, s))
			}
		}
	}
}

// sound starts sound calls: all hold one of three first parts and one of many second ones, of
// which some are much rarer than others.
func (h *history) sound() {
	h.every(second/soundCallsPerSec*2, func() {
		second := partblamer.Part(100 + h.rand.IntN(1+h.rand.IntN(soundParts)))
		h.call(partblamer.Part(10+h.rand.IntN(3)), second)
	})
}

// Drawn histories of entries under calls with a part that crashes upstreams, among sound calls
// and other crashes: few calls with it arrive late, and no other part is quarantined.
func TestOnlyDeadlyPartsAreQuarantined(t *testing.T) {
	tests := map[string]struct{ entries, upstreams, seeds int }{
		"9 entries":   {9, 9, 30},
		"61 entries":  {61, 90, 5},
		"295 entries": {295, 160, 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(tc.seeds) {
				h := newHistory(seed, tc.entries, tc.upstreams)
				h.sound()
				interval := 100 + h.draw(3000)
				rarePart := partblamer.Part(100 + soundParts - 1)
				h.after(h.draw(8000), func() {
					h.every(interval, func() { h.call(10, rarePart, deadly) })
				})
				h.every(8*second, func() { h.restart(h.entries[h.rand.IntN(len(h.entries))]) })
				h.every(6*second, func() {
					for range 1 + h.rand.IntN(max(len(h.upstreams)/3, 1)) {
						h.crash(h.upstreams[h.rand.IntN(len(h.upstreams))])
					}
				})
				h.run()
				for _, v := range h.violations {
					t.Errorf("seed %d, a call each %s: %s", seed, interval, v)
				}
			}
		})
	}
}
