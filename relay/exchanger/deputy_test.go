package exchanger_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// watching returns the number of entries that watch the store.
func watching(entries []*entry) int {
	n := 0
	for _, e := range entries {
		if place, _ := e.WatchPosition(); place >= 0 {
			n++
		}
	}
	return n
}

// Guards against DRAIN and CONFIG: while all entries that watch the store were silent for less time than the failure
// detector takes, no other entry learned of changes. Their deputies watch in their place, and no further entry does.
func TestDeputiesWatchWhileAllWatchersAreSilent(t *testing.T) {
	tests := map[string]struct {
		silent int // of the three watchers
		want   int // of the others that watch
	}{"all watchers": {3, 3}, "two of three": {2, 0}, "none": {0, 0}}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			entries := cluster(t, 9)
			isWatcher := func(e *entry) bool { place, _ := e.WatchPosition(); return place >= 0 }
			await(t, "watchers", 3, func() int { return watching(entries) })
			// An entry has to be known as a deputy for a moment.
			time.Sleep(2 * time.Second)
			var others []*entry
			closed := 0
			for _, e := range slices.Clone(entries) {
				switch {
				case !isWatcher(e):
					others = append(others, e)
				case closed < tc.silent:
					e.Close()
					closed++
				}
			}
			most, since := 0, time.Now()
			took := time.Duration(0)
			for time.Since(since) < 2*time.Second {
				if n := watching(others); n > most {
					most, took = n, time.Since(since)
				}
				time.Sleep(10 * time.Millisecond)
			}
			if diff := cmp.Diff(tc.want, most); diff != "" {
				t.Errorf("others that watch (-want +got):\n%s", diff)
			}
			// A change must be in force everywhere within 2 s.
			if took > 1500*time.Millisecond {
				t.Errorf("they watch after %s", took)
			}
		})
	}
}

// An entry whose watch of any kind is overdue is replaced by another one until all kinds were answered.
func TestWatcherWithOverdueWatchIsReplaced(t *testing.T) {
	entries := cluster(t, 5)
	await(t, "watchers", 3, func() int { return watching(entries) })
	i := slices.IndexFunc(entries, func(e *entry) bool { place, _ := e.WatchPosition(); return place >= 0 })
	away := entries[i]
	watches := func() bool { place, _ := away.WatchPosition(); return place >= 0 }
	away.SetWatchOverdue("a", true)
	away.SetWatchOverdue("b", true)
	for _, e := range entries {
		others := slices.DeleteFunc(slices.Clone(entries), func(o *entry) bool { return o == away })
		await(t, "others that watch", 3, func() int { return watching(others) })
		if e == away && watches() {
			t.Error("the entry still watches")
		}
	}
	away.SetWatchOverdue("a", false)
	time.Sleep(300 * time.Millisecond)
	if watches() {
		t.Error("the entry watches again while the watch of one kind is overdue")
	}
	away.SetWatchOverdue("b", false)
	await(t, "the entry watches again", true, watches)
}
