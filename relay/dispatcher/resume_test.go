package dispatcher_test

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/pathmonitor"
)

// Guards against LOST: a stream whose response has no length, and that another entry or its caller resumed after its
// last event, was cut, and sound upstreams were charged with crashes until the request was refused.
func TestStreamResumedAfterItsLastEventIsComplete(t *testing.T) {
	ended := step{status: 200, events: true, untilClose: true}
	gone := ended
	gone.gone = true
	complete := reply{Status: 200, Ended: true}
	tests := map[string]struct {
		path    string
		relayed bool
		step    step
		want    reply
		charges bool
	}{
		"by the caller": {"/quick/x", false, ended, complete, false},
		"by the caller, on a route without retries":   {"/long/x", false, ended, complete, false},
		"by another entry":                            {"/quick/x", true, ended, complete, false},
		"by another entry, and its upstream has gone": {"/quick/x", true, gone, reply{Status: 502, Ended: true}, true},
		"by the caller, and its upstream has gone":    {"/quick/x", false, gone, reply{Status: 502, Ended: true}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c, u := &fakeTransport{steps: []step{tc.step}}, &fakePeers{usageCounts: make(map[string]int)}
			d := newRelayingDispatcher(t, c, u, &fakePaths{state: pathmonitor.Reachable}, &fakeRelays{})
			resumed := func() *sequoiasill.Call {
				call := call(tc.path, "key")
				call.LastEvent = "3"
				return call
			}
			var got reply
			if tc.relayed {
				r := &relayReply{}
				d.ServeRelayed(context.Background(), resumed(), 0, r)
				got = r.reply
			} else {
				d.Serve(context.Background(), resumed(), &got)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
			d.AwaitDoubts(sequoiasill.NewSystemClock().Now() + 5*sequoiasill.Second)
			if diff := cmp.Diff(tc.charges, len(d.Charges()) > 0); diff != "" {
				t.Errorf("upstreams are charged with crashes (-want +got):\n%s", diff)
			}
			if !tc.charges && len(c.attempts) != 1 {
				t.Errorf("%d attempts, 1 is wanted", len(c.attempts))
			}
		})
	}
}
