package allotter_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/allotter"
)

// Calls that are refused after they were charged must not use up the quota, neither in the share nor
// in the shared bucket nor in the totals that other entries deduct.
func TestCancelUndoesTake(t *testing.T) {
	acc := &sequoiasill.Account{Name: "o", RatePerSec: 10, Burst: 100}
	for name, all := range map[string]float64{"own share": 9, "borrowed": 1} {
		t.Run(name, func(t *testing.T) {
			a := allotter.New(allotter.Limits{Window: 1000, Slack: 10}, 4, true)
			a.Take(1000, acc, 5)
			a.SetTotals(allotter.Sum{Source: "s", At: 1000, Own: allotter.Totals{Spent: a.Spent()}, All: allotter.Totals{Spent: a.Spent(), Demand: map[string]float64{"o": all}}})
			before, spent := a.Share(1000, acc), a.Spent()
			for range 500 {
				if _, ok := a.Take(1000, acc, 2); !ok {
					t.Fatal("the quota is used up")
				}
				a.Cancel(1000, acc, 2)
			}
			after := a.Share(1000, acc)
			before.Demand, after.Demand = 0, 0 // refused calls are demand
			if diff := cmp.Diff([]any{before, spent}, []any{after, a.Spent()}); diff != "" {
				t.Errorf("share and spent tokens (-before +after):\n%s", diff)
			}
		})
	}
}
