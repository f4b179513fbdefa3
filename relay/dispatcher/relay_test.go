package dispatcher_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/pathmonitor"
	"sequoiasill.dev/sequoiasill/decide/peerpicker"
	"sequoiasill.dev/sequoiasill/decide/rationer"
	"sequoiasill.dev/sequoiasill/relay/dispatcher"
)

// fakePaths has one state for all services.
type fakePaths struct {
	mu       sync.Mutex
	state    pathmonitor.State
	reached  bool // over a new connection, after any failure
	failures int
}

func (p *fakePaths) ReachedSince(string, sequoiasill.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reached || p.state == pathmonitor.Reachable
}

func (p *fakePaths) State(string) pathmonitor.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// reach records that an upstream was reached over a new connection.
func (p *fakePaths) reach() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reached = true
}

func (p *fakePaths) set(s pathmonitor.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
}

func (p *fakePaths) Failed(string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures++
}
func (p *fakePaths) RequestSent(string)                   {}
func (p *fakePaths) RequestEnded(string)                  {}
func (p *fakePaths) Responded(string, sequoiasill.Millis) {}

// relayStep scripts the result of one relayed call.
type relayStep struct {
	refusal  *sequoiasill.Failure
	verdict  sequoiasill.Verdict // of a call that is lost
	lost     bool
	events   bool
	broken   bool
	status   int
	body     string
	runs     int
	arrivals int
	delay    sequoiasill.Millis // before the response, unless the call is cancelled
}

// fakeRelays has a number of other entries, which play their steps in turn.
type fakeRelays struct {
	entries int
	steps   []relayStep
	calls   []dispatcher.RelayedCall
	mu      sync.Mutex
	none    bool // no other entry reaches the upstreams
}

func (r *fakeRelays) NoneReaches(string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.none
}

func (r *fakeRelays) setNone() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.none = true
}

func (r *fakeRelays) Pick(_ string, tried map[string]bool) (peerpicker.Peer, bool) {
	for i := range r.entries {
		if name := string(rune('a' + i)); !tried[name] {
			return peerpicker.Peer{Name: name}, true
		}
	}
	return peerpicker.Peer{}, false
}

// Offer implements dispatcher.Relays. An entry without an upstream does not accept calls.
func (r *fakeRelays) Offer(peerpicker.Peer, dispatcher.RelayedCall) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.steps[min(len(r.calls), len(r.steps)-1)]
	return s.refusal == nil || s.refusal.Code != sequoiasill.CodeNoUpstream || s.runs+s.arrivals > 0
}

func (r *fakeRelays) Send(ctx context.Context, _ peerpicker.Peer, c dispatcher.RelayedCall) (*dispatcher.Response, error) {
	r.mu.Lock()
	s := r.steps[min(len(r.calls), len(r.steps)-1)]
	r.calls = append(r.calls, c)
	r.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, sendError{v: sequoiasill.MayHaveRun}
	case <-time.After(s.delay.Duration()):
	}
	switch {
	case s.refusal != nil:
		return nil, &dispatcher.RefusalError{Failure: s.refusal, Runs: s.runs, Arrivals: s.arrivals}
	case s.lost:
		return nil, sendError{v: s.verdict}
	}
	var body io.Reader = strings.NewReader(s.body)
	if s.broken {
		body = io.MultiReader(body, brokenReader{})
	}
	return &dispatcher.Response{
		Status: s.status, Header: http.Header{}, Authentic: true, EventStream: s.events, Body: body, Runs: func() int { return s.runs }, Close: func(bool) {},
	}, nil
}

// newRelayingDispatcher returns a dispatcher with the given paths and other entries.
func newRelayingDispatcher(t *testing.T, c *fakeTransport, u *fakePeers, paths *fakePaths, relays *fakeRelays) *dispatcher.Dispatcher {
	t.Helper()
	return newDispatcherOf(c, u, soundScreener(), paths, relays, filledBudget(), hclog.NewNullLogger())
}

func refusal(v sequoiasill.Verdict, code sequoiasill.Code, status int) *sequoiasill.Failure {
	return sequoiasill.NewFailure(v, code, status, "refused").WithRetryAfter(70)
}

// An entry that reaches no upstream lets other entries serve its calls.
func TestCallsAreRelayedWhileNoUpstreamIsReached(t *testing.T) {
	good := relayStep{status: 200, body: "good", runs: 1}
	noUpstream := relayStep{refusal: refusal(sequoiasill.NotRun, sequoiasill.CodeNoUpstream, 503)}
	tests := map[string]struct {
		path    string
		entries int
		steps   []relayStep
		want    reply
		relayed int
	}{
		"a call":                 {"/once/x", 2, []relayStep{good}, reply{Status: 200, Body: "good", Ended: true}, 1},
		"no other entry":         {"/once/x", 0, nil, reply{Status: 503, Ended: true, RetryAfter: 250}, 0},
		"one that does not help": {"/once/x", 2, []relayStep{noUpstream, good}, reply{Status: 200, Body: "good", Ended: true}, 2},
		"none that helps":        {"/once/x", 9, []relayStep{noUpstream}, reply{Status: 503, Ended: true, RetryAfter: 250}, 3},
		"an offer that is not accepted": {
			"/once/x", 2, []relayStep{{lost: true, verdict: sequoiasill.NotRun}, good}, reply{Status: 200, Body: "good", Ended: true}, 2},
		"a lost response to what runs once": {
			"/once/x", 2, []relayStep{{lost: true, verdict: sequoiasill.MayHaveRun}, good}, reply{Status: 502, Ended: true}, 1},
		"a lost response to what may be retried": {
			"/read/x", 2, []relayStep{{lost: true, verdict: sequoiasill.MayHaveRun}, good}, reply{Status: 200, Body: "good", Ended: true}, 2},
		"a failure of what may have run once": {
			"/once/x", 2, []relayStep{{refusal: refusal(sequoiasill.MayHaveRun, sequoiasill.CodeUpstreamFailed, 502), runs: 1}, good}, reply{Status: 502, Ended: true}, 1},
		"a key that the other entry does not know": {
			"/once/x", 2, []relayStep{{refusal: refusal(sequoiasill.NotRun, sequoiasill.CodeUnauthorised, 401)}, good}, reply{Status: 401, Ended: true, RetryAfter: 70}, 1},
		"an error of the upstream": {"/once/x", 2, []relayStep{{status: 500, body: "bad", runs: 1}}, reply{Status: 500, Body: "bad", Ended: true}, 1},
		"an error after all runs that are allowed": {
			"/read/x", 2, []relayStep{{status: 500, body: "bad", runs: 2}, good}, reply{Status: 500, Body: "bad", Ended: true}, 1},
		"a stream": {
			"/long/x", 2, []relayStep{{status: 200, events: true, body: "id: 1\ndata: a\n\n", runs: 1}}, reply{Status: 200, Body: "id: 1\ndata: a\n\n", Ended: true}, 1},
		"a stream that broke off": {
			"/quick/x", 2, []relayStep{
				{status: 200, events: true, body: "id: 1\ndata: a\n\nid: 2\nda", broken: true, runs: 1},
				{status: 200, events: true, body: "id: 2\ndata: b\n\n", runs: 2}},
			reply{Status: 200, Body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Ended: true}, 2},
		"a stream that broke off after all runs that are allowed": {
			"/quick/x", 2, []relayStep{{status: 200, events: true, body: "id: 1\ndata: a\n\nid: 2\nda", broken: true, runs: 2}, good},
			reply{Status: 200, Body: "id: 1\ndata: a\n\n", WasCut: true}, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c, u := &fakeTransport{steps: []step{{status: 200, body: "own"}}}, &fakePeers{usageCounts: make(map[string]int)}
			relays := &fakeRelays{entries: tc.entries, steps: tc.steps}
			d := newRelayingDispatcher(t, c, u, &fakePaths{state: pathmonitor.Unreachable}, relays)
			got := &reply{}
			d.Serve(context.Background(), call(tc.path, "key"), got)
			if diff := cmp.Diff(tc.want, *got); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff([]int{tc.relayed, 0, 0}, []int{len(relays.calls), len(c.attempts), u.usageCounts["small"]}); diff != "" {
				t.Errorf("relayed calls, own attempts, usage (-want +got):\n%s", diff)
			}
			for _, r := range relays.calls[min(1, len(relays.calls)):] {
				if strings.HasPrefix(tc.path, "/quick/") && r.Call.LastEvent != "1" {
					t.Errorf("stream is resumed after event %q, 1 is wanted", r.Call.LastEvent)
				}
			}
		})
	}
}

// A call goes to another entry if the upstreams that this one reaches do not suffice.
func TestCallIsRelayedAfterConnectsFail(t *testing.T) {
	c, u := &fakeTransport{steps: []step{{fail: true, verdict: sequoiasill.NotRun}}}, &fakePeers{usageCounts: make(map[string]int)}
	relays := &fakeRelays{entries: 2, steps: []relayStep{{status: 200, body: "good", runs: 1}}}
	d := newRelayingDispatcher(t, c, u, &fakePaths{}, relays)
	for range 2 {
		got := &reply{}
		d.Serve(context.Background(), call("/once/x", "key"), got)
		if diff := cmp.Diff(reply{Status: 200, Body: "good", Ended: true}, *got); diff != "" {
			t.Errorf("response (-want +got):\n%s", diff)
		}
	}
	if len(c.attempts) != 3 {
		t.Errorf("%d own attempts, 3 by the first call are wanted", len(c.attempts))
	}
}

// Guards against BUDGET: a relayed call that is slow may be at its last upstream already, and must not
// be relayed to another entry.
func TestSlowRelayedCallIsRelayedOnce(t *testing.T) {
	c, u := &fakeTransport{}, &fakePeers{usageCounts: make(map[string]int)}
	relays := &fakeRelays{entries: 2, steps: []relayStep{{status: 200, body: "good", runs: 2, delay: 400}}}
	d := newRelayingDispatcher(t, c, u, &fakePaths{state: pathmonitor.Unreachable}, relays)
	var got reply
	d.Serve(context.Background(), call("/read/x", "key"), &got)
	if diff := cmp.Diff(reply{Status: 200, Body: "good", Ended: true}, got); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(1, len(relays.calls)); diff != "" {
		t.Errorf("entries that got the call (-want +got):\n%s", diff)
	}
}

// Guards against BUDGET: calls that the upstreams of another entry rejected went to a third one without a
// repeat in the retry budget.
func TestRelayedCallThatUpstreamsRejectedIsARepeat(t *testing.T) {
	tests := map[string]struct {
		arrivals, relayed int
		want              reply
	}{
		"no upstream received it": {0, 2, reply{Status: 200, Body: "good", Ended: true}},
		"upstreams rejected it":   {2, 1, reply{Status: 503, Ended: true, RetryAfter: 250}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			rejected := relayStep{refusal: refusal(sequoiasill.NotRun, sequoiasill.CodeNoUpstream, 503), arrivals: tc.arrivals}
			relays := &fakeRelays{entries: 2, steps: []relayStep{rejected, {status: 200, body: "good", runs: 1}}}
			empty := rationer.New(rationer.Limits{Window: 1000}, 1)
			d := newDispatcherOf(&fakeTransport{}, &fakePeers{usageCounts: make(map[string]int)}, soundScreener(), &fakePaths{state: pathmonitor.Unreachable}, relays, empty, hclog.NewNullLogger())
			got := &reply{}
			d.Serve(context.Background(), call("/once/x", "key"), got)
			if diff := cmp.Diff(tc.want, *got); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.relayed, len(relays.calls)); diff != "" {
				t.Errorf("entries that got the call (-want +got):\n%s", diff)
			}
		})
	}
}

// relayReply records the runs and arrivals that were told with a response.
type relayReply struct {
	reply

	runs, arrivals int
}

func (r *relayReply) SetCounts(runs, arrivals int) { r.runs, r.arrivals = runs, arrivals }

// An entry serves the calls of others over its own paths only, and charges no quota for them.
func TestServesRelayedCalls(t *testing.T) {
	good := step{status: 200, body: "good"}
	tests := map[string]struct {
		path, key string
		state     pathmonitor.State
		steps     []step
		before    int // runs before the call was relayed
		want      reply
		runs      int
		arrivals  int // at upstreams of this entry
	}{
		"a call":                  {"/once/x", "key", pathmonitor.Reachable, []step{good}, 0, reply{Status: 200, Body: "good", Ended: true}, 1, 1},
		"a quota that is spent":   {"/once/x", "spent", pathmonitor.Reachable, []step{good}, 0, reply{Status: 200, Body: "good", Ended: true}, 1, 1},
		"a stream":                {"/long/x", "key", pathmonitor.Reachable, []step{{status: 200, events: true, body: "id: 1\ndata: a\n\n"}}, 0, reply{Status: 200, Body: "id: 1\ndata: a\n\n", Ended: true}, 1, 1},
		"no path from here":       {"/once/x", "key", pathmonitor.Unreachable, []step{good}, 0, reply{Status: 503, Ended: true, RetryAfter: 250}, 0, 0},
		"two errors":              {"/read/x", "key", pathmonitor.Reachable, []step{{status: 500, body: "bad"}}, 0, reply{Status: 500, Body: "bad", Ended: true}, 2, 2},
		"an error after a run":    {"/read/x", "key", pathmonitor.Reachable, []step{{status: 500, body: "bad"}, good}, 1, reply{Status: 500, Body: "bad", Ended: true}, 2, 1},
		"connects that all fail":  {"/once/x", "key", pathmonitor.Reachable, []step{{fail: true, verdict: sequoiasill.NotRun}}, 0, reply{Status: 503, Ended: true, RetryAfter: 250}, 0, 0},
		"rejected by upstreams":   {"/once/x", "key", pathmonitor.Reachable, []step{{status: 503, refused: true}}, 0, reply{Status: 503, Ended: true, RetryAfter: 250}, 0, 3},
		"a lost response":         {"/once/x", "key", pathmonitor.Reachable, []step{{fail: true, verdict: sequoiasill.MayHaveRun}}, 0, reply{Status: 502, Ended: true}, 1, 1},
		"an unknown key":          {"/once/x", "other", pathmonitor.Reachable, []step{good}, 0, reply{Status: 401, Ended: true}, 0, 0},
		"a stream that broke off": {"/long/x", "key", pathmonitor.Reachable, []step{{status: 200, events: true, body: "id: 1\ndata: a\n\nid", broken: true}}, 0, reply{Status: 200, Body: "id: 1\ndata: a\n\n", WasCut: true}, 1, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c, u := &fakeTransport{steps: tc.steps}, &fakePeers{usageCounts: make(map[string]int)}
			relays := &fakeRelays{entries: 2, steps: []relayStep{{status: 200, body: "relayed again"}}}
			d := newRelayingDispatcher(t, c, u, &fakePaths{state: tc.state}, relays)
			if tc.key == "spent" {
				d.Serve(context.Background(), call("/once/x", "spent"), &reply{})
			}
			got := &relayReply{}
			d.ServeRelayed(context.Background(), call(tc.path, tc.key), tc.before, got)
			got.RetryAfter = min(got.RetryAfter, 250)
			if diff := cmp.Diff(tc.want, got.reply); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff([]int{tc.runs, tc.arrivals, 0}, []int{got.runs, got.arrivals, len(relays.calls)}); diff != "" {
				t.Errorf("runs, arrivals, calls relayed again (-want +got):\n%s", diff)
			}
		})
	}
}

func TestAcceptRelayed(t *testing.T) {
	tests := map[string]struct {
		service string
		version uint64
		play    func(d *dispatcher.Dispatcher, p *fakePaths)
		want    sequoiasill.Code
	}{
		"as usual":              {"plain", 1, func(*dispatcher.Dispatcher, *fakePaths) {}, ""},
		"an older client":       {"plain", 0, func(*dispatcher.Dispatcher, *fakePaths) {}, ""},
		"a newer configuration": {"plain", 2, func(*dispatcher.Dispatcher, *fakePaths) {}, sequoiasill.CodeNoUpstream},
		"no upstream":           {"other", 1, func(*dispatcher.Dispatcher, *fakePaths) {}, sequoiasill.CodeNoUpstream},
		"no path":               {"plain", 1, func(_ *dispatcher.Dispatcher, p *fakePaths) { p.set(pathmonitor.Unreachable) }, sequoiasill.CodeNoUpstream},
		"paths in doubt":        {"plain", 1, func(_ *dispatcher.Dispatcher, p *fakePaths) { p.set(pathmonitor.InDoubt) }, sequoiasill.CodeNoUpstream},
		"an entry that leaves": {"plain", 1, func(d *dispatcher.Dispatcher, _ *fakePaths) {
			d.SetShutdownTimes(dispatcher.ShutdownTimes{Calls: 1, Streams: 1})
		}, sequoiasill.CodeLeaving},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := &fakePaths{}
			d := newRelayingDispatcher(t, &fakeTransport{}, &fakePeers{}, p, &fakeRelays{})
			tc.play(d, p)
			got := sequoiasill.Code("")
			if f := d.AcceptRelayed(tc.service, tc.version); f != nil {
				got = f.Code
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("refusal (-want +got):\n%s", diff)
			}
		})
	}
}

// Connections that break with the paths of this entry are no evidence against requests or versions. If no
// other entry reaches the upstreams either, these are down: guards against BUDGET, as crashes of the last
// upstreams of a service were charged to nobody.
func TestBrokenPathsChargeNobody(t *testing.T) {
	failed := []string{"plain once  failed"}
	tests := map[string]struct {
		settle  func(p *fakePaths, r *fakeRelays)
		charges int
		records []string
	}{
		"paths are sound":                   {func(p *fakePaths, _ *fakeRelays) { p.set(pathmonitor.Reachable) }, 1, failed},
		"other failures keep them in doubt": {func(p *fakePaths, _ *fakeRelays) { p.reach() }, 1, failed},
		"no upstream is found":              {func(p *fakePaths, _ *fakeRelays) { p.set(pathmonitor.Unreachable) }, 0, nil},
		"no upstream is found for a moment": {func(p *fakePaths, _ *fakeRelays) {
			p.set(pathmonitor.Unreachable)
			time.Sleep(200 * time.Millisecond)
			p.set(pathmonitor.Reachable)
		}, 0, nil},
		"no upstream is found by any entry": {func(p *fakePaths, r *fakeRelays) {
			p.set(pathmonitor.Unreachable)
			time.Sleep(500 * time.Millisecond)
			r.setNone()
		}, 1, failed},
		"no other entry finds one, nothing is known here": {func(_ *fakePaths, r *fakeRelays) { r.setNone() }, 0, nil},
		"no upstream has been reached as yet":             {func(*fakePaths, *fakeRelays) {}, 0, nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, u := &fakeTransport{steps: []step{{fail: true, verdict: sequoiasill.MayHaveRun}}}, &fakePeers{usageCounts: make(map[string]int)}
			p, relays := &fakePaths{state: pathmonitor.InDoubt}, &fakeRelays{}
			d := newRelayingDispatcher(t, c, u, p, relays)
			d.Serve(context.Background(), call("/once/x", "key"), &reply{})
			if n := len(d.Charges()); n != 0 {
				t.Errorf("%d charges while the paths are in doubt", n)
			}
			tc.settle(p, relays)
			d.AwaitDoubts(sequoiasill.NewSystemClock().Now() + 5*sequoiasill.Second)
			if diff := cmp.Diff(tc.charges, len(d.Charges())); diff != "" {
				t.Errorf("charges (-want +got):\n%s", diff)
			}
			u.mu.Lock()
			defer u.mu.Unlock()
			if diff := cmp.Diff(tc.records, u.records); diff != "" {
				t.Errorf("evidence on versions (-want +got):\n%s", diff)
			}
		})
	}
}

// Connections to most upstreams that break at the same time were lost by this entry, even if it
// reaches the upstreams again at once.
func TestConnectionsThatBreakTogetherChargeNobody(t *testing.T) {
	tests := map[string]struct {
		upstreams int  // whose connections break
		closed    bool // by their own close
		charges   int
	}{
		"one upstream":                        {1, false, 1},
		"two upstreams":                       {2, false, 2},
		"all upstreams":                       {3, false, 0},
		"all upstreams close the connections": {3, true, 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var steps []step
			for range tc.upstreams {
				steps = append(steps, step{fail: true, closed: tc.closed, verdict: sequoiasill.MayHaveRun, delay: 100})
			}
			c, u := &fakeTransport{steps: append(steps, step{status: 200, delay: 500})}, &fakePeers{usageCounts: make(map[string]int)}
			p := &fakePaths{state: pathmonitor.InDoubt}
			d := newRelayingDispatcher(t, c, u, p, &fakeRelays{})
			var calls sync.WaitGroup
			for i := range 3 {
				calls.Go(func() {
					one := call("/once/"+string(rune('0'+i)), "key")
					d.Serve(context.Background(), one, &reply{})
				})
			}
			time.AfterFunc(300*time.Millisecond, func() { p.set(pathmonitor.Reachable) })
			calls.Wait()
			if diff := cmp.Diff(tc.charges, len(d.Charges())); diff != "" {
				t.Errorf("charges (-want +got):\n%s", diff)
			}
		})
	}
}

// losePaths loses the paths of a dispatcher after a time.
func losePaths(d *dispatcher.Dispatcher, paths *fakePaths, after time.Duration) {
	time.AfterFunc(after, func() {
		paths.set(pathmonitor.Unreachable)
		d.PathsLost("plain")
	})
}

// An attempt that no longer progresses goes to another entry once no upstream is reached.
func TestStalledAttemptIsRelayedWhenPathsAreLost(t *testing.T) {
	tests := map[string]struct {
		path    string
		wait    time.Duration
		relayed int
	}{
		"what may be retried":     {"/quick/x", 500 * time.Millisecond, 1},
		"what runs once":          {"/once/x", 500 * time.Millisecond, 0},
		"what has just been sent": {"/quick/x", 50 * time.Millisecond, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, u := &fakeTransport{steps: []step{{hang: true}}}, &fakePeers{usageCounts: make(map[string]int)}
			paths, relays := &fakePaths{}, &fakeRelays{entries: 1, steps: []relayStep{{status: 200, events: true, body: "id: 1\ndata: a\n\n", runs: 2}}}
			d := newRelayingDispatcher(t, c, u, paths, relays)
			losePaths(d, paths, tc.wait)
			d.Serve(context.Background(), call(tc.path, "key"), &reply{})
			if diff := cmp.Diff(tc.relayed, len(relays.calls)); diff != "" {
				t.Errorf("relayed calls (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against LOST: the last attempt that a call is allowed was given up when no upstream responded for a
// moment.
func TestLastAttemptGoesOnWhenPathsAreLost(t *testing.T) {
	c, u := &fakeTransport{steps: []step{{fail: true, verdict: sequoiasill.MayHaveRun}, {status: 200, body: "good", delay: 800}}}, &fakePeers{usageCounts: make(map[string]int)}
	paths, relays := &fakePaths{}, &fakeRelays{entries: 1, steps: []relayStep{{status: 200, body: "relayed", runs: 2}}}
	d := newRelayingDispatcher(t, c, u, paths, relays)
	losePaths(d, paths, 500*time.Millisecond)
	var got reply
	d.Serve(context.Background(), call("/read/x", "key"), &got)
	if diff := cmp.Diff(reply{Status: 200, Body: "good", Ended: true}, got); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
}

// A relayed call draws on the retry budget and adds nothing to it.
func TestRelayedCallsAddNothingToTheRetryBudget(t *testing.T) {
	b := rationer.New(rationer.Limits{Ratio: 1, Slack: 0, Window: 1000}, 1)
	for range 100 {
		b.RelayedCall(1000, "plain")
	}
	if b.TakeRepeat(1000, b.RelayedCall(1000, "plain")) {
		t.Error("a repeat is allowed that no call of this entry paid for")
	}
}

// An attempt whose response is overdue goes to another entry without waiting longer, once no upstream is
// reached.
func TestOverdueAttemptIsRelayedWhenPathsAreLost(t *testing.T) {
	c, u := &fakeTransport{steps: []step{{hang: true}}}, &fakePeers{usageCounts: make(map[string]int)}
	paths, relays := &fakePaths{}, &fakeRelays{entries: 1, steps: []relayStep{{status: 200, body: "relayed", runs: 2}}}
	d := newRelayingDispatcher(t, c, u, paths, relays)
	losePaths(d, paths, 50*time.Millisecond)
	var got reply
	began := time.Now()
	d.Serve(context.Background(), call("/read/x", "key"), &got)
	if diff := cmp.Diff(reply{Status: 200, Body: "relayed", Ended: true}, got); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
	// Attempts of this route time out after 150 ms.
	if took := time.Since(began); took > 350*time.Millisecond {
		t.Errorf("answered after %s", took)
	}
}
