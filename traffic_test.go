package sequoiasill_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

// Guards against priorities of routes whose calls never go to a service that rank the calls of the service.
func TestSelects(t *testing.T) {
	tests := map[string]struct {
		weights []int // of the services a and b
		want    []bool
	}{
		"both":           {[]int{1, 1}, []bool{true, true}},
		"no weight":      {[]int{1, 0}, []bool{true, false}},
		"no first":       {[]int{0, 1}, []bool{false, true}},
		"only one":       {[]int{1}, []bool{true, false}},
		"without weight": {[]int{0, 0}, []bool{true, false}},
		"no target":      {nil, []bool{false, false}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := sequoiasill.TrafficRoute{}
			for i, w := range tc.weights {
				r.Targets = append(r.Targets, sequoiasill.WeightedService{Service: string(rune('a' + i)), Weight: w})
			}
			selected := map[string]bool{}
			for hash := range uint64(10) {
				selected[r.ServiceFor(hash)] = true
			}
			got := []bool{r.Selects("a"), r.Selects("b")}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("selects a and b (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff([]bool{selected["a"], selected["b"]}, got); diff != "" {
				t.Errorf("services of its calls (-want +got):\n%s", diff)
			}
		})
	}
}
