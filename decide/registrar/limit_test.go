package registrar_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/decide/throttler"
)

func TestLimitOfAnUpstream(t *testing.T) {
	born := sequoiasill.Replica{Name: "a", Service: "s", Born: 7, Revision: 1}
	up := throttler.Upstream{Name: "a", Born: 7}
	names := registrar.Limit{Told: true, Limited: true, PerSecond: 2}
	type want struct {
		Limited   bool // among the candidates
		Candidate bool
		Sends     bool // without a permit
	}
	free, limited := want{false, true, true}, want{true, true, false}
	tests := map[string]struct {
		play func(r *registrar.Registrar)
		want want
	}{
		"none is known":                    {func(*registrar.Registrar) {}, free},
		"it names one":                     {func(r *registrar.Registrar) { r.NamesLimit(1000, born, names) }, limited},
		"an answer without one":            {func(r *registrar.Registrar) { r.NamesLimit(1000, born, registrar.Limit{Told: true}) }, free},
		"an answer of the start before it": {func(r *registrar.Registrar) { r.NamesLimit(1000, sequoiasill.Replica{Name: "a", Born: 6}, names) }, free},
		"news of it":                       {func(r *registrar.Registrar) { r.LimitHeard(up, 2) }, limited},
		"news of the start before it":      {func(r *registrar.Registrar) { r.LimitHeard(throttler.Upstream{Name: "a", Born: 6}, 2) }, free},
		"a call was denied": {func(r *registrar.Registrar) {
			r.LimitHeard(up, 2)
			r.Deny(up, 2001)
		}, want{}},
		"denied until now": {func(r *registrar.Registrar) {
			r.LimitHeard(up, 2)
			r.Deny(up, 2000)
		}, limited},
		"news that it is over": {func(r *registrar.Registrar) {
			r.LimitHeard(up, 2)
			r.Deny(up, 9000)
			r.LimitLifted(2000, up, false)
		}, free},
		"news that it is over, right after an answer that names it": {func(r *registrar.Registrar) {
			r.NamesLimit(1500, born, names)
			r.LimitLifted(2000, up, false)
		}, limited},
		"its keeper says that it is over": {func(r *registrar.Registrar) {
			r.NamesLimit(1500, born, names)
			r.LimitLifted(2000, up, true)
		}, free},
		"its entry is listed anew": {func(r *registrar.Registrar) {
			r.NamesLimit(1000, born, names)
			r.Remove(1500, "a", 2)
			next := born
			next.Revision = 3
			r.Announce(1600, next)
		}, limited},
		"it starts anew": {func(r *registrar.Registrar) {
			r.NamesLimit(1000, born, names)
			next := born
			next.Revision, next.Born = 3, 8
			r.Announce(1600, next)
		}, free},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(registrar.DefaultOptions(), 1)
			r.Announce(0, born)
			tc.play(r)
			var got want
			for _, c := range r.Candidates(2000, "s") {
				got.Candidate, got.Limited = true, c.Limited
				got.Sends = r.MaySend(2000, c.Replica, false)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("upstream (-want +got):\n%s", diff)
			}
			if got.Limited && !r.MaySend(2000, born, true) {
				t.Error("no call may be sent with a permit")
			}
		})
	}
}

// The keeper of a limit is told what was sent lately, by whose grants.
func TestKnownLimit(t *testing.T) {
	up := throttler.Upstream{Name: "a", Born: 7}
	born := sequoiasill.Replica{Name: "a", Service: "s", Born: 7, Revision: 1}
	r := registrar.New(registrar.DefaultOptions(), 1)
	r.Announce(0, born)
	for range 3 {
		r.Departs("a", "")
	}
	r.Came(1000, "a", "")
	r.Came(4000, "a", "")
	r.NamesLimit(4000, born, registrar.Limit{Told: true, Limited: true, PerSecond: 2})
	r.Departs("a", "k/1")
	r.Came(6500, "a", "k/1")
	want := registrar.KnownLimit{Holds: true, Own: true, PerSecond: 2, Age: 3000, Sends: []throttler.Sends{
		{Ages: []sequoiasill.Millis{3000}, Open: 1}, {Granter: "k/1", Ages: []sequoiasill.Millis{500}},
	}}
	byGranter := cmpopts.SortSlices(func(a, b throttler.Sends) bool { return a.Granter < b.Granter })
	if diff := cmp.Diff(want, r.KnownLimit(7000, up), byGranter); diff != "" {
		t.Errorf("known (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(registrar.KnownLimit{}, r.KnownLimit(7000, throttler.Upstream{Name: "a", Born: 8})); diff != "" {
		t.Errorf("known of another start (-want +got):\n%s", diff)
	}
}

// Callers are told when the first upstream takes calls again.
func TestExpectedWhileAllDeny(t *testing.T) {
	r := registrar.New(registrar.DefaultOptions(), 1)
	for i, name := range []string{"a", "b"} {
		up := throttler.Upstream{Name: name, Born: 7}
		r.Announce(0, sequoiasill.Replica{Name: name, Service: "s", Born: 7, Revision: 1})
		r.LimitHeard(up, 2)
		r.Deny(up, 3000+sequoiasill.Millis(i)*1000)
	}
	wait, known := r.Expected(1200, "s")
	if wait != 1800 || !known {
		t.Errorf("expected after %s, known %t", wait, known)
	}
}
