package exchanger

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

// Guards against announcements that lose the cold time of an upstream between entries, and against builds
// that do not send it being taken for cold upstreams.
func TestReplicaAnnouncement(t *testing.T) {
	cold := sequoiasill.Replica{Name: "i-1", Service: "model", Address: "10.0.0.1:1", Zone: "a", Slots: 6, StartedAt: 7, Revision: 8, Sequence: 9, ColdFor: 2400}
	warm := cold
	warm.ColdFor = 0
	encoded, err := encodeReplica(cold)
	if err != nil {
		t.Fatal(err)
	}
	const coldField = 11
	tests := map[string]struct {
		message []byte
		want    sequoiasill.Replica
	}{
		"this build":       {encoded, cold},
		"an earlier build": {onlyFields(t, encoded, func(field int) bool { return field != coldField }), warm},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := decodeReplica("i-1", 8, tc.message)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("replica (-sent +read):\n%s", diff)
			}
		})
	}
}
