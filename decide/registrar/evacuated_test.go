package registrar_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// Guards against requests to an evacuated zone by each way on which they reach upstreams, while those of
// another zone are reclaimed and those of the third are partly cold.
func TestEvacuationWhileUpstreamsAreReclaimed(t *testing.T) {
	type served struct{ ToEvacuated, ToReclaimed, Probes, Refused int }
	tests := map[string]struct {
		evacuated map[string]bool
		unknown   bool // to this entry
		want      served
	}{
		"zone b":            {map[string]bool{"b": true}, false, served{}},
		"all zones":         {map[string]bool{"a": true, "b": true, "c": true}, false, served{Refused: 100}},
		"zone b, not known": {map[string]bool{"b": true}, true, served{ToEvacuated: 55, Probes: 525}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(registrar.DefaultOptions(), 1)
			r.SetColdRates(map[string]float64{"model": 16})
			r.SetColdEntries(62)
			zoneOf := make(map[string]string)
			var chosen []registrar.Candidate
			for i := range 30 {
				u := replica(fmt.Sprintf("i-%02d", i), 1)
				u.Zone = string(rune('a' + i%3))
				if i >= 15 {
					u.ColdFor = 3000
				}
				zoneOf[u.Name] = u.Zone
				r.Announce(0, u)
			}
			chosen = r.Candidates(0, "model")
			if !tc.unknown {
				r.SetEvacuated(tc.evacuated)
			}
			for name, zone := range zoneOf {
				if zone == "a" {
					r.Remove(100, name, 2)
				}
			}
			var got served
			count := func(name string) {
				switch {
				case tc.evacuated[zoneOf[name]]:
					got.ToEvacuated++
				case zoneOf[name] == "a":
					got.ToReclaimed++
				}
			}
			for _, c := range chosen { // calls on their way when the evacuation begins
				if r.MaySend(200, c.Replica, false) {
					count(c.Replica.Name)
				}
			}
			for call := range 100 {
				now := sequoiasill.Millis(200 + 20*call)
				for _, u := range r.Probeable(now, "model") {
					if tc.evacuated[u.Zone] {
						got.Probes++
					}
				}
				candidates := r.Candidates(now, "model")
				if len(candidates) == 0 {
					got.Refused++
					continue
				}
				if c := candidates[call%len(candidates)]; r.MaySend(now, c.Replica, false) {
					count(c.Replica.Name)
				}
			}
			for name := range zoneOf {
				if tc.evacuated[zoneOf[name]] && r.MayProbe(2500, name) {
					got.Probes++
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("calls (-want +got):\n%s", diff)
			}
			if _, known := r.NextAvailable(2500, "model"); known {
				t.Error("a time is known at which an evacuated zone takes calls again, or an upstream that takes calls now")
			}
			r.SetEvacuated(nil)
			if after := len(r.Candidates(9000, "model")); after != 20 {
				t.Errorf("%d candidates after the evacuation, 20 are wanted", after)
			}
		})
	}
}

// Guards against calls to a zone whose evacuation began while this process was paused, before it has read
// what arrived meanwhile.
func TestNothingIsSentRightAfterAPause(t *testing.T) {
	tests := map[string]struct {
		follows bool
		ticks   []sequoiasill.Millis
		want    []bool // may be sent at 5000, 5200 and 5400
	}{
		"not paused":                {true, []sequoiasill.Millis{4800, 5000, 5200}, []bool{true, true, true}},
		"resumed, before the tick":  {true, []sequoiasill.Millis{1000}, []bool{false, false, false}},
		"resumed":                   {true, []sequoiasill.Millis{1000, 5000, 5200}, []bool{false, false, true}},
		"paused for a short time":   {true, []sequoiasill.Millis{2100, 5000, 5200}, []bool{true, true, true}},
		"evacuations are not known": {false, []sequoiasill.Millis{1000, 5000, 5200}, []bool{true, true, true}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(registrar.DefaultOptions(), 1)
			r.Announce(0, replica("a", 1))
			if tc.follows {
				r.SetEvacuated(map[string]bool{})
			}
			var got []bool
			for now := sequoiasill.Millis(0); now <= 5400; now += 100 {
				for _, at := range tc.ticks {
					if at == now {
						r.Tick(now)
					}
				}
				if now < 5000 || now%200 != 0 {
					continue
				}
				candidates, probes, sends := len(r.Candidates(now, "model")), len(r.Probeable(now, "model")), r.MaySend(now, replica("a", 1), false)
				if (candidates == 1) != sends || (probes == 1) != sends {
					t.Errorf("at %s: %d candidates, %d to probe, sends: %t", now, candidates, probes, sends)
				}
				if wait, known := r.NextAvailable(now, "model"); known == sends || known && wait > 300 {
					t.Errorf("at %s: next available in %s, %t", now, wait, known)
				}
				got = append(got, sends)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("sends (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against requests of an entry that has just started and does not know yet which zones are
// evacuated.
func TestNothingIsSentBeforeEvacuationsAreKnown(t *testing.T) {
	type state struct {
		Candidates, Probes int
		MaySend, MayProbe  bool
	}
	r := registrar.New(registrar.DefaultOptions(), 1)
	r.AwaitEvacuations(true)
	r.Announce(0, replica("a", 1))
	look := func() state {
		return state{len(r.Candidates(0, "model")), len(r.Probeable(0, "model")), r.MaySend(0, replica("a", 1), false), r.MayProbe(0, "a")}
	}
	got := []state{look()}
	r.SetEvacuated(map[string]bool{"b": true}) // one of several facts
	got = append(got, look())
	r.AwaitEvacuations(false)
	got = append(got, look())
	if diff := cmp.Diff([]state{{}, {}, {1, 1, true, true}}, got); diff != "" {
		t.Errorf("before one is known, before all are, and afterwards (-want +got):\n%s", diff)
	}
}
