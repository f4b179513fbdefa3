package exchanger

import (
	"slices"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/allotter"
	"sequoiasill.dev/sequoiasill/decide/tallier"
)

// CountUsage counts a call of an organisation that started to run at the given time. The time
// must be true time, which jumps of the wall clock do not affect.
func (e *Exchanger) CountUsage(organisation string, at sequoiasill.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tallier.Add(organisation, at)
}

// Total returns the usage in a window, as far as entries have reported it to this one.
func (e *Exchanger) Total(window int64) tallier.Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tallier.Total(window)
}

// reportState sends this entry's state to the collectors and the lease holder. On a
// collector it also publishes the total demand.
func (e *Exchanger) reportState() {
	now := e.clock.Now()
	demand := Demand{Totals: e.calls.Totals(), Work: e.calls.EngineLoads()}
	charges := e.calls.Charges()
	e.mu.Lock()
	e.tallier.DeleteExpired(now)
	b, err := encodeState(State{Process: e.processID(), Demand: demand, Tally: e.tallier.Own(), Charges: charges, ReportsCrashes: true}, now)
	e.stateVersion++
	version := e.stateVersion
	e.recentDemands = append(e.recentDemands, demand)
	e.recentDemands = e.recentDemands[max(len(e.recentDemands)-sumDelayIntervals-1, 0):]
	e.mu.Unlock()
	if err != nil {
		e.log.Error("cannot encode state", "error", err)
		return
	}
	names := e.collectors()
	if holder, ok := e.gossip.Fact(keyHolder); ok && !slices.Contains(names, string(holder.Value)) {
		names = append(names, string(holder.Value))
	}
	e.gossip.SendDirect(names, keyState+e.opts.Name, version, b)
	if rank := slices.Index(names, e.opts.Name); rank >= 0 && rank < maxCollectors {
		e.publishSum(now, demand, names[:rank], func(bool) bool { return true })
	}
}

// publishSurge publishes the total demand before the next report of this collector is due if the
// demand of an organisation surged.
func (e *Exchanger) publishSurge() {
	now := e.clock.Now()
	names := e.collectors()
	rank := slices.Index(names, e.opts.Name)
	if rank < 0 || rank >= maxCollectors || now-e.surgeCheckedAt < e.surgeCheckInterval() {
		return
	}
	e.surgeCheckedAt = now
	own := Demand{Totals: e.calls.Totals(), Work: e.calls.EngineLoads()}
	e.publishSum(now, own, names[:rank], func(urgent bool) bool { return urgent })
}

func (e *Exchanger) surgeCheckInterval() sequoiasill.Millis {
	return max(sequoiasill.MillisOf(e.reportInterval())/surgeChecks, minSurgeCheckInterval)
}

// publishSum publishes the total demand of all entries that report to this collector,
// unless one of the preceding collectors published one recently, or wanted rejects it by whether it
// is urgent.
func (e *Exchanger) publishSum(now sequoiasill.Millis, own Demand, precedingCollectors []string, wanted func(urgent bool) bool) {
	leaving := make(map[string]bool)
	for _, m := range e.gossip.Members() {
		leaving[m.Name] = m.Leaving
	}
	e.mu.Lock()
	total := e.totalDemand(now, own, leaving)
	for _, name := range precedingCollectors {
		if t, ok := e.sums[name]; ok && now-t.receivedAt <= sumStaleAfter {
			e.mu.Unlock()
			return
		}
	}
	urgent := surged(e.lastPushed, total.Demand)
	if !wanted(urgent) {
		e.mu.Unlock()
		return
	}
	e.sums[e.opts.Name] = receivedDemand{demand: total, receivedAt: now}
	signal(e.summed)
	if urgent {
		e.lastPushed = total.Demand
	}
	e.mu.Unlock()
	b, err := encodeDemand(total)
	if err != nil {
		e.log.Error("cannot encode total demand", "error", err)
		return
	}
	e.gossip.Publish(keyDemand+e.opts.Name, uint64(now), b, urgent, lostEntryTTL)
}

// surged reports whether the demand of any organisation changed by more than surgeRatio.
func surged(before, now map[string]float64) bool {
	for name, d := range now {
		if d >= minSurgeTokens && (d > before[name]*(1+surgeRatio) || d < before[name]*(1-surgeRatio)) {
			return true
		}
	}
	return false
}

// totalDemand returns the sum of the demand of all entries. It scales the sum up by the
// last shares of lost entries, so that the remaining entries leave those shares unused.
// The caller must hold e.mu.
func (e *Exchanger) totalDemand(now sequoiasill.Millis, own Demand, leaving map[string]bool) Demand {
	total := own.plus(Demand{})
	e.addSpent(e.ownSpent, own.Spent)
	e.ownSpent = own.Spent
	total.Spent = sum(e.spent, nil)
	lostShares := make(map[string]float64)
	for entry, t := range e.demands {
		silent := now - t.receivedAt
		switch {
		case silent > lostEntryTTL || silent > silenceTimeout && leaving[entry]:
			delete(e.demands, entry)
		case silent > silenceTimeout:
			for name, share := range t.shares {
				lostShares[name] += share
			}
		default:
			spent := total.Spent
			total = total.plus(t.demand)
			total.Spent = spent
		}
	}
	for name, share := range lostShares {
		total.Demand[name] /= 1 - min(share, maxLostShare)
	}
	for entry, t := range e.demands {
		if now-t.receivedAt > silenceTimeout {
			continue
		}
		t.shares = make(map[string]float64, len(t.demand.Demand))
		for name, d := range t.demand.Demand {
			if total.Demand[name] > 0 {
				t.shares[name] = d / total.Demand[name]
			}
		}
		e.demands[entry] = t
	}
	return total
}

// addSpent adds the increase between two cumulative counts of a process to the total
// spent. The caller must hold e.mu.
func (e *Exchanger) addSpent(before, now map[string]float64) {
	for name, n := range now {
		e.spent[name] += max(n-before[name], 0)
	}
}

// maxLostShare is the maximum share of a quota that is reserved for lost entries.
const maxLostShare = 0.9

// Sum returns the latest total demand published by a collector, or false if none is
// newer than sumTTL.
func (e *Exchanger) Sum() (Demand, bool) {
	_, t, ok := e.sum()
	return t.demand, ok
}

// sum returns the total published by the first collector, in order of rank, whose total is
// not stale, or the most recent total if all are stale.
func (e *Exchanger) sum() (collector string, sum receivedDemand, ok bool) {
	now := e.clock.Now()
	names := e.collectors()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range names {
		t, known := e.sums[name]
		switch {
		case !known || now-t.receivedAt > sumTTL:
		case now-t.receivedAt <= sumStaleAfter:
			return name, t, true
		case !ok || t.receivedAt > sum.receivedAt:
			collector, sum, ok = name, t, true
		}
	}
	return collector, sum, ok
}

// updateTotals passes the number of entries and the latest total demand on to the
// dispatcher.
func (e *Exchanger) updateTotals() {
	e.calls.SetEntries(max(e.gossip.PossiblyAlive(), e.opts.MinEntries))
	collector, sum, ok := e.sum()
	now := e.clock.Now()
	e.mu.Lock()
	var own Demand // totals hold none of an entry that has not reported yet
	if len(e.recentDemands) > 0 {
		own = e.recentDemands[0]
	}
	if ok {
		e.lastSumAt = now
	}
	silent := now - e.lastSumAt
	e.mu.Unlock()
	switch {
	case ok:
		e.calls.SetTotals(allotter.Sum{Source: collector, At: sum.receivedAt, Own: own.Totals, All: sum.demand.Totals})
	case silent > lostEntryTTL:
		e.calls.ClearTotals()
	}
}
