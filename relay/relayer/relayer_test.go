package relayer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/peerpicker"
	"sequoiasill.dev/sequoiasill/relay/dispatcher"
	"sequoiasill.dev/sequoiasill/relay/relayer"
	"sequoiasill.dev/sequoiasill/relay/relaypb"
)

// clock is shared by both ends, as clocks that are started apart may differ by a millisecond.
var clock = sequoiasill.NewSystemClock()

// fakeDispatcher serves calls with a function.
type fakeDispatcher struct {
	refusal *sequoiasill.Failure
	serve   func(ctx context.Context, call *sequoiasill.Call, runs int, reply dispatcher.RelayWriter)
}

func (d *fakeDispatcher) AcceptRelayed(string, uint64) *sequoiasill.Failure { return d.refusal }

func (d *fakeDispatcher) ServeRelayed(ctx context.Context, call *sequoiasill.Call, runs int, reply dispatcher.RelayWriter) {
	d.serve(ctx, call, runs, reply)
}

// peers has a single entry.
type peers struct{ address string }

func (p peers) WaysTo(string) []peerpicker.Peer {
	return []peerpicker.Peer{{Name: "e1", Address: p.address}}
}

func (p peers) NoneReaches(string) bool { return false }

// memory has room for everything.
type memory struct{}

func (memory) Hold(int64) (func(), bool) { return func() {}, true }

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func newClient(t *testing.T, address string) *relayer.Client {
	t.Helper()
	c := relayer.NewClient(peerpicker.New(peerpicker.DefaultOptions(), "a", 1), peers{address}, memory{}, clock, hclog.NewNullLogger())
	t.Cleanup(c.Close)
	return c
}

// send sends a call to the only entry.
func send(ctx context.Context, t *testing.T, c *relayer.Client) (*dispatcher.Response, error) {
	t.Helper()
	p, ok := c.Pick("model", nil)
	if !ok {
		t.Fatal("no entry to relay to")
	}
	now := clock.Now()
	return c.Send(ctx, p, dispatcher.RelayedCall{Service: "model", TrafficVersion: 3, Runs: 1, Call: &sequoiasill.Call{
		ID: "7", Method: "POST", Target: "/a/b?c=d", Host: "kiosk.example", Key: "key", Header: http.Header{"X-A": {"1", "2"}}, Body: []byte("body"),
		ArrivedAt: now - 100, Deadline: now + 5000, LastEvent: "4",
		Prompt: sequoiasill.Prompt{HasSizes: true, Model: "m", Tokens: 5, MaxOutput: 6, OutputHint: 7, Parts: []sequoiasill.PromptPart{{ID: 1 << 63, Tokens: 2}}},
	}})
}

func TestServesCallsOfOtherEntries(t *testing.T) {
	large := strings.Repeat("x", 700<<10)
	tests := map[string]struct {
		refusal *sequoiasill.Failure
		serve   func(ctx context.Context, call *sequoiasill.Call, runs int, reply dispatcher.RelayWriter)
		body    string
		bodyErr error
		runs    int
		// arrivals is the number that a refusal tells.
		arrivals int
		verdict  sequoiasill.Verdict // of an error
		code     sequoiasill.Code    // of a refusal
		failed   bool
	}{
		"a whole response": {serve: func(_ context.Context, _ *sequoiasill.Call, _ int, reply dispatcher.RelayWriter) {
			reply.SetCounts(2, 1)
			_ = reply.SendWhole(200, http.Header{"Signature": {"s"}}, []byte("good"))
		}, body: "good", runs: 2},
		"an empty response": {serve: func(_ context.Context, _ *sequoiasill.Call, _ int, reply dispatcher.RelayWriter) {
			_ = reply.SendWhole(200, http.Header{"Signature": {"s"}}, nil)
		}},
		"a large response": {serve: func(_ context.Context, _ *sequoiasill.Call, _ int, reply dispatcher.RelayWriter) {
			_ = reply.SendWhole(200, http.Header{"Signature": {"s"}}, []byte(large))
		}, body: large},
		"a stream": {serve: func(_ context.Context, _ *sequoiasill.Call, _ int, reply dispatcher.RelayWriter) {
			_ = reply.Begin(200, http.Header{"Signature": {"s"}})
			_ = reply.Write([]byte("id: 1\n\n"))
			_ = reply.Write([]byte("id: 2\n\n"))
			reply.SetCounts(3, 1)
			_ = reply.End()
		}, body: "id: 1\n\nid: 2\n\n", runs: 3},
		"a stream that breaks off": {serve: func(_ context.Context, _ *sequoiasill.Call, _ int, reply dispatcher.RelayWriter) {
			_ = reply.Begin(200, http.Header{"Signature": {"s"}})
			_ = reply.Write([]byte("id: 1\n\n"))
			reply.SetCounts(2, 1)
			reply.Abort()
		}, body: "id: 1\n\n", bodyErr: io.ErrUnexpectedEOF, runs: 2},
		"a refused offer": {refusal: sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeLeaving, 503, "leaving"),
			verdict: sequoiasill.NotRun, code: sequoiasill.CodeLeaving, failed: true},
		"a call that may have run": {serve: func(_ context.Context, _ *sequoiasill.Call, _ int, reply dispatcher.RelayWriter) {
			reply.SetCounts(2, 3)
			reply.Refuse(sequoiasill.NewFailure(sequoiasill.MayHaveRun, sequoiasill.CodeUpstreamFailed, 502, "lost"))
		}, runs: 2, arrivals: 3, verdict: sequoiasill.MayHaveRun, code: sequoiasill.CodeUpstreamFailed, failed: true},
		"a call that panics": {serve: func(context.Context, *sequoiasill.Call, int, dispatcher.RelayWriter) {
			panic("out of range")
		}, runs: 2, verdict: sequoiasill.MayHaveRun, code: sequoiasill.CodeOutcomeUnknown, failed: true},
		"a stream that panics": {serve: func(_ context.Context, _ *sequoiasill.Call, _ int, reply dispatcher.RelayWriter) {
			_ = reply.Begin(200, http.Header{"Signature": {"s"}})
			reply.SetCounts(2, 1)
			panic("out of range")
		}, bodyErr: io.ErrUnexpectedEOF, runs: 2},
		"a call without a response": {serve: func(_ context.Context, _ *sequoiasill.Call, _ int, reply dispatcher.RelayWriter) {
			reply.Abort()
		}, verdict: sequoiasill.MayHaveRun, failed: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := listen(t)
			s := relayer.NewServer(l, &fakeDispatcher{refusal: tc.refusal, serve: tc.serve}, memory{}, clock, hclog.NewNullLogger())
			t.Cleanup(s.Close)
			r, err := send(context.Background(), t, newClient(t, l.Addr().String()))
			if tc.failed {
				var refusal *dispatcher.RefusalError
				code, counts := sequoiasill.Code(""), [2]int{}
				if errors.As(err, &refusal) {
					code, counts = refusal.Failure.Code, [2]int{refusal.Runs, refusal.Arrivals}
				}
				if diff := cmp.Diff([]any{tc.verdict.String(), tc.code, [2]int{tc.runs, tc.arrivals}}, []any{dispatcher.Verdict(err).String(), code, counts}); diff != "" {
					t.Errorf("verdict, code, runs and arrivals of %v (-want +got):\n%s", err, diff)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			defer r.Close(true)
			body, err := io.ReadAll(r.Body)
			if tc.bodyErr != nil && err == nil || tc.bodyErr == nil && err != nil {
				t.Errorf("error of the body is %v, %v is wanted", err, tc.bodyErr)
			}
			if diff := cmp.Diff([]any{200, "s", tc.body, tc.runs}, []any{r.Status, r.Header.Get("Signature"), string(body), r.Runs()}); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
		})
	}
}

// A call reaches the other entry as its caller sent it.
func TestCallArrivesUnchanged(t *testing.T) {
	var got *sequoiasill.Call
	runs := 0
	l := listen(t)
	s := relayer.NewServer(l, &fakeDispatcher{serve: func(_ context.Context, call *sequoiasill.Call, n int, reply dispatcher.RelayWriter) {
		got, runs = call, n
		_ = reply.SendWhole(200, nil, nil)
	}}, memory{}, clock, hclog.NewNullLogger())
	t.Cleanup(s.Close)
	before := clock.Now()
	r, err := send(context.Background(), t, newClient(t, l.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	r.Close(true)
	if elapsed, remaining := before-got.ArrivedAt, got.Deadline-before; elapsed < 0 || elapsed > 100 || remaining < 4900 || remaining > 5300 {
		t.Errorf("arrived %d ms ago, %d ms are left", elapsed, remaining)
	}
	got.ArrivedAt, got.Deadline = 0, 0
	want := &sequoiasill.Call{
		ID: "7", Method: "POST", Target: "/a/b?c=d", Host: "kiosk.example", Key: "key", Header: http.Header{"X-A": {"1", "2"}}, Body: []byte("body"), LastEvent: "4",
		Prompt: sequoiasill.Prompt{HasSizes: true, Model: "m", Tokens: 5, MaxOutput: 6, OutputHint: 7, Parts: []sequoiasill.PromptPart{{ID: 1 << 63, Tokens: 2}}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("call (-want +got):\n%s", diff)
	}
	if runs != 1 {
		t.Errorf("%d runs before, 1 is wanted", runs)
	}
}

// An entry that is suspended accepts no offer. The call is known not to have run there, soon enough
// to go elsewhere.
func TestSuspendedEntryGetsNoCall(t *testing.T) {
	l := listen(t)
	t.Cleanup(func() { _ = l.Close() })
	c := newClient(t, l.Addr().String())
	began := time.Now()
	_, err := send(context.Background(), t, c)
	if err == nil || dispatcher.Verdict(err) != sequoiasill.NotRun {
		t.Errorf("error is %v with verdict %s", err, dispatcher.Verdict(err))
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("it took %s to find out", took)
	}
	if _, ok := c.Pick("model", nil); ok {
		t.Error("the entry is picked again at once")
	}
}

// A caller that leaves ends its call at the other entry.
func TestCallEndsWithItsCaller(t *testing.T) {
	ended := make(chan struct{})
	l := listen(t)
	s := relayer.NewServer(l, &fakeDispatcher{serve: func(ctx context.Context, _ *sequoiasill.Call, _ int, reply dispatcher.RelayWriter) {
		<-ctx.Done()
		reply.Abort()
		close(ended)
	}}, memory{}, clock, hclog.NewNullLogger())
	t.Cleanup(s.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if _, err := send(ctx, t, newClient(t, l.Addr().String())); dispatcher.Verdict(err) != sequoiasill.MayHaveRun {
		t.Errorf("error is %v with verdict %s", err, dispatcher.Verdict(err))
	}
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the call goes on")
	}
}

// A server that shuts down finishes the calls that it has accepted.
func TestShutdownFinishesCalls(t *testing.T) {
	started := make(chan struct{})
	l := listen(t)
	s := relayer.NewServer(l, &fakeDispatcher{serve: func(_ context.Context, _ *sequoiasill.Call, _ int, reply dispatcher.RelayWriter) {
		close(started)
		time.Sleep(200 * time.Millisecond)
		_ = reply.SendWhole(200, nil, []byte("good"))
	}}, memory{}, clock, hclog.NewNullLogger())
	go func() {
		<-started
		s.Shutdown(5 * sequoiasill.Second)
	}()
	r, err := send(context.Background(), t, newClient(t, l.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close(true)
	if body, err := io.ReadAll(r.Body); err != nil || string(body) != "good" {
		t.Errorf("body is %q, error %v", body, err)
	}
}

// olderServer accepts each call and refuses it then, without telling the arrivals.
type olderServer struct {
	relaypb.UnimplementedRelayServer

	refusesOffers bool
}

func (s olderServer) Serve(stream relaypb.Relay_ServeServer) error {
	refusal := &relaypb.ServeResponse{Part: &relaypb.ServeResponse_Refusal{Refusal: &relaypb.Refusal{Status: 503, Code: string(sequoiasill.CodeNoUpstream), Verdict: sequoiasill.NotRun.String()}}}
	if _, err := stream.Recv(); err != nil {
		return err
	}
	if s.refusesOffers {
		return stream.Send(refusal)
	}
	if err := stream.Send(&relaypb.ServeResponse{Part: &relaypb.ServeResponse_Accepted{Accepted: &relaypb.Accepted{}}}); err != nil {
		return err
	}
	if _, err := stream.Recv(); err != nil {
		return err
	}
	return stream.Send(refusal)
}

// Guards against BUDGET in an upgrade: upstreams may have rejected what an entry refuses that does not tell
// how many received it.
func TestRefusalOfAnOlderEntry(t *testing.T) {
	tests := map[string]struct {
		server   olderServer
		arrivals int
	}{
		"of a call":   {olderServer{}, 1},
		"of an offer": {olderServer{refusesOffers: true}, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l, s := listen(t), grpc.NewServer()
			relaypb.RegisterRelayServer(s, tc.server)
			go func() { _ = s.Serve(l) }()
			t.Cleanup(s.Stop)
			_, err := send(context.Background(), t, newClient(t, l.Addr().String()))
			var refusal *dispatcher.RefusalError
			if !errors.As(err, &refusal) {
				t.Fatalf("error is %v, a refusal is wanted", err)
			}
			if diff := cmp.Diff(tc.arrivals, refusal.Arrivals); diff != "" {
				t.Errorf("arrivals (-want +got):\n%s", diff)
			}
		})
	}
}
