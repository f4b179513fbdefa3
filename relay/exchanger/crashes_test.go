package exchanger_test

import (
	"testing"
	"time"

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
