package soaker

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

// The judge finds holders that act after a later one or take turns, and none that do not.
func TestJudgeTurns(t *testing.T) {
	tests := map[string]struct {
		calls []dutyCall
		heals heals
		want  int
	}{
		"one after the other":          {calls: []dutyCall{{0, "a", 1}, {100, "a", 1}, {200, "b", 2}, {300, "b", 2}}},
		"a late call":                  {calls: []dutyCall{{0, "a", 1}, {200, "b", 2}, {300, "a", 1}, {400, "b", 2}}, want: 1},
		"a late call after a thaw":     {calls: []dutyCall{{0, "a", 1}, {200, "b", 2}, {300, "a", 1}}, heals: heals{entries: map[string][]sequoiasill.Millis{"a": {10}}}},
		"a later call after a thaw":    {calls: []dutyCall{{0, "a", 1}, {200, "b", 2}, {311, "a", 1}}, heals: heals{entries: map[string][]sequoiasill.Millis{"a": {10}}}, want: 1},
		"the thaw of another":          {calls: []dutyCall{{0, "a", 1}, {200, "b", 2}, {300, "a", 1}}, heals: heals{entries: map[string][]sequoiasill.Millis{"c": {10}}}, want: 1},
		"a late call after an outage":  {calls: []dutyCall{{0, "a", 1}, {200, "b", 2}, {300, "a", 1}}, heals: heals{store: []sequoiasill.Millis{10}}},
		"turns":                        {calls: []dutyCall{{0, "a", 1}, {500, "b", 2}, {2999, "a", 3}}, want: 1},
		"turns at the edge":            {calls: []dutyCall{{0, "a", 1}, {500, "b", 2}, {3000, "a", 3}}},
		"turns count from the last":    {calls: []dutyCall{{0, "a", 1}, {400, "a", 1}, {500, "b", 2}, {3300, "a", 3}}, want: 1},
		"three holders take no turns":  {calls: []dutyCall{{0, "a", 1}, {500, "b", 2}, {900, "c", 3}, {1000, "d", 4}}},
		"the same holder, later epoch": {calls: []dutyCall{{0, "a", 1}, {500, "a", 2}, {900, "a", 3}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := judgeTurns(tc.calls, tc.heals)
			if diff := cmp.Diff(tc.want, len(got)); diff != "" {
				t.Errorf("promises broken (-want +got):\n%s\n%v", diff, got)
			}
		})
	}
}
