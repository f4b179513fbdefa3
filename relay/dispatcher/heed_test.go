package dispatcher_test

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/relay/dispatcher"
)

// went returns the upstreams that calls were sent to, in turn.
func (c *courier) went() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, a := range c.attempts {
		out = append(out, a.Replica.Name)
	}
	return out
}

// What an upstream says of itself with any answer keeps further calls from it.
func TestUpstreamIsHeeded(t *testing.T) {
	good := step{status: 200, body: "good"}
	tests := map[string]struct {
		path string
		step step
		left int // upstreams that the other entries are told of
	}{
		"a good answer of one that leaves": {"/once/x", step{status: 200, body: "good", leaving: true}, 1},
		"a stream of one that leaves":      {"/long/x", step{status: 200, events: true, body: "id: 1\ndata: a\n\n", leaving: true}, 1},
		"a refusal by one that leaves":     {"/once/x", step{status: 503, refused: true, leaving: true}, 1},
		"an error of one that leaves":      {"/once/x", step{status: 500, body: "bad", leaving: true}, 1},
		"a refusal with a pause":           {"/once/x", step{status: 503, refused: true, pause: 5000}, 0},
		"an error with a pause":            {"/once/x", step{status: 503, body: "bad", pause: 5000}, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c, u := &courier{steps: []step{tc.step, good}}, &usage{began: make(map[string]int)}
			d := newDispatcher(t, c, u)
			for range 30 {
				d.Serve(context.Background(), call(tc.path, "key"), &reply{})
			}
			went := c.went()
			for i, name := range went[1:] {
				if name == went[0] {
					t.Fatalf("send %d goes to %s, which said so with the first answer", i+2, name)
				}
			}
			if diff := cmp.Diff(tc.left, len(u.left)); diff != "" {
				t.Errorf("upstreams told of (-want +got):\n%s", diff)
			}
		})
	}
}

// A call that was chosen for an upstream is chosen anew when that says meanwhile that it
// leaves or wants a pause.
func TestChosenCallIsChosenAnew(t *testing.T) {
	for name, event := range map[string]func(r *registrar.Registrar, name string){
		"it leaves": func(r *registrar.Registrar, name string) { r.Left(sequoiasill.NewSystemClock().Now(), name, 0) },
		"it rests":  func(r *registrar.Registrar, name string) { r.Rest(sequoiasill.NewSystemClock().Now(), name, 5000) },
	} {
		t.Run(name, func(t *testing.T) {
			c := &courier{steps: []step{{status: 200, body: "good"}}}
			d := newDispatcher(t, c, &usage{began: make(map[string]int)})
			c.before = func(a dispatcher.Attempt) {
				if len(c.attempts) == 0 && c.withheld == 0 {
					d.Registrar(func(r *registrar.Registrar) { event(r, a.Replica.Name) })
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

// While all upstreams rest, calls are refused at once and told when the first is back.
func TestRefusalWhileAllRest(t *testing.T) {
	c := &courier{steps: []step{{status: 503, refused: true, pause: 1000}}}
	d := newDispatcher(t, c, &usage{began: make(map[string]int)})
	d.Serve(context.Background(), call("/once/x", "key"), &reply{}) // asks all three
	var got reply
	d.Serve(context.Background(), call("/once/x", "key"), &got)
	if diff := cmp.Diff([]int{503, 3}, []int{got.Status, len(c.went())}); diff != "" {
		t.Errorf("status, sends (-want +got):\n%s", diff)
	}
	if got.Wait < 800 || got.Wait > 1200 {
		t.Errorf("callers are told to come back in %s", got.Wait)
	}
}
