package exchanger

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

// Guards against a fact of another build or a faulty entry that is taken for a pace.
func TestDecodePace(t *testing.T) {
	type want struct {
		StartedAt sequoiasill.Millis
		Usual     float64
		OK        bool
	}
	tests := map[string]want{
		"500 1.7": {500, 1.7, true}, "500 1.7 later": {500, 1.7, true},
		"": {}, "500": {}, "x 1.7": {}, "500 x": {}, "500 NaN": {}, "500 Inf": {}, "500 0": {}, "500 -1": {}, "500 100": {},
	}
	for value, expected := range tests {
		t.Run(value, func(t *testing.T) {
			startedAt, usual, err := decodePace(value)
			got := want{startedAt, usual, err == nil}
			if diff := cmp.Diff(expected, got); diff != "" {
				t.Errorf("pace (-want +got):\n%s", diff)
			}
		})
	}
}
