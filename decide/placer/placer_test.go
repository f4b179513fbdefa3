package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

var zones = []string{"a", "b", "c"}

func flatPrices() map[Market]float64 {
	out := make(map[Market]float64)
	for i, z := range zones {
		out[Market{z, sequoiasill.Reclaimable}] = 0.3 + 0.05*float64(i)
		out[Market{z, sequoiasill.OnDemand}] = 1
	}
	return out
}

// cloud is a fake cloud with seeded prices, refusals and reclaims.
type cloud struct {
	rand        *rand.Rand
	prices      map[Market]float64
	refusing    map[Market]bool
	instances   map[string]sequoiasill.Instance
	bootedAt    map[string]sequoiasill.Millis
	cost        float64
	starts      int
	lastReclaim map[string]sequoiasill.Millis // by zone
}

const (
	bootTime  = 40 * sequoiasill.Second
	cloudStep = sequoiasill.Second
)

func newCloud(seed uint64) *cloud {
	return &cloud{
		rand: rand.New(rand.NewPCG(seed, 6)), prices: flatPrices(), refusing: make(map[Market]bool),
		instances: make(map[string]sequoiasill.Instance), bootedAt: make(map[string]sequoiasill.Millis),
		lastReclaim: make(map[string]sequoiasill.Millis),
	}
}

// step varies prices and refusals, and reclaims all reclaimable instances of a zone
// from time to time.
func (c *cloud) step(now sequoiasill.Millis) {
	for _, z := range zones {
		m := Market{z, sequoiasill.Reclaimable}
		c.prices[m] = min(max(c.prices[m]*(1+0.004*c.rand.NormFloat64()), 0.2), 0.9)
		if c.rand.IntN(1200) == 0 {
			c.refusing[m] = c.rand.IntN(2) == 0
		}
		if c.rand.IntN(3600) == 0 {
			c.lastReclaim[z] = now
			for name, i := range c.instances {
				if i.Zone == z && i.Class == sequoiasill.Reclaimable {
					delete(c.instances, name)
					delete(c.bootedAt, name)
				}
			}
		}
	}
}

func (c *cloud) buy(now sequoiasill.Millis, s Start) Event {
	c.starts++
	name := "p-" + s.Token
	if _, ok := c.instances[name]; ok {
		return Started{Token: s.Token}
	}
	if c.refusing[s.Market] {
		return Refused{Token: s.Token}
	}
	c.instances[name] = sequoiasill.Instance{Name: name, Zone: s.Market.Zone, Class: s.Market.Class}
	c.bootedAt[name] = now + bootTime
	return Started{Token: s.Token}
}

func (c *cloud) list() []sequoiasill.Instance {
	var out []sequoiasill.Instance
	for _, i := range c.instances {
		out = append(out, i)
	}
	return out
}

// zonesReclaimed returns the number of zones that were reclaimed so recently that
// replacements may still be booting.
func (c *cloud) zonesReclaimed(now sequoiasill.Millis) int {
	n := 0
	for _, at := range c.lastReclaim {
		if now-at < 3*sequoiasill.Minute {
			n++
		}
	}
	return n
}

// serving returns how many instances have booted.
func (c *cloud) serving(now sequoiasill.Millis) int {
	n := 0
	for name := range c.instances {
		if c.bootedAt[name] <= now {
			n++
		}
	}
	return n
}

func (c *cloud) pay() {
	for _, i := range c.instances {
		c.cost += c.prices[Market{i.Zone, i.Class}] * float64(cloudStep) / float64(sequoiasill.Hour)
	}
}

// policy transforms the prices that a placer sees, which defines the baselines.
type policy struct {
	prices func(map[Market]float64) map[Market]float64
	need   Need
}

var (
	simulatedNeed = Need{Replicas: 12, Quick: 4}
	policies      = map[string]policy{
		"placer": {prices: func(p map[Market]float64) map[Market]float64 { return p }, need: simulatedNeed},
		"all on demand": {need: Need{Replicas: 12}, prices: func(p map[Market]float64) map[Market]float64 {
			out := make(map[Market]float64)
			for m, v := range p {
				if m.Class == sequoiasill.OnDemand {
					out[m] = v
				}
			}
			return out
		}},
		"cheapest first": {need: Need{Replicas: 12}, prices: func(p map[Market]float64) map[Market]float64 { return p }},
	}
)

// outcome holds the totals of a simulation.
type outcome struct {
	cost                 float64
	quickShort, allShort int // seconds; quickShort counts only while at most one zone was reclaimed
	starts               int
}

// simulationSpan is the simulated time of a run.
const simulationSpan = 8 * sequoiasill.Hour

// simulate runs a placer against a cloud. At random the placer restarts between the
// cloud's response and storing its plan.
func simulate(t testing.TB, seed uint64, pol policy) outcome {
	t.Helper()
	c := newCloud(seed)
	var recorded Plan
	p := New("p", recorded, DefaultOptions())
	var out outcome
	var handle func(now sequoiasill.Millis, actions []Action)
	handle = func(now sequoiasill.Millis, actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case Record:
				recorded = a.Plan
				handle(now, p.Step(now, Recorded{}))
			case Buy:
				ev := c.buy(now, a.Start)
				if c.rand.IntN(40) == 0 {
					p = New("p", Plan{LastToken: recorded.LastToken, Pending: append([]Start(nil), recorded.Pending...)}, DefaultOptions())
					return
				}
				handle(now, p.Step(now, ev))
			case Stop:
				delete(c.instances, a.Name)
			}
		}
	}
	for now := sequoiasill.Millis(0); now < simulationSpan; now += cloudStep {
		c.step(now)
		for _, ev := range []Event{Prices{pol.prices(c.prices)}, NeedChanged{pol.need}, Listed{c.list()}, Tick{}} {
			handle(now, p.Step(now, ev))
		}
		c.pay()
		if now > 5*sequoiasill.Minute {
			if c.serving(now) < simulatedNeed.Quick && c.zonesReclaimed(now) <= 1 {
				out.quickShort++
			}
			if c.serving(now) < simulatedNeed.Replicas {
				out.allShort++
			}
		}
		if n := len(c.instances); n > 3*pol.need.Replicas {
			t.Fatalf("seed %d at %s: %d instances for a need of %d", seed, now, n, pol.need.Replicas)
		}
	}
	out.cost, out.starts = c.cost, c.starts
	return out
}

func TestPlacement(t *testing.T) {
	const seeds = 8
	sums := make(map[string]outcome)
	for name, pol := range policies {
		var sum outcome
		for seed := range uint64(seeds) {
			o := simulate(t, seed, pol)
			sum.cost += o.cost
			sum.quickShort += o.quickShort
			sum.allShort += o.allShort
			sum.starts += o.starts
		}
		sums[name] = sum
		t.Logf("%-14s cost %.1f, s short of quick %d, s short of all %d, starts requested %d", name,
			sum.cost/seeds, sum.quickShort/seeds, sum.allShort/seeds, sum.starts/seeds)
	}
	if got := sums["placer"]; got.quickShort > 0 {
		t.Errorf("%d s without enough instances for quick traffic", got.quickShort)
	}
	if sums["placer"].cost >= sums["all on demand"].cost {
		t.Errorf("cost %.1f, all on demand %.1f", sums["placer"].cost, sums["all on demand"].cost)
	}
}

func TestCheapestTarget(t *testing.T) {
	tests := map[string]struct {
		need    Need
		refused []Market
		want    map[Market]int
	}{
		"cheapest zone alone without a need for quick traffic": {
			need: Need{Replicas: 6}, want: map[Market]int{{"a", sequoiasill.Reclaimable}: 6},
		},
		"spread so that enough remain after the loss of a zone": {
			need: Need{Replicas: 6, Quick: 3}, want: map[Market]int{{"a", sequoiasill.Reclaimable}: 3, {"b", sequoiasill.Reclaimable}: 3},
		},
		"on demand while reclaimable instances are refused": {
			need:    Need{Replicas: 2},
			refused: []Market{{"a", sequoiasill.Reclaimable}, {"b", sequoiasill.Reclaimable}, {"c", sequoiasill.Reclaimable}},
			want:    map[Market]int{{"a", sequoiasill.OnDemand}: 2},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := New("p", Plan{}, DefaultOptions())
			p.prices, p.need = flatPrices(), tc.need
			for _, m := range tc.refused {
				p.backoffs[m] = backoff{until: sequoiasill.Minute}
			}
			if diff := cmp.Diff(tc.want, p.cheapest(1)); diff != "" {
				t.Errorf("target (-want +got):\n%s", diff)
			}
		})
	}
}

// TestNoStartStorm bounds the starts that are requested while every market refuses.
func TestNoStartStorm(t *testing.T) {
	p := New("p", Plan{}, DefaultOptions())
	requested := 0
	var handle func(now sequoiasill.Millis, actions []Action)
	handle = func(now sequoiasill.Millis, actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case Record:
				handle(now, p.Step(now, Recorded{}))
			case Buy:
				requested++
				handle(now, p.Step(now, Refused{Token: a.Start.Token}))
			}
		}
	}
	for now := sequoiasill.Millis(0); now < sequoiasill.Hour; now += cloudStep {
		for _, ev := range []Event{Prices{flatPrices()}, NeedChanged{Need{Replicas: 50}}, Listed{}, Tick{}} {
			handle(now, p.Step(now, ev))
		}
	}
	// Each of the six markets reaches a backoff of five minutes after a few tries, and
	// each try may request as many starts as may be pending.
	if limit := 6 * (12 + 8) * DefaultOptions().MaxPending; requested > limit {
		t.Errorf("%d starts were requested in an hour, want at most %d", requested, limit)
	}
}

func ExamplePlacer() {
	p := New("p", Plan{}, DefaultOptions())
	p.Step(0, Prices{flatPrices()})
	p.Step(0, NeedChanged{Need{Replicas: 1}})
	for _, a := range p.Step(0, Tick{}) {
		fmt.Printf("%T\n", a)
	}
	for _, a := range p.Step(0, Recorded{}) {
		fmt.Printf("%T\n", a)
	}
	// Output:
	// placer.Record
	// placer.Buy
}
