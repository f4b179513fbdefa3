package allotter

import "sequoiasill.dev/sequoiasill"

// Cancel undoes a Take that directly precedes it. Unlike Refund, it also reduces the reported total,
// which no one can have read in between, so that other entries do not deduct calls that were refused
// at once for another reason. The call stays in the demand.
func (a *Allotter) Cancel(now sequoiasill.Millis, acc *sequoiasill.Account, cost float64) {
	if acc.RatePerSec <= 0 {
		return
	}
	s := a.share(now, acc)
	t := s.lastTaken
	s.take(taken{level: -t.level, borrowed: -t.borrowed, reserve: -t.reserve})
	s.lastTaken = taken{}
	s.spent = max(s.spent-cost, s.bucket.spentHere)
}
