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
	returned := min(cost, s.borrowed)
	s.borrowed -= returned
	s.level += cost - returned
	s.spent = max(s.spent-cost, s.bucket.spentHere)
}
