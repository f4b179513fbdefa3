package dispatcher_test

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/relay/dispatcher"
)

// sentTo returns the upstreams that calls were sent to, in order.
func (c *fakeTransport) sentTo() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, a := range c.attempts {
		out = append(out, a.Replica.Name)
	}
	return out
}

// An upstream that drains or requests a pause with any kind of response gets no further
// calls.
func TestUpstreamThatDrainsOrPausesGetsNoFurtherCalls(t *testing.T) {
	good := step{status: 200, body: "good"}
	tests := map[string]struct {
		path     string
		step     step
		draining int // upstreams that are announced as draining
	}{
		"a good response while draining": {"/once/x", step{status: 200, body: "good", draining: true}, 1},
		"a stream while draining":        {"/long/x", step{status: 200, events: true, body: "id: 1\ndata: a\n\n", draining: true}, 1},
		"a refusal while draining":       {"/once/x", step{status: 503, refused: true, draining: true}, 1},
		"an error while draining":        {"/once/x", step{status: 500, body: "bad", draining: true}, 1},
		"a refusal with a pause":         {"/once/x", step{status: 503, refused: true, pause: 5000}, 0},
		"an error with a pause":          {"/once/x", step{status: 503, body: "bad", pause: 5000}, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c, u := &fakeTransport{steps: []step{tc.step, good}}, &fakePeers{usageCounts: make(map[string]int)}
			d := newDispatcher(t, c, u)
			for range 30 {
				d.Serve(context.Background(), call(tc.path, "key"), &reply{})
			}
			sentTo := c.sentTo()
			for i, name := range sentTo[1:] {
				if name == sentTo[0] {
					t.Fatalf("send %d goes to %s, which drains or is paused since the first response", i+2, name)
				}
			}
			if diff := cmp.Diff(tc.draining, len(u.draining)); diff != "" {
				t.Errorf("upstreams announced as draining (-want +got):\n%s", diff)
			}
		})
	}
}

// A call is withheld and sent to another upstream if the chosen one starts to drain or
// requests a pause before the send.
func TestWithheldCallGoesToAnotherUpstream(t *testing.T) {
	for name, event := range map[string]func(r *registrar.Registrar, name string){
		"it drains":    func(r *registrar.Registrar, name string) { r.MarkDraining(sequoiasill.NewSystemClock().Now(), name, 0) },
		"it is paused": func(r *registrar.Registrar, name string) { r.Pause(sequoiasill.NewSystemClock().Now(), name, 5000) },
	} {
		t.Run(name, func(t *testing.T) {
			c := &fakeTransport{steps: []step{{status: 200, body: "good"}}}
			d := newDispatcher(t, c, &fakePeers{usageCounts: make(map[string]int)})
			c.beforeSend = func(a dispatcher.Attempt) {
				if len(c.attempts) == 0 && c.withheld == 0 {
					d.WithRegistrar(func(r *registrar.Registrar) { event(r, a.Replica.Name) })
				}
			}
			var got reply
			d.Serve(context.Background(), call("/once/x", "key"), &got)
			if diff := cmp.Diff([]int{200, 1, 1}, []int{got.Status, c.withheld, len(c.attempts)}); diff != "" {
				t.Errorf("status, sends withheld, sends (-want +got):\n%s", diff)
			}
		})
	}
}

// While all upstreams are paused, calls are refused at once with the time until the first one
// accepts calls again.
func TestRefusalWhileAllUpstreamsArePaused(t *testing.T) {
	c := &fakeTransport{steps: []step{{status: 503, refused: true, pause: 1000}}}
	d := newDispatcher(t, c, &fakePeers{usageCounts: make(map[string]int)})
	d.Serve(context.Background(), call("/once/x", "key"), &reply{}) // refused by all three
	var got reply
	d.Serve(context.Background(), call("/once/x", "key"), &got)
	if diff := cmp.Diff([]int{503, 3}, []int{got.Status, len(c.sentTo())}); diff != "" {
		t.Errorf("status, sends (-want +got):\n%s", diff)
	}
	if got.RetryAfter < 800 || got.RetryAfter > 1200 {
		t.Errorf("callers are to retry after %s", got.RetryAfter)
	}
}
