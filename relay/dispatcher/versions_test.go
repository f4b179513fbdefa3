package dispatcher_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// During a move, a call goes to the version that it is assigned to, and its result counts
// for that version.
func TestVersionDuringAMove(t *testing.T) {
	good, bad := step{status: 200, body: "good"}, step{status: 500, body: "bad"}
	roomy := step{status: 503, refused: true, load: &registrar.Load{Running: 1, Slots: 4}}
	full := step{status: 503, refused: true, load: &registrar.Load{Running: 4, Waiting: 2, Slots: 4}}
	tests := map[string]struct {
		toTarget     bool
		newUpstreams int // upstreams of the new version
		steps        []step
		sent         []string // versions that attempts were sent to
		records      []string
	}{
		"the old version":                {false, 1, []step{good}, []string{"v1"}, []string{"plain read v1 served"}},
		"the new version":                {true, 1, []step{good}, []string{"v2"}, []string{"plain read v2 served"}},
		"no upstream of the new version": {true, 0, []step{good}, []string{"v1"}, []string{"plain read v1 served"}},
		"the new version failed": {true, 1, []step{bad, good}, []string{"v2", "v1"},
			[]string{"plain read v2 failed", "plain read v1 served"}},
		"the new version declines":  {true, 1, []step{{status: 404, body: "none"}}, []string{"v2"}, []string{"plain read v2 declined"}},
		"the new version redirects": {true, 1, []step{{status: 302}}, []string{"v2"}, []string{"plain read v2 declined"}},
		"the new version rejects with room": {true, 2, []step{roomy, good}, []string{"v2", "v1"},
			[]string{"plain read v2 rejected", "plain read v1 served"}},
		"the new version is full": {true, 2, []step{full, good}, []string{"v2", "v1"}, []string{"plain read v1 served"}},
		"the old version rejects with room": {false, 1, []step{roomy, good}, []string{"v1", "v1"},
			[]string{"plain read v1 rejected", "plain read v1 served"}},
		"the old version failed": {false, 1, []step{bad, bad}, []string{"v1", "v1"},
			[]string{"plain read v1 failed", "plain read v1 failed"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c, u := &fakeTransport{steps: tc.steps}, &fakePeers{usageCounts: make(map[string]int), assignment: sequoiasill.VersionAssignment{Target: "v2", ToTarget: tc.toTarget}}
			d := newDispatcher(t, c, u)
			d.WithRegistrar(func(r *registrar.Registrar) {
				for i := range 3 + tc.newUpstreams {
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

// After a rollback, calls go to the version in use and not to the one that was rolled back, whatever
// is ordered next (review/2).
func TestVersionThatWasRolledBackGetsNoCallsOfTheNextOrder(t *testing.T) {
	tests := map[string]struct {
		assignment sequoiasill.VersionAssignment
		versions   []string // of the upstreams
		want       []string // versions of the attempts, each of which fails until there is no further one
	}{
		"the order names the version in use": {
			sequoiasill.VersionAssignment{Target: "v1", ToTarget: true, InUse: "v1", Rejected: "v2"}, []string{"v1", "v2", "v2"}, []string{"v1"},
		},
		"the order names a third version": {
			sequoiasill.VersionAssignment{Target: "v3", InUse: "v1", Rejected: "v2"}, []string{"v1", "v2", "v2", "v3"}, []string{"v1"},
		},
		"a call to the third version": {
			sequoiasill.VersionAssignment{Target: "v3", ToTarget: true, InUse: "v1", Rejected: "v2"}, []string{"v1", "v2", "v3"}, []string{"v3", "v1"},
		},
		"the version in use is not known": {
			sequoiasill.VersionAssignment{Target: "v3", Rejected: "v2"}, []string{"v1", "v2", "v2", "v3"}, []string{"v1"},
		},
		"no upstream of the version in use": {
			sequoiasill.VersionAssignment{Target: "v3", InUse: "v1", Rejected: "v2"}, []string{"v2", "v3"}, nil,
		},
		"upstreams of a version in use before": {
			sequoiasill.VersionAssignment{Target: "v3", InUse: "v1", Rejected: "v2"}, []string{"v0", "v2", "v3"}, []string{"v0"},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			bad := step{status: 500, body: "bad"}
			c, u := &fakeTransport{steps: []step{bad, bad, bad}}, &fakePeers{usageCounts: make(map[string]int), assignment: tc.assignment}
			d := newDispatcher(t, c, u)
			d.WithRegistrar(func(r *registrar.Registrar) {
				for i := range 4 {
					r.Remove(0, fmt.Sprintf("r%d", i), 3)
				}
				for i, version := range tc.versions {
					r.Announce(0, sequoiasill.Replica{Name: fmt.Sprintf("n%d", i), Service: "plain", Address: "10.0.0.1:1", Slots: 4, Revision: 2, Version: version})
				}
			})
			d.Serve(context.Background(), call("/read/x", "key"), &reply{})
			var sent []string
			for _, a := range c.attempts {
				sent = append(sent, a.Replica.Version)
			}
			if diff := cmp.Diff(tc.want, sent); diff != "" {
				t.Errorf("versions (-want +got):\n%s", diff)
			}
		})
	}
}

// A stream counts for its version at its first event, and not only at its end, which may be
// seconds later.
func TestStreamCountsForItsVersionAtItsFirstEvent(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	tests := map[string]struct {
		step    step
		records []string // at the first event and at the end
	}{
		"a whole one":        {step{status: 200, events: true, body: event}, []string{"plain long  served"}},
		"one that broke off": {step{status: 200, events: true, body: event, broken: true}, []string{"plain long  served", "plain long  failed"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c, u := &fakeTransport{steps: []step{tc.step}}, &fakePeers{usageCounts: make(map[string]int)}
			recorder := &firstWriteRecorder{count: func() int { return len(u.records) }}
			newDispatcher(t, c, u).Serve(context.Background(), call("/long/x", "key"), recorder)
			if diff := cmp.Diff([]int{1, len(tc.records)}, []int{recorder.atFirst, len(u.records)}); diff != "" {
				t.Errorf("records at the first event and at the end (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.records, u.records); diff != "" {
				t.Errorf("records (-want +got):\n%s", diff)
			}
		})
	}
}

// firstWriteRecorder records a count when the first event reaches the caller.
type firstWriteRecorder struct {
	reply

	count   func() int
	atFirst int
}

func (f *firstWriteRecorder) Write(b []byte) error {
	if f.atFirst == 0 {
		f.atFirst = f.count()
	}
	return f.reply.Write(b)
}
