package admitter_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/admitter"
)

// Guards against routes that nobody calls: their priorities made all calls of a service less urgent.
func TestRanksCountPrioritiesInUse(t *testing.T) {
	tests := map[string]struct {
		arrivals map[int]int // by priority
		want     []bool      // whether calls of priority 0, 1 and 2 are less urgent
	}{
		"nothing known":       {nil, []bool{false, true, true}},
		"one in use":          {map[int]int{2: 100}, []bool{false, false, false}},
		"two in use":          {map[int]int{1: 20, 2: 100}, []bool{false, false, true}},
		"a few calls of one":  {map[int]int{0: 1, 1: 100, 2: 100}, []bool{false, false, true}},
		"too few to tell yet": {map[int]int{2: 5}, []bool{false, true, true}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			a := admitter.New(admitter.DefaultOptions(), 1)
			traffic := &sequoiasill.Traffic{Services: []sequoiasill.TrafficService{{Name: "plain"}}}
			for priority := range 3 {
				traffic.Routes = append(traffic.Routes, sequoiasill.TrafficRoute{Priority: priority, Targets: []sequoiasill.WeightedService{{Service: "plain"}}})
			}
			a.SetTraffic(traffic)
			const now = 1000 * sequoiasill.Second
			for priority, n := range tc.arrivals {
				for range n {
					a.RecordArrival(now, "plain", priority)
				}
			}
			var got []bool
			for priority := range 3 {
				got = append(got, a.LessUrgent(now, "plain", priority))
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("less urgent by priority (-want +got):\n%s", diff)
			}
		})
	}
}
