package exchanger

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

// Guards against entries that assume to be few after all of them were restarted.
func TestAssumedEntries(t *testing.T) {
	type seen struct {
		at    sequoiasill.Millis
		alive int
	}
	tests := map[string]struct {
		seeds int
		seen  []seen
		want  []int
	}{
		"restart of all entries": {5, []seen{{1000, 1}, {2000, 20}, {4500, 62}, {7400, 62}, {7500, 62}, {7600, 63}}, []int{380, 380, 380, 380, 62, 63}},
		"others are not reached": {5, []seen{{1000, 1}, {60000, 1}}, []int{380, 380}},
		"alone":                  {0, []seen{{1000, 1}, {4000, 1}}, []int{380, 1}},
		"some are not reached":   {61, []seen{{1000, 1}, {2000, 30}, {5000, 30}}, []int{380, 380, 62}},
		"entries are lost":       {5, []seen{{1000, 62}, {4000, 62}, {9000, 40}}, []int{380, 62, 40}},
		"more than the design":   {5, []seen{{1000, 400}, {4000, 400}}, []int{400, 400}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var c entryCount
			c.setSeeds(tc.seeds)
			var got []int
			for _, s := range tc.seen {
				got = append(got, c.assumed(s.at, s.alive))
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("assumed entries (-want +got):\n%s", diff)
			}
		})
	}
}
