package blamer_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/blamer"
)

const (
	poison blamer.Fingerprint = 7
	other  blamer.Fingerprint = 8
)

func TestRefusedAfterThreeUpstreams(t *testing.T) {
	second := sequoiasill.Second
	tests := map[string]struct {
		events func(b *blamer.Blamer)
		want   bool
	}{
		"three at this entry": {func(b *blamer.Blamer) {
			b.RecordCrash(0, poison, 1)
			b.RecordCrash(second, poison, 2)
			b.RecordCrash(2*second, poison, 3)
		}, true},
		"three at three entries": {func(b *blamer.Blamer) {
			b.RecordCrash(0, poison, 1)
			b.SetCharges(second, "e2", []blamer.Charge{{Fingerprint: poison, Upstream: 2, At: second}})
			b.SetCharges(2*second, "e3", []blamer.Charge{{Fingerprint: poison, Upstream: 3, At: 2 * second}})
		}, true},
		"two": {func(b *blamer.Blamer) {
			b.RecordCrash(0, poison, 1)
			b.RecordCrash(second, poison, 2)
		}, false},
		"the same upstream again": {func(b *blamer.Blamer) {
			for i := range 5 {
				b.RecordCrash(sequoiasill.Millis(i)*second, poison, 1)
			}
		}, false},
		"a response in between": {func(b *blamer.Blamer) {
			b.RecordCrash(0, poison, 1)
			b.RecordCrash(second, poison, 2)
			b.RecordResponse(2*second, poison)
			b.RecordCrash(2*second, poison, 3)
		}, false},
		"a response at another entry in between": {func(b *blamer.Blamer) {
			b.SetCharges(0, "e2", []blamer.Charge{{Fingerprint: poison, Upstream: 1}, {Fingerprint: poison, Upstream: 2}})
			b.SetCharges(second, "e2", nil)
			b.RecordCrash(second, poison, 3)
		}, false},
		"too far apart": {func(b *blamer.Blamer) {
			b.RecordCrash(0, poison, 1)
			b.RecordCrash(20*second, poison, 2)
			b.RecordCrash(40*second, poison, 3)
		}, false},
		"another request in progress at one of them": {func(b *blamer.Blamer) {
			b.RecordCrash(0, poison, 1)
			b.RecordCrash(second, poison, 2)
			b.RecordCrash(2*second, other, 3)
			b.RecordCrash(2*second, poison, 3)
		}, false},
		"another request, whose response had begun, in progress at one of them": {func(b *blamer.Blamer) {
			b.RecordCrash(0, poison, 1)
			b.RecordTruncated(second, other, 2)
			b.RecordCrash(second, poison, 2)
			b.RecordCrash(2*second, poison, 3)
		}, false},
		"responses that had begun": {func(b *blamer.Blamer) {
			for i := range uint64(3) {
				b.RecordTruncated(second, poison, i)
			}
		}, false},
		"a complete response before": {func(b *blamer.Blamer) {
			b.RecordResponse(0, poison)
			for i := range uint64(3) {
				b.RecordCrash(second, poison, i)
			}
		}, false},
		"crashes of other requests": {func(b *blamer.Blamer) {
			b.RecordCrash(0, poison, 1)
			b.RecordCrash(0, other, 2)
			b.RecordCrash(0, other, 3)
		}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := blamer.New(blamer.DefaultOptions())
			tc.events(b)
			_, refused := b.Refused(40*second, poison)
			if diff := cmp.Diff(tc.want, refused); diff != "" {
				t.Errorf("refused (-want +got):\n%s", diff)
			}
		})
	}
}

// A refused request is reported once, and the refusal ends after RefusalDuration.
func TestRefusalEnds(t *testing.T) {
	b := blamer.New(blamer.DefaultOptions())
	charges := []blamer.Charge{{Fingerprint: poison, Upstream: 1}, {Fingerprint: poison, Upstream: 2}, {Fingerprint: poison, Upstream: 3}}
	first := b.SetCharges(0, "e2", charges)
	again := b.SetCharges(500, "e2", charges)
	if diff := cmp.Diff([][]blamer.Fingerprint{{poison}, nil}, [][]blamer.Fingerprint{first, again}); diff != "" {
		t.Errorf("reported by the first and second call (-want +got):\n%s", diff)
	}
	span := blamer.DefaultOptions().RefusalDuration
	// The clock must not go backwards, so the order matters.
	var refused []bool
	for _, at := range []sequoiasill.Millis{span - 1, span} {
		_, r := b.Refused(at, poison)
		refused = append(refused, r)
	}
	if diff := cmp.Diff([]bool{true, false}, refused); diff != "" {
		t.Errorf("refused just before and at the end (-want +got):\n%s", diff)
	}
}

// A request on probation is run again: a crash refuses it for twice as long as before, a
// complete response clears it.
func TestRefusedAgainAfterOneMoreCrash(t *testing.T) {
	const minute = sequoiasill.Minute
	tests := map[string]struct {
		events func(b *blamer.Blamer)
		at     sequoiasill.Millis
		want   bool
	}{
		"on probation":              {func(*blamer.Blamer) {}, 2 * minute, false},
		"one crash":                 {func(b *blamer.Blamer) { b.RecordCrash(2*minute, poison, 4) }, 6*minute - 1, true},
		"end of the second refusal": {func(b *blamer.Blamer) { b.RecordCrash(2*minute, poison, 4) }, 6 * minute, false},
		"two crashes":               {func(b *blamer.Blamer) { b.RecordCrash(2*minute, poison, 4); b.RecordCrash(6*minute, poison, 5) }, 14*minute - 1, true},
		"a response":                {func(b *blamer.Blamer) { b.RecordResponse(2*minute, poison); b.RecordCrash(2*minute, poison, 4) }, 2 * minute, false},
		"after probation":           {func(b *blamer.Blamer) { b.Charges(20 * minute); b.RecordCrash(20*minute, poison, 4) }, 20 * minute, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := blamer.New(blamer.DefaultOptions())
			for upstream := range uint64(3) {
				b.RecordCrash(0, poison, upstream)
			}
			tc.events(b)
			if _, refused := b.Refused(tc.at, poison); refused != tc.want {
				t.Errorf("refused %t, want %t", refused, tc.want)
			}
		})
	}
}

// Upstreams lose responses without crashing: each request has its own fingerprint and is
// charged twice at most. No request is refused, and the reported charges stay bounded.
func TestLostResponsesRefuseNothing(t *testing.T) {
	opts := blamer.DefaultOptions()
	b := blamer.New(opts)
	for i := range 5000 {
		now := sequoiasill.Millis(i * 10)
		f := blamer.Fingerprint(i)
		if i%3 == 0 {
			b.RecordCrash(now, f, uint64(i%9))
			b.RecordCrash(now+50, f, uint64(i%9+1))
		}
		b.RecordResponse(now, f)
		if n := len(b.Charges(now)); n > opts.MaxCharges {
			t.Fatalf("%d charges are reported", n)
		}
	}
	if got := b.Suspects(); len(got) > 0 {
		t.Errorf("refused %v", got)
	}
}
