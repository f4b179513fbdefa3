package allotter

import "sequoiasill.dev/sequoiasill"

const (
	// surgeDemand is the demand at all entries, as a fraction of the rate, above which an organisation asks
	// for clearly more than its quota. Below, the order of arrival decides, so that nothing is refused for
	// calls that do not come. The demand counts calls that return after a refusal, so that it exceeds the rate
	// clearly before less urgent calls have to give way.
	surgeDemand = 1.6
	// lessUrgentFloor is the fraction of the capacity of an entry's share below which less urgent calls are
	// refused during a surge. The share of one of many entries holds about one large call, so that less
	// urgent calls may only take what a full share cannot hold.
	lessUrgentFloor = 0.9
	// minUrgentDemand is the fraction of an organisation's demand at this entry from which on urgent calls are
	// expected. Where none come, the floor would leave a third of the quota unused. An entry that gets an urgent
	// call each few seconds still expects the next one.
	minUrgentDemand = 0.05
	// smallCall is the largest cost of a small call, and smallReserve the part of a share that is kept for
	// small calls, as fractions of the capacity of the share. Large urgent calls overdraw a share, so that
	// without a reserve most small calls would be refused, which cost the organisation next to nothing.
	smallCall    = 0.05
	smallReserve = 0.05
)

// TakeLessUrgent is Take for a call that is less urgent than other calls of its service. During a surge it
// leaves a part of this entry's share to those.
func (a *Allotter) TakeLessUrgent(now sequoiasill.Millis, acc *sequoiasill.Account, cost float64) (wait sequoiasill.Millis, ok bool) {
	if !a.surging(now, acc) || !a.share(now, acc).expectsUrgent() {
		return a.take(now, acc, cost, 0)
	}
	return a.take(now, acc, cost, lessUrgentFloor*a.capacity(acc))
}

// surging reports whether all entries together receive clearly more calls of an organisation than its quota
// allows. Without a recent sum that is unknown, and the order of arrival decides.
func (a *Allotter) surging(now sequoiasill.Millis, acc *sequoiasill.Account) bool {
	return a.hasSum && now-a.lastSumAt <= maxSumAge && acc.RatePerSec > 0 && a.totalDemand[acc.Name] > surgeDemand*acc.RatePerSec
}

// expectsUrgent reports whether urgent calls make up a part of the recent demand at this entry.
func (s *share) expectsUrgent() bool {
	return s.urgentDemand > minUrgentDemand*s.demand
}

// capacity returns the tokens that this entry's share holds at most.
func (a *Allotter) capacity(acc *sequoiasill.Account) float64 {
	return acc.Burst * a.fraction(acc.Name)
}

// isSmall reports whether a call may take tokens of the reserve.
func (a *Allotter) isSmall(acc *sequoiasill.Account, cost float64) bool {
	return cost <= smallCall*a.capacity(acc)
}

// refillReserve adds the reserve's part of refilled tokens and returns it. It is negative if the share has
// become smaller, so that the reserve takes no more than its part of it.
func (s *share) refillReserve(refill, capacity float64) float64 {
	part := min(smallReserve*refill, smallReserve*capacity-s.reserve)
	s.reserve += part
	return part
}
