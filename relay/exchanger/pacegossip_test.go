package exchanger_test

import "testing"

// Guards against a usual pace that only the entry that learnt it, or only those that ran then, know.
func TestPaceReachesOtherEntries(t *testing.T) {
	entries := cluster(t, 3)
	entries[1].AnnouncePace("i-1", 500, 1.7)
	knows := func(e *entry) func() string {
		return func() string {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.facts["pace i-1"]
		}
	}
	await(t, "pace at another entry", "500ms 1.7", knows(entries[0]))
	late := startEntry(t, 9, "1", map[string]string{"first": entries[0].address})
	await(t, "pace at an entry that started later", "500ms 1.7", knows(late))
}
