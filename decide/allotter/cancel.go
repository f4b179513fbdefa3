package allotter

import "sequoiasill.dev/sequoiasill"

// Cancel undoes a Take that directly precedes it. Unlike Refund, it also reduces the reported total,
// which no one can have read in between, so that other entries do not deduct calls that were refused
// at once for another reason. Nor does the call stay in the demand, as it needs no tokens: calls that are
// refused for saturated upstreams come back, and would count several times.
func (a *Allotter) Cancel(now sequoiasill.Millis, acc *sequoiasill.Account, cost float64) {
	if acc.RatePerSec <= 0 {
		return
	}
	s := a.share(now, acc)
	t := s.lastTaken
	s.take(taken{level: -t.level, borrowed: -t.borrowed, reserve: -t.reserve})
	s.demand = max(s.demand-demandOf(cost), 0)
	s.urgentDemand = max(s.urgentDemand-t.urgentDemand, 0)
	s.lastTaken = taken{}
	s.spent = max(s.spent-cost, s.bucket.spentHere)
}
