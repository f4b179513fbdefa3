// Package placer decides which instances a pool starts and stops. It minimises the
// price of the set that serves the whole pool and still serves quick traffic if all
// reclaimable instances of any one availability zone are lost at once.
//
// A Placer is a state machine without I/O.
package placer

import (
	"fmt"
	"slices"
	"sort"

	"sequoiasill.dev/sequoiasill"
)

// Market is a combination of zone and instance class that the cloud sells.
type Market struct {
	Zone  string
	Class sequoiasill.InstanceClass
}

// Need is the capacity that a pool requires.
type Need struct {
	Replicas int // for all traffic, in normal operation
	Quick    int // for quick traffic alone, without the reclaimable instances of any one zone
}

// Options configure a Placer.
type Options struct {
	MinBackoff   sequoiasill.Millis // per market, after a refused start
	MaxBackoff   sequoiasill.Millis
	MaxPending   int                // starts in progress at once
	SurplusGrace sequoiasill.Millis // how long a surplus lasts before it is released
}

// DefaultOptions returns the options that controllers use.
func DefaultOptions() Options {
	return Options{
		MinBackoff: 5 * sequoiasill.Second, MaxBackoff: 5 * sequoiasill.Minute, MaxPending: 8, SurplusGrace: 30 * sequoiasill.Second,
	}
}

// Start is a request to start an instance. The token makes it idempotent.
type Start struct {
	Token  string
	Market Market
}

// Plan is the state that must be stored before any action: the starts that may be in
// progress and the number of the last token. A new holder of the pool's lease continues
// from the stored plan, so no start is lost or duplicated.
type Plan struct {
	LastToken int
	Pending   []Start
}

// Event is an input of the placer.
type Event interface{ event() }

// Prices reports the hourly price of each market.
type Prices struct{ Prices map[Market]float64 }

// NeedChanged reports the capacity that the pool requires.
type NeedChanged struct{ Need Need }

// Listed reports the pool's instances, without those that are leaving.
type Listed struct{ Instances []sequoiasill.Instance }

// Recorded reports that the last plan was stored.
type Recorded struct{}

// Started reports that a start was accepted. The instance appears in a later Listed.
type Started struct{ Token string }

// Refused reports that a start was refused.
type Refused struct{ Token string }

// Tick triggers a reconciliation.
type Tick struct{}

func (Prices) event()      {}
func (NeedChanged) event() {}
func (Listed) event()      {}
func (Recorded) event()    {}
func (Started) event()     {}
func (Refused) event()     {}
func (Tick) event()        {}

// Action is an output of the placer.
type Action interface{ action() }

// Record requests a conditional write of the plan.
type Record struct{ Plan Plan }

// Buy requests an instance from the cloud. It may be repeated with the same token.
type Buy struct{ Start Start }

// Stop terminates an instance.
type Stop struct{ Name string }

func (Record) action() {}
func (Buy) action()    {}
func (Stop) action()   {}

// Placer is the state of one pool. It is not safe for concurrent use.
type Placer struct {
	opts         Options
	pool         string
	need         Need
	prices       map[Market]float64
	running      []sequoiasill.Instance
	plan         Plan
	planRecorded bool // the stored plan is current
	requested    map[string]bool
	backoffs     map[Market]backoff
	surplusSince map[Market]sequoiasill.Millis // start of each surplus
}

type backoff struct {
	until    sequoiasill.Millis
	refusals int
}

// New returns a Placer for a pool that continues from a stored plan.
func New(pool string, plan Plan, opts Options) *Placer {
	return &Placer{
		opts: opts, pool: pool, plan: plan, planRecorded: true, prices: make(map[Market]float64),
		requested: make(map[string]bool), backoffs: make(map[Market]backoff), surplusSince: make(map[Market]sequoiasill.Millis),
	}
}

// Step processes one event and returns the resulting actions, in order. Prices, needs
// and lists take effect at the next Tick.
func (p *Placer) Step(now sequoiasill.Millis, ev Event) []Action {
	switch ev := ev.(type) {
	case Prices:
		p.prices = ev.Prices
	case NeedChanged:
		p.need = ev.Need
	case Listed:
		p.running = ev.Instances
		p.dropListedPending()
	case Recorded:
		p.planRecorded = true
	case Started:
		// The token stays pending until its instance is listed.
	case Refused:
		p.recordRefusal(now, ev.Token)
	case Tick:
		clear(p.requested)
	}
	switch ev.(type) {
	case Tick, Recorded, Refused:
		return p.reconcile(now)
	}
	return nil
}

// dropListedPending removes the pending starts whose instances are listed.
func (p *Placer) dropListedPending() {
	p.plan.Pending = slices.DeleteFunc(p.plan.Pending, func(s Start) bool {
		return slices.ContainsFunc(p.running, func(i sequoiasill.Instance) bool { return i.Name == p.pool+"-"+s.Token })
	})
}

func (p *Placer) recordRefusal(now sequoiasill.Millis, token string) {
	i := slices.IndexFunc(p.plan.Pending, func(s Start) bool { return s.Token == token })
	if i < 0 {
		return
	}
	m := p.plan.Pending[i].Market
	p.plan.Pending = slices.Delete(p.plan.Pending, i, i+1)
	b := p.backoffs[m]
	b.until = now + min(p.opts.MinBackoff<<min(b.refusals, 16), p.opts.MaxBackoff)
	b.refusals++
	p.backoffs[m] = b
}

// reconcile compares the current instances with the cheapest target and returns the
// actions that close the gap.
func (p *Placer) reconcile(now sequoiasill.Millis) []Action {
	if !p.planRecorded {
		return nil
	}
	var out []Action
	for _, s := range p.plan.Pending {
		if !p.requested[s.Token] {
			p.requested[s.Token] = true
			out = append(out, Buy{Start: s})
		}
	}
	target := p.cheapest(now)
	have := p.countByMarket()
	if starts := p.newStarts(target, have); len(starts) > 0 {
		p.plan.Pending = append(p.plan.Pending, starts...)
		p.planRecorded = false
		return append(out, Record{Plan: Plan{LastToken: p.plan.LastToken, Pending: slices.Clone(p.plan.Pending)}})
	}
	return append(out, p.releaseSurplus(now, target, have)...)
}

// countByMarket returns the number of instances per market, including pending ones.
func (p *Placer) countByMarket() map[Market]int {
	have := make(map[Market]int)
	for _, i := range p.running {
		have[Market{Zone: i.Zone, Class: i.Class}]++
	}
	for _, s := range p.plan.Pending {
		have[s.Market]++
	}
	return have
}

func (p *Placer) newStarts(target, have map[Market]int) []Start {
	var starts []Start
	for _, m := range p.markets() {
		for n := have[m]; n < target[m] && len(p.plan.Pending)+len(starts) < p.opts.MaxPending; n++ {
			p.plan.LastToken++
			starts = append(starts, Start{Token: fmt.Sprint(p.plan.LastToken), Market: m})
		}
	}
	return starts
}

// releaseSurplus stops one instance of a market whose surplus has lasted for SurplusGrace,
// unless starts are pending or the pool needs every running instance.
func (p *Placer) releaseSurplus(now sequoiasill.Millis, target, have map[Market]int) []Action {
	running := len(p.running)
	for _, m := range p.markets() {
		if have[m] <= target[m] {
			delete(p.surplusSince, m)
			continue
		}
		since, ok := p.surplusSince[m]
		if !ok {
			p.surplusSince[m] = now
			continue
		}
		if now-since < p.opts.SurplusGrace || running <= p.need.Replicas || len(p.plan.Pending) > 0 {
			continue
		}
		for _, i := range p.running {
			if i.Zone == m.Zone && i.Class == m.Class {
				p.running = slices.DeleteFunc(slices.Clone(p.running), func(x sequoiasill.Instance) bool { return x.Name == i.Name })
				return []Action{Stop{Name: i.Name}}
			}
		}
	}
	return nil
}

// markets returns all markets with a price, in a fixed order.
func (p *Placer) markets() []Market {
	out := make([]Market, 0, len(p.prices))
	for m := range p.prices {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Class != out[j].Class {
			return out[i].Class > out[j].Class
		}
		return out[i].Zone < out[j].Zone
	})
	return out
}

// cheapest returns the cheapest target per market that meets the need. A market in
// backoff is limited to the instances that it has.
func (p *Placer) cheapest(now sequoiasill.Millis) map[Market]int {
	have := p.countByMarket()
	limit := func(m Market) int {
		if p.backoffs[m].until > now {
			return have[m]
		}
		return p.need.Replicas + p.need.Quick
	}
	var reclaimable, onDemand []Market
	for _, m := range p.markets() {
		if m.Class == sequoiasill.Reclaimable {
			reclaimable = append(reclaimable, m)
		} else {
			onDemand = append(onDemand, m)
		}
	}
	byPrice := func(ms []Market) {
		sort.SliceStable(ms, func(i, j int) bool { return p.prices[ms[i]] < p.prices[ms[j]] })
	}
	byPrice(reclaimable)
	byPrice(onDemand)
	var best map[Market]int
	bestCost, bestShortfall := 0.0, 0
	for d := 0; d <= p.need.Replicas; d++ {
		onDemandSet, shortfall := p.fill(onDemand, d, d, limit)
		if shortfall > 0 {
			continue
		}
		for r := max(p.need.Replicas-d, 0); r <= p.need.Replicas-d+p.need.Quick; r++ {
			// Without zone z, at least Quick must remain: r - r_z + d >= Quick.
			maxPerZone := r - max(p.need.Quick-d, 0)
			reclaimableSet, shortfall := p.fill(reclaimable, r, maxPerZone, limit)
			cost := p.cost(onDemandSet) + p.cost(reclaimableSet)
			if best == nil || shortfall < bestShortfall || shortfall == bestShortfall && cost < bestCost {
				best, bestCost, bestShortfall = union(onDemandSet, reclaimableSet), cost, shortfall
			}
			if shortfall == 0 {
				break
			}
		}
	}
	return best
}

// fill assigns n instances to the markets in order, at most maxPerMarket and the
// market's limit to each. It also returns how many could not be assigned.
func (p *Placer) fill(markets []Market, n, maxPerMarket int, limit func(Market) int) (map[Market]int, int) {
	out := make(map[Market]int)
	for _, m := range markets {
		k := max(min(n, maxPerMarket, limit(m)), 0)
		if k > 0 {
			out[m] = k
			n -= k
		}
	}
	return out, n
}

func (p *Placer) cost(set map[Market]int) float64 {
	sum := 0.0
	for m, n := range set {
		sum += p.prices[m] * float64(n)
	}
	return sum
}

func union(a, b map[Market]int) map[Market]int {
	out := make(map[Market]int, len(a)+len(b))
	for m, n := range a {
		out[m] += n
	}
	for m, n := range b {
		out[m] += n
	}
	return out
}
