package exchanger_test

import (
	"testing"

	"sequoiasill.dev/sequoiasill/decide/zonetracker"
)

// RecordEvacuation implements exchanger.Evacuations.
func (e *entry) RecordEvacuation(f zonetracker.Fact, _ string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.evacuations = append(e.evacuations, f)
}

// Guards against entries without the store that do not hear of an evacuation or of its end, also when
// they start later.
func TestEvacuationsReachAllEntries(t *testing.T) {
	entries := cluster(t, 2)
	last := func(e *entry) func() zonetracker.Fact {
		return func() zonetracker.Fact {
			e.mu.Lock()
			defer e.mu.Unlock()
			if len(e.evacuations) == 0 {
				return zonetracker.Fact{}
			}
			return e.evacuations[len(e.evacuations)-1]
		}
	}
	begins := zonetracker.Fact{Zone: "b", Evacuated: true, Version: 100, Record: 100}
	ends := zonetracker.Fact{Zone: "b", Version: 120, Record: 100}
	entries[0].AnnounceEvacuation(begins)
	await(t, "evacuation", begins, last(entries[1]))
	late := startEntry(t, 2, "1", map[string]string{"first": entries[0].address})
	await(t, "evacuation at an entry that starts", begins, last(late))
	entries[0].AnnounceEvacuation(ends)
	entries[0].AnnounceEvacuation(begins)
	await(t, "end", ends, last(entries[1]))
	await(t, "end at the entry that started", ends, last(late))
}
