package recorder

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/journaler"
)

func newTestHead(n int) journaler.Head {
	h := journaler.Head{Sealed: []journaler.SegmentRef{{Name: "s", Keys: 3, Newest: 9}}}
	for i := range n {
		h.Entries = append(h.Entries, journaler.Entry{
			Key: journaler.HashKey("mall", fmt.Sprint(i)), Digest: uint64(i), Nonce: 7, At: sequoiasill.Millis(i),
			Writer: journaler.Writer{Entry: "entry-1", Address: "10.0.0.1:8082", Session: 5}, State: journaler.Done,
			Outcome: journaler.Outcome{Verdict: sequoiasill.Ran, Status: 200, ContentType: "application/json", Body: []byte(`{"ok":true}`)},
		})
	}
	return h
}

func TestHeadRoundTrip(t *testing.T) {
	want := newTestHead(3)
	want.Entries[1] = want.Entries[1].WithState(journaler.Void, journaler.Outcome{})
	b, err := EncodeHead(want)
	if err != nil {
		t.Fatalf("EncodeHead: %v", err)
	}
	got, err := DecodeHead(b)
	if err != nil {
		t.Fatalf("DecodeHead: %v", err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("head (-want +got):\n%s", diff)
	}
}

func TestSegmentRoundTrip(t *testing.T) {
	want := []journaler.SealedKey{{Key: journaler.HashKey("a", "b"), Verdict: sequoiasill.Ran}, {Key: journaler.HashKey("a", "c")}}
	b, err := EncodeSegment(want)
	if err != nil {
		t.Fatalf("EncodeSegment: %v", err)
	}
	got, err := DecodeSegment(b)
	if err != nil {
		t.Fatalf("DecodeSegment: %v", err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("segment (-want +got):\n%s", diff)
	}
}

// BenchmarkHead measures the size and the CPU time of encoding a head, each per
// journal entry. Both are paid on every write of the head.
func BenchmarkHead(b *testing.B) {
	for _, n := range []int{40, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := newTestHead(n)
			size := 0
			for b.Loop() {
				value, err := EncodeHead(h)
				if err != nil {
					b.Fatal(err)
				}
				size = len(value)
			}
			b.ReportMetric(float64(size)/float64(n), "B/entry")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/entry")
		})
	}
}
