package mover

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/detector"
)

// version is the behaviour of a simulated version.
type version struct {
	errors      float64 // additional error rate
	slowdown    float64 // factor on latencies
	badFrom     float64 // fraction of the move's time at which the fault begins
	onlyRoute   string
	badFromLoad float64 // load, relative to an old replica, from which the fault occurs
}

// versionKinds holds the kinds of new versions by name.
var versionKinds = map[string]version{
	"good":             {slowdown: 1},
	"fails at once":    {errors: 0.2, slowdown: 1},
	"fails later":      {errors: 0.1, slowdown: 1, badFrom: 0.5},
	"fails under load": {errors: 0.1, slowdown: 1, badFromLoad: 0.6},
	"one route fails":  {errors: 0.15, slowdown: 1, onlyRoute: "/cut"},
	"slower":           {slowdown: 1.4},
	"fails 1%":         {errors: 0.012, slowdown: 1},
}

// routes holds the share of traffic of each route.
var routes = map[string]float64{"chat": 0.6, "/stock": 0.25, "/cut": 0.15}

// policy decides the progress of a move.
type policy interface {
	Step(now sequoiasill.Millis, ev Event) Action
	Share() int
}

// trial is one seeded simulation of a move on a virtual clock.
type trial struct {
	rand          *rand.Rand
	kind          version
	rate          float64 // requests per second
	span          sequoiasill.Millis
	errorRate     float64   // of both versions, varies with time
	latencyFactor float64   // of both versions, varies with time
	outage        bool      // the store rejects writes
	recent        []float64 // latencies of the old version
	sortedRecent  []float64 // the most recent of these, sorted
	badRequests   int       // requests to the new version while it is faulty
	badSince      sequoiasill.Millis
	rolledBackAt  sequoiasill.Millis
}

const (
	trialStep     = sequoiasill.Second
	rollbackDelay = 2 * sequoiasill.Second // for evidence to arrive and a share to take effect
	trialDuration = 40 * sequoiasill.Minute
)

func newTrial(kind version, seed uint64) *trial {
	r := rand.New(rand.NewPCG(seed, 9))
	return &trial{rand: r, kind: kind, rate: 20 + 30*r.Float64(), span: trialDuration, latencyFactor: 1}
}

// run steps a policy until the end of its move is stored, and reports whether that was
// by the deadline.
func (t *trial) run(p policy) (end sequoiasill.MoveEnd, onTime bool) {
	applied := 0
	for now := sequoiasill.Millis(0); now <= 2*t.span; now += trialStep {
		t.vary(now)
		action := p.Step(now, Evidence{Routes: t.evidence(now, applied)})
		if f, ok := action.(Finish); ok {
			if t.rolledBackAt == 0 && f.End == sequoiasill.MoveRolledBack {
				t.rolledBackAt = now + rollbackDelay // entries stop a move themselves during a store outage
			}
			if !t.outage {
				return f.End, now <= t.span
			}
			applied = 0
			continue
		}
		if !t.outage {
			applied = p.Share()
		}
	}
	return sequoiasill.MoveOpen, false
}

// vary changes the error rate, the latency factor and the state of the store at random.
func (t *trial) vary(sequoiasill.Millis) {
	if t.rand.IntN(120) == 0 {
		t.latencyFactor = 0.8 + t.rand.Float64()
	}
	if t.rand.IntN(90) == 0 {
		t.errorRate = 0.002
		if t.rand.IntN(3) == 0 {
			t.errorRate = 0.03 * t.rand.Float64() // a reclaim of instances
		}
	}
	if t.outage && t.rand.IntN(100) == 0 || !t.outage && t.rand.IntN(1200) == 0 {
		t.outage = !t.outage
	}
}

// evidence returns the request counts of one second at a share.
func (t *trial) evidence(now sequoiasill.Millis, share int) map[string]Sample {
	out := make(map[string]Sample)
	for _, route := range []string{"chat", "/cut", "/stock"} {
		n := t.poisson(t.rate * routes[route])
		var s Sample
		for range n {
			isNew := t.rand.IntN(1000) < share
			c := t.request(now, route, isNew)
			if isNew {
				s.New = s.New.Add(c)
			} else {
				s.Old = s.Old.Add(c)
			}
		}
		out[route] = s
	}
	return out
}

func (t *trial) request(now sequoiasill.Millis, route string, isNew bool) detector.Counts {
	c := detector.Counts{Requests: 1}
	errs, slowdown := t.errorRate, 1.0
	if isNew && t.isBad(now, route) {
		errs += t.kind.errors
		slowdown = t.kind.slowdown
		t.badRequests++
		if t.badSince == 0 {
			t.badSince = now
		}
	}
	if t.rand.Float64() < errs {
		c.Errors = 1
		return c
	}
	latency := t.latencyFactor * slowdown * math.Exp(0.4*t.rand.NormFloat64())
	if latency > t.quantile() {
		c.Slow = 1
	}
	if !isNew {
		t.recent = append(t.recent, latency)
	}
	return c
}

// isBad reports whether the new version is faulty now. Replicas take traffic in
// proportion to the share, so each bears the load of an old one.
func (t *trial) isBad(now sequoiasill.Millis, route string) bool {
	const loadOfReplica = 1.0
	return float64(now) >= t.kind.badFrom*float64(t.span) &&
		(t.kind.onlyRoute == "" || t.kind.onlyRoute == route) && loadOfReplica >= t.kind.badFromLoad
}

// quantile returns the 95th percentile of the old version's recent latencies.
func (t *trial) quantile() float64 {
	const window = 400
	if len(t.recent) < 20 {
		return math.Inf(1)
	}
	if len(t.recent) > 2*window {
		t.recent = append([]float64(nil), t.recent[len(t.recent)-window:]...)
	}
	last := t.recent[max(len(t.recent)-window, 0):]
	if len(t.sortedRecent) == 0 || t.rand.IntN(40) == 0 {
		t.sortedRecent = append(t.sortedRecent[:0], last...)
		sort.Float64s(t.sortedRecent)
	}
	return t.sortedRecent[len(t.sortedRecent)*95/100]
}

func (t *trial) poisson(mean float64) int {
	limit, p, k := math.Exp(-mean), 1.0, 0
	for {
		p *= t.rand.Float64()
		if p <= limit {
			return k
		}
		k++
	}
}

// canary is the baseline policy: fixed steps, each judged by its own error rate.
type canary struct {
	share, step int
	old, next   detector.Counts
}

func (c *canary) Share() int { return c.share }

func (c *canary) Step(now sequoiasill.Millis, ev Event) Action {
	shares := []int{50, 250, 500, 1000}
	if e, ok := ev.(Evidence); ok {
		for _, s := range e.Routes {
			c.old, c.next = c.old.Add(s.Old), c.next.Add(s.New)
		}
	}
	step := int(now * 5 / trialDuration)
	if step == c.step {
		if c.share == 0 {
			c.share = shares[0]
		}
		return nil
	}
	oldRate := float64(c.old.Errors) / float64(max(c.old.Requests, 1))
	newRate := float64(c.next.Errors) / float64(max(c.next.Requests, 1))
	c.step, c.old, c.next = step, detector.Counts{}, detector.Counts{}
	switch {
	case newRate > 2*oldRate+0.01:
		return Finish{End: sequoiasill.MoveRolledBack}
	case step >= len(shares):
		return Finish{End: sequoiasill.MoveDone}
	}
	c.share = shares[step]
	return SetShare{Share: c.share}
}

// tally holds the totals of all trials of one kind of version.
type tally struct {
	trials, done, rolledBack, unfinished, late, badRequests int
	delay                                                   sequoiasill.Millis
}

// trials runs seeded moves of each kind of version under a policy.
func trials(each int, build func(sequoiasill.Move) policy) map[string]*tally {
	out := map[string]*tally{}
	for kind, v := range versionKinds {
		sum := &tally{}
		out[kind] = sum
		for seed := range uint64(each) {
			t := newTrial(v, seed)
			end, onTime := t.run(build(sequoiasill.Move{Name: "m", Start: 0, Deadline: t.span}))
			sum.trials++
			sum.badRequests += t.badRequests
			switch {
			case end == sequoiasill.MoveOpen:
				sum.unfinished++
			case end == sequoiasill.MoveDone && !onTime:
				sum.late++
			case end == sequoiasill.MoveDone:
				sum.done++
			default:
				sum.rolledBack++
			}
			if t.rolledBackAt > t.badSince && t.badSince > 0 {
				sum.delay += t.rolledBackAt - t.badSince
			}
		}
	}
	return out
}

func newMover(m sequoiasill.Move) policy { return New(m, 0, DefaultOptions()) }

// TestMoves compares seeded moves with the goals: 99% of the healthy ones completed by
// their deadline, 99% of the faulty ones rolled back, and every one ended.
func TestMoves(t *testing.T) {
	const each, goal = 60, 99
	good, rolledBack, bad := 0, 0, 0
	for kind, sum := range trials(each, newMover) {
		t.Logf("%-17s trials %d done %d late %d rolled back %d unfinished %d, requests to a faulty version per move %d, s until rollback %d",
			kind, sum.trials, sum.done, sum.late, sum.rolledBack, sum.unfinished, sum.badRequests/sum.trials, int(sum.delay/sequoiasill.Second)/sum.trials)
		if sum.unfinished > 0 {
			t.Errorf("%s: %d moves never ended", kind, sum.unfinished)
		}
		if kind == "good" {
			good = sum.done
			continue
		}
		rolledBack += sum.rolledBack
		bad += sum.trials
	}
	if good*100 < goal*each {
		t.Errorf("%d of %d healthy moves were completed, want %d%%", good, each, goal)
	}
	if rolledBack*100 < goal*bad {
		t.Errorf("%d of %d faulty moves were rolled back, want %d%%", rolledBack, bad, goal)
	}
}

// BenchmarkMoves compares the mover with a canary of fixed steps.
func BenchmarkMoves(b *testing.B) {
	for _, p := range []struct {
		name string
		make func(sequoiasill.Move) policy
	}{{"mover", newMover}, {"canary", func(sequoiasill.Move) policy { return &canary{} }}} {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				good, rolledBack, bad, requests := 0, 0, 0, 0
				for kind, sum := range trials(60, p.make) {
					if kind == "good" {
						good = sum.done * 100 / sum.trials
						continue
					}
					rolledBack += sum.rolledBack
					bad += sum.trials
					requests += sum.badRequests
				}
				b.ReportMetric(float64(good), "%good-done")
				b.ReportMetric(float64(rolledBack)*100/float64(bad), "%bad-taken")
				b.ReportMetric(float64(requests)/float64(bad), "bad-requests/move")
			}
		})
	}
}

func ExampleMover() {
	m := New(sequoiasill.Move{Name: "m", Start: 0, Deadline: 1000}, 0, DefaultOptions())
	for _, now := range []sequoiasill.Millis{0, 20, 600, 940} {
		fmt.Printf("%T\n", m.Step(now, Tick{}))
	}
	// Output:
	// <nil>
	// mover.SetShare
	// mover.SetShare
	// mover.Finish
}
