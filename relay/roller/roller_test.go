package roller

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
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

// The version in use follows from the orders and their outcomes, or from the upstreams where there are
// no earlier orders (review/2).
func TestVersionInUse(t *testing.T) {
	ordered := func(target string, state sequoiasill.MoveEnd, running ...string) order {
		return order{Rollout: sequoiasill.Rollout{Service: "s", Target: target, Duration: 15_000, State: state}, running: running, startedAt: 1000}
	}
	inUse := func(o order, version string) order {
		o.InUse = version
		return o
	}
	tests := map[string]struct {
		orders []order // each replaces the one before, or has its outcome
		want   sequoiasill.VersionAssignment
	}{
		"first order": {
			[]order{ordered("v2", sequoiasill.MoveOpen, "v1")},
			sequoiasill.VersionAssignment{Target: "v2", InUse: "v1"},
		},
		"first order, its upstreams have started": {
			[]order{ordered("v2", sequoiasill.MoveOpen, "v1", "v2")},
			sequoiasill.VersionAssignment{Target: "v2", InUse: "v1"},
		},
		"first order, two versions run": {
			[]order{ordered("v3", sequoiasill.MoveOpen, "v1", "v2")},
			sequoiasill.VersionAssignment{Target: "v3"},
		},
		"first order names the version in use": {
			[]order{ordered("v1", sequoiasill.MoveOpen, "v1")},
			sequoiasill.VersionAssignment{Target: "v1", ToTarget: true, InUse: "v1"},
		},
		"the version in use after a rollback": {
			[]order{ordered("v2", sequoiasill.MoveOpen, "v1"), ordered("v2", sequoiasill.MoveRolledBack, "v1", "v2"), ordered("v1", sequoiasill.MoveOpen, "v1", "v2")},
			sequoiasill.VersionAssignment{Target: "v1", ToTarget: true, InUse: "v1", Rejected: "v2"},
		},
		"a third version after a rollback": {
			[]order{ordered("v2", sequoiasill.MoveOpen, "v1"), ordered("v2", sequoiasill.MoveRolledBack, "v1", "v2"), ordered("v3", sequoiasill.MoveOpen, "v1", "v2", "v3")},
			sequoiasill.VersionAssignment{Target: "v3", InUse: "v1", Rejected: "v2"},
		},
		"a third version after a completed move": {
			[]order{ordered("v2", sequoiasill.MoveOpen, "v1"), ordered("v2", sequoiasill.MoveDone, "v1", "v2"), ordered("v3", sequoiasill.MoveOpen, "v2")},
			sequoiasill.VersionAssignment{Target: "v3", InUse: "v2"},
		},
		"an order replaced while its move is open": {
			[]order{ordered("v2", sequoiasill.MoveOpen, "v1"), ordered("v3", sequoiasill.MoveOpen, "v1", "v2")},
			sequoiasill.VersionAssignment{Target: "v3", InUse: "v1", Rejected: "v2"},
		},
		"the version in use is ordered and rolled back": {
			[]order{ordered("v1", sequoiasill.MoveOpen, "v1"), ordered("v1", sequoiasill.MoveRolledBack, "v1"), ordered("v2", sequoiasill.MoveOpen, "v1")},
			sequoiasill.VersionAssignment{Target: "v2", InUse: "v1"},
		},
		"an entry that starts late": {
			[]order{inUse(ordered("v3", sequoiasill.MoveOpen, "v1", "v2", "v3"), "v1")},
			sequoiasill.VersionAssignment{Target: "v3", InUse: "v1"},
		},
		"the store tells after another entry did": {
			[]order{ordered("v3", sequoiasill.MoveOpen), inUse(ordered("v3", sequoiasill.MoveOpen, "v1", "v2", "v3"), "v1")},
			sequoiasill.VersionAssignment{Target: "v3", InUse: "v1"},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			clock := sequoiasill.NewSystemClock()
			r := &Roller{clock: clock, log: hclog.NewNullLogger(), orders: make(map[string]order)}
			r.shifter = shifter.New("e1", clock, r, r.log)
			for i, o := range tc.orders {
				o.Revision = uint64(i + 1)
				r.setOrder(o, "store")
			}
			if diff := cmp.Diff(tc.want, r.Assign("s", "call")); diff != "" {
				t.Errorf("assignment (-want +got):\n%s", diff)
			}
			told, err := encodeOrder(r.orders["s"])
			if err != nil {
				t.Fatal(err)
			}
			other := &Roller{clock: clock, log: hclog.NewNullLogger(), orders: make(map[string]order)}
			other.shifter = shifter.New("e2", clock, other, other.log)
			other.HandleFact(gossiper.Fact{Key: orderPrefix + "s", Version: 9, Value: told})
			if diff := cmp.Diff(tc.want, other.Assign("s", "call")); diff != "" {
				t.Errorf("assignment at another entry (-want +got):\n%s", diff)
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
