package allotter_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/allotter"
)

// rounding is the difference that additions and subtractions of tokens leave.
var rounding = cmpopts.EquateApprox(0, 1e-6)

// Calls that are refused after they were charged must not use up the quota, neither in the share nor
// in the shared bucket nor in the totals that other entries deduct. They must not count as demand: those
// that come back made an organisation below its quota seem to surge.
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
			if diff := cmp.Diff([]any{before, spent}, []any{after, a.Spent()}, rounding); diff != "" {
				t.Errorf("share and spent tokens (-before +after):\n%s", diff)
			}
		})
	}
}

// Guards against cancelled calls that move tokens between the share, the reserve for small calls and what was
// borrowed: small calls that were refused for another reason used up the reserve.
func TestCancelReturnsTokensWhereTheyWereTaken(t *testing.T) {
	acc := &sequoiasill.Account{Name: "o", CountsTokens: true, RatePerSec: 1000, Burst: 1000}
	sum := func(a *allotter.Allotter, demand float64) {
		a.SetTotals(allotter.Sum{Source: "s", At: 1000, Own: allotter.Totals{Spent: a.Spent()}, All: allotter.Totals{Spent: a.Spent(), Demand: map[string]float64{"o": demand}}})
	}
	tests := map[string]struct {
		demand float64 // at all entries
		first  float64 // cost of the call before
		cost   float64 // of the calls that are cancelled
	}{
		"from the reserve":                     {5000, 500, 1},
		"from the share after a borrowed call": {1, 300, 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			a := allotter.New(allotter.Limits{Window: 1000, Slack: 10}, 4, true)
			a.Share(0, acc)
			sum(a, tc.demand)
			a.Share(1000, acc)
			a.Take(1000, acc, tc.first)
			before := a.Share(1050, acc)
			for range 20 {
				if _, ok := a.Take(1050, acc, tc.cost); !ok {
					t.Fatal("the quota is used up")
				}
				a.Cancel(1050, acc, tc.cost)
			}
			after := a.Share(1050, acc)
			if diff := cmp.Diff(before, after, rounding); diff != "" {
				t.Errorf("share (-before +after):\n%s", diff)
			}
		})
	}
}
