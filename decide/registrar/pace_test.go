package registrar_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// Guards against a pace that a wrong, missing or outdated report leaves behind.
func TestExpectedPace(t *testing.T) {
	first := sequoiasill.Replica{Name: "a", Service: "model", Slots: 16, Revision: 1, StartedAt: 500}
	second := first
	second.Revision, second.StartedAt = 2, 900
	report := func(r *registrar.Registrar, n sequoiasill.Replica, at sequoiasill.Millis, figures ...float64) {
		for _, f := range figures {
			r.RecordPace(at, n, f)
			at += 600
		}
	}
	tests := map[string]struct {
		play func(r *registrar.Registrar)
		at   sequoiasill.Millis
		want map[string]float64
	}{
		"none known":                          {func(*registrar.Registrar) {}, 1000, map[string]float64{"a": 1, "b": 1}},
		"three figures":                       {func(r *registrar.Registrar) { report(r, first, 1000, 0) }, 1000, map[string]float64{"a": 1, "b": 1}},
		"one report suffices":                 {func(r *registrar.Registrar) { report(r, first, 1000, 1.7) }, 9000, map[string]float64{"a": 1.7, "b": 1.7}},
		"a mixture of three and four figures": {func(r *registrar.Registrar) { report(r, first, 1000, 1.7, 0, 0) }, 9000, map[string]float64{"a": 1.7, "b": 1.7}},
		"just reported busy":                  {func(r *registrar.Registrar) { report(r, first, 1000, 1.6, 4) }, 1600, map[string]float64{"a": 4, "b": 1.6}},
		"busy some time ago":                  {func(r *registrar.Registrar) { report(r, first, 1000, 1.6, 4) }, 1750, map[string]float64{"a": 1.6 + 2.4*math.Exp(-1), "b": 1.6}},
		"reports stop while it is busy":       {func(r *registrar.Registrar) { report(r, first, 1000, 1.6, 4) }, 60_000, map[string]float64{"a": 1.6, "b": 1.6}},
		"first reported while busy":           {func(r *registrar.Registrar) { report(r, first, 1000, 4, 1.6) }, 9000, map[string]float64{"a": 1.6, "b": 1.6}},
		"slower for good":                     {func(r *registrar.Registrar) { report(r, first, 1000, 1, 4, 3, 5, 4) }, 9000, map[string]float64{"a": 3, "b": 3}},
		"slower in one busy moment": {func(r *registrar.Registrar) {
			report(r, first, 1000, 1)
			for at := sequoiasill.Millis(1600); at < 2000; at += 50 {
				report(r, first, at, 3)
			}
		}, 9000, map[string]float64{"a": 1, "b": 1}},
		"one report that lies":           {func(r *registrar.Registrar) { report(r, first, 1000, 2, 0.01, 2, 2, 2, 2) }, 9000, map[string]float64{"a": 2, "b": 2}},
		"out of range":                   {func(r *registrar.Registrar) { report(r, first, 1000, 100) }, 9000, map[string]float64{"a": 8, "b": 8}},
		"not a number":                   {func(r *registrar.Registrar) { report(r, first, 1000, math.NaN(), -1) }, 9000, map[string]float64{"a": 1, "b": 1}},
		"restarted":                      {func(r *registrar.Registrar) { report(r, first, 1000, 2); r.Announce(1100, second) }, 1100, map[string]float64{"a": 1, "b": 1}},
		"a late response of the old":     {func(r *registrar.Registrar) { r.Announce(1100, second); report(r, first, 1200, 2) }, 1200, map[string]float64{"a": 1, "b": 1}},
		"gossip on the old":              {func(r *registrar.Registrar) { r.Announce(1100, second); r.PaceGossiped(1200, "a", 500, 2) }, 1200, map[string]float64{"a": 1, "b": 1}},
		"gossip before the registration": {func(r *registrar.Registrar) { r.PaceGossiped(1000, "a", 900, 2); r.Announce(1100, second) }, 1200, map[string]float64{"a": 2, "b": 2}},
		"higher by gossip":               {func(r *registrar.Registrar) { report(r, first, 1000, 1.5); r.PaceGossiped(1100, "a", 500, 2) }, 9000, map[string]float64{"a": 1.5, "b": 1.5}},
		"lower by gossip":                {func(r *registrar.Registrar) { report(r, first, 1000, 1.5); r.PaceGossiped(1100, "a", 500, 1) }, 9000, map[string]float64{"a": 1, "b": 1}},
		"gossip that is not renewed":     {func(r *registrar.Registrar) { r.PaceGossiped(1000, "a", 500, 4) }, 601_000, map[string]float64{"a": 1, "b": 1}},
		"far below the others": {func(r *registrar.Registrar) {
			r.PaceGossiped(1000, "a", 500, 0.25)
			r.PaceGossiped(1000, "b", 0, 1.75)
		}, 9000, map[string]float64{"a": 0.5, "b": 1.75}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(registrar.DefaultOptions(), 1)
			r.Announce(1000, first)
			r.Announce(1000, sequoiasill.Replica{Name: "b", Service: "model", Slots: 16, Revision: 1})
			tc.play(r)
			got := make(map[string]float64)
			for _, c := range r.Candidates(tc.at, "model") {
				got[c.Replica.Name] = c.Pace
			}
			if diff := cmp.Diff(tc.want, got, cmpopts.EquateApprox(0, 1e-9)); diff != "" {
				t.Errorf("paces (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a herd at upstreams that look idle for want of a recent report, against upstreams that are
// avoided for good because they were full once, and against changes where no paces are reported.
func TestTypicalLoad(t *testing.T) {
	tests := map[string]struct {
		pace     float64
		min, max float64 // estimated calls of others 20 s after a report that the upstream is full
	}{"no paces": {0, 0, 1}, "paces": {1.7, 8, 20}}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(registrar.DefaultOptions(), 1)
			for _, n := range []sequoiasill.Replica{{Name: "a", Service: "model", Slots: 8, Revision: 1}, {Name: "b", Service: "model", Slots: 8, Revision: 1}} {
				r.Announce(1000, n)
				running := map[string]int{"a": math.MaxInt32, "b": 0}[n.Name]
				r.RecordLoad(1000, n.Name, registrar.Load{Running: running, Slots: 8})
				r.RecordPace(1000, n, tc.pace)
			}
			r.RecordLoad(5000, "a", registrar.Load{Running: 4, Slots: 8})
			c := r.Candidates(21_000, "model")
			if got := c[0].OthersInFlight; got < tc.min || got > tc.max {
				t.Errorf("calls of others at a full upstream %g, want %g to %g", got, tc.min, tc.max)
			}
			if late := r.Candidates(200_000, "model"); math.Abs(late[0].OthersInFlight-late[1].OthersInFlight) > 0.1 {
				t.Errorf("calls of others %g and %g, want them to be equal in the end", late[0].OthersInFlight, late[1].OthersInFlight)
			}
			r.Announce(21_000, sequoiasill.Replica{Name: "c", Service: "model", Slots: 8, Revision: 2})
			idle := 0
			for range 1000 {
				if c = r.Candidates(21_000, "model"); c[2].OthersInFlight < c[1].OthersInFlight {
					idle++
				}
			}
			if tc.pace > 0 && (idle < 250 || idle > 420) {
				t.Errorf("one of three upstreams, a new one, counts as idle for %d of 1,000 calls, want a third of them", idle)
			}
		})
	}
}

// Guards against entries that announce each report, or one that others have announced.
func TestPaceIsTold(t *testing.T) {
	r := registrar.New(registrar.DefaultOptions(), 1)
	u := sequoiasill.Replica{Name: "a", Service: "model", Slots: 16, Revision: 1}
	r.Announce(1000, u)
	type told struct {
		At    sequoiasill.Millis
		Usual float64
	}
	var got []told
	for _, step := range []struct {
		at    sequoiasill.Millis
		pace  float64
		heard bool
	}{
		{1000, 2, false}, {2000, 1, false}, // lower, but too soon
		{3000, 4, false}, {7000, 1, false}, {8000, 0.9, false}, {20_000, 0.9, false},
		{21_000, 0.5, true}, {30_000, 0.5, false}, {400_000, 0.5, false},
	} {
		if step.heard {
			r.PaceGossiped(step.at, "a", 0, step.pace)
		} else if usual, tell := r.RecordPace(step.at, u, step.pace); tell {
			got = append(got, told{step.at, usual})
		}
	}
	if diff := cmp.Diff([]told{{1000, 2}, {7000, 1}, {400_000, 0.5}}, got); diff != "" {
		t.Errorf("told (-want +got):\n%s", diff)
	}
}

// Guards against announcements that fill the links of a large deployment: each changes the facts that entries
// compare and exchange.
func TestPacesAreNotToldInLargeDeployments(t *testing.T) {
	tests := map[string]struct {
		upstreams int
		want      bool
	}{"512 upstreams": {512, true}, "513 upstreams": {513, false}}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(registrar.DefaultOptions(), 1)
			for i := range tc.upstreams {
				r.Announce(0, replica(fmt.Sprint("u", i), 1))
			}
			usual, tell := r.RecordPace(1000, replica("u0", 1), 1.7)
			if diff := cmp.Diff([]any{1.7, tc.want}, []any{usual, tell}); diff != "" {
				t.Errorf("usual pace, and whether it is told (-want +got):\n%s", diff)
			}
		})
	}
}
