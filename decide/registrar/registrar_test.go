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
		"listed": {
			events: func(r *registrar.Registrar) {
				r.List(0, []sequoiasill.Replica{replica("b", 2), replica("a", 1)}, 2)
			},
			want: []string{"a", "b"},
		},
		"one that drains gets no call": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.Announce(0, replica("b", 2))
				r.Announce(0, draining)
			},
			want: []string{"a"},
		},
		"older news changes nothing": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, draining)
				r.Announce(0, replica("b", 4))
			},
		},
		"one that drains does not come back under a later entry of the same start": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, draining)
				r.Announce(0, replica("b", 9))
			},
		},
		"a new start under the same name does": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, draining)
				again := replica("b", 9)
				again.Born = 77
				r.Announce(0, again)
			},
			want: []string{"b"},
		},
		"a removed entry": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.Remove(0, "a", 3)
			},
		},
		"a removal older than the entry": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 4))
				r.Remove(0, "a", 3)
			},
			want: []string{"a"},
		},
		"an entry that lapsed while the store was away is used for a while": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.StoreBack(1000)
				r.List(1000, nil, 5)
				r.Tick(2000)
			},
			now:  2000,
			want: []string{"a"},
		},
		"and is gone if it does not come back": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.StoreBack(1000)
				r.List(1000, nil, 5)
				r.Tick(3000)
			},
			now: 3000,
		},
		"one that refuses connections is left alone": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.Sent("a", 0)
				r.Ended(0, "a", 0, registrar.Unreachable)
			},
			now: 100,
		},
		"and tried again": {
			events: func(r *registrar.Registrar) {
				r.Announce(0, replica("a", 1))
				r.Sent("a", 0)
				r.Ended(0, "a", 0, registrar.Unreachable)
			},
			now:  400,
			want: []string{"a"},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(registrar.DefaultOptions())
			tc.events(r)
			if diff := cmp.Diff(tc.want, names(r, tc.now)); diff != "" {
				t.Errorf("candidates (-want +got):\n%s", diff)
			}
		})
	}
}

func TestOwnCallsAreCountedOff(t *testing.T) {
	r := registrar.New(registrar.DefaultOptions())
	r.Announce(0, replica("a", 1))
	r.Sent("a", 700)
	r.Sent("a", 300)
	r.Began("a", 700)
	r.Ended(10, "a", 0, registrar.Good)
	c := r.Candidates(10, "model")[0]
	if diff := cmp.Diff([]int{1, 300}, []int{c.Own, c.Prefill}); diff != "" {
		t.Errorf("own calls and their prompts (-want +got):\n%s", diff)
	}
}

// A replica that fails part of its calls while its status check is good is told
// by its calls, and forgiven after a while.
func TestFailuresFade(t *testing.T) {
	r := registrar.New(registrar.DefaultOptions())
	r.Announce(0, replica("a", 1))
	for i := range 20 {
		r.Sent("a", 0)
		o := registrar.Good
		if i%2 == 0 {
			o = registrar.Failed
		}
		r.Ended(sequoiasill.Millis(i*50), "a", 0, o)
	}
	soon := r.Candidates(1000, "model")[0].Failures
	later := r.Candidates(20_000, "model")[0].Failures
	if soon < 0.3 || later > 0.05 {
		t.Errorf("part of failures %.2f soon and %.2f later; above 0.3 and below 0.05 are wanted", soon, later)
	}
}

// A call without an answer in time speaks against its upstream before it ends.
func TestLateAnswerCountsAsAFailure(t *testing.T) {
	r := registrar.New(registrar.DefaultOptions())
	r.Announce(0, replica("a", 1))
	r.Sent("a", 0)
	r.Late(900, "a")
	c := r.Candidates(900, "model")
	if diff := cmp.Diff([]int{1, 1}, []int{len(c), c[0].Own}); diff != "" {
		t.Fatalf("candidates, own calls (-want +got):\n%s", diff)
	}
	late := c[0].Failures
	r.Ended(1000, "a", 0, registrar.Good)
	if after := r.Candidates(1000, "model")[0].Failures; late <= 0 || after <= 0 || after >= late {
		t.Errorf("failures %f while it is late and %f after its answer", late, after)
	}
}

func TestReportsAgeAndLeaveOutOwnCalls(t *testing.T) {
	r := registrar.New(registrar.DefaultOptions())
	r.Announce(0, replica("a", 1))
	r.Sent("a", 0)
	r.Sent("a", 0)
	r.Reported(0, "a", registrar.Load{Running: 5, Waiting: 1, Slots: 4})
	if diff := cmp.Diff(4.0, r.Candidates(0, "model")[0].Others); diff != "" {
		t.Errorf("calls of others (-want +got):\n%s", diff)
	}
	if got := r.Candidates(10_000, "model")[0].Others; got > 0.1 {
		t.Errorf("calls of others by an old report are %.2f", got)
	}
}
