package quarantinekeeper_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"sequoiasill.dev/sequoiasill/decide/partblamer"
)

// record is the directory to which the record of this build is written. To add that of a landing, run the
// test with -record testdata/records/COMMIT in a checkout of it.
var record = flag.String("record", "", "directory for the record of this build")

const recordFile = "quarantines.json"

var signatures = []partblamer.Signature{{1}, {2, 1 << 63}}

// writeRecord writes the record of this build.
func writeRecord(t *testing.T) {
	t.Helper()
	s, e := &fakeStore{}, newEntry(0)
	for _, signature := range signatures {
		e.quarantine(signature...)
	}
	k := start(t, s, e)
	await(t, "stored", true, func() bool { return s.content() != "" })
	k.Close()
	if err := os.WriteFile(filepath.Join(*record, recordFile), []byte(s.content()), 0o600); err != nil {
		t.Fatal(err)
	}
}

// A collector of another build may have stored the quarantines during an upgrade.
func TestReadsQuarantinesOfOtherBuilds(t *testing.T) {
	if *record != "" {
		writeRecord(t)
		return
	}
	stored := map[string]string{
		"with unknown fields":                 `{"parts":[["1"],["2","8000000000000000"]],"until":[1,2],"by":{"a":1}}`,
		"with signatures that cannot be read": `{"parts":[["1"],["x"],[],["8000000000000000","2"]]}`,
	}
	files, err := filepath.Glob("testdata/records/*/" + recordFile)
	if err != nil || len(files) == 0 {
		t.Fatalf("no records of earlier landings: %v", err)
	}
	for _, file := range files {
		b, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		stored[file] = string(b)
	}
	for name, value := range stored {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEntry(0)
			k := start(t, &fakeStore{value: []byte(value), version: 1}, e)
			defer k.Close()
			await(t, "restored", signatures, e.Quarantined)
		})
	}
}
