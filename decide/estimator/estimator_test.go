package estimator_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/estimator"
	"sequoiasill.dev/sequoiasill/decide/scaler"
)

// Guards against engines with few slots whose calls queue when the reclaimable upstreams of a zone are lost,
// and against a reserve where engine time is what runs out.
func TestReserveForTheLossOfAZone(t *testing.T) {
	tests := map[string]struct {
		slots int
		want  scaler.View
	}{
		"few slots":  {12, scaler.View{Need: 135, LossWaveTarget: 75, MinServing: 58}},
		"many slots": {64, scaler.View{Need: 90, LossWaveTarget: 75, MinServing: 58}},
		"no engine":  {0, scaler.View{Need: 90, LossWaveTarget: 75, MinServing: 58}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			e := &estimator.Estimator{}
			e.SetSlots(tc.slots)
			start := 1000 * sequoiasill.Second
			for now := start; now < start+30*sequoiasill.Second; now += sequoiasill.Second {
				e.Update(now, map[string]scaler.Stock{"a": {Reclaimable: 30}, "b": {Reclaimable: 30}}, 31_400)
			}
			var got scaler.View
			e.Apply(start+30*sequoiasill.Second, &got)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("view (-want +got):\n%s", diff)
			}
		})
	}
}
