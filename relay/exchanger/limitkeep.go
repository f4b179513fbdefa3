package exchanger

import (
	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/throttler"
)

// decide answers an ask of an entry as the keeper.
func (e *Exchanger) decide(entry string, a wireAsk) throttler.Decision {
	now := e.boot.Now()
	u := throttler.Upstream{Name: a.Upstream, Born: sequoiasill.Millis(a.Born)}
	l := e.limits
	l.mu.Lock()
	if l.keeper(u.Name) != e.opts.Name {
		// The entries differ in who lives; soon they will not.
		l.mu.Unlock()
		return throttler.Decision{Wait: silentWait}
	}
	begins := l.take(now, u, a)
	l.throttler.Reported(now, u, throttler.Report{Entry: entry, Process: a.Process, Number: a.ID, Sends: fromWireSends(a.Sends)})
	var d throttler.Decision
	if a.Wants {
		d = l.throttler.Ask(now, u, entry, throttler.Call{Process: a.Process, ID: a.ID})
	}
	l.mu.Unlock()
	if begins {
		e.log.Info("keeping the limit of an upstream", "upstream", u.Name, "perSecond", a.PerSecond, "told", entry)
		e.publishLimit(u, wireLimit{Born: a.Born, Limited: true, PerSecond: a.PerSecond})
	}
	return d
}

// take takes in what an ask says of a limit. It returns true if the limit is kept here
// only from now on. The caller holds the lock of l.
func (l *limits) take(now sequoiasill.Millis, u throttler.Upstream, a wireAsk) (begins bool) {
	if a.Named {
		return l.throttler.Named(now, now-sequoiasill.Millis(a.AgeMillis), u, a.PerSecond)
	}
	return l.throttler.Heard(now, u, a.PerSecond)
}

// learnAsk answers an ask or a report of another entry.
func (e *Exchanger) learnAsk(entry string, f gossiper.Fact) {
	a, err := decodeAsk(f.Value)
	if err != nil {
		e.log.Warn("fact cannot be read", "key", f.Key, "error", err)
		return
	}
	d := e.decide(entry, a)
	e.tellOne(entry, keyDecision, wireDecision{
		Upstream: a.Upstream, Born: a.Born, ID: a.ID, Wanted: a.Wants, Granted: d.Granted, Free: d.Free, WaitMillis: int64(d.Wait), Granter: d.Granter,
	})
}

// learnUse takes in as the keeper how a call of another entry ended.
func (e *Exchanger) learnUse(f gossiper.Fact) {
	w, err := decodeUse(f.Value)
	if err != nil {
		e.log.Warn("fact cannot be read", "key", f.Key, "error", err)
		return
	}
	e.use(w)
}

func (e *Exchanger) use(w wireUse) {
	now := e.boot.Now()
	u := throttler.Upstream{Name: w.Upstream, Born: sequoiasill.Millis(w.Born)}
	end := throttler.Unsent
	if w.Came {
		end = throttler.Came
	}
	c := throttler.Call{Process: w.Process, ID: w.ID}
	l := e.limits
	l.mu.Lock()
	lifted := w.Told && l.throttler.Answered(now, u, c, w.PerSecond, w.Limited)
	l.throttler.Ended(now, u, c, end)
	l.mu.Unlock()
	if lifted {
		e.log.Info("limit of an upstream is over", "upstream", u.Name)
		e.publishLimit(u, wireLimit{Born: w.Born})
		e.calls.LimitLifted(u, "keeper")
	}
}

// lookAtLimits lets time pass for the limits: it takes in who lives, asks for reports that
// are missing, repeats its own, and renews the news of limits that it keeps.
func (e *Exchanger) lookAtLimits() {
	live, stay := e.lives()
	now := e.boot.Now()
	missing := make(map[throttler.Upstream][]string)
	rates := make(map[throttler.Upstream]float64)
	l := e.limits
	l.mu.Lock()
	l.names = stay
	l.throttler.SetMembers(live, e.gossip.Sharers())
	l.throttler.Tick(now)
	for _, u := range l.throttler.Kept() {
		if l.keeper(u.Name) != e.opts.Name {
			l.throttler.Drop(u)
			continue
		}
		rates[u], _ = l.throttler.Rate(u)
		missing[u] = l.throttler.Missing(now, u)
	}
	var untold []throttler.Upstream
	for u := range l.reports {
		untold = append(untold, u)
	}
	for id, at := range l.used {
		if e.clock.Now()-at > usedSpan {
			delete(l.used, id)
		}
	}
	l.mu.Unlock()
	for u, rate := range rates {
		e.publishLimit(u, wireLimit{Born: int64(u.Born), Limited: true, PerSecond: rate})
		for _, entry := range missing[u] {
			if entry == e.opts.Name {
				e.calls.LimitHeard(u, rate, "keeper")
				e.report(u, rate)
				continue
			}
			e.tellOne(entry, keyCensus, wireCensus{Upstream: u.Name, Born: int64(u.Born), PerSecond: rate})
		}
	}
	for _, u := range untold {
		e.tryReport(u)
	}
}

// lives returns the names of the entries that live, and of those of them that stay.
func (e *Exchanger) lives() (live, stay []string) {
	for _, m := range e.gossip.Members() {
		live = append(live, m.Name)
		if !m.Leaving {
			stay = append(stay, m.Name)
		}
	}
	if len(stay) == 0 {
		stay = live
	}
	return live, stay
}
