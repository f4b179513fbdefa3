package roller

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/entry/shifter"
)

// The outcome of a move is recorded in the order before its deadline. It is decided at the
// first evaluation after EndAt and recorded at the next evaluation or shortly after.
func TestEndOfAMoveIsRecordedBeforeItsDeadline(t *testing.T) {
	const recordTime = 500 * sequoiasill.Millis(1)
	evaluations := 2 * sequoiasill.MillisOf(evaluateInterval)
	for name, span := range map[string]sequoiasill.Millis{"of 10 s": 10_000, "of 15 s": 15_000, "of a minute": 60_000} {
		t.Run(name, func(t *testing.T) {
			m := order{Rollout: sequoiasill.Rollout{Service: "s", Target: "v2", Duration: span}}.move()
			end := m.Start + (m.Deadline-m.Start)*sequoiasill.Millis(DefaultOptions().EndAt)/1000
			if recorded := end + evaluations + recordTime; recorded > span {
				t.Errorf("the end is recorded after %s of %s", recorded, span)
			}
		})
	}
}

// Upstreams of a version that the service has moved off receive no calls.
func TestSupersededUpstreams(t *testing.T) {
	old := sequoiasill.Replica{Service: "s", Version: "v1", StartedAt: 500}
	next := sequoiasill.Replica{Service: "s", Version: "v2", StartedAt: 1100}
	later := sequoiasill.Replica{Service: "s", Version: "v3", StartedAt: 9000}
	other := sequoiasill.Replica{Service: "t", Version: "v1", StartedAt: 500}
	for name, tc := range map[string]struct {
		state  sequoiasill.MoveEnd
		want   []bool
		moving bool
	}{
		"while it moves": {sequoiasill.MoveOpen, []bool{false, false, false, false}, true},
		"rolled back":    {sequoiasill.MoveRolledBack, []bool{false, false, false, false}, false},
		"done":           {sequoiasill.MoveDone, []bool{true, false, false, false}, false},
	} {
		t.Run(name, func(t *testing.T) {
			clock := sequoiasill.NewSystemClock()
			r := &Roller{clock: clock, log: hclog.NewNullLogger(), orders: make(map[string]order)}
			r.shifter = shifter.New("e1", clock, r, r.log)
			r.setOrder(order{
				Rollout: sequoiasill.Rollout{Service: "s", Target: "v2", Duration: 15_000, Revision: 1, State: tc.state}, startedAt: 1000,
			}, "store")
			var got []bool
			for _, n := range []sequoiasill.Replica{old, next, later, other} {
				got = append(got, r.Superseded(n))
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("superseded (-want +got):\n%s", diff)
			}
			if r.Moving("s") != tc.moving || r.Moving("t") {
				t.Errorf("s moves %t, t moves %t", r.Moving("s"), r.Moving("t"))
			}
		})
	}
}
