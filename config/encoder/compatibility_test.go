package encoder_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/config/encoder"
)

// record is the directory to which the records of this build are written. To add those of a landing, run
// the test with -record testdata/records/COMMIT in a checkout of it.
var record = flag.String("record", "", "directory for the records of this build")

var (
	lease  = encoder.Lease{Holder: "e1/7", Epoch: 65, Length: 3 * sequoiasill.Second, Renewal: 9}
	status = sequoiasill.MoveStatus{Move: "model-v2", Share: 250, End: sequoiasill.MoveRolledBack, Reason: "errors", Epoch: 65, Changed: 1234}
)

// encodeLease and encodeStatus return records of this build.
func encodeLease(t *testing.T, l encoder.Lease) []byte {
	t.Helper()
	b, err := encoder.EncodeLease(l)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func encodeStatus(t *testing.T, s sequoiasill.MoveStatus) []byte {
	t.Helper()
	b, err := encoder.EncodeStatus(s)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// decode returns what a record with a name holds.
func decode(name string, b []byte) (any, error) {
	if name == "lease.json" {
		return encoder.DecodeLease(b)
	}
	return encoder.DecodeStatus(b)
}

// A holder of another build may have written the lease or the status of a move during an upgrade.
func TestReadsRecordsOfEarlierLandings(t *testing.T) {
	if *record != "" {
		for name, b := range map[string][]byte{"lease.json": encodeLease(t, lease), "status.json": encodeStatus(t, status)} {
			if err := os.WriteFile(filepath.Join(*record, name), b, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		return
	}
	files, err := filepath.Glob("testdata/records/*/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no records of earlier landings: %v", err)
	}
	want := map[string]any{"lease.json": lease, "status.json": status}
	for _, file := range files {
		t.Run(file, func(t *testing.T) {
			b, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got, err := decode(filepath.Base(file), b)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want[filepath.Base(file)], got); diff != "" {
				t.Errorf("record (-written +read):\n%s", diff)
			}
		})
	}
}

// Newer builds may write fields that this build does not know, and older ones omit some that it does.
func TestReadsRecordsWithOtherFields(t *testing.T) {
	tests := map[string]struct {
		name, record string
		want         any
	}{
		"lease with an unknown field": {"lease.json", `{"holder":"e1","epoch":3,"lengthMillis":3000,"renewal":1,"era":2,"zone":{"a":[1]}}`, encoder.Lease{Holder: "e1", Epoch: 3, Length: 3000, Renewal: 1, Era: 2}},
		"lease without an era":        {"lease.json", `{"holder":"e1","epoch":3,"lengthMillis":3000,"renewal":1}`, encoder.Lease{Holder: "e1", Epoch: 3, Length: 3000, Renewal: 1}},
		"lease without fields":        {"lease.json", `{}`, encoder.Lease{}},
		"status with an unknown one":  {"status.json", `{"move":"m","shareThousandths":50,"epoch":3,"changedMillis":4,"by":"e2"}`, sequoiasill.MoveStatus{Move: "m", Share: 50, Epoch: 3, Changed: 4}},
		"status without fields":       {"status.json", `{}`, sequoiasill.MoveStatus{}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := decode(tc.name, []byte(tc.record))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("record (-want +got):\n%s", diff)
			}
		})
	}
}
