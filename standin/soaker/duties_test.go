package soaker

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

// Checks that holders that act after a later one, or alternate, are reported, and no others.
func TestCheckHolders(t *testing.T) {
	tests := map[string]struct {
		calls      []dutyCall
		recoveries recoveries
		want       int
	}{
		"one after the other":           {calls: []dutyCall{{0, "a", 1}, {100, "a", 1}, {200, "b", 2}, {300, "b", 2}}},
		"a late call":                   {calls: []dutyCall{{0, "a", 1}, {200, "b", 2}, {300, "a", 1}, {400, "b", 2}}, want: 1},
		"a late call after a resume":    {calls: []dutyCall{{0, "a", 1}, {200, "b", 2}, {300, "a", 1}}, recoveries: recoveries{entries: map[string][]sequoiasill.Millis{"a": {10}}}},
		"a later call after a resume":   {calls: []dutyCall{{0, "a", 1}, {200, "b", 2}, {311, "a", 1}}, recoveries: recoveries{entries: map[string][]sequoiasill.Millis{"a": {10}}}, want: 1},
		"the resume of another entry":   {calls: []dutyCall{{0, "a", 1}, {200, "b", 2}, {300, "a", 1}}, recoveries: recoveries{entries: map[string][]sequoiasill.Millis{"c": {10}}}, want: 1},
		"a late call after an outage":   {calls: []dutyCall{{0, "a", 1}, {200, "b", 2}, {300, "a", 1}}, recoveries: recoveries{store: []sequoiasill.Millis{10}}},
		"alternating holders":           {calls: []dutyCall{{0, "a", 1}, {500, "b", 2}, {2999, "a", 3}}, want: 1},
		"alternating after the lease":   {calls: []dutyCall{{0, "a", 1}, {500, "b", 2}, {3000, "a", 3}}},
		"turns measured from last call": {calls: []dutyCall{{0, "a", 1}, {400, "a", 1}, {500, "b", 2}, {3300, "a", 3}}, want: 1},
		"holders that do not alternate": {calls: []dutyCall{{0, "a", 1}, {500, "b", 2}, {900, "c", 3}, {1000, "d", 4}}},
		"the same holder, later epoch":  {calls: []dutyCall{{0, "a", 1}, {500, "a", 2}, {900, "a", 3}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := checkHolders(tc.calls, tc.recoveries)
			if diff := cmp.Diff(tc.want, len(got)); diff != "" {
				t.Errorf("number of violations (-want +got):\n%s\n%v", diff, got)
			}
		})
	}
}
