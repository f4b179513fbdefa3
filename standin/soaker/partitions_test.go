package soaker

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

func TestPartitionChecker(t *testing.T) {
	// send records calls to an entry between two times, of which the first ones are served.
	send := func(p *partitionChecker, entry int, from, to sequoiasill.Millis, served, lost int) {
		for i := range served + lost {
			at := from + (to-from)*sequoiasill.Millis(i)/sequoiasill.Millis(served+lost)
			p.calls = append(p.calls, partitionCall{sent: at, entry: entry, served: i < served})
		}
	}
	tests := map[string]struct {
		play func(p *partitionChecker)
		want int // violations
	}{
		"served alike":            {func(p *partitionChecker) { send(p, 0, 14000, 20000, 100, 0); send(p, 1, 14000, 20000, 100, 0) }, 0},
		"two thirds":              {func(p *partitionChecker) { send(p, 0, 14000, 20000, 60, 30); send(p, 1, 14000, 20000, 100, 0) }, 0},
		"less than two thirds":    {func(p *partitionChecker) { send(p, 0, 14000, 20000, 59, 31); send(p, 1, 14000, 20000, 100, 0) }, 1},
		"few unserved":            {func(p *partitionChecker) { send(p, 0, 14000, 20000, 0, 12); send(p, 1, 14000, 20000, 100, 0) }, 0},
		"more than few":           {func(p *partitionChecker) { send(p, 0, 14000, 20000, 0, 13); send(p, 1, 14000, 20000, 100, 0) }, 1},
		"right after the cut":     {func(p *partitionChecker) { send(p, 0, 10000, 13000, 0, 90); send(p, 1, 14000, 20000, 100, 0) }, 0},
		"after its end":           {func(p *partitionChecker) { send(p, 0, 20001, 24000, 0, 90); send(p, 1, 14000, 20000, 100, 0) }, 0},
		"the others fail as well": {func(p *partitionChecker) { send(p, 0, 14000, 20000, 40, 60); send(p, 1, 14000, 20000, 50, 50) }, 0},
		"an entry that was stopped": {func(p *partitionChecker) {
			p.recordDisruption(20000, 0)
			send(p, 0, 17000, 20000, 0, 90)
			send(p, 1, 14000, 20000, 100, 0)
		}, 0},
		"all entries": {func(p *partitionChecker) { send(p, 0, 14000, 20000, 0, 90) }, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPartitionChecker()
			p.periods = []partitionPeriod{{begin: 10000, end: 20000, entries: []int{0}, way: hang}}
			tc.play(p)
			if diff := cmp.Diff(tc.want, len(p.results())); diff != "" {
				t.Errorf("number of violations (-want +got):\n%s\n%v", diff, p.results())
			}
		})
	}
}
