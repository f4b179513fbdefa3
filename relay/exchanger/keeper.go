package exchanger

import (
	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/throttler"
)

// decide processes an ask of an entry on the keeper's side and returns the decision.
func (e *Exchanger) decide(entry string, a wireAsk) throttler.Decision {
	now := e.bootClock.Now()
	u := throttler.Upstream{Name: a.Upstream, StartedAt: sequoiasill.Millis(a.StartedAt)}
	l := e.limits
	l.mu.Lock()
	if l.keeper(u.Name) != e.opts.Name {
		// The entries temporarily disagree on the live members, and so on the keeper.
		l.mu.Unlock()
		return throttler.Decision{Wait: keeperRetryDelay}
	}
	newlyKept := l.applyAsk(now, u, a)
	l.throttler.MergeReport(now, u, throttler.Report{Entry: entry, Process: a.Process, Sequence: a.ID, Sends: fromWireSends(a.Sends)})
	var d throttler.Decision
	if a.WantsPermit {
		d = l.throttler.Ask(now, u, entry, throttler.Call{Process: a.Process, ID: a.ID})
	}
	l.mu.Unlock()
	if newlyKept {
		e.log.Info("keeping the limit of an upstream", "upstream", u.Name, "perSecond", a.PerSecond, "told", entry)
		e.publishKept(u)
	}
	return d
}

// applyAsk passes the limit in an ask on to the throttler. It returns true if this entry
// did not keep that limit before. The caller must hold l.mu.
func (l *limits) applyAsk(now sequoiasill.Millis, u throttler.Upstream, a wireAsk) (newlyKept bool) {
	if a.FromUpstream {
		return l.throttler.HandleAnnouncement(now, now-sequoiasill.Millis(a.AgeMillis), u, a.PerSecond)
	}
	return l.throttler.LearnLimit(now, u, a.PerSecond)
}

// handleAsk handles and answers an ask or a report of another entry.
func (e *Exchanger) handleAsk(entry string, f gossiper.Fact) {
	a, err := decodeAsk(f.Value)
	if err != nil {
		e.log.Warn("fact cannot be read", "key", f.Key, "error", err)
		return
	}
	d := e.decide(entry, a)
	e.sendTo(entry, keyDecision, wireDecision{
		Upstream: a.Upstream, StartedAt: a.StartedAt, ID: a.ID, WantsPermit: a.WantsPermit, Granted: d.Granted, Lifted: d.Lifted, WaitMillis: int64(d.Wait), Granter: d.Granter,
	})
}

// handleUse handles, on the keeper, another entry's report of how a call ended.
func (e *Exchanger) handleUse(f gossiper.Fact) {
	w, err := decodeUse(f.Value)
	if err != nil {
		e.log.Warn("fact cannot be read", "key", f.Key, "error", err)
		return
	}
	e.endCall(w)
}

func (e *Exchanger) endCall(w wireUse) {
	now := e.bootClock.Now()
	u := throttler.Upstream{Name: w.Upstream, StartedAt: sequoiasill.Millis(w.StartedAt)}
	end := throttler.Unsent
	if w.Reached {
		end = throttler.Arrived
	}
	c := throttler.Call{Process: w.Process, ID: w.ID}
	l := e.limits
	l.mu.Lock()
	lifted := w.Reported && l.throttler.HandleResponse(now, u, c, w.PerSecond, w.Limited)
	l.throttler.FinishCall(now, u, c, end)
	l.mu.Unlock()
	if lifted {
		e.log.Info("limit of an upstream is over", "upstream", u.Name)
		e.publishLifted(u)
	}
}

// publishKept publishes a limit that this entry keeps and returns its rate, unless it was lifted.
func (e *Exchanger) publishKept(u throttler.Upstream) (rate float64, kept bool) {
	l := e.limits
	l.publishMu.Lock()
	defer l.publishMu.Unlock()
	l.mu.Lock()
	rate, kept = l.throttler.Rate(u)
	l.mu.Unlock()
	if kept {
		e.publishLimit(u, wireLimit{StartedAt: int64(u.StartedAt), Limited: true, PerSecond: rate})
	}
	return rate, kept
}

// publishLifted publishes the end of a limit that this entry kept, unless it was announced again.
func (e *Exchanger) publishLifted(u throttler.Upstream) {
	l := e.limits
	l.publishMu.Lock()
	defer l.publishMu.Unlock()
	l.mu.Lock()
	_, kept := l.throttler.Rate(u)
	l.mu.Unlock()
	if !kept {
		e.publishLimit(u, wireLimit{StartedAt: int64(u.StartedAt)})
		e.calls.RecordLimitLifted(u, "keeper")
	}
}

// checkLimits does the periodic work on limits: it updates the throttler's membership and
// clock, drops limits that have another keeper now, requests missing reports, repeats
// unconfirmed ones, and renews the facts about limits kept here.
func (e *Exchanger) checkLimits() {
	missing, unconfirmed := e.updateLimits()
	e.renewLimits(missing)
	for _, u := range unconfirmed {
		e.sendReport(u)
	}
}

// updateLimits returns the limits kept here, with the entries whose reports are missing, and the
// upstreams for which reports of this entry are unconfirmed.
func (e *Exchanger) updateLimits() (missing map[throttler.Upstream][]string, unconfirmed []throttler.Upstream) {
	live, remaining := e.liveEntries()
	now := e.bootClock.Now()
	missing = make(map[throttler.Upstream][]string)
	l := e.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	l.candidates = remaining
	l.throttler.SetMembers(live, e.gossip.PossiblyAlive())
	l.throttler.Tick(now)
	for _, u := range l.throttler.KeptLimits() {
		if l.keeper(u.Name) != e.opts.Name {
			l.throttler.Drop(u)
			continue
		}
		missing[u] = l.throttler.Missing(now, u)
	}
	for u := range l.pendingReports {
		unconfirmed = append(unconfirmed, u)
	}
	for id, at := range l.usedPermits {
		if e.clock.Now()-at > usedPermitTTL {
			delete(l.usedPermits, id)
		}
	}
	return missing, unconfirmed
}

// renewLimits renews the facts about limits kept here, and requests missing reports.
func (e *Exchanger) renewLimits(missing map[throttler.Upstream][]string) {
	for u, entries := range missing {
		rate, kept := e.publishKept(u)
		if !kept {
			continue
		}
		for _, entry := range entries {
			if entry == e.opts.Name {
				e.calls.RecordLimit(u, rate, "keeper")
				e.startReport(u, rate)
				continue
			}
			e.sendTo(entry, keyCensus, wireCensus{Upstream: u.Name, StartedAt: int64(u.StartedAt), PerSecond: rate})
		}
	}
}

// liveEntries returns the names of all live entries, and of those that are not leaving.
func (e *Exchanger) liveEntries() (live, remaining []string) {
	for _, m := range e.gossip.Members() {
		live = append(live, m.Name)
		if !m.Leaving {
			remaining = append(remaining, m.Name)
		}
	}
	if len(remaining) == 0 {
		remaining = live
	}
	return live, remaining
}
