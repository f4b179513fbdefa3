package partblamer

import (
	"cmp"
	"maps"
	"slices"

	"sequoiasill.dev/sequoiasill"
)

// Merge replaces the report of a process of another entry. The last report of a process that has ended
// counts until its crashes expire.
func (b *Blamer) Merge(process string, r Report) {
	if len(r.Crashes) == 0 && len(r.Served) == 0 {
		delete(b.reports, process)
		return
	}
	b.reports[process] = r
}

// Decide evaluates the reports of all entries on a collector. It quarantines the parts that are
// found to crash upstreams, and announces changes of the suspects.
func (b *Blamer) Decide(now sequoiasill.Millis) {
	b.deleteExpired(now)
	b.deleteExpiredReports(now)
	served := b.lastServed()
	for {
		cases := b.cases(now, served)
		b.updateSuspects(now, cases)
		guilty := b.guiltiest(now, cases, served)
		if guilty == nil {
			return
		}
		q := b.newQuarantine(guilty.signature(served), now, now+b.opts.QuarantineDuration)
		b.quarantines[q.signature.String()] = q
		b.changes = append(b.changes, q.change())
	}
}

func (b *Blamer) deleteExpiredReports(now sequoiasill.Millis) {
	for process, r := range b.reports {
		r.Crashes = slices.DeleteFunc(slices.Clone(r.Crashes), func(c Crash) bool { return now-c.At > b.opts.CrashLifetime })
		maps.DeleteFunc(r.Served, func(_ Part, at sequoiasill.Millis) bool { return now-at > b.opts.CrashLifetime })
		b.Merge(process, r)
	}
}

// lastServed returns when suspected parts were last served by any entry, as far as they reported
// it.
func (b *Blamer) lastServed() map[Part]sequoiasill.Millis {
	out := make(map[Part]sequoiasill.Millis)
	for _, r := range b.reports {
		for p, at := range r.Served {
			out[p] = max(out[p], at)
		}
	}
	for _, c := range b.allCrashes() {
		for _, p := range c.Parts {
			if at, ok := b.served.Last(p); ok {
				out[p] = max(out[p], at)
			}
		}
	}
	return out
}

func (b *Blamer) allCrashes() []Crash {
	out := slices.Clone(b.crashes)
	for _, r := range b.reports {
		out = append(out, r.Crashes...)
	}
	return out
}

// suspicion holds the crashes under a part since it was last served. Crashes that a quarantine explains
// count only for the parts of its signature.
type suspicion struct {
	part     Part
	servedAt sequoiasill.Millis // 0 if it never was
	crashes  []Crash
	// crashedAt holds the time of the crash by upstream.
	crashedAt map[uint64]sequoiasill.Millis
	requests  map[uint64]bool
	// explained reports that some of the crashes are explained by a quarantine whose signature holds
	// the part, and unexplainedAt holds the time of each other crash by upstream.
	explained     bool
	unexplainedAt map[uint64]sequoiasill.Millis
}

// cases returns a suspicion for each part that took part in crashes. Crashes of upstreams that
// also ran a quarantined signature are explained by it. They count on for the parts of that signature,
// as it may hold more parts than the deadly one.
func (b *Blamer) cases(now sequoiasill.Millis, served map[Part]sequoiasill.Millis) map[Part]*suspicion {
	crashes := b.allCrashes()
	explained := make(map[uint64]bool)
	for _, c := range crashes {
		for _, q := range b.quarantines {
			if q.until > now && q.signature.matches(c.Parts) {
				explained[c.Upstream] = true
			}
		}
	}
	out := make(map[Part]*suspicion)
	for _, c := range crashes {
		for _, p := range c.Parts {
			if c.At <= served[p] || explained[c.Upstream] && !b.isInSignature(now, c, p) {
				continue
			}
			s := out[p]
			if s == nil {
				s = newSuspicion(p, served[p])
				out[p] = s
			}
			s.add(c, explained[c.Upstream])
		}
	}
	return out
}

// isInSignature reports whether a quarantined signature of several parts matches a crashed call and
// holds one of its parts.
func (b *Blamer) isInSignature(now sequoiasill.Millis, c Crash, p Part) bool {
	for _, q := range b.quarantines {
		if q.until > now && len(q.signature) > 1 && slices.Contains(q.signature, p) && q.signature.matches(c.Parts) {
			return true
		}
	}
	return false
}

// isQuarantined reports whether a quarantine already refuses all calls with a signature.
func (b *Blamer) isQuarantined(now sequoiasill.Millis, s Signature) bool {
	for _, q := range b.quarantines {
		if q.until > now && q.signature.matches(s) {
			return true
		}
	}
	return false
}

func newSuspicion(p Part, servedAt sequoiasill.Millis) *suspicion {
	return &suspicion{
		part: p, servedAt: servedAt, crashedAt: make(map[uint64]sequoiasill.Millis), requests: make(map[uint64]bool),
		unexplainedAt: make(map[uint64]sequoiasill.Millis),
	}
}

func (s *suspicion) add(c Crash, explained bool) {
	s.crashes = append(s.crashes, c)
	s.requests[c.Request] = true
	setEarliest(s.crashedAt, c)
	if explained {
		s.explained = true
		return
	}
	setEarliest(s.unexplainedAt, c)
}

// setEarliest records the time of the first crash of an upstream.
func setEarliest(times map[uint64]sequoiasill.Millis, c Crash) {
	if at, known := times[c.Upstream]; !known || c.At < at {
		times[c.Upstream] = c.At
	}
}

// firstCrash returns the time of the first crash.
func (s *suspicion) firstCrash() sequoiasill.Millis {
	return slices.MinFunc(s.crashes, func(a, b Crash) int { return cmp.Compare(a.At, b.At) }).At
}

// upstreamsWithout returns the number of upstreams that crashed only under calls without another
// part.
func (s *suspicion) upstreamsWithout(other Part) int {
	with := make(map[uint64]bool)
	for _, c := range s.crashes {
		if slices.Contains(c.Parts, other) {
			with[c.Upstream] = true
		}
	}
	return len(s.crashedAt) - len(with)
}

// outages returns the number of crashes, where those within a window of time count as one.
func outages(crashedAt map[uint64]sequoiasill.Millis, window sequoiasill.Millis) int {
	n, last := 0, sequoiasill.Millis(0)
	for _, at := range slices.Sorted(maps.Values(crashedAt)) {
		if n == 0 || at-last >= window {
			n, last = n+1, at
		}
	}
	return n
}

// signature returns the parts that all crashed calls with the part have in common and that were
// never served or, if there are none, that were not served since the first of the crashes.
func (s *suspicion) signature(served map[Part]sequoiasill.Millis) Signature {
	common := slices.Clone(s.crashes[0].Parts)
	first := s.crashes[0].At
	for _, c := range s.crashes[1:] {
		common = slices.DeleteFunc(common, func(p Part) bool { return !slices.Contains(c.Parts, p) })
		first = min(first, c.At)
	}
	neverServed := slices.DeleteFunc(slices.Clone(common), func(p Part) bool { return served[p] > 0 })
	if len(neverServed) > 0 {
		return neverServed
	}
	return slices.DeleteFunc(common, func(p Part) bool { return served[p] >= first })
}

// updateSuspects updates the suspected parts and announces them to the other entries if they
// changed.
func (b *Blamer) updateSuspects(now sequoiasill.Millis, cases map[Part]*suspicion) {
	for p := range b.suspectedSince {
		if s := cases[p]; s == nil || len(s.crashedAt) < b.opts.SuspicionThreshold {
			delete(b.suspectedSince, p)
		}
	}
	for _, s := range sorted(cases) {
		if _, known := b.suspectedSince[s.part]; known || len(s.crashedAt) < b.opts.SuspicionThreshold {
			continue
		}
		if len(b.suspectedSince) >= b.opts.MaxSuspects {
			break
		}
		b.suspectedSince[s.part] = now
	}
	current := slices.Sorted(maps.Keys(b.suspectedSince))
	repeat := len(current) > 0 && now-b.announcedAt > b.opts.SuspectLifetime/2
	if repeat || !slices.Equal(current, b.announced) {
		b.announced, b.announcedAt = current, now
		b.changes = append(b.changes, Change{Suspects: current})
	}
}

// guiltiest returns the strongest suspicion that suffices for a quarantine and is not spared, or nil.
func (b *Blamer) guiltiest(now sequoiasill.Millis, cases map[Part]*suspicion, served map[Part]sequoiasill.Millis) *suspicion {
	ordered := sorted(cases)
	for _, s := range ordered {
		if b.suffices(now, s, served) && (s.explained || !b.isSpared(s, ordered)) {
			return s
		}
	}
	return nil
}

// isSpared reports whether another suspect, which was in fewer calls, was in nearly all calls of a
// suspicion: the part may merely have been in a further call that crashed for another reason. A
// suspect that was served after the first of the crashes did not cause that one, and is in fewer calls
// as the crashes before its service do not count.
func (b *Blamer) isSpared(s *suspicion, suspects []*suspicion) bool {
	if b.opts.ByUpstream {
		return slices.ContainsFunc(suspects, func(other *suspicion) bool { return other != s && b.isLikelier(other, s) })
	}
	first := s.firstCrash()
	return slices.ContainsFunc(suspects, func(other *suspicion) bool {
		return len(other.crashedAt) >= b.opts.SuspicionThreshold && len(other.crashes) < len(s.crashes) &&
			other.servedAt < first && s.upstreamsWithout(other.part) < b.opts.CrashThreshold
	})
}

// isLikelier reports whether another request is the more likely cause of the crashes of a suspicion: it was in
// progress at nearly all of these upstreams, and at more upstreams that crashed or, at as many, in fewer
// calls. Of two requests of which neither is, both are spared until there are more crashes.
func (b *Blamer) isLikelier(other, s *suspicion) bool {
	if len(other.crashedAt) < b.opts.SuspicionThreshold || other.servedAt >= s.firstCrash() || s.upstreamsNotOf(other) >= b.opts.CrashThreshold {
		return false
	}
	switch {
	case len(other.crashedAt) != len(s.crashedAt):
		return len(other.crashedAt) > len(s.crashedAt)
	case len(other.crashes) != len(s.crashes):
		return len(other.crashes) < len(s.crashes)
	}
	return len(s.crashedAt) < b.opts.KnownCrashThreshold
}

// upstreamsNotOf returns the number of upstreams whose crash another suspicion does not share.
func (s *suspicion) upstreamsNotOf(other *suspicion) int {
	n := 0
	for upstream := range s.crashedAt {
		if _, shared := other.crashedAt[upstream]; !shared {
			n++
		}
	}
	return n
}

// suffices reports whether a suspicion suffices for a quarantine. That calls with a part of a
// quarantined signature, but not with all of it, crash further upstreams shows that the signature
// holds parts that are not deadly.
func (b *Blamer) suffices(now sequoiasill.Millis, s *suspicion, served map[Part]sequoiasill.Millis) bool {
	since, suspected := b.suspectedSince[s.part]
	if !suspected || now-since < b.opts.ReplyTime || len(s.requests) < b.opts.MinRequests {
		return false
	}
	n := outages(b.settled(now, s.crashedAt), b.opts.OutageWindow)
	switch {
	case s.explained:
		return s.servedAt == 0 && len(s.unexplainedAt) >= b.opts.SuspicionThreshold && !b.isQuarantined(now, s.signature(served))
	case s.servedAt == 0:
		return n >= b.opts.CrashThreshold
	}
	return n >= b.opts.KnownCrashThreshold && now-s.servedAt >= b.opts.MinSilence
}

// settled returns the crashes that are old enough that all entries have reported the calls that ended with
// them, if that matters.
func (b *Blamer) settled(now sequoiasill.Millis, crashedAt map[uint64]sequoiasill.Millis) map[uint64]sequoiasill.Millis {
	if !b.opts.ByUpstream {
		return crashedAt
	}
	out := maps.Clone(crashedAt)
	maps.DeleteFunc(out, func(_ uint64, at sequoiasill.Millis) bool { return now-at < b.opts.ReplyTime })
	return out
}

// sorted returns the suspicions in the order of their strength: parts that were never served
// first, then by the number of upstreams. Among equals, the part that was in fewer calls is the
// more likely cause of the crashes.
func sorted(cases map[Part]*suspicion) []*suspicion {
	return slices.SortedFunc(maps.Values(cases), func(a, b *suspicion) int {
		return cmp.Or(
			cmp.Compare(min(a.servedAt, 1), min(b.servedAt, 1)), cmp.Compare(len(b.crashedAt), len(a.crashedAt)),
			cmp.Compare(len(a.crashes), len(b.crashes)), cmp.Compare(a.part, b.part),
		)
	})
}
