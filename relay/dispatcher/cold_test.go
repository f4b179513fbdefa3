package dispatcher_test

import (
	"context"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/relay/dispatcher"
)

// coldTraffic returns the traffic rules with a rate for cold upstreams.
func coldTraffic() *sequoiasill.Traffic {
	t := *traffic
	t.Version, t.Services = 2, []sequoiasill.TrafficService{{Name: "plain", ColdPerSec: 16}}
	return &t
}

// refusalReply keeps the reason of a refusal.
type refusalReply struct {
	reply

	reason string
}

func (r *refusalReply) Refuse(f *sequoiasill.Failure) {
	r.reason = f.Error()
	r.reply.Refuse(f)
}

// Guards against calls that wait, or that are refused without a time, while all upstreams are cold or in
// evacuated zones.
func TestRefusalWhileNoUpstreamTakesCalls(t *testing.T) {
	tests := map[string]struct {
		event  func(d *dispatcher.Dispatcher, u sequoiasill.Replica)
		reason string
	}{
		"all are cold": {func(d *dispatcher.Dispatcher, u sequoiasill.Replica) { d.RecordCold(u, 1000, "answer") }, "3 are cold"},
		"all zones are evacuated": {func(d *dispatcher.Dispatcher, u sequoiasill.Replica) {
			d.WithRegistrar(func(r *registrar.Registrar) { r.SetEvacuated(map[string]bool{u.Zone: true}) })
		}, "3 in evacuated zones"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := &fakeTransport{steps: []step{{status: 200, body: "good"}}}
			d := newDispatcher(t, c, &fakePeers{usageCounts: make(map[string]int)})
			d.SetTraffic(coldTraffic())
			var listed []sequoiasill.Replica
			d.WithRegistrar(func(r *registrar.Registrar) { listed = r.Listed() })
			for _, u := range listed {
				tc.event(d, u)
			}
			var got refusalReply
			d.Serve(context.Background(), call("/once/x", "key"), &got)
			if diff := cmp.Diff([]int{503, 0}, []int{got.Status, len(c.sentTo())}); diff != "" {
				t.Errorf("status, sends (-want +got):\n%s", diff)
			}
			if got.RetryAfter <= 0 || got.RetryAfter > 1500 || !strings.Contains(got.reason, tc.reason) {
				t.Errorf("callers are to retry after %s for %q, want a reason with %q", got.RetryAfter, got.reason, tc.reason)
			}
		})
	}
}

// Guards against a send to an upstream that turned cold after it was chosen.
func TestCallIsWithheldFromUpstreamThatTurnsCold(t *testing.T) {
	c := &fakeTransport{steps: []step{{status: 200, body: "good"}}}
	d := newDispatcher(t, c, &fakePeers{usageCounts: make(map[string]int)})
	d.SetTraffic(coldTraffic())
	c.beforeSend = func(a dispatcher.Attempt) {
		if c.withheld == 0 {
			d.RecordCold(a.Replica, 5000, "answer")
		}
	}
	var got reply
	d.Serve(context.Background(), call("/once/x", "key"), &got)
	if diff := cmp.Diff([]int{200, 1, 1}, []int{got.Status, c.withheld, len(c.attempts)}); diff != "" {
		t.Errorf("status, sends withheld, sends (-want +got):\n%s", diff)
	}
}
