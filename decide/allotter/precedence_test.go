package allotter_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/allotter"
)

// callMix are the calls of an organisation in a surge: many times its quota, most of it for calls that are less
// urgent.
var callMix = map[string]callKind{
	"urgent":      {12_000, false, 36},
	"less urgent": {2_400, true, 200},
	"small":       {200, false, 84},
}

type callKind struct {
	cost       float64
	lessUrgent bool
	perStep    int // at all entries
}

// playSurge sends the mix to entries that exchange totals once per second, and returns the fraction of calls
// that were admitted, by kind, and the tokens admitted per step of 500 ms.
func playSurge(mix map[string]callKind, acc *sequoiasill.Account, entries, steps int, ordered bool) (admitted map[string]float64, spent []float64) {
	allotters := make([]*allotter.Allotter, entries)
	for i := range allotters {
		allotters[i] = allotter.New(limits, entries, true)
	}
	random := rand.New(rand.NewPCG(3, 0))
	count, asked := map[string]float64{}, map[string]float64{}
	for step := range steps {
		now := sequoiasill.Millis(step) * 500
		shareTotals(acc, allotters, now)
		tokens := 0.0
		var arrivals []string
		for _, kind := range slices.Sorted(maps.Keys(mix)) { // in order, so that the seed decides on the calls
			for range mix[kind].perStep {
				arrivals = append(arrivals, kind)
			}
		}
		random.Shuffle(len(arrivals), func(i, j int) { arrivals[i], arrivals[j] = arrivals[j], arrivals[i] })
		for i, kind := range arrivals {
			m := mix[kind]
			a := allotters[random.IntN(entries)]
			take := a.Take
			if m.lessUrgent && ordered {
				take = a.TakeLessUrgent
			}
			asked[kind]++
			if _, ok := take(now+sequoiasill.Millis(500*i/len(arrivals)), acc, m.cost); ok {
				count[kind]++
				tokens += m.cost
			}
		}
		spent = append(spent, tokens)
	}
	for kind := range count {
		count[kind] /= asked[kind]
	}
	return count, spent
}

// shareTotals sets the totals of all entries at each of them.
func shareTotals(acc *sequoiasill.Account, allotters []*allotter.Allotter, now sequoiasill.Millis) {
	all := allotter.Totals{Demand: map[string]float64{}, Spent: map[string]float64{}}
	for _, a := range allotters {
		all.Demand[acc.Name] += a.Demand(now)[acc.Name]
		all.Spent[acc.Name] += a.Spent()[acc.Name]
	}
	for _, a := range allotters {
		a.SetTotals(allotter.Sum{Source: "c", At: now, Own: allotter.Totals{Demand: a.Demand(now), Spent: a.Spent()}, All: all})
	}
}

// Guards against a surge of an organisation in which calls that matter less to it use up its quota: urgent and
// small calls were refused as often as all others.
func TestSurgeSpendsQuotaOnUrgentAndSmallCalls(t *testing.T) {
	acc := &sequoiasill.Account{Name: "large", CountsTokens: true, RatePerSec: 900_000, Burst: 900_000}
	before, _ := playSurge(callMix, acc, 76, 30, false)
	after, spent := playSurge(callMix, acc, 76, 30, true)
	t.Logf("admitted before %v, after %v", before, after)
	// The quota is enough for all urgent calls, but an entry's share holds one of them: of calls that arrive at
	// random, 1 - 1/e find it filled.
	for kind, least := range map[string]float64{"urgent": 0.63, "small": 0.9} {
		if after[kind] < least {
			t.Errorf("%.2f of the %s calls are admitted, %.2f are wanted", after[kind], kind, least)
		}
	}
	if after["urgent"] < 2*after["less urgent"] {
		t.Errorf("%.2f of the urgent calls are admitted and %.2f of the less urgent ones, at most half as often is wanted", after["urgent"], after["less urgent"])
	}
	if worst := (result{spent: spent}).maxInWindow(); worst > bound(acc) {
		t.Errorf("%.0f tokens in a window, %.0f are allowed", worst, bound(acc))
	}
}

// Guards against refusals of less urgent calls that the quota allows.
func TestLessUrgentCallsBelowTheQuotaAreAdmitted(t *testing.T) {
	acc := &sequoiasill.Account{Name: "large", CountsTokens: true, RatePerSec: 2_200_000, Burst: 2_200_000}
	after, _ := playSurge(callMix, acc, 76, 30, true)
	if diff := cmp.Diff(true, after["less urgent"] > 0.99); diff != "" {
		t.Errorf("%.3f of the less urgent calls are admitted (-want +got):\n%s", after["less urgent"], diff)
	}
}

// Guards against refusals of less urgent calls for urgent ones that do not come: an organisation that sends only
// less urgent calls could spend two thirds of its quota.
func TestSurgeWithoutUrgentCallsSpendsTheQuota(t *testing.T) {
	acc := &sequoiasill.Account{Name: "large", CountsTokens: true, RatePerSec: 900_000, Burst: 900_000}
	for _, perStep := range []int{245, 375, 750} { // 1.3, 2 and 4 times the quota
		for _, entries := range []int{9, 76, 380} {
			mix := map[string]callKind{"less urgent": {2_400, true, perStep}}
			before, _ := playSurge(mix, acc, entries, 40, false)
			after, spent := playSurge(mix, acc, entries, 40, true)
			if after["less urgent"] < before["less urgent"]-0.01 {
				t.Errorf("%d calls a step, %d entries: %.3f are admitted, %.3f without precedence", perStep, entries, after["less urgent"], before["less urgent"])
			}
			if worst := (result{spent: spent}).maxInWindow(); worst > bound(acc) {
				t.Errorf("%d calls a step, %d entries: %.0f tokens in a window, %.0f are allowed", perStep, entries, worst, bound(acc))
			}
		}
	}
}

// Guards against refusals at an entry whose share has become small: the reserve that a larger share had filled
// took all of the smaller one, and large calls cannot use it.
func TestReserveShrinksWithTheShare(t *testing.T) {
	acc := &sequoiasill.Account{Name: "o", CountsTokens: true, RatePerSec: 1000, Burst: 1000}
	a := allotter.New(allotter.Limits{Window: 1000}, 76, false)
	demand := func(now sequoiasill.Millis, own, all float64) {
		total := func(d float64) allotter.Totals { return allotter.Totals{Demand: map[string]float64{"o": d}} }
		a.SetTotals(allotter.Sum{Source: "s", At: now, Own: total(own), All: total(all)})
	}
	demand(1000, 950, 950)
	a.Share(1000, acc)
	a.Share(5000, acc) // fills the share and its reserve
	demand(5000, 0, 950)
	now := 20 * sequoiasill.Second // the last sum is old, so that only the share counts
	a.Share(now, acc)
	if _, ok := a.Take(now+sequoiasill.Minute, acc, 100); !ok {
		t.Errorf("a call is refused after a minute without calls, share %+v", a.Share(now+sequoiasill.Minute, acc))
	}
}

// Guards against refusals of less urgent calls by a surge that is long over: an entry that gets no sums cannot
// tell whether it goes on.
func TestSurgeOfAnOldSumIsForgotten(t *testing.T) {
	acc := &sequoiasill.Account{Name: "o", CountsTokens: true, RatePerSec: 1000, Burst: 1000}
	a := allotter.New(allotter.Limits{Window: 1000}, 4, true)
	total := allotter.Totals{Demand: map[string]float64{"o": 4000}}
	a.SetTotals(allotter.Sum{Source: "s", At: 1000, Own: allotter.Totals{Demand: map[string]float64{"o": 1000}}, All: total})
	for _, tc := range []struct {
		now      sequoiasill.Millis
		admitted bool // with a fifth of the share spent
	}{{2000, false}, {sequoiasill.Minute, true}} {
		now := tc.now
		a.Share(now, acc)
		a.Take(now, acc, 50)
		if _, ok := a.TakeLessUrgent(now, acc, 20); ok != tc.admitted {
			t.Errorf("%s after the last sum: a less urgent call is admitted: %t, share %+v", now-1000, ok, a.Share(now, acc))
		}
	}
}
