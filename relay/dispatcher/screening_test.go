package dispatcher_test

import (
	"context"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/partblamer"
)

// fakeScreener refuses calls from its n-th decision on, and records what it is told.
type fakeScreener struct {
	mu        sync.Mutex
	passes    int // decisions before it refuses
	decisions int
	crashes   int
	served    int
}

func (s *fakeScreener) Screen([]partblamer.Part) (partblamer.Decision, sequoiasill.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decisions++
	if s.decisions <= s.passes {
		return partblamer.Decision{}, 0
	}
	return partblamer.Decision{Refused: true, Signature: partblamer.Signature{7}}, 30_000
}

func (s *fakeScreener) RecordCrash(partblamer.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes++
}

func (s *fakeScreener) RecordServed([]partblamer.Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served++
}

// A call whose prompt is quarantined is refused as not run, also when that happens after it was
// admitted or chosen, and it is not sent to another upstream.
func TestQuarantinedPromptIsNotSent(t *testing.T) {
	refused := reply{Status: 503, Ended: true, RetryAfter: 30_000}
	stream := step{status: 200, events: true, body: "id: 1\ndata: a\n\n"}
	crashing := step{status: 200, events: true, untilClose: true, gone: true}
	tests := map[string]struct {
		passes  int
		path    string
		steps   []step
		want    reply
		sends   int
		records []int // crashes, served
	}{
		"at admission":            {0, "/long/x", []step{stream}, refused, 0, []int{0, 0}},
		"before the placement":    {1, "/long/x", []step{stream}, refused, 0, []int{0, 0}},
		"right before the send":   {2, "/long/x", []step{stream}, refused, 0, []int{0, 0}},
		"after a first attempt":   {3, "/quick/x", []step{crashing, stream}, reply{Status: 502, Ended: true}, 1, []int{1, 0}},
		"never":                   {100, "/long/x", []step{stream}, reply{Status: 200, Body: stream.body, Ended: true}, 1, []int{0, 1}},
		"never, a crash before":   {100, "/quick/x", []step{crashing, stream}, reply{Status: 200, Body: stream.body, Ended: true}, 2, []int{1, 1}},
		"never, a whole response": {100, "/once/x", []step{{status: 200, body: "good"}}, reply{Status: 200, Body: "good", Ended: true}, 1, []int{0, 1}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			transport, screen := &fakeTransport{steps: tc.steps}, &fakeScreener{passes: tc.passes}
			d := newScreeningDispatcher(transport, &fakePeers{usageCounts: make(map[string]int)}, screen, filledBudget(), hclog.NewNullLogger())
			c := call(tc.path, "key")
			c.Prompt.Parts = []sequoiasill.PromptPart{{ID: 7, Tokens: 1}, {ID: 8, Tokens: 1}}
			var got reply
			d.Serve(context.Background(), c, &got)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.sends, len(transport.attempts)); diff != "" {
				t.Errorf("sends (-want +got):\n%s", diff)
			}
			d.AwaitDoubts(sequoiasill.NewSystemClock().Now() + 5*sequoiasill.Second)
			if diff := cmp.Diff(tc.records, []int{screen.crashes, screen.served}); diff != "" {
				t.Errorf("recorded crashes and services (-want +got):\n%s", diff)
			}
		})
	}
}
