package tracker

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

func list(n int) Listed {
	var out Listed
	for i := range n {
		out.Instances = append(out.Instances, sequoiasill.Instance{
			Name: fmt.Sprint("u", i), Role: sequoiasill.RoleUpstream, Pool: "p", Version: "v1", Address: fmt.Sprint(i),
		})
	}
	return out
}

func names(instances []sequoiasill.Instance) []string {
	var out []string
	for _, i := range instances {
		out = append(out, i.Name)
	}
	return out
}

func repeat(n int, ev Event) []Event {
	out := make([]Event, n)
	for i := range out {
		out[i] = ev
	}
	return out
}

func TestUsable(t *testing.T) {
	leavingList := list(3)
	leavingList.Instances[1].Leaving = true
	tests := map[string]struct {
		events []Event
		after  sequoiasill.Millis // time from the last event to the check
		want   []string
	}{
		"all":                            {want: []string{"u0", "u1", "u2"}},
		"leaving by the list":            {events: []Event{leavingList}, want: []string{"u0", "u2"}},
		"leaving by a refusal":           {events: []Event{Leaving{Upstream: "u1", Source: FromRefusal}}, want: []string{"u0", "u2"}},
		"a mark expires":                 {events: []Event{Leaving{Upstream: "u1", Source: FromGossip}}, after: 2 * sequoiasill.Minute, want: []string{"u0", "u1", "u2"}},
		"unreachable":                    {events: []Event{Unreachable{"u0"}}, want: []string{"u1", "u2"}},
		"unreachable, later":             {events: []Event{Unreachable{"u0"}}, after: 2 * sequoiasill.Second, want: []string{"u0", "u1", "u2"}},
		"two failures":                   {events: repeat(2, Failed{"u0"}), want: []string{"u0", "u1", "u2"}},
		"three failures":                 {events: repeat(3, Failed{"u0"}), want: []string{"u1", "u2"}},
		"failures eject a limited share": {events: append(repeat(3, Failed{"u0"}), repeat(3, Failed{"u1"})...), want: []string{"u1", "u2"}},
		"no longer listed":               {events: []Event{list(2)}, want: []string{"u0", "u1"}},
		"a failure between responses":    {events: append(append(repeat(2, Failed{"u0"}), Answered{"u0", 100}), repeat(2, Failed{"u0"})...), want: []string{"u0", "u1", "u2"}},
		"all slow alike":                 {events: append(append(repeat(8, Answered{"u0", 900}), repeat(8, Answered{"u1", 900})...), repeat(8, Answered{"u2", 900})...), want: []string{"u0", "u1", "u2"}},
		"one five times slower":          {events: append(append(repeat(8, Answered{"u1", 100}), repeat(8, Answered{"u2", 100})...), repeat(8, Answered{"u0", 500})...), want: []string{"u1", "u2"}},
		"one three times slower":         {events: append(append(repeat(8, Answered{"u1", 100}), repeat(8, Answered{"u2", 100})...), repeat(8, Answered{"u0", 300})...), want: []string{"u0", "u1", "u2"}},
		"upstreams of another version":   {events: []Event{Listed{append(list(1).Instances, sequoiasill.Instance{Name: "x", Role: sequoiasill.RoleUpstream, Pool: "p", Version: "v2"})}}, want: []string{"u0"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tr := New(DefaultOptions())
			tr.Step(1, list(3))
			for _, ev := range tc.events {
				tr.Step(10, ev)
			}
			if diff := cmp.Diff(tc.want, names(tr.Usable(10+tc.after, "p", "v1"))); diff != "" {
				t.Errorf("usable (-want +got):\n%s", diff)
			}
		})
	}
}
