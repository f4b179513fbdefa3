package exchanger_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill/decide/partblamer"
)

const deadly, sound partblamer.Part = 7, 3

// refusals returns the entries that refuse calls with the given parts.
func refusals(entries []*entry, parts ...partblamer.Part) int {
	n := 0
	for _, e := range entries {
		if d, _ := e.screener.Screen(parts); d.Refused {
			n++
		}
	}
	return n
}

// crashUnder returns the crash of an upstream under a request.
func crashUnder(request, upstream uint64) partblamer.Crash {
	return partblamer.Crash{Request: request, Upstream: upstream, Parts: partblamer.RequestPart(request)}
}

// Guards against BUDGET without refusing others: a request that crashes upstreams after the first event of its
// response is refused by all entries, but not the requests that are in progress there and served elsewhere.
func TestRequestInProgressAtCrashesIsNotQuarantined(t *testing.T) {
	const poison, popular, long = 7, 8, 9
	entries := cluster(t, 5)
	for upstream := range uint64(4) {
		first, second := entries[upstream], entries[(upstream+1)%5]
		// Calls with the popular request end everywhere, and are told first.
		for _, e := range entries {
			e.requests.RecordCrash(crashUnder(popular, upstream))
		}
		second.requests.RecordCrash(crashUnder(long, upstream))
		second.requests.RecordCrash(crashUnder(long, upstream))
		time.Sleep(50 * time.Millisecond)
		first.requests.RecordCrash(crashUnder(poison, upstream))
		entries[(upstream+2)%5].requests.RecordServed(partblamer.RequestPart(popular))
		time.Sleep(250 * time.Millisecond)
	}
	for _, e := range entries {
		await(t, "refused", []partblamer.Signature{{poison}}, e.requests.Quarantined)
	}
	time.Sleep(2 * time.Second)
	for _, e := range entries {
		if diff := cmp.Diff([]partblamer.Signature{{poison}}, e.requests.Quarantined()); diff != "" {
			t.Errorf("refused later (-want +got):\n%s", diff)
		}
	}
}

// When upstreams crash under a part at several entries, all entries must refuse calls with it,
// but not those with a part that is served at another entry.
func TestDeadlyPartIsQuarantinedByAll(t *testing.T) {
	entries := cluster(t, 5)
	entries[0].screener.RecordServed([]partblamer.Part{sound})
	for i, e := range entries[2:] {
		e.screener.RecordCrash(partblamer.Crash{Request: uint64(i), Upstream: uint64(i), Parts: []partblamer.Part{sound, deadly}})
		time.Sleep(200 * time.Millisecond)
	}
	await(t, "entries that refuse the part", 5, func() int { return refusals(entries, sound, deadly) })
	if n := refusals(entries, sound); n > 0 {
		t.Errorf("%d entries refuse calls with the part that is served", n)
	}

	late := entries[4]
	late.screener.RecordServed([]partblamer.Part{sound, deadly})
	await(t, "entries that refuse the part after it was served", 0, func() int { return refusals(entries, sound, deadly) })
}

// Guards against BUDGET: crashes that an entry told the collectors were forgotten when its next process
// told of others.
func TestCrashesOutliveTheirProcess(t *testing.T) {
	const request = 5
	tests := map[string]struct {
		record  func(e *entry, upstream uint64)
		refused func(e *entry) bool
	}{
		"of a part": {
			record: func(e *entry, upstream uint64) {
				e.screener.RecordCrash(partblamer.Crash{Request: upstream, Upstream: upstream, Parts: []partblamer.Part{deadly}})
			},
			refused: func(e *entry) bool { return refusals([]*entry{e}, deadly) > 0 },
		},
		"of a request": {
			record: func(e *entry, upstream uint64) { e.requests.RecordCrash(crashUnder(request, upstream)) },
			refused: func(e *entry) bool {
				d, _ := e.requests.Screen(partblamer.RequestPart(request))
				return d.Refused
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			entries := cluster(t, 5)
			last := slices.IndexFunc(entries, func(e *entry) bool { return e.Rank() < 0 })
			for upstream := range uint64(2) {
				tc.record(entries[last], upstream)
				time.Sleep(time.Second)
			}
			entries[last].Close()
			entries[last] = startEntry(t, last, "2", map[string]string{"other": entries[(last+1)%5].address})
			await(t, "members", 5, entries[last].Entries)
			time.Sleep(time.Second)
			tc.record(entries[last], 2)
			for _, e := range entries {
				await(t, "refused", true, func() bool { return tc.refused(e) })
			}
		})
	}
}

// Guards against BUDGET: a crash that an entry found right before it left was told to nobody.
func TestLastCrashIsReported(t *testing.T) {
	entries := cluster(t, 5)
	last := slices.IndexFunc(entries, func(e *entry) bool { return e.Rank() < 0 })
	crash := func(upstream uint64, part partblamer.Part) {
		entries[last].screener.RecordCrash(partblamer.Crash{Request: upstream, Upstream: upstream, Parts: []partblamer.Part{part}})
	}
	crash(1, deadly)
	time.Sleep(time.Second)
	crash(2, deadly)
	time.Sleep(200 * time.Millisecond)
	// Reports have a minimum interval.
	crash(4, sound)
	time.Sleep(20 * time.Millisecond)
	crash(3, deadly)
	entries[last].Leave()
	entries[last].Close()
	others := slices.Delete(slices.Clone(entries), last, last+1)
	await(t, "entries that refuse the part", 4, func() int { return refusals(others, deadly) })
}
