package dispatcher_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// While a service moves, a call goes to the version that it is given, and how it went
// counts for that version.
func TestVersionOfAMove(t *testing.T) {
	good, bad := step{status: 200, body: "good"}, step{status: 500, body: "bad"}
	tests := map[string]struct {
		to      bool
		newOnes int // upstreams of the new version
		steps   []step
		sent    []string // to versions
		records []string
	}{
		"the old version":                {false, 1, []step{good}, []string{"v1"}, []string{"plain read v1 failed false"}},
		"the new version":                {true, 1, []step{good}, []string{"v2"}, []string{"plain read v2 failed false"}},
		"no upstream of the new version": {true, 0, []step{good}, []string{"v1"}, []string{"plain read v1 failed false"}},
		"the new version failed": {true, 1, []step{bad, good}, []string{"v2", "v1"},
			[]string{"plain read v2 failed true", "plain read v1 failed false"}},
		"the old version failed": {false, 1, []step{bad, bad}, []string{"v1", "v1"},
			[]string{"plain read v1 failed true", "plain read v1 failed true"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c, u := &courier{steps: tc.steps}, &usage{began: make(map[string]int), target: "v2", to: tc.to}
			d := newDispatcher(t, c, u)
			d.Registrar(func(r *registrar.Registrar) {
				for i := range 3 + tc.newOnes {
					version := "v1"
					if i >= 3 {
						version = "v2"
					}
					r.Announce(0, sequoiasill.Replica{Name: fmt.Sprintf("r%d", i), Service: "plain", Address: "10.0.0.1:1", Slots: 4, Revision: 2, Version: version})
				}
			})
			d.Serve(context.Background(), call("/read/x", "key"), &reply{})
			var sent []string
			for _, a := range c.attempts {
				sent = append(sent, a.Replica.Version)
			}
			if diff := cmp.Diff(tc.sent, sent); diff != "" {
				t.Errorf("versions (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.records, u.records); diff != "" {
				t.Errorf("records (-want +got):\n%s", diff)
			}
		})
	}
}

// A stream counts for its version from its first event on, not only when it ends, which may
// be seconds later.
func TestStreamCountsForItsVersionAtItsFirstEvent(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	tests := map[string]struct {
		step    step
		records []string // at the first event, and at the end
	}{
		"a whole one":        {step{status: 200, events: true, body: event}, []string{"plain long  failed false"}},
		"one that broke off": {step{status: 200, events: true, body: event, broken: true}, []string{"plain long  failed false", "plain long  failed true"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c, u := &courier{steps: []step{tc.step}}, &usage{began: make(map[string]int)}
			got := &firstWrite{note: func() int { return len(u.records) }}
			newDispatcher(t, c, u).Serve(context.Background(), call("/long/x", "key"), got)
			if diff := cmp.Diff([]int{1, len(tc.records)}, []int{got.atFirst, len(u.records)}); diff != "" {
				t.Errorf("records at the first event and at the end (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.records, u.records); diff != "" {
				t.Errorf("records (-want +got):\n%s", diff)
			}
		})
	}
}

// firstWrite notes a number when the first event comes to the caller.
type firstWrite struct {
	reply

	note    func() int
	atFirst int
}

func (f *firstWrite) Write(b []byte) error {
	if f.atFirst == 0 {
		f.atFirst = f.note()
	}
	return f.reply.Write(b)
}
