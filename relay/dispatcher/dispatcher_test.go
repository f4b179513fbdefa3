package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/admitter"
	"sequoiasill.dev/sequoiasill/decide/allotter"
	"sequoiasill.dev/sequoiasill/decide/assigner"
	"sequoiasill.dev/sequoiasill/decide/blamer"
	"sequoiasill.dev/sequoiasill/decide/partblamer"
	"sequoiasill.dev/sequoiasill/decide/rationer"
	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/decide/throttler"
	"sequoiasill.dev/sequoiasill/relay/dispatcher"
	"sequoiasill.dev/sequoiasill/relay/meter"
	"sequoiasill.dev/sequoiasill/relay/screener"
)

// step scripts the result of one attempt.
type step struct {
	verdict       sequoiasill.Verdict // of an attempt that fails
	fail          bool
	closed        bool               // it fails as the upstream closes the connection
	hang          bool               // until the attempt is cancelled
	delay         sequoiasill.Millis // before the response starts
	ignoresCancel bool
	status        int
	refused       bool
	misdirected   bool // the response of another upstream
	forged        bool // not authenticated as the response of the upstream
	events        bool
	body          string
	broken        bool // the body ends with an error
	stalls        bool // the body does not end until the attempt is cancelled
	untilClose    bool // the body ends when the connection is closed
	gone          bool // the upstream does not run any more when the body has ended
	draining      bool
	pause         sequoiasill.Millis
	limit         registrar.Limit
	load          *registrar.Load // nil for no report
}

type sendError struct {
	v     sequoiasill.Verdict
	cause error
}

func (e sendError) Error() string            { return "not sent or lost" }
func (e sendError) Ran() sequoiasill.Verdict { return e.v }
func (e sendError) Unwrap() error            { return e.cause }

// fakeTransport plays its steps in turn, repeats the last one, and records the attempts.
type fakeTransport struct {
	beforeSend func(a dispatcher.Attempt) // called before each send, may be nil
	withheld   int

	mu        sync.Mutex
	steps     []step
	attempts  []dispatcher.Attempt
	readWhole []bool          // whether each response was read to its end
	ended     map[string]bool // by upstream
}

// Outlived implements dispatcher.Transport. An upstream has ended if a step said so.
func (c *fakeTransport) Outlived(_ context.Context, r sequoiasill.Replica) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended[r.Name] {
		return syscall.ECONNREFUSED
	}
	return nil
}

func (c *fakeTransport) Send(ctx context.Context, a dispatcher.Attempt) (*dispatcher.Response, error) {
	if c.beforeSend != nil {
		c.beforeSend(a)
	}
	if !a.MaySend() {
		c.withheld++
		return nil, sendError{v: sequoiasill.NotRun}
	}
	c.mu.Lock()
	s := c.steps[min(len(c.attempts), len(c.steps)-1)]
	c.attempts = append(c.attempts, a)
	if s.gone || s.fail && s.verdict != sequoiasill.NotRun {
		if c.ended == nil {
			c.ended = make(map[string]bool)
		}
		c.ended[a.Replica.Name] = true
	}
	c.mu.Unlock()
	if s.hang {
		<-ctx.Done()
		if s.fail {
			return nil, sendError{v: s.verdict}
		}
		return nil, sendError{v: sequoiasill.MayHaveRun}
	}
	if s.fail {
		time.Sleep(s.delay.Duration())
		if s.closed {
			return nil, sendError{s.verdict, io.ErrUnexpectedEOF}
		}
		return nil, sendError{v: s.verdict}
	}
	ended := ctx.Done()
	if s.ignoresCancel {
		ended = nil
	}
	select {
	case <-ended:
		return nil, sendError{v: sequoiasill.MayHaveRun}
	case <-time.After(s.delay.Duration()):
	}
	var body io.Reader = strings.NewReader(s.body)
	if s.broken {
		body = io.MultiReader(body, brokenReader{})
	}
	if s.stalls {
		body = io.MultiReader(body, stalledReader{ctx})
	}
	outlived := func(context.Context) error {
		if s.gone {
			return syscall.ECONNREFUSED
		}
		return nil
	}
	response := &dispatcher.Response{
		Outlived: outlived, Status: s.status, Header: http.Header{"X-Upstream": {a.Replica.Name}}, Refused: s.refused, Misdirected: s.misdirected, Authentic: !s.forged,
		Draining: s.draining, Pause: s.pause, Limit: s.limit, EventStream: s.events, UntilClose: s.untilClose, Body: body, Close: func(whole bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.readWhole = append(c.readWhole, whole)
		},
	}
	if s.load != nil {
		response.Load, response.HasLoad = *s.load, true
	}
	return response, nil
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// stalledReader has no data until its context ends.
type stalledReader struct{ ctx context.Context }

func (r stalledReader) Read([]byte) (int, error) {
	<-r.ctx.Done()
	return 0, r.ctx.Err()
}

// reply records the response to the caller.
type reply struct {
	Status     int
	Body       string
	Ended      bool
	WasCut     bool
	RetryAfter sequoiasill.Millis
}

func (r *reply) SendWhole(status int, _ http.Header, body []byte) error {
	r.Status, r.Body, r.Ended = status, string(body), true
	return nil
}
func (r *reply) Refuse(f *sequoiasill.Failure) {
	r.Status, r.Ended, r.RetryAfter = f.Status, true, f.RetryAfter
}
func (r *reply) Begin(status int, _ http.Header) error {
	r.Status = status
	return nil
}
func (r *reply) Write(b []byte) error {
	r.Body += string(b)
	return nil
}
func (r *reply) End() error {
	r.Ended = true
	return nil
}
func (r *reply) Abort() { r.WasCut = true }

// fakePeers records what is announced to the other entries, and decides on versions and
// permits.
type fakePeers struct {
	mu             sync.Mutex
	usageCounts    map[string]int
	quarantined    []blamer.Fingerprint
	draining       []string // upstreams
	assignment     sequoiasill.VersionAssignment
	records        []string
	limits         []string // announced rate limits
	permitRequests int
	grants         int // number of requests that are granted before decision applies
	decision       throttler.Decision
	permitUses     []string // reports on permits
}

func (u *fakePeers) Assign(string, string) sequoiasill.VersionAssignment { return u.assignment }

func (u *fakePeers) RecordDuration(string, string, sequoiasill.Millis) {}

func (u *fakePeers) Record(service, route, version string, result sequoiasill.VersionResult, _ sequoiasill.Millis) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.records = append(u.records, fmt.Sprintf("%s %s %s %s", service, route, version, result))
}

func (u *fakePeers) AnnounceQuarantine(f blamer.Fingerprint, _ sequoiasill.Millis) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.quarantined = append(u.quarantined, f)
}

func (u *fakePeers) AnnounceDraining(upstream string, _ sequoiasill.Millis) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = append(u.draining, upstream)
}

func (u *fakePeers) AnnounceBrittle(service string, rejections float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limits = append(u.limits, fmt.Sprintf("%s brittle %g", service, rejections))
}

func (u *fakePeers) AnnouncePace(upstream string, _ sequoiasill.Millis, usual float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limits = append(u.limits, fmt.Sprintf("%s pace %g", upstream, usual))
}

func (u *fakePeers) AnnounceLimit(up throttler.Upstream, perSecond float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limits = append(u.limits, fmt.Sprintf("%s %g", up.Name, perSecond))
}

func (u *fakePeers) RequestPermit(_ context.Context, up throttler.Upstream) (throttler.Permit, throttler.Decision) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.permitRequests++
	d := u.decision
	d.Granted = d.Granted || u.permitRequests <= u.grants
	return throttler.Permit{Upstream: up, Keeper: "k", Call: throttler.Call{ID: uint64(u.permitRequests)}}, d
}

func (u *fakePeers) ReportOutcome(p throttler.Permit, e throttler.Outcome, l registrar.Limit) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.permitUses = append(u.permitUses, fmt.Sprintf("%d arrived %t limit %t", p.Call.ID, e == throttler.Arrived, l.FromUpstream))
}

func (u *fakePeers) CountUsage(organisation string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.usageCounts[organisation]++
}

const host = "kiosk.example"

var traffic = &sequoiasill.Traffic{
	Version: 1,
	Routes: []sequoiasill.TrafficRoute{
		{Name: "once", Host: host, Prefix: "/once/", Kind: sequoiasill.RunOnce, Timeout: 2000, TargetLatency: 100, MaxAttempts: 3,
			Targets: []sequoiasill.WeightedService{{Service: "plain", Weight: 1}}},
		{Name: "read", Host: host, Prefix: "/read/", Kind: sequoiasill.Idempotent, Timeout: 2000, TargetLatency: 100, MaxAttempts: 2,
			Targets: []sequoiasill.WeightedService{{Service: "plain", Weight: 1}}},
		{Name: "long", Host: host, Prefix: "/long/", Kind: sequoiasill.Streaming, Timeout: 2000, MaxAttempts: 2,
			Targets: []sequoiasill.WeightedService{{Service: "plain", Weight: 1}}},
		{Name: "quick", Host: host, Prefix: "/quick/", Kind: sequoiasill.Streaming, Resumable: true, Timeout: 2000, MaxAttempts: 2,
			Targets: []sequoiasill.WeightedService{{Service: "plain", Weight: 1}}},
	},
	Services: []sequoiasill.TrafficService{{Name: "plain"}},
	Accounts: []sequoiasill.Account{
		{Name: "small", Keys: []string{"key"}},
		{Name: "spent", Keys: []string{"spent"}, CountsTokens: true, DefaultCost: 100, RatePerSec: 1, Burst: 1}, // one call overdraws it
	},
}

// newDispatcher returns a dispatcher with three ready upstreams and a filled retry budget.
func newDispatcher(t *testing.T, c *fakeTransport, u *fakePeers) *dispatcher.Dispatcher {
	t.Helper()
	return newLoggingDispatcher(t, c, u, hclog.NewNullLogger())
}

func newLoggingDispatcher(t *testing.T, c *fakeTransport, u *fakePeers, log hclog.Logger) *dispatcher.Dispatcher {
	t.Helper()
	return newDispatcherWith(c, u, filledBudget(), log)
}

// filledBudget returns a retry budget that calls have filled.
func filledBudget() *rationer.Rationer {
	budget := rationer.New(rationer.Limits{Ratio: 1, Slack: 100, Window: 1000}, 1)
	for range 10 {
		budget.Call(sequoiasill.NewSystemClock().Now(), "plain")
	}
	return budget
}

// newDispatcherWith returns a dispatcher with three ready upstreams.
func newDispatcherWith(c dispatcher.Transport, u *fakePeers, budget *rationer.Rationer, log hclog.Logger) *dispatcher.Dispatcher {
	return newScreeningDispatcher(c, u, soundScreener(), budget, log)
}

// soundScreener returns a screener that has seen no crash.
func soundScreener() *screener.Screener {
	return screener.New(partblamer.New(partblamer.DefaultOptions()), sequoiasill.NewSystemClock(), meter.New(), hclog.NewNullLogger())
}

// soundRequests returns a screener of requests that has seen no crash.
func soundRequests() *screener.Screener {
	return screener.NewOfRequests(partblamer.New(partblamer.RequestOptions()), sequoiasill.NewSystemClock(), meter.New(), hclog.NewNullLogger())
}

// newScreeningDispatcher returns one that screens calls.
func newScreeningDispatcher(c dispatcher.Transport, u *fakePeers, screen dispatcher.Screener, budget *rationer.Rationer, log hclog.Logger) *dispatcher.Dispatcher {
	return newDispatcherOf(c, u, screen, &fakePaths{}, &fakeRelays{}, budget, log)
}

// newDispatcherOf returns one with the given paths and other entries.
func newDispatcherOf(c dispatcher.Transport, u *fakePeers, screen dispatcher.Screener, paths dispatcher.Paths, relays dispatcher.Relays, budget *rationer.Rationer, log hclog.Logger) *dispatcher.Dispatcher {
	return newScreenedDispatcher(c, u, dispatcher.Screeners{Parts: screen, Requests: soundRequests()}, paths, relays, budget, log)
}

// newScreenedDispatcher returns one with the given screeners.
func newScreenedDispatcher(c dispatcher.Transport, u *fakePeers, screeners dispatcher.Screeners, paths dispatcher.Paths, relays dispatcher.Relays, budget *rationer.Rationer, log hclog.Logger) *dispatcher.Dispatcher {
	clock := sequoiasill.NewSystemClock()
	r := registrar.New(registrar.DefaultOptions(), 1)
	for i := range 3 {
		r.Announce(clock.Now(), sequoiasill.Replica{Name: fmt.Sprintf("r%d", i), Service: "plain", Address: "10.0.0.1:1", Slots: 4, Revision: 1})
	}
	d := dispatcher.New(dispatcher.DefaultOptions(), c, u, u, screeners, paths, relays, meter.New(), dispatcher.StateMachines{
		Registrar: r, Assigner: assigner.New(assigner.DefaultOptions(), 1), Allotter: allotter.New(allotter.Limits{Window: 1000}, 1, true),
		Admitter: admitter.New(admitter.DefaultOptions(), 1), Rationer: budget, Blamer: blamer.New(blamer.DefaultOptions()),
	}, clock, log)
	d.SetTraffic(traffic)
	return d
}

func call(path, key string) *sequoiasill.Call {
	now := sequoiasill.NewSystemClock().Now()
	return &sequoiasill.Call{ID: "1", Method: "POST", Target: path, Host: host, Key: key, ArrivedAt: now, Deadline: now + 1500}
}

func TestServe(t *testing.T) {
	good := step{status: 200, body: "good"}
	tests := map[string]struct {
		path, key string
		steps     []step
		want      reply
		sends     int
		usage     int
	}{
		"a good response":             {"/once/x", "key", []step{good}, reply{Status: 200, Body: "good", Ended: true}, 1, 1},
		"no route":                    {"/else/x", "key", nil, reply{Status: 404, Ended: true}, 0, 0},
		"unknown key":                 {"/once/x", "other", nil, reply{Status: 401, Ended: true}, 0, 0},
		"an error of the upstream":    {"/once/x", "key", []step{{status: 500, body: "bad"}}, reply{Status: 500, Body: "bad", Ended: true}, 1, 1},
		"a failure that was not sent": {"/once/x", "key", []step{{fail: true, verdict: sequoiasill.NotRun}, good}, reply{Status: 200, Body: "good", Ended: true}, 2, 1},
		"a lost response to what runs once may have run": {
			"/once/x", "key", []step{{fail: true, verdict: sequoiasill.MayHaveRun}, good}, reply{Status: 502, Ended: true}, 1, 1},
		"a lost response to what may be retried": {
			"/read/x", "key", []step{{fail: true, verdict: sequoiasill.MayHaveRun}, good}, reply{Status: 200, Body: "good", Ended: true}, 2, 1},
		"an error of what may be retried": {
			"/read/x", "key", []step{{status: 500, body: "bad"}, good}, reply{Status: 200, Body: "good", Ended: true}, 2, 1},
		"two errors of what may be retried": {
			"/read/x", "key", []step{{status: 500, body: "bad"}}, reply{Status: 500, Body: "bad", Ended: true}, 2, 1},
		"a refusal goes elsewhere": {
			"/once/x", "key", []step{{status: 503, refused: true}, good}, reply{Status: 200, Body: "good", Ended: true}, 2, 1},
		"refusals by all": {
			"/once/x", "key", []step{{status: 503, refused: true}}, reply{Status: 503, Ended: true, RetryAfter: 250}, 3, 0},
		"a refusal that does not say that the call did not run": {
			"/once/x", "key", []step{{status: 503, body: "busy"}, good}, reply{Status: 502, Ended: true}, 1, 1},
		"the same with a status that is no error of the upstream": {
			"/once/x", "key", []step{{status: 429, body: "busy"}, good}, reply{Status: 502, Ended: true}, 1, 1},
		"the same of what may be retried": {
			"/read/x", "key", []step{{status: 503, body: "busy"}, good}, reply{Status: 200, Body: "good", Ended: true}, 2, 1},
		"a forged success of what runs once": {
			"/once/x", "key", []step{{status: 200, body: "forged", forged: true}, good}, reply{Status: 502, Ended: true}, 1, 1},
		"a truncated response": {
			"/once/x", "key", []step{{status: 200, body: "half", broken: true}, good}, reply{Status: 502, Ended: true}, 1, 1},
		"a stream": {
			"/long/x", "key", []step{{status: 200, events: true, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"}},
			reply{Status: 200, Body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Ended: true}, 1, 1},
		"a stream that broke off is cut": {
			"/long/x", "key", []step{{status: 200, events: true, body: "id: 1\ndata: a\n\nid: 2\nda", broken: true}},
			reply{Status: 200, Body: "id: 1\ndata: a\n\n", WasCut: true}, 1, 1},
		"a stream that broke off is resumed elsewhere": {
			"/quick/x", "key", []step{
				{status: 200, events: true, body: "id: 1\ndata: a\n\nid: 2\nda", broken: true},
				{status: 200, events: true, body: "id: 2\ndata: b\n\n"}},
			reply{Status: 200, Body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Ended: true}, 2, 1},
		"a stream that ends inside an event is cut": {
			"/long/x", "key", []step{{status: 200, events: true, untilClose: true, body: "id: 1\ndata: a\n\nid: 2\nda"}},
			reply{Status: 200, Body: "id: 1\ndata: a\n\n", WasCut: true}, 1, 1},
		"a stream that ends inside an event is resumed elsewhere": {
			"/quick/x", "key", []step{
				{status: 200, events: true, untilClose: true, body: "id: 1\ndata: a\n\nid: 2\nda"},
				{status: 200, events: true, untilClose: true, body: "id: 2\ndata: b\n\n"}},
			reply{Status: 200, Body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Ended: true}, 2, 1},
		"a stream that ends with its upstream is cut": {
			"/long/x", "key", []step{{status: 200, events: true, untilClose: true, gone: true, body: "id: 1\ndata: a\n\n"}},
			reply{Status: 200, Body: "id: 1\ndata: a\n\n", WasCut: true}, 1, 1},
		"a stream that ends with its upstream is resumed elsewhere": {
			"/quick/x", "key", []step{
				{status: 200, events: true, untilClose: true, gone: true, body: "id: 1\ndata: a\n\n"},
				{status: 200, events: true, untilClose: true, body: "id: 2\ndata: b\n\n"}},
			reply{Status: 200, Body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Ended: true}, 2, 1},
		"a stream that its upstream ends in chunks before it is gone": {
			"/long/x", "key", []step{{status: 200, events: true, gone: true, body: "id: 1\ndata: a\n\n"}},
			reply{Status: 200, Body: "id: 1\ndata: a\n\n", Ended: true}, 1, 1},
		"a response without framing that ends with its upstream": {
			"/once/x", "key", []step{{status: 200, untilClose: true, gone: true, body: "ha"}, good}, reply{Status: 502, Ended: true}, 1, 1},
		"a response without framing that ends with its upstream, of what may be retried": {
			"/read/x", "key", []step{{status: 200, untilClose: true, gone: true, body: "ha"}, good}, reply{Status: 200, Body: "good", Ended: true}, 2, 1},
		"a response without framing": {
			"/once/x", "key", []step{{status: 200, untilClose: true, body: "good"}}, reply{Status: 200, Body: "good", Ended: true}, 1, 1},
		"a stream that ends with its connection before its first event": {
			"/long/x", "key", []step{{status: 200, events: true, untilClose: true}}, reply{Status: 502, Ended: true}, 1, 0},
		"a stream that is resumed after its last event": {
			"/quick/x", "key", []step{
				{status: 200, events: true, untilClose: true, body: "id: 1\ndata: a\n\n", broken: true},
				{status: 200, events: true, untilClose: true}},
			reply{Status: 200, Body: "id: 1\ndata: a\n\n", Ended: true}, 2, 1},
		"a stream that is resumed after its last event and ends with its upstream": {
			"/quick/x", "key", []step{
				{status: 200, events: true, untilClose: true, body: "id: 1\ndata: a\n\n", broken: true},
				{status: 200, events: true, untilClose: true, gone: true}},
			reply{Status: 200, Body: "id: 1\ndata: a\n\n", WasCut: true}, 2, 1},
		"a stream without an event that ends as its framing says": {
			"/long/x", "key", []step{{status: 200, events: true}}, reply{Status: 200, Ended: true}, 1, 1},
		"a resumed stream that starts over is cut": {
			"/quick/x", "key", []step{
				{status: 200, events: true, body: "id: 1\ndata: a\n\n", broken: true},
				{status: 200, events: true, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"}},
			reply{Status: 200, Body: "id: 1\ndata: a\n\n", WasCut: true}, 2, 1},
		"a resumed stream that skips an event is cut": {
			"/quick/x", "key", []step{
				{status: 200, events: true, body: "id: 1\ndata: a\n\n", broken: true},
				{status: 200, events: true, body: "id: 3\ndata: c\n\n"}},
			reply{Status: 200, Body: "id: 1\ndata: a\n\n", WasCut: true}, 2, 1},
		"a resumed stream with an event before its first ID": {
			"/quick/x", "key", []step{
				{status: 200, events: true, body: "id: 1\ndata: a\n\n", broken: true},
				{status: 200, events: true, body: ": ping\n\nid: 2\ndata: b\n\n"}},
			reply{Status: 200, Body: "id: 1\ndata: a\n\n: ping\n\nid: 2\ndata: b\n\n", Ended: true}, 2, 1},
		"an error of the upstream that should resume a stream": {
			"/quick/x", "key", []step{
				{status: 200, events: true, body: "id: 1\ndata: a\n\n", broken: true},
				{status: 500, body: "failed"}},
			reply{Status: 200, Body: "id: 1\ndata: a\n\n", WasCut: true}, 2, 1},
		"the same as events": {
			"/quick/x", "key", []step{
				{status: 200, events: true, body: "id: 1\ndata: a\n\n", broken: true},
				{status: 500, events: true, body: "data: failed\n\n"}},
			reply{Status: 200, Body: "id: 1\ndata: a\n\n", WasCut: true}, 2, 1},
		"a forged stream of the upstream that should resume": {
			"/quick/x", "key", []step{
				{status: 200, events: true, body: "id: 1\ndata: a\n\n", broken: true},
				{status: 200, events: true, forged: true, body: "id: 2\ndata: b\n\n"}},
			reply{Status: 200, Body: "id: 1\ndata: a\n\n", WasCut: true}, 2, 1},
		"a stream that is not resumed is cut": {
			"/quick/x", "key", []step{
				{status: 200, events: true, body: "id: 1\ndata: a\n\n", broken: true},
				{status: 200, body: "whole"}},
			reply{Status: 200, Body: "id: 1\ndata: a\n\n", WasCut: true}, 2, 1},
		"no response to what may be retried": {
			"/read/x", "key", []step{{hang: true}, good}, reply{Status: 200, Body: "good", Ended: true}, 2, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c, u := &fakeTransport{steps: tc.steps}, &fakePeers{usageCounts: make(map[string]int)}
			d := newDispatcher(t, c, u)
			var got reply
			d.Serve(context.Background(), call(tc.path, tc.key), &got)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.sends, len(c.attempts)); diff != "" {
				t.Errorf("sends (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.usage, u.usageCounts["small"]); diff != "" {
				t.Errorf("usage (-want +got):\n%s", diff)
			}
			seen := make(map[string]bool)
			for _, a := range c.attempts {
				if seen[a.Replica.Name] {
					t.Errorf("upstream %s had the call twice", a.Replica.Name)
				}
				seen[a.Replica.Name] = true
			}
		})
	}
}

func TestResumeSendsTheLastCompleteEvent(t *testing.T) {
	c := &fakeTransport{steps: []step{
		{status: 200, events: true, body: "id: 7\ndata: a\n\nid: 8\nda", broken: true},
		{status: 200, events: true, body: "id: 8\ndata: b\n\n"},
	}}
	newDispatcher(t, c, &fakePeers{usageCounts: make(map[string]int)}).Serve(context.Background(), call("/quick/x", "key"), &reply{})
	if diff := cmp.Diff("7", c.attempts[1].ResumeAfter); diff != "" {
		t.Errorf("event to resume after (-want +got):\n%s", diff)
	}
}

func TestTimeoutIsAnsweredAtOnce(t *testing.T) {
	d := newDispatcher(t, &fakeTransport{steps: []step{{hang: true}}}, &fakePeers{usageCounts: make(map[string]int)})
	cl := call("/once/x", "key")
	cl.Deadline = cl.ArrivedAt + 100
	var got reply
	start := time.Now()
	d.Serve(context.Background(), cl, &got)
	if diff := cmp.Diff(reply{Status: 504, Ended: true}, got); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("response after %s; the caller waits 100 ms", took)
	}
}

func TestCallerDisconnects(t *testing.T) {
	c := &fakeTransport{steps: []step{{hang: true}}}
	d := newDispatcher(t, c, &fakePeers{usageCounts: make(map[string]int)})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	var got reply
	d.Serve(ctx, call("/read/x", "key"), &got)
	if diff := cmp.Diff(reply{WasCut: true}, got); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(1, len(c.attempts)); diff != "" {
		t.Errorf("sends (-want +got):\n%s", diff)
	}
}

func TestQuota(t *testing.T) {
	d := newDispatcher(t, &fakeTransport{steps: []step{{status: 200}}}, &fakePeers{usageCounts: make(map[string]int)})
	var first, second reply
	d.Serve(context.Background(), call("/once/x", "spent"), &first)
	d.Serve(context.Background(), call("/once/x", "spent"), &second)
	if diff := cmp.Diff([]int{200, 429}, []int{first.Status, second.Status}); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
	if second.RetryAfter <= 0 {
		t.Error("the refusal has no delay before a retry")
	}
}

// A call that no upstream ran does not count towards the quota of its organisation.
func TestQuotaIsRefunded(t *testing.T) {
	c := &fakeTransport{steps: []step{{status: 503, refused: true}, {status: 503, refused: true}, {status: 503, refused: true}, {status: 200}}}
	d := newDispatcher(t, c, &fakePeers{usageCounts: make(map[string]int)})
	var first, second reply
	d.Serve(context.Background(), call("/once/x", "spent"), &first)
	d.Serve(context.Background(), call("/once/x", "spent"), &second)
	if diff := cmp.Diff([]int{503, 200}, []int{first.Status, second.Status}); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
}

func TestOlderTrafficIsIgnored(t *testing.T) {
	d := newDispatcher(t, &fakeTransport{}, &fakePeers{})
	newer, older := *traffic, *traffic
	newer.Version, older.Version = 9, 8
	if !d.SetTraffic(&newer) || d.SetTraffic(&older) {
		t.Error("newer rules were rejected or older ones accepted")
	}
	if diff := cmp.Diff(uint64(9), d.Traffic().Version); diff != "" {
		t.Errorf("version (-want +got):\n%s", diff)
	}
}

// A stream that arrives shortly before the entry shuts down is refused, so that it runs on
// another entry; otherwise it would be lost. Short calls are still served.
func TestStreamIsRefusedShortlyBeforeShutdown(t *testing.T) {
	d := newDispatcher(t, &fakeTransport{steps: []step{{status: 200, body: "good"}}}, &fakePeers{usageCounts: make(map[string]int)})
	shutDownIn(d, 1000)
	var stream, plain reply
	d.Serve(context.Background(), call("/long/x", "key"), &stream)
	d.Serve(context.Background(), call("/once/x", "key"), &plain)
	if diff := cmp.Diff([]int{503, 200}, []int{stream.Status, plain.Status}); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
}

func TestVerdict(t *testing.T) {
	tests := map[string]struct {
		err  error
		want sequoiasill.Verdict
	}{
		"with a verdict":    {fmt.Errorf("send: %w", sendError{v: sequoiasill.NotRun}), sequoiasill.NotRun},
		"without a verdict": {errors.New("reset"), sequoiasill.MayHaveRun},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, dispatcher.Verdict(tc.err)); diff != "" {
				t.Errorf("verdict (-want +got):\n%s", diff)
			}
		})
	}
}
