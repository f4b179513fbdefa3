package dispatcher_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

// A request under which three upstreams crash is quarantined: it is refused as not run, under
// whichever ID it is sent again. Other requests are still served.
func TestCrashingRequestIsRefused(t *testing.T) {
	c, u := &fakeTransport{steps: []step{{fail: true, verdict: sequoiasill.MayHaveRun}}}, &fakePeers{usageCounts: make(map[string]int)}
	d := newDispatcher(t, c, u)
	d.Quarantine(0, 0) // another request
	var statuses []int
	for i := range 4 {
		repeated := call("/read/x", "key")
		repeated.ID, repeated.Body = fmt.Sprint(i), []byte("crash")
		var got reply
		d.Serve(context.Background(), repeated, &got)
		statuses = append(statuses, got.Status)
	}
	if diff := cmp.Diff([]int{502, 502, 503, 503}, statuses); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{4, 1}, []int{len(c.attempts), len(u.quarantined)}); diff != "" {
		t.Errorf("attempts, announced quarantines (-want +got):\n%s", diff)
	}
	c.steps = []step{{status: 200, body: "good"}}
	other := call("/read/x", "key")
	other.Body = []byte("innocent")
	var got reply
	d.Serve(context.Background(), other, &got)
	if got.Status != 200 {
		t.Errorf("another request got %d", got.Status)
	}
}

// Attempts that this entry cancels are not counted as crashes, whether they timed out or the
// caller disconnected.
func TestCancelledAttemptsAreNotCountedAsCrashes(t *testing.T) {
	c, u := &fakeTransport{steps: []step{{hang: true}}}, &fakePeers{usageCounts: make(map[string]int)}
	d := newDispatcher(t, c, u)
	for range 2 {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(200*time.Millisecond, cancel)
		d.Serve(ctx, call("/read/x", "key"), &reply{})
	}
	if diff := cmp.Diff(0, len(d.Charges())); diff != "" {
		t.Errorf("charges (-want +got):\n%s", diff)
	}
}
