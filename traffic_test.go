package sequoiasill_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

// Guards against calls that count as less urgent because of a route whose calls never go to their service.
func TestHighestPriority(t *testing.T) {
	weighted := func(priority int, weights ...int) sequoiasill.TrafficRoute {
		r := sequoiasill.TrafficRoute{Priority: priority}
		for i, w := range weights {
			r.Targets = append(r.Targets, sequoiasill.WeightedService{Service: string(rune('a' + i)), Weight: w})
		}
		return r
	}
	tests := map[string]struct {
		routes []sequoiasill.TrafficRoute
		want   int // of service b
	}{
		"no route":                   {nil, 0},
		"all routes":                 {[]sequoiasill.TrafficRoute{weighted(3, 1, 1), weighted(2, 0, 1), weighted(1, 1)}, 2},
		"a route with no weight":     {[]sequoiasill.TrafficRoute{weighted(0, 1, 0), weighted(2, 0, 1)}, 2},
		"a route without any weight": {[]sequoiasill.TrafficRoute{weighted(0, 0, 0), weighted(2, 0, 1)}, 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			traffic := sequoiasill.Traffic{Routes: tc.routes}
			if diff := cmp.Diff(tc.want, traffic.HighestPriority("b")); diff != "" {
				t.Errorf("priority (-want +got):\n%s", diff)
			}
			for _, r := range tc.routes {
				selected := map[string]bool{}
				for hash := range uint64(10) {
					selected[r.ServiceFor(hash)] = true
				}
				for _, w := range r.Targets {
					if got := r.Selects(w.Service); got != selected[w.Service] {
						t.Errorf("route %+v selects %s: %t, its calls: %t", r, w.Service, got, selected[w.Service])
					}
				}
			}
		})
	}
}
