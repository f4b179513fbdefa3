package scaler_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/scaler"
)

var limits = sequoiasill.ScalingLimits{
	Min: 1, Max: 6, BootTime: 4 * sequoiasill.Second, ReclaimablePrice: 0.18,
	ZonePrices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1},
}

func view(need, floor int, a, b, c scaler.Stock) scaler.View {
	return scaler.View{Limits: limits, Need: need, MinServing: floor, Zones: map[string]scaler.Stock{"a": a, "b": b, "c": c}}
}

func onDemand(n int) scaler.Stock    { return scaler.Stock{OnDemand: n} }
func reclaimable(n int) scaler.Stock { return scaler.Stock{Reclaimable: n} }

func TestFirstOrders(t *testing.T) {
	tests := map[string]struct {
		view scaler.View
		want []scaler.Order
	}{
		"reclaimable upstreams first; on-demand ones stay until these run": {
			view: view(6, 4, onDemand(3), onDemand(3), onDemand(3)),
			want: []scaler.Order{{"a", true, 2}, {"c", true, 2}, {"b", true, 2}},
		},
		"the remainder goes to the cheapest zones": {
			view: view(7, 4, scaler.Stock{}, scaler.Stock{}, scaler.Stock{}),
			want: []scaler.Order{{"a", true, 3}, {"a", false, 2}, {"c", true, 2}, {"c", false, 1}, {"b", true, 2}, {"b", false, 1}},
		},
		"on-demand upstreams replace a lost zone up to the floor": {
			view: view(9, 7, reclaimable(3), reclaimable(0), reclaimable(3)),
			want: []scaler.Order{{"a", false, 1}, {"b", true, 3}, {"b", false, 1}},
		},
		"no order when all targets are met": {
			view: view(9, 7, reclaimable(3), reclaimable(3), reclaimable(3)),
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := scaler.New(scaler.DefaultOptions()).Step(0, tc.view)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("orders (-want +got):\n%s", diff)
			}
		})
	}
}

// The upstreams of the new version are not released as a surplus during a move, but are
// afterwards.
func TestUpstreamsOfAMoveStay(t *testing.T) {
	type step struct {
		now    sequoiasill.Millis
		moving bool
		zones  scaler.Stock // of each zone
		want   []scaler.Order
	}
	both := scaler.Stock{Reclaimable: 3, OnDemand: 1}
	steps := []step{
		{0, false, reclaimable(3), nil},
		{1000, true, both, nil},
		{3000, true, both, nil},
		{9000, true, both, nil},
		{9000, true, scaler.Stock{Reclaimable: 2, OnDemand: 1}, []scaler.Order{{"a", true, 3}, {"c", true, 3}, {"b", true, 3}}},
		{20000, false, both, nil},
		{22000, false, both, []scaler.Order{{"a", false, 0}, {"c", false, 0}, {"b", false, 0}}},
	}
	s := scaler.New(scaler.DefaultOptions())
	for _, st := range steps {
		v := view(9, 7, st.zones, st.zones, st.zones)
		v.Moving = st.moving
		got := s.Step(st.now, v)
		if diff := cmp.Diff(st.want, got); diff != "" {
			t.Errorf("orders at %s (-want +got):\n%s", st.now, diff)
		}
		for _, o := range got {
			s.OrderDone(st.now, o, scaler.Accepted)
		}
	}
}

// When a move is done, the old version's upstreams stop at once. Only those of the new
// version remain, and they must stay until others run.
func TestUpstreamsOfADoneMoveStayUntilOthersCome(t *testing.T) {
	s := scaler.New(scaler.DefaultOptions())
	for now := sequoiasill.Millis(0); now < 20_000; now += 250 {
		v := view(9, 7, reclaimable(3), reclaimable(3), reclaimable(3))
		if now >= 4000 {
			both := scaler.Stock{Reclaimable: 3, OnDemand: 3}
			v = view(9, 7, both, both, both)
			v.Moving = true
		}
		for _, o := range s.Step(now, v) {
			t.Errorf("order %+v at %s", o, now)
		}
	}
	const floor = 7
	kept := map[string]int{"a": 3, "b": 3, "c": 3}
	for now := sequoiasill.Millis(20_000); now < 24_000; now += 250 {
		for _, o := range s.Step(now, view(9, floor, onDemand(kept["a"]), onDemand(kept["b"]), onDemand(kept["c"]))) {
			if !o.Reclaimable {
				kept[o.Zone] = o.Desired
			}
			s.OrderDone(now, o, scaler.Accepted)
		}
		if sum := kept["a"] + kept["b"] + kept["c"]; sum < floor {
			t.Fatalf("%d upstreams are left at %s, %d are needed", sum, now, floor)
		}
	}
}

// simulate steps a scaler every 250 ms with a cloud that starts upstreams after the
// boot time and refuses reclaimable ones while its capacity is exhausted. It returns
// the final stock and the number of orders taken and refused.
func simulate(t *testing.T, until sequoiasill.Millis, exhausted func(now sequoiasill.Millis) bool, reclaim func(now sequoiasill.Millis, zones map[string]scaler.Stock)) (zones map[string]scaler.Stock, taken, refused int) {
	t.Helper()
	s := scaler.New(scaler.DefaultOptions())
	zones = map[string]scaler.Stock{"a": onDemand(3), "b": onDemand(3), "c": onDemand(3)}
	type start struct {
		at sequoiasill.Millis
		o  scaler.Order
	}
	var starting []start
	for now := sequoiasill.Millis(0); now < until; now += 250 {
		reclaim(now, zones)
		var stillStarting []start
		for _, c := range starting {
			if c.at > now {
				stillStarting = append(stillStarting, c)
				continue
			}
			st := zones[c.o.Zone]
			if c.o.Reclaimable {
				st.Reclaimable = max(st.Reclaimable, c.o.Desired)
			} else {
				st.OnDemand = max(st.OnDemand, c.o.Desired)
			}
			zones[c.o.Zone] = st
		}
		starting = stillStarting
		for _, o := range s.Step(now, scaler.View{Limits: limits, Zones: zones, Need: 9, LossWaveTarget: 7, MinServing: 5}) {
			st := zones[o.Zone]
			have := st.OnDemand
			if o.Reclaimable {
				have = st.Reclaimable
			}
			if o.Reclaimable && o.Desired > have && exhausted(now) {
				refused++
				s.OrderDone(now, o, scaler.Refused)
				continue
			}
			taken++
			s.OrderDone(now, o, scaler.Accepted)
			if o.Desired > have {
				starting = append(starting, start{now + limits.BootTime, o})
				continue
			}
			if o.Reclaimable {
				st.Reclaimable = o.Desired
			} else {
				st.OnDemand = o.Desired
			}
			zones[o.Zone] = st
		}
	}
	return zones, taken, refused
}

// Reclaimable upstreams of two zones are lost while no others are available for 12 s.
// Orders must not be repeated at every step (a fault that sent four a second), and the
// stock must recover once capacity returns.
func TestReclaimWhileCapacityIsExhausted(t *testing.T) {
	exhausted := func(now sequoiasill.Millis) bool { return now >= 20_000 && now < 32_000 }
	zones, taken, refused := simulate(t, 60_000, exhausted, func(now sequoiasill.Millis, zones map[string]scaler.Stock) {
		if now == 20_000 || now == 22_000 {
			zone := map[sequoiasill.Millis]string{20_000: "b", 22_000: "c"}[now]
			st := zones[zone]
			st.Reclaimable = 0
			zones[zone] = st
		}
	})
	want := map[string]scaler.Stock{"a": reclaimable(3), "b": reclaimable(3), "c": reclaimable(3)}
	if diff := cmp.Diff(want, zones); diff != "" {
		t.Errorf("stock at the end (-want +got):\n%s", diff)
	}
	if refused > 12 || taken > 20 {
		t.Errorf("%d orders taken and %d refused, want at most 20 and 12", taken, refused)
	}
}

func TestUnknownResultIsOrderedAgain(t *testing.T) {
	s := scaler.New(scaler.DefaultOptions())
	v := view(6, 4, onDemand(2), onDemand(1), onDemand(1))
	first := s.Step(0, v)
	for _, o := range first {
		s.OrderDone(0, o, scaler.Unknown)
	}
	for _, o := range s.Step(100, v) {
		if o.Reclaimable {
			t.Errorf("ordered again at once: %v", o)
		}
	}
	var again []scaler.Order
	for _, o := range s.Step(2000, v) {
		if o.Reclaimable {
			again = append(again, o)
		}
	}
	if diff := cmp.Diff(first, again); diff != "" {
		t.Errorf("orders after the backoff (-want +got):\n%s", diff)
	}
}
