package dispatcher_test

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/partblamer"
	"sequoiasill.dev/sequoiasill/decide/pathmonitor"
	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/relay/dispatcher"
	"sequoiasill.dev/sequoiasill/relay/meter"
	"sequoiasill.dev/sequoiasill/relay/screener"
)

// fakeRequests is a screener of requests that counts what it is told.
type fakeRequests struct {
	fakeScreener

	alive int
}

func (s *fakeRequests) RecordAlive(uint64, sequoiasill.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alive++
}

// Guards against BUDGET: a request that crashes upstreams after the first event of its response was never charged.
// Upstreams that live on, that have announced their end or whose responses are cut off here did not crash.
func TestTruncatedResponseIsChargedIfItsUpstreamEnded(t *testing.T) {
	const event, half = "id: 1\ndata: a\n\n", "id: 1\ndata: a\n\nid: 2\nda"
	stream := step{status: 200, events: true, body: half, broken: true}
	whole := step{status: 200, body: "half", broken: true}
	ended := func(s step) step { s.gone = true; return s }
	leaving := func(s step) step { s.gone, s.draining = true, true; return s }
	tests := map[string]struct {
		path    string
		steps   []step
		relayed bool
		crashes int
		served  int
	}{
		"a stream":                                  {"/long/x", []step{ended(stream)}, false, 1, 0},
		"a stream that may be resumed":              {"/quick/x", []step{ended(stream), {status: 200, events: true, body: "id: 2\ndata: b\n\n"}}, false, 1, 1},
		"a stream that another entry relayed":       {"/long/x", []step{ended(stream)}, true, 1, 0},
		"a stream without framing":                  {"/long/x", []step{{status: 200, events: true, untilClose: true, gone: true, body: event}}, false, 1, 0},
		"a stream without an event":                 {"/long/x", []step{{status: 200, events: true, broken: true, gone: true}}, false, 1, 0},
		"a whole response":                          {"/once/x", []step{ended(whole)}, false, 1, 0},
		"a response that never began":               {"/once/x", []step{{fail: true, closed: true, verdict: sequoiasill.MayHaveRun}}, false, 1, 0},
		"a stream, and its upstream lives on":       {"/long/x", []step{stream}, false, 0, 0},
		"an unframed one without events, it lives":  {"/long/x", []step{{status: 200, events: true, untilClose: true}}, false, 0, 0},
		"a whole response, it lives":                {"/once/x", []step{whole}, false, 0, 0},
		"a stream, and its upstream was leaving":    {"/long/x", []step{leaving(stream)}, false, 0, 0},
		"a complete response, and then it ends":     {"/once/x", []step{{status: 200, body: "good", gone: true}}, false, 0, 1},
		"a complete error":                          {"/once/x", []step{{status: 500, body: "bad"}}, false, 0, 1},
		"a complete response of another upstream":   {"/once/x", []step{{status: 200, body: "forged", forged: true}}, false, 0, 0},
		"a rejection, which does not tell anything": {"/once/x", []step{{status: 503, refused: true}}, false, 0, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requests := &fakeRequests{fakeScreener: fakeScreener{passes: 100}}
			d := newScreenedDispatcher(&fakeTransport{steps: tc.steps}, &fakePeers{usageCounts: make(map[string]int)}, dispatcher.Screeners{Parts: soundScreener(), Requests: requests},
				&fakePaths{state: pathmonitor.Reachable}, &fakeRelays{}, filledBudget(), hclog.NewNullLogger())
			if tc.relayed {
				d.ServeRelayed(context.Background(), call(tc.path, "key"), 0, &relayReply{})
			} else {
				d.Serve(context.Background(), call(tc.path, "key"), &reply{})
			}
			d.AwaitDoubts(sequoiasill.NewSystemClock().Now() + 5*sequoiasill.Second)
			if diff := cmp.Diff([]int{tc.crashes, tc.served}, []int{requests.crashes, requests.served}); diff != "" {
				t.Errorf("recorded crashes and complete responses (-want +got):\n%s", diff)
			}
		})
	}
}

// A request that crashes upstreams after the first event of its response is refused as not run from the third one
// on, and tested again with a single attempt.
func TestRequestThatCrashesUpstreamsWhileTheyRespondIsRefused(t *testing.T) {
	first := step{status: 200, events: true, body: "id: 1\ndata: a\n\n", broken: true, gone: true}
	second := first
	second.body = "id: 2\ndata: b\n\n"
	c, clock := &fakeTransport{steps: []step{first, second, first, second, first, second}}, sequoiasill.NewSystemClock()
	requests := screener.NewOfRequests(partblamer.New(quickOptions()), clock, meter.New(), hclog.NewNullLogger())
	d := newScreenedDispatcher(c, &fakePeers{usageCounts: make(map[string]int)}, dispatcher.Screeners{Parts: soundScreener(), Requests: requests},
		&fakePaths{state: pathmonitor.Reachable}, &fakeRelays{}, filledBudget(), hclog.NewNullLogger())
	restart := func(revision int) {
		d.WithRegistrar(func(r *registrar.Registrar) {
			for _, u := range r.Listed() {
				u.StartedAt, u.Revision = clock.Now(), uint64(revision)
				r.Announce(clock.Now(), u)
			}
		})
	}
	serve := func(body string) (status int, sends int) {
		before := len(c.attempts)
		k := call("/quick/x", "key")
		k.Body = []byte(body)
		var got reply
		d.Serve(context.Background(), k, &got)
		d.AwaitDoubts(clock.Now() + 5*sequoiasill.Second)
		return got.Status, len(c.attempts) - before
	}
	exchange := func(span sequoiasill.Millis) {
		for end := clock.Now() + span; clock.Now() < end; {
			requests.Exchange(0)
		}
	}
	type result struct{ Status, Sends int }
	var got []result
	for i, pause := range []sequoiasill.Millis{100, 300, 1, 2500, 1} {
		restart(i + 2)
		status, sends := serve("crash")
		got = append(got, result{status, sends})
		exchange(pause)
	}
	// The request that comes after the long pause tests the quarantine.
	if diff := cmp.Diff([]result{{200, 2}, {200, 2}, {503, 0}, {503, 0}, {200, 1}}, got); diff != "" {
		t.Errorf("responses to the request (-want +got):\n%s", diff)
	}
	if status, sends := serve("another"); status != 200 || sends == 0 {
		t.Errorf("another request: status %d after %d sends", status, sends)
	}
}

// quickOptions returns the options of a screener that decides and tests after fractions of a second.
func quickOptions() partblamer.Options {
	o := partblamer.RequestOptions()
	o.OutageWindow, o.ReplyTime, o.ProbeDelay = 0, 50, 2000
	return o
}
