package roller

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

// olderOrder is an order as builds up to 2a28672 gossip it.
type olderOrder struct {
	Target    string `cbor:"1,keyasint"`
	Duration  int64  `cbor:"2,keyasint"`
	StartedAt int64  `cbor:"3,keyasint"`
	State     string `cbor:"4,keyasint,omitempty"`
	Started   bool   `cbor:"5,keyasint,omitempty"`
}

// During an upgrade, older builds read the orders of this one, and this one reads theirs.
func TestReadsOrdersOfOlderBuilds(t *testing.T) {
	older := olderOrder{Target: "v2", Duration: 15_000, StartedAt: 7, State: string(sequoiasill.MoveDone), Started: true}
	b, err := cbor.Marshal(older)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeOrder("s", 9, b)
	if err != nil {
		t.Fatal(err)
	}
	want := sequoiasill.Rollout{Service: "s", Target: "v2", Duration: 15_000, Revision: 9, State: sequoiasill.MoveDone, Recorded: true}
	if diff := cmp.Diff(want, got.Rollout); diff != "" {
		t.Errorf("order of an older build (-want +got):\n%s", diff)
	}

	got.InUse, got.Rejected, got.Order = "v1", "v0", 8
	if b, err = encodeOrder(got); err != nil {
		t.Fatal(err)
	}
	var read olderOrder
	if err := cbor.Unmarshal(b, &read); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(older, read); diff != "" {
		t.Errorf("order at an older build (-want +got):\n%s", diff)
	}
}
