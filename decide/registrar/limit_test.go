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
	born := sequoiasill.Replica{Name: "a", Service: "s", StartedAt: 7, Revision: 1}
	up := throttler.Upstream{Name: "a", StartedAt: 7}
	reported := registrar.Limit{FromUpstream: true, Limited: true, PerSecond: 2}
	type want struct {
		Limited   bool // among the candidates
		Candidate bool
		Sends     bool // without a permit
	}
	unlimited, limited := want{false, true, true}, want{true, true, false}
	tests := map[string]struct {
		setup func(r *registrar.Registrar)
		want  want
	}{
		"no limit is known":             {func(*registrar.Registrar) {}, unlimited},
		"a response announces a limit":  {func(r *registrar.Registrar) { r.LimitAnnounced(1000, born, reported) }, limited},
		"a response announces no limit": {func(r *registrar.Registrar) { r.LimitAnnounced(1000, born, registrar.Limit{FromUpstream: true}) }, unlimited},
		"a response of the previous incarnation": {func(r *registrar.Registrar) {
			r.LimitAnnounced(1000, sequoiasill.Replica{Name: "a", StartedAt: 6}, reported)
		}, unlimited},
		"gossip of a limit":                  {func(r *registrar.Registrar) { r.LimitGossiped(up, 2) }, limited},
		"gossip of the previous incarnation": {func(r *registrar.Registrar) { r.LimitGossiped(throttler.Upstream{Name: "a", StartedAt: 6}, 2) }, unlimited},
		"a call was denied": {func(r *registrar.Registrar) {
			r.LimitGossiped(up, 2)
			r.Deny(up, 2001)
		}, want{}},
		"denied until now": {func(r *registrar.Registrar) {
			r.LimitGossiped(up, 2)
			r.Deny(up, 2000)
		}, limited},
		"gossip that it was lifted": {func(r *registrar.Registrar) {
			r.LimitGossiped(up, 2)
			r.Deny(up, 9000)
			r.LimitLifted(2000, up, false)
		}, unlimited},
		"gossip that it was lifted, shortly after a response that announces it": {func(r *registrar.Registrar) {
			r.LimitAnnounced(1500, born, reported)
			r.LimitLifted(2000, up, false)
		}, limited},
		"its keeper lifted it": {func(r *registrar.Registrar) {
			r.LimitAnnounced(1500, born, reported)
			r.LimitLifted(2000, up, true)
		}, unlimited},
		"the upstream registers again": {func(r *registrar.Registrar) {
			r.LimitAnnounced(1000, born, reported)
			r.Remove(1500, "a", 2)
			next := born
			next.Revision = 3
			r.Announce(1600, next)
		}, limited},
		"the upstream restarts": {func(r *registrar.Registrar) {
			r.LimitAnnounced(1000, born, reported)
			next := born
			next.Revision, next.StartedAt = 3, 8
			r.Announce(1600, next)
		}, unlimited},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(registrar.DefaultOptions(), 1)
			r.Announce(0, born)
			tc.setup(r)
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

// The keeper of a limit receives the recent calls by granter.
func TestKnownLimit(t *testing.T) {
	up := throttler.Upstream{Name: "a", StartedAt: 7}
	born := sequoiasill.Replica{Name: "a", Service: "s", StartedAt: 7, Revision: 1}
	r := registrar.New(registrar.DefaultOptions(), 1)
	r.Announce(0, born)
	for range 3 {
		r.SendStarted("a", "")
	}
	r.SendArrived(1000, "a", "")
	r.SendArrived(4000, "a", "")
	r.LimitAnnounced(4000, born, registrar.Limit{FromUpstream: true, Limited: true, PerSecond: 2})
	r.SendStarted("a", "k/1")
	r.SendArrived(6500, "a", "k/1")
	want := registrar.KnownLimit{Active: true, Direct: true, PerSecond: 2, Age: 3000, Sends: []throttler.SentCalls{
		{Ages: []sequoiasill.Millis{3000}, Outstanding: 1}, {Granter: "k/1", Ages: []sequoiasill.Millis{500}},
	}}
	byGranter := cmpopts.SortSlices(func(a, b throttler.SentCalls) bool { return a.Granter < b.Granter })
	if diff := cmp.Diff(want, r.KnownLimit(7000, up), byGranter); diff != "" {
		t.Errorf("known limit (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(registrar.KnownLimit{}, r.KnownLimit(7000, throttler.Upstream{Name: "a", StartedAt: 8})); diff != "" {
		t.Errorf("known limit of another incarnation (-want +got):\n%s", diff)
	}
}

// A call that was given up counts as long as it may arrive and then count.
func TestAbandonedCallsCountUntilTheyCanNoLongerArrive(t *testing.T) {
	up := throttler.Upstream{Name: "a"}
	for name, tc := range map[string]struct {
		after sequoiasill.Millis // its end
		want  []throttler.SentCalls
	}{
		"at once":                      {0, []throttler.SentCalls{{Outstanding: 1}}},
		"when an arrival would expire": {throttler.CountWindow + 1, []throttler.SentCalls{{Outstanding: 1}}},
		"it still counts":              {throttler.OutstandingTTL, []throttler.SentCalls{{Outstanding: 1}}},
		"it can no longer count":       {throttler.OutstandingTTL + 1, nil},
	} {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(registrar.DefaultOptions(), 1)
			r.Announce(0, sequoiasill.Replica{Name: "a", Service: "s", Revision: 1})
			r.SendStarted("a", "")
			r.SendAbandoned(1000, "a", "")
			if diff := cmp.Diff(tc.want, r.KnownLimit(1000+tc.after, up).Sends); diff != "" {
				t.Errorf("sent calls (-want +got):\n%s", diff)
			}
		})
	}
}

// The wait is that for the first upstream whose denial ends.
func TestNextAvailableWhileAllDeny(t *testing.T) {
	r := registrar.New(registrar.DefaultOptions(), 1)
	for i, name := range []string{"a", "b"} {
		up := throttler.Upstream{Name: name, StartedAt: 7}
		r.Announce(0, sequoiasill.Replica{Name: name, Service: "s", StartedAt: 7, Revision: 1})
		r.LimitGossiped(up, 2)
		r.Deny(up, 3000+sequoiasill.Millis(i)*1000)
	}
	wait, known := r.NextAvailable(1200, "s")
	if wait != 1800 || !known {
		t.Errorf("available after %s, known %t", wait, known)
	}
}
