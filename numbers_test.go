package sequoiasill_test

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

// Numbers of others must be converted alike on all processors, whatever they are.
func TestNumbersOfOthers(t *testing.T) {
	const limit = 1000
	type result struct {
		N        int64
		OK       bool
		Clamped  int64
		Duration sequoiasill.Millis
	}
	longest := sequoiasill.MaxDuration
	tests := map[string]struct {
		f    float64
		want result
	}{
		"zero":           {0, result{0, true, 0, 0}},
		"negative zero":  {math.Copysign(0, -1), result{0, true, 0, 0}},
		"fraction":       {2.9, result{2, true, 2, 2900}},
		"limit":          {limit, result{limit, true, limit, limit * sequoiasill.Second}},
		"above limit":    {limit + 0.5, result{0, false, limit, limit*sequoiasill.Second + 500}},
		"negative":       {-0.5, result{0, false, 0, 0}},
		"very negative":  {-1e300, result{0, false, 0, 0}},
		"very large":     {1e300, result{0, false, limit, longest}},
		"largest":        {math.MaxFloat64, result{0, false, limit, longest}},
		"above int64":    {1 << 63, result{0, false, limit, longest}},
		"infinite":       {math.Inf(1), result{0, false, limit, longest}},
		"minus infinite": {math.Inf(-1), result{0, false, 0, 0}},
		"no number":      {math.NaN(), result{0, false, 0, 0}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var got result
			got.N, got.OK = sequoiasill.WholeNumber(tc.f, limit)
			got.Clamped = sequoiasill.ClampNumber(tc.f, limit)
			got.Duration = sequoiasill.ClampDuration(tc.f, sequoiasill.Second)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("conversion (-want +got):\n%s", diff)
			}
		})
	}
	if n, ok := sequoiasill.WholeNumber(1<<60, math.MaxInt64); ok {
		t.Errorf("2^60 converted to %d; want none above MaxNumber", n)
	}
	if d := (2 * sequoiasill.MaxDuration).Duration(); d <= 0 {
		t.Errorf("the sum of two longest durations is %s", d)
	}
}
