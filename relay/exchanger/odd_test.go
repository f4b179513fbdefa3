package exchanger

import (
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/allotter"
)

// A rate that is no number must not be taken from a message: it is converted to a number of calls.
func TestOddRatesAreNotTaken(t *testing.T) {
	for _, rate := range []float64{math.NaN(), math.Inf(1), 1e300, -1} {
		encode := func(message any) []byte {
			b, err := cbor.Marshal(message)
			if err != nil {
				t.Fatal(err)
			}
			return b
		}
		_, errLimit := decodeLimit(encode(wireLimit{Limited: true, PerSecond: rate}))
		_, errAsk := decodeAsk(encode(wireAsk{PerSecond: rate}))
		_, errUse := decodeUse(encode(wireUse{PerSecond: rate}))
		_, errCensus := decodeCensus(encode(wireCensus{PerSecond: rate}))
		for message, err := range map[string]error{"limit": errLimit, "ask": errAsk, "use": errUse, "census": errCensus} {
			if err == nil {
				t.Errorf("%s with a rate of %g decoded", message, rate)
			}
		}
	}
}

// A demand beyond all integers must be reported alike on all processors.
func TestHugeDemandIsLimited(t *testing.T) {
	b, err := encodeDemand(Demand{Totals: allotter.Totals{Demand: map[string]float64{"small": 1e300}}})
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeDemand(b)
	if err != nil || got.Demand["small"] != sequoiasill.MaxNumber {
		t.Errorf("demand %g, %v; want %d", got.Demand["small"], err, sequoiasill.MaxNumber)
	}
}

// Messages of other entries must never end the process, whatever they hold.
func FuzzDecode(f *testing.F) {
	state, err := encodeState(State{Process: "p", Demand: Demand{Work: map[string]float64{"s": 1}}}, 0)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(state)
	f.Add([]byte{0xa1, 0x03, 0xfb, 0x7f, 0xf8, 0, 0, 0, 0, 0, 0})                // a field that is no number
	f.Add([]byte{0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})          // an array of 2^63-1 elements
	f.Add([]byte{0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0}) // nested arrays
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := decodeState(b, 0); err == nil {
			if _, err := encodeState(s, 0); err != nil {
				t.Errorf("state cannot be encoded again: %v", err)
			}
		}
		_, _ = decodeReplica("i", 1, b)
		_, _ = decodeDemand(b)
		_, _ = decodeLimit(b)
		_, _ = decodeUse(b)
		_, _ = decodeCensus(b)
		_, _ = decodeDecision(b)
		if a, err := decodeAsk(b); err == nil {
			fromWireSends(a.Sends)
		}
	})
}
