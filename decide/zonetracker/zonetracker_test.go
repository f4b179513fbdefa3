package zonetracker_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/zonetracker"
)

func version(era, revision uint64) uint64 { return sequoiasill.StoreVersion(era, revision) }

func recorded(era, revision uint64) zonetracker.Fact {
	return zonetracker.Fact{Zone: "b", Evacuated: true, Version: version(era, revision)}
}

func removed(era, revision uint64) zonetracker.Fact {
	return zonetracker.Fact{Zone: "b", Version: version(era, revision)}
}

// Guards against evacuations that come back, are lost or stay in force after their end.
func TestEvacuations(t *testing.T) {
	record := func(facts ...zonetracker.Fact) func(*zonetracker.Tracker) {
		return func(tr *zonetracker.Tracker) {
			for _, f := range facts {
				if _, _, err := tr.Record(f); err != nil {
					panic(err)
				}
			}
		}
	}
	list := func(now sequoiasill.Millis, at uint64, records ...zonetracker.Fact) func(*zonetracker.Tracker) {
		return func(tr *zonetracker.Tracker) { tr.List(now, records, at) }
	}
	steps := func(all ...func(*zonetracker.Tracker)) []func(*zonetracker.Tracker) { return all }
	tests := map[string]struct {
		steps []func(*zonetracker.Tracker)
		want  bool
	}{
		"recorded":                                      {steps(record(recorded(1, 100))), true},
		"removed":                                       {steps(record(recorded(1, 100), removed(1, 120))), false},
		"old gossip after the end":                      {steps(record(recorded(1, 100), removed(1, 120), recorded(1, 100))), false},
		"the end arrives first":                         {steps(record(removed(1, 120), recorded(1, 100))), false},
		"recorded again":                                {steps(record(recorded(1, 100), removed(1, 120), recorded(1, 130))), true},
		"removal missed by the watch":                   {steps(record(recorded(1, 100)), list(0, version(1, 130))), false},
		"gossip newer than the list":                    {steps(record(recorded(1, 140)), list(0, version(1, 130))), true},
		"restart of all entries":                        {steps(list(0, version(1, 130), recorded(1, 100))), true},
		"ended one comes back with a copy":              {steps(record(recorded(1, 100), removed(1, 120)), list(0, version(2, 115), recorded(2, 100))), false},
		"and is told by another entry":                  {steps(record(recorded(1, 100), removed(1, 120), recorded(2, 100))), false},
		"and is listed once more":                       {steps(record(recorded(1, 100), removed(1, 120)), list(0, version(2, 115), recorded(2, 100)), list(3000, version(2, 118), recorded(2, 100))), false},
		"and is recorded again":                         {steps(record(recorded(1, 100), removed(1, 120)), list(0, version(2, 115), recorded(2, 100)), record(recorded(2, 119))), true},
		"recorded again in a later era":                 {steps(record(recorded(1, 100), removed(1, 120)), list(0, version(2, 90)), record(recorded(2, 95))), true},
		"lost with the copy, for a while":               {steps(record(recorded(1, 100)), list(1000, version(2, 90)), list(2000, version(2, 91))), true},
		"lost with the copy, for good":                  {steps(record(recorded(1, 100)), list(1000, version(2, 90)), list(4000, version(2, 95))), false},
		"lost with the copy, then recorded":             {steps(record(recorded(1, 100)), list(1000, version(2, 90)), record(recorded(2, 93)), list(4000, version(2, 95), recorded(2, 93))), true},
		"in force across an era":                        {steps(record(recorded(1, 100)), list(0, version(2, 105), recorded(2, 100)), list(3000, version(2, 106), recorded(2, 100))), true},
		"old gossip after a list without it":            {steps(list(0, version(1, 130)), record(recorded(1, 100))), false},
		"old gossip of a missed evacuation":             {steps(record(recorded(1, 100), removed(1, 120)), list(0, version(1, 150)), record(recorded(1, 130))), false},
		"recorded after a list without it":              {steps(list(0, version(1, 130)), record(recorded(1, 100), recorded(1, 131))), true},
		"recorded anew at the revision of an ended one": {steps(record(recorded(1, 100), removed(1, 120)), list(0, version(2, 90)), record(recorded(2, 100))), true},
		"removed in a later era":                        {steps(record(recorded(1, 100)), list(0, version(2, 105), recorded(2, 100)), record(removed(2, 107))), false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tr := zonetracker.New()
			for _, step := range tc.steps {
				step(tr)
			}
			if got := tr.Evacuated()["b"]; got != tc.want {
				t.Errorf("evacuated: %t, want %t", got, tc.want)
			}
		})
	}
}

// Guards against entries that keep a restored record in force, as they did not see its removal.
func TestListTellsOthersOfRestoredRecord(t *testing.T) {
	informed, ignorant := zonetracker.New(), zonetracker.New()
	for _, f := range []zonetracker.Fact{recorded(1, 100), removed(1, 120)} {
		if _, _, err := informed.Record(f); err != nil {
			t.Fatal(err)
		}
	}
	ignorant.List(0, []zonetracker.Fact{recorded(2, 100)}, version(2, 112))
	changed, _ := informed.List(0, []zonetracker.Fact{recorded(2, 100)}, version(2, 115))
	want := []zonetracker.Fact{{Zone: "b", Version: version(2, 115), Record: version(1, 100)}}
	if diff := cmp.Diff(want, changed); diff != "" {
		t.Fatalf("facts for others (-want +got):\n%s", diff)
	}
	if _, _, err := ignorant.Record(changed[0]); err != nil || len(ignorant.Evacuated()) != 0 {
		t.Errorf("zones %v are evacuated by a restored record, error %v", ignorant.Evacuated(), err)
	}
}

// Guards against records that fill the memory or messages.
func TestUnusableZones(t *testing.T) {
	tr := zonetracker.New()
	for i := range zonetracker.MaxZones + 1 {
		_, _, err := tr.Record(zonetracker.Fact{Zone: fmt.Sprint("z", i), Evacuated: true, Version: uint64(i + 1)})
		if (err != nil) != (i == zonetracker.MaxZones) {
			t.Errorf("zone %d: %v", i, err)
		}
	}
	for _, name := range []string{"", strings.Repeat("z", 201)} {
		if _, _, err := zonetracker.New().Record(zonetracker.Fact{Zone: name, Evacuated: true, Version: 1}); err == nil {
			t.Errorf("a zone with a name of %d bytes is used", len(name))
		}
	}
}
