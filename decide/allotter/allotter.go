// Package allotter admits calls within the allowances of their organisations,
// which hold for all entries together. No entry asks another before it admits a
// call. Each follows the token bucket of all entries as sums of what they spent
// come in, about a second late. While the bucket holds enough, a call is admitted
// wherever it comes; once it is nearly empty, each entry spends only a share of the
// rate, which follows the demand and sums with the others to the whole; and nothing
// is admitted while the bucket is overdrawn.
//
// An Allotter is a state machine without I/O. It answers the load in which one
// organisation sends many times its usual, and that in which many entries each see
// few, large calls.
package allotter

import (
	"math"

	"sequoiasill.dev/sequoiasill"
)

// Limits are what an allowance may be exceeded by.
type Limits struct {
	Window sequoiasill.Millis
	Excess float64 // part of what a window allows
	Slack  float64 // tokens beyond
}

const (
	// floorPart of an allowance is divided evenly, the rest by demand.
	floorPart = 0.15
	// slackPart of the tokens beyond and excessPart of the part by which an allowance
	// may be exceeded are spent evenly; the rest is kept for calls that overdraw a
	// share and for views that differ.
	slackPart  = 0.5
	excessPart = 0.2
	// demandSpan is the time in which the memory of demand falls to 1/e.
	demandSpan = 3 * sequoiasill.Second
	// freshSpan is the age up to which a sum tells the state of the bucket.
	freshSpan = 2500 * sequoiasill.Millis(1)
	// reservePart of the burst must be left, and the demand below usualPart of the
	// rate, for calls to be admitted wherever they come. OverdrawnPart of the burst may
	// be overdrawn before nothing is admitted.
	reservePart   = 0.3
	usualPart     = 0.9
	overdrawnPart = 0.25
)

// Totals are what entries tell each other, by organisation.
type Totals struct {
	Tokens map[string]float64 // asked for each second
	Spent  map[string]float64 // admitted so far; it never falls
}

// Allotter holds an entry's shares. It is not safe for concurrent use.
type Allotter struct {
	limits  Limits
	entries int
	filled  bool               // bursts are saved up at the start
	parts   map[string]float64 // of each allowance, by demand; nil where it is not known
	all     map[string]float64 // demand at all entries in tokens a second
	told    bool               // a sum was told: the last one by source at toldAt
	source  string
	toldAt  sequoiasill.Millis
	shares  map[string]*share // by organisation
}

// share is an organisation's allowance at this entry.
type share struct {
	level   float64 // tokens that this entry's share holds; below 0 after a call that overdrew it
	updated sequoiasill.Millis
	begun   bool
	demand  float64 // tokens a second asked of this entry
	spent   float64 // tokens admitted at this entry

	bucket bucket
}

// bucket is the token bucket of all entries as the sums of one source show it.
type bucket struct {
	source   string
	seen     float64 // spent by all, as last told
	own      float64 // spent by this entry, of that
	others   float64 // asked of the others each second, as last told
	expected float64 // taken off since then for what they spend
	debit    float64 // told but not yet taken off
	level    float64
	filled   bool
	toldAt   sequoiasill.Millis
}

// New returns an allotter for one of a number of entries. Filled tells that the
// whole system starts for the first time; else the bursts may have been spent
// before by processes that have ended.
func New(limits Limits, entries int, filled bool) *Allotter {
	return &Allotter{limits: limits, entries: max(entries, 1), filled: filled, shares: make(map[string]*share)}
}

// SetLimits replaces what allowances may be exceeded by.
func (a *Allotter) SetLimits(l Limits) { a.limits = l }

// SetEntries tells the number of entries that share the allowances.
func (a *Allotter) SetEntries(n int) { a.entries = max(n, 1) }

// Sum is the totals of all entries as one source told them.
type Sum struct {
	Source string
	At     sequoiasill.Millis // when it came
	Own    Totals             // of this entry, at the time of the others
	All    Totals
}

// SetTotals tells the totals of all entries. Own ones must be of the same time: an
// entry that set a surge of its own against what it heard of the others before would
// take too much. So a sum that was told before changes nothing, and until another one
// comes, parts stay as they are.
func (a *Allotter) SetTotals(sum Sum) {
	if a.told && sum.Source == a.source && sum.At == a.toldAt {
		return
	}
	a.told, a.source, a.toldAt = true, sum.Source, sum.At
	a.all = sum.All.Tokens
	a.parts = make(map[string]float64, len(sum.All.Tokens))
	for name, d := range sum.All.Tokens {
		if d > 0 {
			a.parts[name] = min(sum.Own.Tokens[name]/d, 1)
		}
	}
	for name := range sum.All.Spent {
		if _, ok := a.shares[name]; !ok {
			a.shares[name] = &share{updated: sum.At}
		}
	}
	for name, s := range a.shares {
		s.bucket.tell(sum, name)
	}
}

// tell takes in a sum. What the others spent since the last one is only known where the
// source is the same, as each counts from a time of its own; else what was expected of
// them stands.
func (b *bucket) tell(sum Sum, name string) {
	own, all := sum.Own.Spent[name], sum.All.Spent[name]
	switch b.source {
	case sum.Source:
		b.debit += max(all-b.seen, 0) - b.expected
	case "":
	default:
		b.debit += max(own-b.own, 0)
	}
	b.expected = 0
	b.others = max(sum.All.Tokens[name]-sum.Own.Tokens[name], 0)
	b.source, b.seen, b.own, b.toldAt = sum.Source, all, own, sum.At
}

// ForgetTotals tells that the demand at the others is not known any longer.
func (a *Allotter) ForgetTotals() { a.parts = nil }

// Spent returns the tokens admitted at this entry by organisation.
func (a *Allotter) Spent() map[string]float64 {
	out := make(map[string]float64, len(a.shares))
	for name, s := range a.shares {
		if s.spent > 0 {
			out[name] = s.spent
		}
	}
	return out
}

// Demand returns the demand at this entry in tokens a second by organisation.
func (a *Allotter) Demand(now sequoiasill.Millis) map[string]float64 {
	out := make(map[string]float64, len(a.shares))
	for name, s := range a.shares {
		if d := s.demand * math.Exp(-float64(now-s.updated)/float64(demandSpan)); d >= 1 {
			out[name] = d
		}
	}
	return out
}

// part returns this entry's part of an organisation's allowance.
func (a *Allotter) part(name string) float64 {
	even := 1 / float64(a.entries)
	byDemand, ok := a.parts[name]
	if !ok {
		return even
	}
	return floorPart*even + (1-floorPart)*byDemand
}

// rate returns the tokens a second that all entries may spend.
func (a *Allotter) rate(acc *sequoiasill.Account) float64 {
	seconds := float64(max(a.limits.Window, 1)) / float64(sequoiasill.Second)
	window := acc.RatePerSec*seconds + acc.Burst
	return acc.RatePerSec + (excessPart*window*a.limits.Excess+slackPart*a.limits.Slack)/seconds
}

// Take admits a call that costs tokens, or returns after which time one may be.
// A call may overdraw a share that is not empty, as calls are larger than the
// shares of small organisations.
func (a *Allotter) Take(now sequoiasill.Millis, acc *sequoiasill.Account, cost float64) (wait sequoiasill.Millis, ok bool) {
	if acc.RatePerSec <= 0 {
		return 0, true
	}
	s := a.share(now, acc)
	s.demand += cost / float64(demandSpan) * float64(sequoiasill.Second)
	left, fresh := s.left(now)
	switch {
	case fresh && left > reservePart*acc.Burst && a.all[acc.Name] < usualPart*acc.RatePerSec:
		s.level = max(s.level-cost, min(s.level, 0))
	case fresh && left < -overdrawnPart*acc.Burst:
		return sequoiasill.Millis((-overdrawnPart*acc.Burst-left)/acc.RatePerSec*float64(sequoiasill.Second)) + 1, false
	case s.level > 0:
		s.level -= cost
	default:
		rate := a.rate(acc) * a.part(acc.Name)
		return sequoiasill.Millis(-s.level/rate*float64(sequoiasill.Second)) + 1, false
	}
	s.spent += cost
	return 0, true
}

// left returns what the bucket of all entries holds, as far as is known here, and
// whether that is fresh.
func (s *share) left(now sequoiasill.Millis) (float64, bool) {
	return s.bucket.level - max(s.spent-s.bucket.own, 0), s.bucket.filled && now-s.bucket.toldAt <= freshSpan
}

// Share tells what decides about an organisation's calls at this entry.
type Share struct {
	Part  float64 // of the allowance
	Level float64 // tokens that may be spent
	Own   float64 // demand at this entry in tokens a second
	Left  float64 // in the bucket of all entries
	Fresh bool    // that is known
}

// Share returns this entry's share of an organisation's allowance.
func (a *Allotter) Share(now sequoiasill.Millis, acc *sequoiasill.Account) Share {
	s := a.share(now, acc)
	left, fresh := s.left(now)
	return Share{Part: a.part(acc.Name), Level: s.level, Own: s.demand, Left: left, Fresh: fresh}
}

// Return gives back what a call took that was not run.
func (a *Allotter) Return(now sequoiasill.Millis, acc *sequoiasill.Account, cost float64) {
	if acc.RatePerSec <= 0 {
		return
	}
	s := a.share(now, acc)
	s.level += cost
	// What was told as spent stays so; the bucket gets it back here.
	s.bucket.level += cost
}

// share brings an organisation's share up to now.
func (a *Allotter) share(now sequoiasill.Millis, acc *sequoiasill.Account) *share {
	s, ok := a.shares[acc.Name]
	if !ok {
		s = &share{updated: now}
		a.shares[acc.Name] = s
	}
	passed := float64(max(now-s.updated, 0)) / float64(sequoiasill.Second)
	s.updated = max(now, s.updated)
	s.demand *= math.Exp(-passed * float64(sequoiasill.Second) / float64(demandSpan))
	full := acc.Burst * a.part(acc.Name)
	if !s.begun {
		s.begun = true
		if a.filled {
			s.level = full
		}
	}
	s.level = min(s.level+passed*a.rate(acc)*a.part(acc.Name), full)
	s.bucket.fill(passed, a.rate(acc), acc.Burst, a.filled)
	return s
}

// fill adds what came in some seconds and takes off what was told as spent, and what the
// others are expected to spend, which is no more than the rate.
func (b *bucket) fill(seconds, rate, burst float64, full bool) {
	if !b.filled {
		if b.source == "" {
			return
		}
		b.filled = true
		if full {
			b.level = burst
		}
	}
	expected := seconds * min(b.others, rate)
	b.level = min(b.level+seconds*rate-expected-b.debit, burst)
	b.expected += expected
	b.debit = 0
}
