package registrar_test

import (
	"testing"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// An upstream that had left stays away when the store comes back from a copy with its record, until
// it writes again.
func TestUpstreamThatLeftStaysAwayAfterReturnFromCopy(t *testing.T) {
	const second = sequoiasill.Second
	record := func(era, revision, sequence uint64, draining bool, startedAt sequoiasill.Millis) sequoiasill.Replica {
		return sequoiasill.Replica{
			Name: "r", Service: "s", Address: "10.0.0.1:1", Slots: 4, Draining: draining, StartedAt: startedAt,
			Revision: sequoiasill.StoreVersion(era, revision), Sequence: sequence,
		}
	}
	list := func(r *registrar.Registrar, now sequoiasill.Millis, era, at uint64, records ...sequoiasill.Replica) {
		r.Reconcile(now, records, sequoiasill.StoreVersion(era, at))
	}
	removed := func(r *registrar.Registrar) {
		list(r, 0, 1, 10, record(1, 5, 3, false, 7))
		r.Remove(second, "r", sequoiasill.StoreVersion(1, 11))
	}
	tests := map[string]struct {
		play func(r *registrar.Registrar)
		want int // candidates
	}{
		"removed, and listed in a copy": {func(r *registrar.Registrar) {
			removed(r)
			list(r, 2*second, 2, 8, record(2, 5, 3, false, 7))
		}, 0},
		"listed again without a write": {func(r *registrar.Registrar) {
			removed(r)
			list(r, 2*second, 2, 8, record(2, 5, 3, false, 7))
			list(r, 5*second, 2, 9, record(2, 5, 3, false, 7))
		}, 0},
		"it writes again": {func(r *registrar.Registrar) {
			removed(r)
			list(r, 2*second, 2, 8, record(2, 5, 3, false, 7))
			list(r, 5*second, 2, 9, record(2, 9, 4, false, 7))
		}, 1},
		"it writes again, without a sequence": {func(r *registrar.Registrar) {
			removed(r)
			list(r, 2*second, 2, 8, record(2, 5, 0, false, 7))
			list(r, 5*second, 2, 9, record(2, 9, 0, false, 7))
		}, 1},
		"another incarnation": {func(r *registrar.Registrar) {
			removed(r)
			list(r, 2*second, 2, 8, record(2, 6, 1, false, 9))
		}, 1},
		"removed before this entry knew it": {func(r *registrar.Registrar) {
			r.Remove(second, "r", sequoiasill.StoreVersion(1, 11))
			list(r, 2*second, 2, 8, record(2, 5, 3, false, 7))
		}, 0},
		"registered again in the same era": {func(r *registrar.Registrar) {
			removed(r)
			list(r, 2*second, 1, 12, record(1, 12, 4, false, 7))
		}, 1},
		"draining, and ready in a copy": {func(r *registrar.Registrar) {
			list(r, 0, 1, 10, record(1, 5, 3, true, 7))
			list(r, 2*second, 2, 8, record(2, 4, 2, false, 7))
		}, 0},
		"missing in a copy, within the time to return": {func(r *registrar.Registrar) {
			list(r, 0, 1, 10, record(1, 5, 3, false, 7))
			r.StoreRecovered(2 * second)
			list(r, 2*second, 2, 4)
			r.Tick(3 * second)
		}, 1},
		"missing in a copy for longer": {func(r *registrar.Registrar) {
			list(r, 0, 1, 10, record(1, 5, 3, false, 7))
			r.StoreRecovered(2 * second)
			list(r, 2*second, 2, 4)
			r.Tick(4 * second)
		}, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(registrar.DefaultOptions(), 1)
			tc.play(r)
			if got := len(r.Candidates(6*second, "s")); got != tc.want {
				t.Errorf("%d candidates, want %d", got, tc.want)
			}
		})
	}
}
