package exchanger

import (
	"slices"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/allotter"
	"sequoiasill.dev/sequoiasill/decide/tallier"
)

// Began counts a call that began to run at a point in true time.
func (e *Exchanger) Began(organisation string, at sequoiasill.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tallier.Add(organisation, at)
}

// Total returns the usage of a window as far as it is known here.
func (e *Exchanger) Total(window int64) tallier.Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tallier.Total(window)
}

// tell tells the collectors of this entry, and if it is one, all entries of the sum.
func (e *Exchanger) tell() {
	now := e.clock.Now()
	demand := Demand{Totals: e.calls.Totals(), Work: e.calls.Work()}
	charges := e.calls.Charges()
	e.mu.Lock()
	e.tallier.Forget(now)
	b, err := encodeState(State{Source: e.opts.Name + "/" + e.opts.Session, Demand: demand, Tally: e.tallier.Own(), Charges: charges}, now)
	e.version++
	version := e.version
	e.recent = append(e.recent, demand)
	e.recent = e.recent[max(len(e.recent)-sumDelay-1, 0):]
	e.mu.Unlock()
	if err != nil {
		e.log.Error("state not told", "error", err)
		return
	}
	names := e.collectors()
	if holder, ok := e.gossip.Fact(keyHolder); ok && !slices.Contains(names, string(holder.Value)) {
		names = append(names, string(holder.Value))
	}
	e.gossip.Tell(names, keyState+e.opts.Name, version, b)
	if rank := slices.Index(names, e.opts.Name); rank >= 0 && rank < collectors {
		e.publishSum(now, demand, names[:rank])
	}
}

// publishSum spreads the demand of all entries that told this collector, unless one
// of those before it did lately.
func (e *Exchanger) publishSum(now sequoiasill.Millis, own Demand, before []string) {
	leaving := make(map[string]bool)
	for _, m := range e.gossip.Members() {
		leaving[m.Name] = m.Leaving
	}
	e.mu.Lock()
	all := e.sumUp(now, own, leaving)
	for _, name := range before {
		if t, ok := e.sums[name]; ok && now-t.at <= staleSum {
			e.mu.Unlock()
			return
		}
	}
	e.sums[e.opts.Name] = told{demand: all, at: now}
	urgent := surged(e.pushed, all.Tokens)
	if urgent {
		e.pushed = all.Tokens
	}
	e.mu.Unlock()
	b, err := encodeDemand(all)
	if err != nil {
		e.log.Error("demand not told", "error", err)
		return
	}
	e.gossip.Publish(keyDemand+e.opts.Name, uint64(now), b, urgent, lostSpan)
}

// surged reports whether the demand of an organisation changed by much.
func surged(before, now map[string]float64) bool {
	for name, d := range now {
		if d >= surgeLeast && (d > before[name]*(1+surge) || d < before[name]*(1-surge)) {
			return true
		}
	}
	return false
}

// sumUp returns the demand of all entries. It is raised by the parts of entries
// that are lost, so that the others leave these to them. The caller holds the lock.
func (e *Exchanger) sumUp(now sequoiasill.Millis, own Demand, leaving map[string]bool) Demand {
	all := own.plus(Demand{})
	e.spend(e.ownSpent, own.Spent)
	e.ownSpent = own.Spent
	all.Spent = sum(e.spent, nil)
	lost := make(map[string]float64)
	for entry, t := range e.demands {
		silent := now - t.at
		switch {
		case silent > lostSpan || silent > silentSpan && leaving[entry]:
			delete(e.demands, entry)
		case silent > silentSpan:
			for name, part := range t.parts {
				lost[name] += part
			}
		default:
			spent := all.Spent
			all = all.plus(t.demand)
			all.Spent = spent
		}
	}
	for name, part := range lost {
		all.Tokens[name] /= 1 - min(part, mostLost)
	}
	for entry, t := range e.demands {
		if now-t.at > silentSpan {
			continue
		}
		t.parts = make(map[string]float64, len(t.demand.Tokens))
		for name, d := range t.demand.Tokens {
			if all.Tokens[name] > 0 {
				t.parts[name] = d / all.Tokens[name]
			}
		}
		e.demands[entry] = t
	}
	return all
}

// spend adds what a process spent since it last told. The caller holds the lock.
func (e *Exchanger) spend(before, now map[string]float64) {
	for name, n := range now {
		e.spent[name] += max(n-before[name], 0)
	}
}

// mostLost bounds the part of an allowance that is left to lost entries.
const mostLost = 0.9

// Sum returns the demand at all entries as a collector sums it up, or false where none
// did lately.
func (e *Exchanger) Sum() (Demand, bool) {
	_, t, ok := e.sum()
	return t.demand, ok
}

// sum returns what the first collector told whose sum is not stale, else the freshest.
func (e *Exchanger) sum() (collector string, sum told, ok bool) {
	now := e.clock.Now()
	names := e.collectors()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range names {
		t, known := e.sums[name]
		switch {
		case !known || now-t.at > demandSpan:
		case now-t.at <= staleSum:
			return name, t, true
		case !ok || t.at > sum.at:
			collector, sum, ok = name, t, true
		}
	}
	return collector, sum, ok
}

// balance tells the dispatcher of the demand at all entries.
func (e *Exchanger) balance() {
	e.calls.SetEntries(max(e.gossip.Sharers(), e.opts.Fewest))
	collector, sum, ok := e.sum()
	now := e.clock.Now()
	e.mu.Lock()
	own := e.recent[0]
	if ok {
		e.summedAt = now
	}
	silent := now - e.summedAt
	e.mu.Unlock()
	switch {
	case ok:
		e.calls.SetTotals(allotter.Sum{Source: collector, At: sum.at, Own: own.Totals, All: sum.demand.Totals})
	case silent > lostSpan:
		e.calls.ForgetTotals()
	}
}
