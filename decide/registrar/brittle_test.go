package registrar_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

func TestCandidatesWhileBrittle(t *testing.T) {
	brittle := registrar.Brittleness{FromUpstream: true, Rejections: 5}
	announce := func(r *registrar.Registrar, b registrar.Brittleness) {
		r.BrittleAnnounced(1000, sequoiasill.Replica{Name: "i-1", Service: "model"}, b)
	}
	fill := func(r *registrar.Registrar, running int) {
		r.RecordLoad(1000, "i-1", registrar.Load{Running: running, Slots: 10})
		for range 8 {
			r.CallSent("i-1", 0)
		}
		r.RecordLoad(1000, "i-1", registrar.Load{Running: running, Slots: 10})
	}
	tests := map[string]struct {
		play func(r *registrar.Registrar)
		at   sequoiasill.Millis
		want int // candidates of one
	}{
		"not brittle":                  {func(r *registrar.Registrar) { fill(r, 30) }, 1100, 1},
		"within the share":             {func(r *registrar.Registrar) { announce(r, brittle) }, 1100, 1},
		"beyond it, with room":         {func(r *registrar.Registrar) { announce(r, brittle); fill(r, 6) }, 1100, 1},
		"beyond it, without room":      {func(r *registrar.Registrar) { announce(r, brittle); fill(r, 7) }, 1100, 0},
		"beyond it, room is not known": {func(r *registrar.Registrar) { announce(r, brittle); fill(r, 1) }, 2100, 0},
		"after a rejection": {func(r *registrar.Registrar) {
			announce(r, brittle)
			r.CallSent("i-1", 0)
			r.CallEnded(1000, "i-1", 0, registrar.Refused)
		}, 1240, 0},
		"some time after a rejection": {func(r *registrar.Registrar) {
			announce(r, brittle)
			r.CallSent("i-1", 0)
			r.CallEnded(1000, "i-1", 0, registrar.Refused)
		}, 1600, 1},
		"by the word of another entry": {func(r *registrar.Registrar) { r.BrittleGossiped(1000, "model", 5); fill(r, 9) }, 1100, 0},
		"by an old one":                {func(r *registrar.Registrar) { r.BrittleGossiped(1000, "model", 5); fill(r, 9) }, 11000, 1},
		"no longer brittle": {func(r *registrar.Registrar) {
			announce(r, brittle)
			announce(r, registrar.Brittleness{FromUpstream: true})
			fill(r, 9)
		}, 1100, 1},
		"a response that is not its own": {func(r *registrar.Registrar) {
			announce(r, brittle)
			announce(r, registrar.Brittleness{})
			fill(r, 9)
		}, 1100, 0},
		"its upstream is removed": {func(r *registrar.Registrar) {
			r.BrittleAnnounced(1000, sequoiasill.Replica{Name: "i-2", Service: "model"}, brittle)
			fill(r, 9)
		}, 1100, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(registrar.DefaultOptions(), 1)
			r.Announce(1000, sequoiasill.Replica{Name: "i-1", Service: "model", Slots: 10, Revision: 1})
			r.SetEntries(1)
			tc.play(r)
			if diff := cmp.Diff(tc.want, len(r.Candidates(tc.at, "model"))); diff != "" {
				t.Errorf("candidates (-want +got):\n%s", diff)
			}
		})
	}
}

// The other entries are told at first, and again while it holds.
func TestBrittlenessIsTold(t *testing.T) {
	r := registrar.New(registrar.DefaultOptions(), 1)
	u := sequoiasill.Replica{Name: "i-1", Service: "model", Slots: 10, Revision: 1}
	r.Announce(1000, u)
	var told []sequoiasill.Millis
	for at := sequoiasill.Millis(1000); at <= 12000; at += 500 {
		if r.BrittleAnnounced(at, u, registrar.Brittleness{FromUpstream: true, Rejections: 5}) {
			told = append(told, at)
		}
	}
	if diff := cmp.Diff([]sequoiasill.Millis{1000, 6000, 11000}, told); diff != "" {
		t.Errorf("told at (-want +got):\n%s", diff)
	}
}
