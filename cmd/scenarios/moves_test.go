package scenarios

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/apiclient"
	"sequoiasill.dev/sequoiasill/cmd/internal/stacker"
	"sequoiasill.dev/sequoiasill/config/encoder"
	"sequoiasill.dev/sequoiasill/decide/mover"
	"sequoiasill.dev/sequoiasill/entry/server"
	"sequoiasill.dev/sequoiasill/standin/engine"
	"sequoiasill.dev/sequoiasill/standin/platform"
)

// moveDuration is the time from the start of a move to its deadline in tests.
const moveDuration = 24 * sequoiasill.Second

// startMoveStack runs a deployment with controllers, two versions of the engine
// and a move between them.
func startMoveStack(t *testing.T) *stacker.Stack {
	t.Helper()
	opts := mover.DefaultOptions()
	opts.MinRequests = 60
	s, err := stacker.New(stacker.Options{
		Entries: 3, Engines: 3, EnginePool: enginePool, Services: 1, ServicePool: servicePool, Slots: 64, Speed: fastSpeed,
		Seed: 1, Log: hclog.NewNullLogger(), Controllers: true, Mover: opts,
		EntryOptions: func(o *server.Options) {
			o.ListInterval = 100
			o.StoreTimeout = 500
			o.Buckets = 4
		},
	})
	if err != nil {
		t.Fatalf("stacker.New: %v", err)
	}
	t.Cleanup(s.Close)
	for i := range 2 {
		if _, err := s.AddEngine(fmt.Sprintf("new-%d", i+1), stacker.Zones[i], "v2"); err != nil {
			t.Fatalf("AddEngine: %v", err)
		}
	}
	cfg := stackConfig()
	now := sequoiasill.NewSystemClock().Now()
	cfg.Moves = []sequoiasill.Move{{Name: "m", Service: enginePool, From: "v1", To: "v2", Start: now, Deadline: now + moveDuration}}
	if _, err := s.Apply(cfg); err != nil {
		t.Fatalf("Apply: %v", err)
	}
	if err := s.AwaitReady(3); err != nil {
		t.Fatal(err)
	}
	awaitMembers(t, s, 3)
	return s
}

// newVersionEngines returns the engines of the new version.
func newVersionEngines(s *stacker.Stack) []*engine.Engine {
	var out []*engine.Engine
	for _, u := range s.Engines {
		if u.Instance.Version == "v2" {
			out = append(out, u.Engine)
		}
	}
	return out
}

// startTraffic sends requests from several callers until the returned function is called,
// which returns the number of failed requests.
func startTraffic(c *apiclient.Client) (stop func() int) {
	const callers = 16
	var failed atomic.Int64
	done := make(chan struct{})
	callerDone := make(chan struct{})
	for i := range callers {
		go func() {
			defer func() { callerDone <- struct{}{} }()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				response, err := c.Complete(apiclient.CompletionRequest(enginePool, fmt.Sprint(i, n), 4, false), nil)
				if err != nil || response.Status != http.StatusOK {
					failed.Add(1)
				}
			}
		}()
	}
	return func() int {
		close(done)
		for range callers {
			<-callerDone
		}
		return int(failed.Load())
	}
}

// stopLeaseHolder waits until a controller other than that of the previous entry holds the
// move's lease, stops it and returns the name of its entry.
func stopLeaseHolder(t *testing.T, s *stacker.Stack, previous string) string {
	t.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
		o, err := s.Store.Get(encoder.LeasePrefix + "move-m")
		if err != nil {
			continue
		}
		l, err := encoder.DecodeLease(o.Value)
		if err != nil || l.Length == 0 || l.Holder == previous {
			continue
		}
		for _, e := range s.Entries {
			if e.Name == l.Holder {
				e.Controller.Close()
				return e.Name
			}
		}
	}
	t.Fatal("no controller holds the move's lease")
	return ""
}

// awaitOutcome waits until the outcome of the move is recorded in the store.
func awaitOutcome(t *testing.T, s *stacker.Stack, timeout time.Duration) sequoiasill.MoveStatus {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if o, err := s.Store.Get(encoder.StatusPrefix + "m"); err == nil {
			status, err := encoder.DecodeStatus(o.Value)
			if err == nil && status.End != sequoiasill.MoveOpen {
				return status
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("the move has no outcome after %s", timeout)
	return sequoiasill.MoveStatus{}
}

// TestGoodMoveIsDone guards against a move that stops with its controller: it stops the
// lease holder twice, and each time another controller must continue the move.
func TestGoodMoveIsDone(t *testing.T) {
	s := startMoveStack(t)
	stop := startTraffic(newClient(s))
	first := stopLeaseHolder(t, s, "")
	second := stopLeaseHolder(t, s, first)
	t.Logf("controllers of %s and %s ended", first, second)
	status := awaitOutcome(t, s, moveDuration.Duration()+10*time.Second)
	if failed := stop(); failed > 0 {
		t.Errorf("%d requests failed", failed)
	}
	if status.End != sequoiasill.MoveDone {
		t.Errorf("end %s: %s, want done", status.End, status.Reason)
	}
}

// TestBadMoveIsRolledBack lets the new version fail while the store is unavailable, so
// that only the entries' own detection (the brake) can stop its traffic. The outcome is
// recorded once the store is available again.
func TestBadMoveIsRolledBack(t *testing.T) {
	s := startMoveStack(t)
	stop := startTraffic(newClient(s))
	deadline := time.Now().Add(awaitTimeout)
	for requestCount(newVersionEngines(s)) < 20 {
		if time.Now().After(deadline) {
			t.Fatal("the new version gets no traffic")
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.Platform.SetFaults(platform.Faults{Down: true})
	for _, e := range newVersionEngines(s) {
		e.SetFaults(engine.Faults{FailPerThousand: 1000})
	}
	time.Sleep(4 * time.Second)
	before := requestCount(newVersionEngines(s))
	time.Sleep(2 * time.Second)
	if got := requestCount(newVersionEngines(s)) - before; got > 0 {
		t.Errorf("the new version got %d requests although the entries have stopped its traffic", got)
	}
	s.Platform.SetFaults(platform.Faults{})
	status := awaitOutcome(t, s, 30*time.Second)
	if status.End != sequoiasill.MoveRolledBack {
		t.Errorf("end %s: %s, want takenBack", status.End, status.Reason)
	}
	if failed := stop(); failed > 0 {
		t.Errorf("%d requests failed although they could be retried", failed)
	}
	t.Logf("rolled back: %s", status.Reason)
}

func requestCount(engines []*engine.Engine) int {
	n := 0
	for _, e := range engines {
		n += e.Counts().Requests
	}
	return n
}
