package roller

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/config/encoder"
	"sequoiasill.dev/sequoiasill/config/reporter"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/mover"
	"sequoiasill.dev/sequoiasill/entry/shifter"
)

// newRoller returns a Roller of an entry that neither evaluates nor records its moves.
func newRoller(entry string) *Roller {
	r := &Roller{clock: sequoiasill.NewSystemClock(), log: hclog.NewNullLogger(), orders: make(map[string]order)}
	r.shifter = shifter.New(entry, r.clock, r, r.log)
	return r
}

// The outcome of a move is recorded in the order before its deadline. It is decided at the
// first evaluation after EndAt and recorded at the next evaluation or shortly after.
func TestEndOfAMoveIsRecordedBeforeItsDeadline(t *testing.T) {
	const recordTime = 500 * sequoiasill.Millis(1)
	evaluations := 2 * sequoiasill.MillisOf(evaluateInterval)
	for name, span := range map[string]sequoiasill.Millis{"of 10 s": 10_000, "of 15 s": 15_000, "of a minute": 60_000} {
		t.Run(name, func(t *testing.T) {
			m := order{Rollout: sequoiasill.Rollout{Service: "s", Target: "v2", Duration: span}}.move()
			end := m.Start + (m.Deadline-m.Start)*sequoiasill.Millis(DefaultOptions(mover.Exposure{}).EndAt)/1000
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
			r := newRoller("e1")
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
			other := newRoller("e2")
			other.HandleFact(gossiper.Fact{Key: orderPrefix + "s", Version: 9, Value: told})
			if diff := cmp.Diff(tc.want, other.Assign("s", "call")); diff != "" {
				t.Errorf("assignment at another entry (-want +got):\n%s", diff)
			}
		})
	}
}

// An order for a version that was ordered before starts a move of its own, whatever became of the
// earlier one (review/3).
func TestResultOfAnEarlierOrderDoesNotEndALaterOne(t *testing.T) {
	type read struct {
		revision uint64
		target   string
		duration sequoiasill.Millis
		state    sequoiasill.MoveEnd // in the status, if stored is not empty
		order    uint64              // in the status
		stored   string
	}
	const d = 15_000
	done, rolledBack, open := sequoiasill.MoveDone, sequoiasill.MoveRolledBack, sequoiasill.MoveOpen
	tests := map[string]struct {
		reads     []read // what the store holds, as far as this entry reads it
		wantOrder uint64
		wantEnd   sequoiasill.MoveEnd
	}{
		"back and forth": {[]read{
			{10, "v2", d, open, 0, ""}, {11, "v2", d, done, 10, "a"}, {20, "v1", d, open, 0, "a"}, {21, "v1", d, done, 20, "b"}, {30, "v2", d, open, 0, "b"},
		}, 30, open},
		"the same version for another time": {[]read{{10, "v2", d, open, 0, ""}, {11, "v2", d, rolledBack, 10, "a"}, {20, "v2", 2 * d, open, 0, "a"}}, 20, open},
		"replaced and ordered again before the status changes": {[]read{
			{10, "v2", d, open, 0, ""}, {11, "v2", d, done, 10, "a"}, {20, "v1", d, open, 0, "a"}, {21, "v2", d, done, 10, "a"},
		}, 21, open},
		"replaced and ordered again while the entry does not read": {[]read{
			{10, "v2", d, open, 0, ""}, {11, "v2", d, done, 10, "a"}, {21, "v2", d, done, 10, "a"},
		}, 21, open},
		"deleted and ordered again":  {[]read{{10, "v2", d, open, 0, ""}, {11, "v2", d, done, 10, "a"}, {30, "v2", d, open, 0, ""}}, 30, open},
		"ended":                      {[]read{{10, "v2", d, open, 0, ""}, {11, "v2", d, open, 10, "a"}, {12, "v2", d, rolledBack, 10, "b"}}, 10, rolledBack},
		"an entry that starts late":  {[]read{{12, "v2", d, done, 10, "a"}}, 10, done},
		"recorded by an older build": {[]read{{10, "v2", d, open, 0, ""}, {12, "v2", d, done, 0, "a"}}, 10, done},
		"an older build's result, then another order": {[]read{
			{10, "v2", d, done, 0, "a"}, {20, "v1", d, open, 0, "a"}, {21, "v2", d, done, 0, "a"},
		}, 21, open},
		"the store comes back from a copy": {[]read{
			{10, "v2", d, open, 0, ""}, {11, "v2", d, done, 10, "a"}, {sequoiasill.StoreVersion(1, 11), "v2", d, done, 10, "a"},
		}, 10, done},
		"the store comes back from a copy from before the order": {[]read{
			{10, "v2", d, open, 0, ""}, {11, "v2", d, done, 10, "a"}, {20, "v1", d, open, 0, "a"}, {sequoiasill.StoreVersion(1, 11), "v2", d, done, 10, "a"},
		}, sequoiasill.StoreVersion(1, 11), open},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRoller("e1")
			for _, x := range tc.reads {
				ro := sequoiasill.Rollout{Service: "s", Target: x.target, Duration: x.duration, Revision: x.revision, State: x.state, Order: x.order, Stored: x.stored}
				ro.Recorded = x.state != open || x.order > 0
				r.setOrder(order{Rollout: ro, fromStore: true, startedAt: 1000}, "store")
			}
			if diff := cmp.Diff(tc.wantOrder, r.orders["s"].Order); diff != "" {
				t.Errorf("order (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.wantEnd, r.Moves()["s"].End); diff != "" {
				t.Errorf("end (-want +got):\n%s", diff)
			}
		})
	}
}

// What entries told about an earlier order does not count for a later one of the same version: its
// status, a brake, and evidence.
func TestFactsOfAnEarlierOrderDoNotCount(t *testing.T) {
	r := newRoller("e1")
	r.setOrder(order{Rollout: sequoiasill.Rollout{Service: "s", Target: "v2", Duration: 15_000, Revision: 30}, fromStore: true}, "store")
	status := func(order uint64, end sequoiasill.MoveEnd) []byte {
		b, err := encoder.EncodeStatus(sequoiasill.MoveStatus{Move: "s-v2", Order: order, Share: 950, End: end})
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	samples := func(order uint64) []byte {
		b, err := reporter.EncodeSamples(map[string]mover.Sample{"read": {}}, order)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	r.HandleFact(gossiper.Fact{Key: "move/s-v2", Version: 12, Value: status(10, sequoiasill.MoveDone)})
	r.HandleFact(gossiper.Fact{Key: "move/s-v2", Version: 12, Value: status(0, sequoiasill.MoveDone)})
	r.HandleFact(gossiper.Fact{Key: "brake/s-v2", Version: 10, Value: []byte("errors")})
	r.HandleFact(gossiper.Fact{Key: "evidence/s-v2/e2", Version: 1, Value: samples(10)})
	r.HandleFact(gossiper.Fact{Key: "evidence/s-v2/e3", Version: 1, Value: samples(30)})
	report := r.shifter.Reports()[0]
	want := reporter.Report{Move: r.orders["s"].move(), Entries: map[string]map[string]mover.Sample{"e3": {"read": {}}}}
	if diff := cmp.Diff(want, report); diff != "" {
		t.Errorf("report (-want +got):\n%s", diff)
	}
	r.HandleFact(gossiper.Fact{Key: "move/s-v2", Version: 31, Value: status(30, sequoiasill.MoveRolledBack)})
	if diff := cmp.Diff(sequoiasill.MoveRolledBack, r.Moves()["s"].End); diff != "" {
		t.Errorf("end (-want +got):\n%s", diff)
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
			r := newRoller("e1")
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
