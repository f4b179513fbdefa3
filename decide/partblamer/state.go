package partblamer

import (
	"cmp"
	"maps"
	"slices"

	"sequoiasill.dev/sequoiasill"
)

// State is what must outlive the processes of all entries, as a collector knows it.
type State struct {
	Quarantines []Quarantine // sorted by signature
	// Crashes are those that count against suspects, one for each upstream, sorted by request and time.
	Crashes []Crash
}

// Quarantine is a quarantine with its times.
type Quarantine struct {
	Signature Signature
	Since     sequoiasill.Millis
	Until     sequoiasill.Millis
}

// maxStoredCrashes bounds the crashes of a suspect in a State. One that takes part in so many is quarantined.
const maxStoredCrashes = 8

// storedProcess is the process that is named as the reporter of crashes of a State.
const storedProcess = "store"

// State returns the quarantines, and the crashes of requests that have been suspected for so long that entries that
// served them have replied. It is for a Blamer of requests.
func (b *Blamer) State(now sequoiasill.Millis) State {
	var s State
	for _, q := range b.quarantines {
		if q.until > now {
			s.Quarantines = append(s.Quarantines, Quarantine{Signature: q.signature, Since: q.since, Until: q.until})
		}
	}
	slices.SortFunc(s.Quarantines, func(a, b Quarantine) int { return slices.Compare(a.Signature, b.Signature) })
	cases := b.cases(now, b.lastServed())
	for _, p := range slices.Sorted(maps.Keys(b.suspectedSince)) {
		if suspicion := cases[p]; suspicion != nil && now-b.suspectedSince[p] >= b.opts.ReplyTime {
			s.Crashes = append(s.Crashes, suspicion.perUpstream()...)
		}
	}
	return s
}

// perUpstream returns the first crash at each upstream, the oldest first.
func (s *suspicion) perUpstream() []Crash {
	var out []Crash
	for upstream, at := range s.crashedAt {
		out = append(out, Crash{Request: uint64(s.part), Upstream: upstream, At: at, Parts: []Part{s.part}})
	}
	slices.SortFunc(out, func(a, b Crash) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Upstream, b.Upstream)) })
	return out[:min(len(out), maxStoredCrashes)]
}

// RestoreState continues with a State that an earlier process stored, except for requests that were served since
// this one started. Quarantines are tested as if they had never ended.
func (b *Blamer) RestoreState(now sequoiasill.Millis, s State) {
	for _, stored := range s.Quarantines {
		key := stored.Signature.String()
		if _, known := b.quarantines[key]; known || stored.Until <= now || b.allServed(stored.Signature) {
			continue
		}
		q := b.newQuarantine(stored.Signature, min(stored.Since, now), min(stored.Until, now+b.opts.QuarantineDuration))
		q.nextProbe = b.nextProbe(now, q)
		b.quarantines[key] = q
		b.changes = append(b.changes, q.change())
	}
	var r Report
	for _, c := range s.Crashes {
		c.At = min(c.At, now)
		if now-c.At <= b.opts.CrashLifetime && !b.allServedSince(c) {
			r.Crashes = append(r.Crashes, c)
		}
	}
	b.Merge(storedProcess, r)
}
