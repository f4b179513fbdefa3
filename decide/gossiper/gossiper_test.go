package gossiper

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

// tickEvery is the interval of Tick events in tests.
const tickEvery sequoiasill.Millis = 100

// network drives gossipers on a virtual clock, with message loss and delay.
type network struct {
	now         sequoiasill.Millis
	rand        *rand.Rand
	nodes       []*Gossiper
	byAddr      map[string]int
	crashed     map[int]bool // without a restart
	pausedUntil map[int]sequoiasill.Millis
	partitioned func(from, to int) bool
	lossRate    float64
	queue       deliveries
	bytes       []int
	learned     map[string]map[int]sequoiasill.Millis // time by fact and node
	deaths      map[string]map[int]sequoiasill.Millis // time by member and node
	falseAlarms int                                   // live members declared dead
}

type delivery struct {
	at  sequoiasill.Millis
	seq int
	to  int
	msg *Message // nil for a tick
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

func newNetwork(n int, seed uint64, loss float64) *network {
	w := &network{
		rand: rand.New(rand.NewPCG(seed, 1)), byAddr: make(map[string]int), crashed: make(map[int]bool),
		pausedUntil: make(map[int]sequoiasill.Millis), partitioned: func(_, _ int) bool { return false }, lossRate: loss,
		bytes: make([]int, n), learned: make(map[string]map[int]sequoiasill.Millis),
		deaths: make(map[string]map[int]sequoiasill.Millis),
	}
	seeds := make(map[string]string)
	for i := range n {
		seeds[name(i)] = name(i) + ":1"
	}
	for i := range n {
		w.byAddr[name(i)+":1"] = i
		g := New(Member{Name: name(i), Address: name(i) + ":1", Zone: "z", Incarnation: 1}, DefaultOptions(), seed+uint64(i))
		w.nodes = append(w.nodes, g)
		w.perform(i, g.Step(0, Seeds{Addresses: seeds}))
		w.schedule(delivery{at: sequoiasill.Millis(i) % tickEvery, to: i})
	}
	return w
}

func name(i int) string { return fmt.Sprintf("entry-%03d", i) }

func (w *network) schedule(d delivery) {
	d.seq = w.rand.IntN(1 << 30)
	heap.Push(&w.queue, d)
}

func (w *network) perform(from int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			to, ok := w.byAddr[a.To]
			w.bytes[from] += w.nodes[from].wireSize(a.Message)
			if ok && !w.partitioned(from, to) && w.rand.Float64() >= w.lossRate {
				m := a.Message
				w.schedule(delivery{at: w.now + 1 + sequoiasill.Millis(w.rand.IntN(4)), to: to, msg: &m})
			}
		case FactReceived:
			record(w.learned, a.Fact.Key, from, w.now)
		case MemberChanged:
			if a.Member.State == Dead {
				record(w.deaths, a.Member.Name, from, w.now)
				if !w.crashed[w.byAddr[a.Member.Address]] {
					w.falseAlarms++
				}
			}
		}
	}
}

func record(m map[string]map[int]sequoiasill.Millis, key string, node int, at sequoiasill.Millis) {
	if m[key] == nil {
		m[key] = make(map[int]sequoiasill.Millis)
	}
	if _, ok := m[key][node]; !ok {
		m[key][node] = at
	}
}

// wireSize estimates the encoded size as addUpdates does.
func (g *Gossiper) wireSize(m Message) int {
	n := memberBytes + len(g.self.Name) + len(g.self.Address)
	for _, x := range m.Members {
		n += memberBytes + len(x.Name) + len(x.Address) + len(x.Zone)
	}
	for _, f := range m.Facts {
		n += factBytes + len(f.Key) + len(f.Value)
	}
	return n
}

// run advances the clock to until.
func (w *network) run(until sequoiasill.Millis) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		d := heap.Pop(&w.queue).(delivery)
		w.now = max(w.now, d.at)
		if w.crashed[d.to] {
			continue
		}
		if resumesAt := w.pausedUntil[d.to]; resumesAt > w.now {
			d.at = resumesAt
			heap.Push(&w.queue, d)
			continue
		}
		ev := Event(Tick{})
		if d.msg != nil {
			ev = Received{Message: *d.msg}
		} else {
			w.schedule(delivery{at: d.at + tickEvery, to: d.to})
		}
		w.perform(d.to, w.nodes[d.to].Step(w.now, ev))
	}
	w.now = until
}

func (w *network) publish(node int, f Fact) {
	w.perform(node, w.nodes[node].Step(w.now, Publish{Fact: f}))
}

// views returns how many nodes see each number of members.
func (w *network) views() map[int]int {
	out := make(map[int]int)
	for i, g := range w.nodes {
		if !w.crashed[i] {
			out[len(g.Members())]++
		}
	}
	return out
}

func TestDetection(t *testing.T) {
	tests := map[string]struct {
		members int
		loss    float64
		within  sequoiasill.Millis
	}{
		"9 members":                 {members: 9, within: 30 * sequoiasill.Second},
		"50 members, 10% loss":      {members: 50, loss: 0.1, within: 30 * sequoiasill.Second},
		"100 members, 10% loss":     {members: 100, loss: 0.1, within: 40 * sequoiasill.Second},
		"9 members with heavy loss": {members: 9, loss: 0.2, within: 40 * sequoiasill.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newNetwork(tc.members, 7, tc.loss)
			w.run(sequoiasill.Minute)
			if diff := cmp.Diff(map[int]int{tc.members: tc.members}, w.views()); diff != "" {
				t.Fatalf("views after joining (-want +got):\n%s", diff)
			}
			w.crashed[3] = true
			w.run(sequoiasill.Minute + tc.within)
			if diff := cmp.Diff(map[int]int{tc.members - 1: tc.members - 1}, w.views()); diff != "" {
				t.Errorf("views %s after a crash (-want +got):\n%s", tc.within, diff)
			}
		})
	}
}

func TestNoFalseAlarms(t *testing.T) {
	tests := map[string]struct {
		members int
		loss    float64
		pause   sequoiasill.Millis
	}{
		"10% loss":             {members: 50, loss: 0.1},
		"5 s pause":            {members: 50, pause: 5 * sequoiasill.Second},
		"5 s pause, 10% loss":  {members: 50, loss: 0.1, pause: 5 * sequoiasill.Second},
		"few members, 5 s":     {members: 9, pause: 5 * sequoiasill.Second},
		"few members 10% loss": {members: 9, loss: 0.1, pause: 5 * sequoiasill.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newNetwork(tc.members, 11, tc.loss)
			w.run(sequoiasill.Minute)
			w.falseAlarms = 0
			w.pausedUntil[2] = w.now + tc.pause
			w.run(4 * sequoiasill.Minute)
			if w.falseAlarms != 0 {
				t.Errorf("%d times a live member was declared dead", w.falseAlarms)
			}
		})
	}
}

func TestUrgentFactSpreads(t *testing.T) {
	const within = 2 * sequoiasill.Second
	for name, n := range map[string]int{"9": 9, "100": 100, "380": 380} {
		t.Run(name, func(t *testing.T) {
			w := newNetwork(n, 13, 0.1)
			w.run(20 * sequoiasill.Second)
			start := w.now
			w.publish(0, Fact{Key: "brake/m", Version: 1, Urgent: true})
			w.run(start + within)
			if got := len(w.learned["brake/m"]); got != n {
				t.Errorf("%d of %d members know the fact after %s", got, n, within)
			}
		})
	}
}

// A fact larger than a packet must neither fail to spread nor keep smaller ones from spreading.
func TestLargeFactsHoldUpNone(t *testing.T) {
	spread := func(size int) (large, small int) {
		w := newNetwork(40, 17, 0)
		w.run(20 * sequoiasill.Second)
		start := w.now
		w.publish(0, Fact{Key: "large", Version: 1, Value: make([]byte, size)})
		w.run(start + sequoiasill.Second)
		w.publish(0, Fact{Key: "small", Version: 1})
		w.run(start + 6*sequoiasill.Second)
		return len(w.learned["large"]), len(w.learned["small"])
	}
	fitting, beside := spread(1000)
	for name, size := range map[string]int{"several packets": 5000, "more than a datagram": 70_000} {
		t.Run(name, func(t *testing.T) {
			large, small := spread(size)
			if small < beside {
				t.Errorf("%d members know the small fact; want %d, as beside one that fits into a packet", small, beside)
			}
			if size <= maxUpdateBytes && large < fitting {
				t.Errorf("%d members know the large fact; want %d, as of one that fits into a packet", large, fitting)
			}
		})
	}
}

// Runs with the same seed are identical: the order in which updates are sent does not
// depend on map iteration. With map order, a test failed once in CI (379 of 380 members
// after 2 s) and could not be reproduced with its seed.
func TestSameSeedSameRun(t *testing.T) {
	var counts []int
	for range 3 {
		w := newNetwork(60, 13, 0.3)
		w.run(20 * sequoiasill.Second)
		for i := range 20 {
			w.pausedUntil[3*i] = w.now + 20*sequoiasill.Second
		}
		w.run(w.now + 40*sequoiasill.Second)
		total := 0
		for _, n := range w.bytes {
			total += n
		}
		counts = append(counts, total)
	}
	if counts[0] != counts[1] || counts[0] != counts[2] {
		t.Errorf("runs with the same seed sent %v bytes", counts)
	}
}

func TestPartitionHeals(t *testing.T) {
	const members = 30
	w := newNetwork(members, 17, 0.02)
	w.run(sequoiasill.Minute)
	w.partitioned = func(from, to int) bool { return (from < members/2) != (to < members/2) }
	w.run(3 * sequoiasill.Minute)
	if diff := cmp.Diff(map[int]int{members / 2: members}, w.views()); diff != "" {
		t.Fatalf("views during the partition (-want +got):\n%s", diff)
	}
	w.publish(0, Fact{Key: "generation", Version: 5, Urgent: true})
	w.partitioned = func(_, _ int) bool { return false }
	w.run(4 * sequoiasill.Minute)
	if diff := cmp.Diff(map[int]int{members: members}, w.views()); diff != "" {
		t.Errorf("views one minute after the partition healed (-want +got):\n%s", diff)
	}
	if got := len(w.learned["generation"]); got != members {
		t.Errorf("%d of %d members learned the fact that was published during the partition", got, members)
	}
}

// All sides of a network partition still count each other's members, so that limits
// that all entries share are not granted in full to each side. A member that announced
// that it was leaving is not counted.
func TestPossiblyAliveDuringPartition(t *testing.T) {
	const members, sideSize = 9, 3
	w := newNetwork(members, 23, 0.02)
	w.run(sequoiasill.Minute)
	w.perform(0, w.nodes[0].Step(w.now, Leave{}))
	w.run(w.now + 2*sequoiasill.Second)
	w.crashed[0] = true
	w.partitioned = func(from, to int) bool { return from/sideSize != to/sideSize }
	w.run(w.now + 3*sequoiasill.Minute)
	if diff := cmp.Diff(map[int]int{sideSize - 1: 2, sideSize: 6}, w.views()); diff != "" {
		t.Fatalf("views during the partition (-want +got):\n%s", diff)
	}
	for i, g := range w.nodes {
		if got := g.PossiblyAlive(); !w.crashed[i] && got != members-1 {
			t.Errorf("member %d counts %d members that may be alive, want %d", i, got, members-1)
		}
	}
}

// BenchmarkTraffic reports the bytes per second that a member sends while each member
// publishes its demand every ten seconds.
func BenchmarkTraffic(b *testing.B) {
	for _, n := range []int{9, 50, 100, 380} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				w := newNetwork(n, 19, 0)
				w.run(sequoiasill.Minute)
				clear(w.bytes)
				for s := range 60 {
					for i := s % 10; i < n; i += 10 {
						w.publish(i, Fact{Key: "demand/" + name(i), Version: uint64(w.now), Value: make([]byte, 16)})
					}
					w.run(w.now + sequoiasill.Second)
				}
				total := 0
				for _, x := range w.bytes {
					total += x
				}
				b.ReportMetric(float64(total)/float64(n)/60, "B/s/member")
			}
		})
	}
}
