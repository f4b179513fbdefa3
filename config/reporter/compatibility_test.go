package reporter

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill/decide/detector"
	"sequoiasill.dev/sequoiasill/decide/mover"
)

// olderSample is a sample as builds up to ffb51ca send it.
type olderSample struct {
	Old   [3]int `json:"old"`
	New   [3]int `json:"new"`
	Order uint64 `json:"order,omitempty"`
}

// During an upgrade, older builds read the first three counts of a version, and this one reads theirs.
func TestReadsSamplesOfOlderBuilds(t *testing.T) {
	older := map[string]olderSample{"r": {Old: [3]int{9, 1, 2}, New: [3]int{5, 3, 4}, Order: 7}}
	b, err := json.Marshal(older)
	if err != nil {
		t.Fatal(err)
	}
	got, order, err := DecodeSamples(b)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]mover.Sample{"r": {
		Old: detector.Counts{Requests: 9, Errors: 1, Slow: 2}, New: detector.Counts{Requests: 5, Errors: 3, Slow: 4},
	}}
	if diff := cmp.Diff(want, got); diff != "" || order != 7 {
		t.Errorf("samples of an older build, order %d (-want +got):\n%s", order, diff)
	}

	sent := want["r"]
	sent.New.Declined, sent.New.Rejected = 6, 8
	if b, err = EncodeSamples(map[string]mover.Sample{"r": sent}, 7); err != nil {
		t.Fatal(err)
	}
	var read map[string]olderSample
	if err := json.Unmarshal(b, &read); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(older, read); diff != "" {
		t.Errorf("samples at an older build (-want +got):\n%s", diff)
	}
	if got, _, err = DecodeSamples(b); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(map[string]mover.Sample{"r": sent}, got); diff != "" {
		t.Errorf("samples at this build (-want +got):\n%s", diff)
	}
}
