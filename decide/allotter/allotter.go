// Package allotter implements distributed rate limiting by the quotas of organisations.
// A quota applies to all entries together, but an entry admits a call without asking
// other entries. Each entry keeps a local estimate of the shared token bucket, from
// totals of what all entries spent, which arrive about a second late. While the bucket
// holds enough tokens, any entry admits a call. When the bucket is nearly empty, an
// entry spends only its share of the rate; shares follow demand and sum to the whole
// rate. What an entry spends beyond its share before it learns of what the others spent is
// limited, too. Nothing is admitted while the bucket is overdrawn by more than a fraction of the
// burst.
//
// While an organisation asks for clearly more than its quota, urgent calls and small ones are admitted
// before the others, see precedence.go.
//
// An Allotter is a state machine without I/O. It is designed for a load in which one
// organisation sends many times its normal traffic, and for one in which each of many
// entries receives few, large calls.
package allotter

import (
	"math"

	"sequoiasill.dev/sequoiasill"
)

// Limits is the tolerance by which the spending in a window may exceed a quota.
type Limits struct {
	Window sequoiasill.Millis
	Excess float64 // fraction of what the quota allows in a window
	Slack  float64 // tokens in addition to Excess
}

const (
	// floorFraction of a quota is divided equally among entries, the rest by demand.
	floorFraction = 0.15
	// slackFraction and excessFraction are the fractions of Limits.Slack and Limits.Excess
	// that are added to the rate. The rest is a reserve for calls that overdraw a share
	// and for entries whose estimates differ.
	slackFraction  = 0.5
	excessFraction = 0.2
	// demandTimeConstant is the time in which the moving average of demand decays to 1/e.
	demandTimeConstant = 3 * sequoiasill.Second
	// maxSumAge is the age up to which a sum is used to estimate the shared bucket.
	maxSumAge = 2500 * sequoiasill.Millis(1)
	// An entry admits calls beyond its share while the shared bucket holds more than
	// reserveFraction of the burst and the demand at all entries is below
	// normalDemandFraction of the rate.
	// It admits none once the bucket is overdrawn by more than overdraftFraction of the
	// burst.
	reserveFraction      = 0.3
	normalDemandFraction = 0.9
	overdraftFraction    = 0.25
	// borrowedParts is how many equal parts of the shared bucket an entry may borrow between two sums.
	// More than one, as calls are spread unevenly; few, as a surge may reach all entries at once.
	borrowedParts = 2
)

// Totals is what entries report, by organisation.
type Totals struct {
	Demand map[string]float64 // demand in tokens per second
	Spent  map[string]float64 // tokens admitted so far; never decreases
}

// Allotter holds an entry's shares. It is not safe for concurrent use.
type Allotter struct {
	limits          Limits
	entries         int
	startFull       bool               // buckets start full
	demandFractions map[string]float64 // this entry's fraction of the demand; nil if not known
	totalDemand     map[string]float64 // demand at all entries in tokens per second
	hasSum          bool               // a sum was received; lastSource and lastSumAt identify the last one
	lastSource      string
	lastSumAt       sequoiasill.Millis
	shares          map[string]*share // by organisation
}

// share is the state of an organisation's quota at this entry.
type share struct {
	level        float64 // tokens in this entry's share; below 0 after a call overdrew it
	updated      sequoiasill.Millis
	initialised  bool
	demand       float64 // demand at this entry in tokens per second
	urgentDemand float64 // the part of demand that is not less urgent
	spent        float64 // tokens admitted at this entry
	borrowed     float64 // tokens admitted beyond this entry's share since the last sum
	reserve      float64 // tokens of this entry's share that are kept for small calls
	lastTaken    taken

	bucket bucket
}

// taken is where the tokens of an admitted call were taken, and what it added to the urgent demand.
type taken struct{ level, borrowed, reserve, urgentDemand float64 }

func (s *share) take(t taken) {
	s.level -= t.level
	s.borrowed += t.borrowed
	s.reserve -= t.reserve
	s.lastTaken = t
}

// bucket estimates the token bucket of all entries from the sums of one source.
type bucket struct {
	source          string
	spentByAll      float64 // tokens spent by all entries, from the last sum
	spentHere       float64 // tokens of spentByAll that this entry spent
	demandElsewhere float64 // demand at other entries in tokens per second, from the last sum
	expectedSpend   float64 // estimated tokens that other entries spent since the last sum, already deducted
	debit           float64 // tokens reported as spent but not deducted yet
	level           float64
	initialised     bool
	updatedAt       sequoiasill.Millis
}

// New returns an allotter for one of a number of entries. StartFull means that the
// whole system starts for the first time. Otherwise buckets start empty, as earlier
// processes may have spent the burst.
func New(limits Limits, entries int, startFull bool) *Allotter {
	return &Allotter{limits: limits, entries: max(entries, 1), startFull: startFull, shares: make(map[string]*share)}
}

// SetLimits replaces the tolerance of the quotas.
func (a *Allotter) SetLimits(l Limits) { a.limits = l }

// SetEntries sets the number of entries that share the quotas.
func (a *Allotter) SetEntries(n int) { a.entries = max(n, 1) }

// Sum is the totals of all entries as reported by one source.
type Sum struct {
	Source string
	At     sequoiasill.Millis // when it was received
	Own    Totals             // totals of this entry that All includes
	All    Totals
}

// SetTotals sets the totals of all entries. Own and All must be of the same time: an
// entry that compared its current demand during a surge with older totals of the others
// would claim too large a share. So a sum that was already set is ignored, and the
// fractions stay unchanged until the next sum.
func (a *Allotter) SetTotals(sum Sum) {
	if a.hasSum && sum.Source == a.lastSource && sum.At == a.lastSumAt {
		return
	}
	a.hasSum, a.lastSource, a.lastSumAt = true, sum.Source, sum.At
	a.totalDemand = sum.All.Demand
	a.demandFractions = make(map[string]float64, len(sum.All.Demand))
	for name, d := range sum.All.Demand {
		if d > 0 {
			a.demandFractions[name] = min(sum.Own.Demand[name]/d, 1)
		}
	}
	for name := range sum.All.Spent {
		if _, ok := a.shares[name]; !ok {
			a.shares[name] = &share{updated: sum.At}
		}
	}
	for name, s := range a.shares {
		s.bucket.update(sum, name)
		s.borrowed = 0
	}
}

// update applies a sum. The spending of other entries since the previous sum is known
// only if both sums are of the same source, as each source counts from its own start
// time. Otherwise the estimate of it is kept.
func (b *bucket) update(sum Sum, name string) {
	own, all := sum.Own.Spent[name], sum.All.Spent[name]
	switch b.source {
	case sum.Source:
		b.debit += max(all-b.spentByAll, 0) - b.expectedSpend
	case "":
	default:
		b.debit += max(own-b.spentHere, 0)
	}
	b.expectedSpend = 0
	b.demandElsewhere = max(sum.All.Demand[name]-sum.Own.Demand[name], 0)
	b.source, b.spentByAll, b.spentHere, b.updatedAt = sum.Source, all, own, sum.At
}

// ClearTotals marks the demand at other entries as unknown, so that quotas are divided
// equally.
func (a *Allotter) ClearTotals() { a.demandFractions = nil }

// Spent returns the tokens admitted at this entry, by organisation.
func (a *Allotter) Spent() map[string]float64 {
	out := make(map[string]float64, len(a.shares))
	for name, s := range a.shares {
		if s.spent > 0 {
			out[name] = s.spent
		}
	}
	return out
}

// Demand returns the demand at this entry in tokens per second, by organisation.
func (a *Allotter) Demand(now sequoiasill.Millis) map[string]float64 {
	out := make(map[string]float64, len(a.shares))
	for name, s := range a.shares {
		if d := s.demand * math.Exp(-float64(now-s.updated)/float64(demandTimeConstant)); d >= 1 {
			out[name] = d
		}
	}
	return out
}

// fraction returns this entry's fraction of an organisation's quota.
func (a *Allotter) fraction(name string) float64 {
	equalFraction := 1 / float64(a.entries)
	byDemand, ok := a.demandFractions[name]
	if !ok {
		return equalFraction
	}
	return floorFraction*equalFraction + (1-floorFraction)*byDemand
}

// rate returns the tokens per second that all entries together may spend.
func (a *Allotter) rate(acc *sequoiasill.Account) float64 {
	seconds := float64(max(a.limits.Window, 1)) / float64(sequoiasill.Second)
	window := acc.RatePerSec*seconds + acc.Burst
	return acc.RatePerSec + (excessFraction*window*a.limits.Excess+slackFraction*a.limits.Slack)/seconds
}

// Take admits a call of the given cost in tokens, or returns the time to wait before a
// retry. A call may overdraw a share that is not empty, as a single call can be larger
// than the share of a small organisation.
func (a *Allotter) Take(now sequoiasill.Millis, acc *sequoiasill.Account, cost float64) (wait sequoiasill.Millis, ok bool) {
	wait, ok = a.take(now, acc, cost, 0)
	if acc.RatePerSec > 0 {
		s := a.share(now, acc)
		s.urgentDemand += demandOf(cost)
		s.lastTaken.urgentDemand = demandOf(cost)
	}
	return wait, ok
}

// demandOf returns what a call adds to the moving average of demand in tokens per second.
func demandOf(cost float64) float64 {
	return cost / float64(demandTimeConstant) * float64(sequoiasill.Second)
}

// take admits a call if this entry's share holds more than floor tokens, or if it needs no tokens of
// this share.
func (a *Allotter) take(now sequoiasill.Millis, acc *sequoiasill.Account, cost, floor float64) (wait sequoiasill.Millis, ok bool) {
	if acc.RatePerSec <= 0 {
		return 0, true
	}
	s := a.share(now, acc)
	s.demand += demandOf(cost)
	remaining, fresh := s.remaining(now)
	switch {
	case fresh && remaining < -overdraftFraction*acc.Burst:
		return sequoiasill.ClampDuration((-overdraftFraction*acc.Burst-remaining)/acc.RatePerSec, sequoiasill.Second) + 1, false
	case fresh && a.mayBorrow(acc, s, remaining):
		own := min(max(s.level, 0), cost)
		s.take(taken{level: own, borrowed: cost - own})
	case s.level > floor:
		s.take(taken{level: cost})
	case a.isSmall(acc, cost) && s.reserve >= cost:
		s.take(taken{reserve: cost})
	default:
		rate := a.rate(acc) * a.fraction(acc.Name)
		return sequoiasill.ClampDuration((floor-s.level)/rate, sequoiasill.Second) + 1, false
	}
	s.spent += cost
	return 0, true
}

// mayBorrow reports whether a call may take tokens of the shared bucket beyond this entry's share. What
// all entries borrow between two sums, before they learn of a surge, is limited to what the bucket holds.
func (a *Allotter) mayBorrow(acc *sequoiasill.Account, s *share, remaining float64) bool {
	available := remaining - reserveFraction*acc.Burst
	if available <= 0 || a.totalDemand[acc.Name] >= normalDemandFraction*acc.RatePerSec {
		return false
	}
	// The part of the slack that is not added to the rate.
	available += (1 - slackFraction) * a.limits.Slack
	return s.borrowed <= available*max(a.fraction(acc.Name), borrowedParts/float64(a.entries))
}

// remaining returns the estimated tokens in the shared bucket and whether the estimate
// is recent.
func (s *share) remaining(now sequoiasill.Millis) (float64, bool) {
	return s.bucket.level - max(s.spent-s.bucket.spentHere, 0), s.bucket.initialised && now-s.bucket.updatedAt <= maxSumAge
}

// Share describes the state that decides the admission of an organisation's calls.
type Share struct {
	Fraction  float64 // this entry's fraction of the quota
	Level     float64 // tokens in this entry's share
	Reserve   float64 // tokens that are kept for small calls
	Demand    float64 // demand at this entry in tokens per second
	Remaining float64 // estimated tokens in the shared bucket
	Fresh     bool    // the estimate is recent
	Surging   bool    // urgent calls and small ones go first
}

// Share returns this entry's share of an organisation's quota.
func (a *Allotter) Share(now sequoiasill.Millis, acc *sequoiasill.Account) Share {
	s := a.share(now, acc)
	remaining, fresh := s.remaining(now)
	return Share{
		Fraction: a.fraction(acc.Name), Level: s.level, Reserve: s.reserve, Demand: s.demand, Remaining: remaining, Fresh: fresh, Surging: a.surging(now, acc),
	}
}

// Refund refunds the cost of a call that was not run.
func (a *Allotter) Refund(now sequoiasill.Millis, acc *sequoiasill.Account, cost float64) {
	if acc.RatePerSec <= 0 {
		return
	}
	s := a.share(now, acc)
	s.level += cost
	// The reported total must not decrease, so only the local estimate is refunded.
	s.bucket.level += cost
}

// share returns an organisation's share, updated to now.
func (a *Allotter) share(now sequoiasill.Millis, acc *sequoiasill.Account) *share {
	s, ok := a.shares[acc.Name]
	if !ok {
		s = &share{updated: now}
		a.shares[acc.Name] = s
	}
	elapsed := float64(max(now-s.updated, 0)) / float64(sequoiasill.Second)
	s.updated = max(now, s.updated)
	remaining := math.Exp(-elapsed * float64(sequoiasill.Second) / float64(demandTimeConstant))
	s.demand *= remaining
	s.urgentDemand *= remaining
	capacity := a.capacity(acc)
	if !s.initialised {
		s.initialised = true
		if a.startFull {
			s.level = capacity
		}
	}
	refill := elapsed * a.rate(acc) * a.fraction(acc.Name)
	refill -= s.refillReserve(refill, capacity)
	s.level = min(s.level+refill, capacity-s.reserve)
	s.bucket.refill(elapsed, a.rate(acc), acc.Burst, a.startFull)
	return s
}

// refill adds the tokens of the given seconds and deducts the tokens that were reported
// as spent and those that other entries are expected to spend, at most at the rate.
func (b *bucket) refill(seconds, rate, burst float64, startFull bool) {
	if !b.initialised {
		if b.source == "" {
			return
		}
		b.initialised = true
		if startFull {
			b.level = burst
		}
	}
	expected := seconds * min(b.demandElsewhere, rate)
	b.level = min(b.level+seconds*rate-expected-b.debit, burst)
	b.expectedSpend += expected
	b.debit = 0
}
