package dispatcher_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

// A request under which upstreams break off is refused with a promise after the
// third, whoever sends it again under whichever id; others are served on.
func TestCrashingRequestIsRefused(t *testing.T) {
	c, u := &courier{steps: []step{{fail: true, verdict: sequoiasill.MayHaveRun}}}, &usage{began: make(map[string]int)}
	d := newDispatcher(t, c, u)
	d.Refuse(0, 0) // of another request
	var statuses []int
	for i := range 4 {
		again := call("/read/x", "key")
		again.ID, again.Body = fmt.Sprint(i), []byte("crash")
		var got reply
		d.Serve(context.Background(), again, &got)
		statuses = append(statuses, got.Status)
	}
	if diff := cmp.Diff([]int{502, 502, 503, 503}, statuses); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{4, 1}, []int{len(c.attempts), len(u.condemned)}); diff != "" {
		t.Errorf("attempts, requests told of (-want +got):\n%s", diff)
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

// Attempts that are ended here charge nobody: silence is given up, callers leave.
func TestSilenceChargesNobody(t *testing.T) {
	c, u := &courier{steps: []step{{hang: true}}}, &usage{began: make(map[string]int)}
	d := newDispatcher(t, c, u)
	for range 2 {
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(200*time.Millisecond, leave)
		d.Serve(ctx, call("/read/x", "key"), &reply{})
	}
	if diff := cmp.Diff(0, len(d.Charges())); diff != "" {
		t.Errorf("charges (-want +got):\n%s", diff)
	}
}
