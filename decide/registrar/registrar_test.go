package registrar_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

func replica(name string, revision uint64) sequoiasill.Replica {
	return sequoiasill.Replica{Name: name, Service: "model", Address: "10.0.0.1:80", Zone: "a", Slots: 4, Revision: revision}
}

func names(r *registrar.Registrar, now sequoiasill.Millis) []string {
	var out []string
	for _, c := range r.Candidates(now, "model") {
		out = append(out, c.Replica.Name)
	}
	return out
}

func TestCandidates(t *testing.T) {
	draining := replica("b", 5)
	draining.Draining = true
	tests := map[string]struct {
		events func(r *registrar.Registrar)
		now    sequoiasill.Millis
		want   []string
	}{
		"all listed upstreams": {
			events: func(r *registrar.Registrar) {
				r.Reconcile(0, []sequoiasill.Replica{replica("b", 2), replica("a", 1)}, 2)
			},
			want: []string{"a", "b"},
		},
		"a draining upstream gets no call": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.Announce(0, replica("b", 2))
				r.Announce(0, draining)
			},
			want: []string{"a"},
		},
		"an older record changes nothing": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, draining)
				r.Announce(0, replica("b", 4))
			},
		},
		"a draining upstream stays draining under a later record of the same incarnation": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, draining)
				r.Announce(0, replica("b", 9))
			},
		},
		"a new incarnation under the same name gets calls": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, draining)
				again := replica("b", 9)
				again.StartedAt = 77
				r.Announce(0, again)
			},
			want: []string{"b"},
		},
		"a removed upstream gets no call": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.Remove(0, "a", 3)
			},
		},
		"a removal older than the record is ignored": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 4))
				r.Remove(0, "a", 3)
			},
			want: []string{"a"},
		},
		"an upstream whose record expired in a store outage stays in use during the grace period": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.StoreRecovered(1000)
				r.Reconcile(1000, nil, 5)
				r.Tick(2000)
			},
			now:  2000,
			want: []string{"a"},
		},
		"an upstream that does not register again is removed after the grace period": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.StoreRecovered(1000)
				r.Reconcile(1000, nil, 5)
				r.Tick(3000)
			},
			now: 3000,
		},
		"an upstream that announced its shutdown gets no call": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.MarkDraining(5, "a", 0)
			},
		},
		"no call after its shutdown notice despite a later record of the same incarnation": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.MarkDraining(5, "a", 0)
				r.Announce(10, replica("a", 2))
			},
		},
		"no call after its shutdown notice when its record expired and returned": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.MarkDraining(5, "a", 0)
				r.Remove(10, "a", 2)
				r.Tick(10)
				r.Announce(20, replica("a", 3))
			},
		},
		"no call after its shutdown notice at another address of the same incarnation": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.MarkDraining(5, "a", 0)
				moved := replica("a", 3)
				moved.Address = "10.0.0.2:80"
				r.Announce(20, moved)
			},
		},
		"no call when its record arrives after its shutdown notice": {
			events: func(r *registrar.Registrar) {
				r.MarkDraining(5, "a", 0)
				r.Announce(10, replica("a", 1))
			},
		},
		"a new incarnation gets calls despite the shutdown notice of the previous one": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.MarkDraining(5, "a", 0)
				again := replica("a", 2)
				again.StartedAt = 77
				r.Announce(10, again)
				r.MarkDraining(15, "a", 0) // a late notice of the previous incarnation
			},
			want: []string{"a"},
		},
		"an upstream that requested a pause gets no call": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.Pause(0, "a", 1000)
			},
			now: 1000,
		},
		"a later, shorter pause does not shorten the first": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.Pause(0, "a", 1000)
				r.Pause(500, "a", 100)
			},
			now: 999,
		},
		"calls resume after the pause": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.Pause(0, "a", 1000)
			},
			now:  1201,
			want: []string{"a"},
		},
		"only one call at first after a pause": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.Pause(0, "a", 1000)
				r.CallSent("a", 0)
			},
			now: 1201,
		},
		"calls from before the pause do not count towards slow start": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.CallSent("a", 0)
				r.CallSent("a", 0)
				r.Pause(0, "a", 1000)
			},
			now:  1201,
			want: []string{"a"},
		},
		"two calls after the first response": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.Pause(0, "a", 1000)
				r.CallSent("a", 0)
				r.CallEnded(1201, "a", 0, registrar.Succeeded)
				r.CallSent("a", 0)
			},
			now:  1201,
			want: []string{"a"},
		},
		"two calls after the first event of a stream": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.Pause(0, "a", 1000)
				r.CallSent("a", 0)
				r.FirstEvent("a", 0)
			},
			now:  1201,
			want: []string{"a"},
		},
		"a new incarnation does not inherit a pause": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.Pause(0, "a", 1000)
				again := replica("a", 2)
				again.StartedAt = 77
				r.Announce(10, again)
			},
			now:  10,
			want: []string{"a"},
		},
		"an excessive pause is capped": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.Pause(0, "a", sequoiasill.Day)
			},
			now:  12 * sequoiasill.Minute,
			want: []string{"a"},
		},
		"an upstream that refuses connections is in backoff": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.CallSent("a", 0)
				r.CallEnded(0, "a", 0, registrar.Unreachable)
			},
			now: 100,
		},
		"an upstream is tried again after the backoff": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.CallSent("a", 0)
				r.CallEnded(0, "a", 0, registrar.Unreachable)
			},
			now:  400,
			want: []string{"a"},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(registrar.DefaultOptions(), 1)
			tc.events(r)
			if diff := cmp.Diff(tc.want, names(r, tc.now)); diff != "" {
				t.Errorf("candidates (-want +got):\n%s", diff)
			}
		})
	}
}

func TestOwnCallsAreCountedDown(t *testing.T) {
	r := registrar.New(registrar.DefaultOptions(), 1)
	r.Announce(0, replica("a", 1))
	r.CallSent("a", 700)
	r.CallSent("a", 300)
	r.FirstEvent("a", 700)
	r.CallEnded(10, "a", 0, registrar.Succeeded)
	c := r.Candidates(10, "model")[0]
	if diff := cmp.Diff([]int{1, 300}, []int{c.InFlight, c.Prefill}); diff != "" {
		t.Errorf("own calls and their prompts (-want +got):\n%s", diff)
	}
}

// A replica that fails part of its calls while its health check passes has a high
// failure rate, which decays with time.
func TestFailureRateDecays(t *testing.T) {
	r := registrar.New(registrar.DefaultOptions(), 1)
	r.Announce(0, replica("a", 1))
	for i := range 20 {
		r.CallSent("a", 0)
		o := registrar.Succeeded
		if i%2 == 0 {
			o = registrar.Failed
		}
		r.CallEnded(sequoiasill.Millis(i*50), "a", 0, o)
	}
	soon := r.Candidates(1000, "model")[0].FailureRate
	later := r.Candidates(20_000, "model")[0].FailureRate
	if soon < 0.3 || later > 0.05 {
		t.Errorf("failure rate %.2f soon and %.2f later, want above 0.3 and below 0.05", soon, later)
	}
}

// An overdue response raises the failure rate of the upstream before the call ends.
func TestOverdueResponseCountsAsAFailure(t *testing.T) {
	r := registrar.New(registrar.DefaultOptions(), 1)
	r.Announce(0, replica("a", 1))
	r.CallSent("a", 0)
	r.CallOverdue(900, "a")
	c := r.Candidates(900, "model")
	if diff := cmp.Diff([]int{1, 1}, []int{len(c), c[0].InFlight}); diff != "" {
		t.Fatalf("candidates, own calls (-want +got):\n%s", diff)
	}
	late := c[0].FailureRate
	r.CallEnded(1000, "a", 0, registrar.Succeeded)
	if after := r.Candidates(1000, "model")[0].FailureRate; late <= 0 || after <= 0 || after >= late {
		t.Errorf("failure rate %f while the response is overdue and %f after it", late, after)
	}
}

func TestReportsAgeAndLeaveOutOwnCalls(t *testing.T) {
	r := registrar.New(registrar.DefaultOptions(), 1)
	r.Announce(0, replica("a", 1))
	r.CallSent("a", 0)
	r.CallSent("a", 0)
	r.RecordLoad(0, "a", registrar.Load{Running: 5, Waiting: 1, Slots: 4})
	if diff := cmp.Diff(4.0, r.Candidates(0, "model")[0].OthersInFlight); diff != "" {
		t.Errorf("calls of others (-want +got):\n%s", diff)
	}
	if got := r.Candidates(10_000, "model")[0].OthersInFlight; got > 0.1 {
		t.Errorf("estimated calls of others are %.2f with an old report", got)
	}
}

// A call that was assigned to an upstream is not sent once the upstream drains or
// pauses.
func TestMaySend(t *testing.T) {
	tests := map[string]struct {
		event func(r *registrar.Registrar)
		want  bool
	}{
		"nothing happened":          {func(*registrar.Registrar) {}, true},
		"it announces its shutdown": {func(r *registrar.Registrar) { r.MarkDraining(1, "a", 0) }, false},
		"it drains":                 {func(r *registrar.Registrar) { n := replica("a", 2); n.Draining = true; r.Announce(1, n) }, false},
		"it is removed":             {func(r *registrar.Registrar) { r.Remove(1, "a", 2) }, false},
		"it is paused":              {func(r *registrar.Registrar) { r.Pause(1, "a", 100) }, false},
		"a new incarnation":         {func(r *registrar.Registrar) { n := replica("a", 2); n.StartedAt = 7; r.Announce(1, n) }, false},
		"another upstream drains":   {func(r *registrar.Registrar) { r.MarkDraining(1, "b", 0) }, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(registrar.DefaultOptions(), 1)
			r.Announce(0, replica("a", 1))
			tc.event(r)
			if diff := cmp.Diff(tc.want, r.MaySend(2, replica("a", 1), false)); diff != "" {
				t.Errorf("MaySend (-want +got):\n%s", diff)
			}
		})
	}
}

// The wait for a service is that for the first of its upstreams to accept calls.
func TestNextAvailable(t *testing.T) {
	r := registrar.New(registrar.Options{MaxPause: sequoiasill.Minute}, 1)
	for _, name := range []string{"a", "b", "c"} {
		r.Announce(0, replica(name, 1))
	}
	var got []sequoiasill.Millis
	expect := func(now sequoiasill.Millis) {
		wait, known := r.NextAvailable(now, "model")
		if !known {
			wait = -1
		}
		got = append(got, wait)
	}
	r.Pause(0, "a", 900)
	expect(0)
	r.Pause(0, "b", 500)
	r.MarkDraining(0, "c", 0)
	expect(100)
	expect(500)
	if diff := cmp.Diff([]sequoiasill.Millis{-1, 400, -1}, got); diff != "" {
		t.Errorf("waits, -1 for none (-want +got):\n%s", diff)
	}
}

// Jitter spreads the ends of a pause that all entries received at once.
func TestPausesEndApart(t *testing.T) {
	ends := make(map[sequoiasill.Millis]bool)
	for seed := range uint64(100) {
		r := registrar.New(registrar.DefaultOptions(), seed)
		r.Announce(0, replica("a", 1))
		end := r.Pause(0, "a", 2000)
		if end < 2000 || end > 2400 {
			t.Fatalf("a pause of 2000 ms ends at %d", end)
		}
		ends[end] = true
	}
	if len(ends) < 50 {
		t.Errorf("100 entries resume at %d distinct times, want at least 50", len(ends))
	}
}
