package exchanger

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// record is the directory to which the messages of this build are written. To add those of a landing,
// run the test with -record testdata/messages/COMMIT in a checkout of it.
var record = flag.String("record", "", "directory for the messages of this build")

// messages returns one message of each kind with all fields set, by name.
func messages() map[string]any {
	return map[string]any{
		"state": wireState{
			Process: "p1", Demand: wireDemand{Tokens: map[string]int64{"small": 7}, Work: map[string]int64{"model": 8}, Spent: map[string]int64{"small": 9}},
			Tally: map[int64]map[string]int{3: {"small": 4}}, Charges: []wireCharge{{Fingerprint: 1 << 63, Upstream: 2, AgeMillis: 30}}, Reports: true,
		},
		"replica":    wireReplica{Service: "model", Address: "10.0.0.1:1", Zone: "a", Version: "v1", Slots: 6, Draining: true, Reclaimable: true, ShutdownIn: 5, StartedAt: 6, Sequence: 7, ColdFor: 8},
		"limit":      wireLimit{StartedAt: 1, Limited: true, PerSecond: 1.5},
		"ask":        wireAsk{Upstream: "i-1", StartedAt: 1, ID: 2, WantsPermit: true, FromUpstream: true, PerSecond: 1.5, AgeMillis: 3, Process: "p1", Sends: []wireSends{{Granter: "e1", AgesMillis: []int64{1, 2}, Open: 3}}},
		"decision":   wireDecision{Upstream: "i-1", StartedAt: 1, ID: 2, WantsPermit: true, Granted: true, Lifted: true, WaitMillis: 3, Granter: "e1"},
		"use":        wireUse{Upstream: "i-1", StartedAt: 1, ID: 2, Process: "p1", Reached: true, Reported: true, Limited: true, PerSecond: 1.5},
		"census":     wireCensus{Upstream: "i-1", StartedAt: 1, PerSecond: 1.5},
		"evacuation": wireEvacuation{Evacuated: true, Record: 3},
		"usage":      wireUsage{Window: 3, Calls: map[string]int{"small": 4}},
		"crashes": wireCrashReport{
			Crashes: []wireCrash{{Request: 1 << 63, Upstream: 2, AgeMillis: 3, Parts: []uint64{4, 5}}}, Served: map[uint64]int64{4: 6}, Process: "e1/7",
		},
		"quarantine": wireQuarantine{Parts: []uint64{4, 5}, Lifted: true, AgeMillis: 6, RemainingMillis: 7},
	}
}

func encode(t *testing.T, v any) []byte {
	t.Helper()
	b, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// decodeAs decodes a message as the type of a sample.
func decodeAs(t *testing.T, sample any, b []byte) any {
	t.Helper()
	out := reflect.New(reflect.TypeOf(sample))
	if err := cbor.Unmarshal(b, out.Interface()); err != nil {
		t.Fatal(err)
	}
	return out.Elem().Interface()
}

// fieldsOf returns the fields of a message by their keys.
func fieldsOf(t *testing.T, b []byte) map[int]cbor.RawMessage {
	t.Helper()
	fields := make(map[int]cbor.RawMessage)
	if err := cbor.Unmarshal(b, &fields); err != nil {
		t.Fatal(err)
	}
	return fields
}

// onlyFields returns a message without the fields that are not kept.
func onlyFields(t *testing.T, b []byte, keep func(field int) bool) []byte {
	t.Helper()
	fields := fieldsOf(t, b)
	for field := range fields {
		if !keep(field) {
			delete(fields, field)
		}
	}
	return encode(t, fields)
}

// Entries of earlier landings run beside this one during an upgrade: their messages are read.
func TestReadsMessagesOfEarlierLandings(t *testing.T) {
	if *record != "" {
		for name, m := range messages() {
			if err := os.WriteFile(filepath.Join(*record, name+".cbor"), encode(t, m), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		return
	}
	files, err := filepath.Glob("testdata/messages/*/*.cbor")
	if err != nil || len(files) == 0 {
		t.Fatalf("no messages of earlier landings: %v", err)
	}
	samples := messages()
	for _, file := range files {
		t.Run(file, func(t *testing.T) {
			b, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			sample, known := samples[filepath.Base(file[:len(file)-len(".cbor")])]
			if !known {
				t.Fatal("this build has no such message")
			}
			sent := onlyFields(t, encode(t, sample), func(field int) bool { _, ok := fieldsOf(t, b)[field]; return ok })
			if diff := cmp.Diff(decodeAs(t, sample, sent), decodeAs(t, sample, b)); diff != "" {
				t.Errorf("message (-sent +read):\n%s", diff)
			}
		})
	}
}

// Newer entries may send fields that this build does not know, and omit some that it does.
func TestReadsMessagesWithOtherFields(t *testing.T) {
	const unknownField = 99
	for name, m := range messages() {
		t.Run(name, func(t *testing.T) {
			fields := fieldsOf(t, encode(t, m))
			fields[unknownField] = encode(t, map[string]any{"a": []int{1}})
			if diff := cmp.Diff(m, decodeAs(t, m, encode(t, fields))); diff != "" {
				t.Errorf("message with an unknown field (-sent +read):\n%s", diff)
			}
			for missing := range fields {
				decodeAs(t, m, onlyFields(t, encode(t, m), func(field int) bool { return field != missing }))
			}
		})
	}
}
