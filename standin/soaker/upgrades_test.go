package soaker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill/decide/rationer"
)

// A violation names the builds of the entries that had the call, as they were at that time.
func TestViolationsNameTheBuilds(t *testing.T) {
	tests := map[string]struct {
		builds builds
		sender int // entry that sends the call on
		want   []string
	}{
		"no upgrade": {nil, 1, []string{"call c ran 2 times"}},
		"one entry":  {builds{1: productionBuild, 2: newBuild}, 1, []string{"call c ran 2 times (e1, production build)"}},
		"a relayed call": {
			builds{1: newBuild, 2: productionBuild}, 2,
			[]string{"call c ran 2 times (e1, new build; sent on last by e2, production build)"},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := newChecker(rationer.Limits{})
			c.builds = tc.builds
			c.recordSend("c", runOnce, "key", 1)
			c.recordDelivery("c", link{tc.sender, "i-1"}, false, false)
			c.builds = builds{1: newBuild, 2: newBuild}
			c.recordExecution("c", "i-1", "small")
			c.recordExecution("c", "i-2", "small")
			if diff := cmp.Diff(tc.want, c.violations); diff != "" {
				t.Errorf("violations (-want +got):\n%s", diff)
			}
		})
	}
}

func TestCountByBuild(t *testing.T) {
	tests := map[string]struct {
		counts countByBuild
		want   string
	}{
		"no upgrade": {countByBuild{"": 4}, ""},
		"both":       {countByBuild{productionBuild: 3, newBuild: 1}, " (3 by the production build, 1 by the new one)"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, tc.counts.String()); diff != "" {
				t.Errorf("text (-want +got):\n%s", diff)
			}
		})
	}
}

func TestPercentile(t *testing.T) {
	durations := make([]time.Duration, 101)
	for i := range durations {
		durations[i] = time.Duration(i)
	}
	tests := map[string]struct {
		sorted  []time.Duration
		percent int
		want    time.Duration
	}{
		"none":            {nil, 50, 0},
		"one":             {durations[7:8], 99, 7},
		"median":          {durations, 50, 50},
		"99th percentile": {durations, 99, 99},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, percentile(tc.sorted, tc.percent)); diff != "" {
				t.Errorf("percentile (-want +got):\n%s", diff)
			}
		})
	}
}
