package exchanger_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against DRAIN and CONFIG: the entries that watch the store fell silent, and then those that watched in their
// place: no other entry watched until the failure detector had noticed, seconds later.
func TestEachWaveOfSilentWatchersIsReplaced(t *testing.T) {
	silences := map[string]func(e *entry){
		"ended":      func(e *entry) { e.Close() },
		"unanswered": func(e *entry) { e.away.Store(true) },
	}
	const (
		waves = 4
		// A change must be in force everywhere within 2 s, and takes a list and its gossip after this.
		limit = 1600 * time.Millisecond
	)
	for name, silence := range silences {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rest := cluster(t, 24)
			await(t, "watchers", 3, func() int { return watching(rest) })
			time.Sleep(2 * time.Second)
			for wave := range waves {
				var heard []*entry
				for _, e := range rest {
					if place, _ := e.WatchPosition(); place >= 0 {
						silence(e)
					} else {
						heard = append(heard, e)
					}
				}
				rest = heard
				since := time.Now()
				await(t, "others watch", true, func() bool { return watching(rest) > 0 })
				if took := time.Since(since); took > limit {
					t.Errorf("wave %d: others watch after %s, want at most %s", wave, took, limit)
				}
			}
		})
	}
}

// A watcher that the store did not answer may have missed changes without an error, so it lists them again before it
// says that it watches.
func TestUnansweredWatcherListsAgain(t *testing.T) {
	entries := cluster(t, 5)
	await(t, "watchers", 3, func() int { return watching(entries) })
	time.Sleep(time.Second)
	before := watching(entries)
	if diff := cmp.Diff(3, before); diff != "" {
		t.Errorf("entries that watch a store that answers (-want +got):\n%s", diff)
	}
	i := slices.IndexFunc(entries, func(e *entry) bool { place, _ := e.WatchPosition(); return place >= 0 })
	for _, e := range entries {
		e.away.Store(true)
	}
	time.Sleep(time.Second)
	if diff := cmp.Diff(int64(0), entries[i].relists.Load()); diff != "" {
		t.Errorf("lists of an entry that gets no answer (-want +got):\n%s", diff)
	}
	for _, e := range entries {
		e.away.Store(false)
	}
	await(t, "lists", int64(1), entries[i].relists.Load)
}
