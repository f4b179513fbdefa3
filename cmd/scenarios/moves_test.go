package scenarios

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/asker"
	"sequoiasill.dev/sequoiasill/cmd/internal/stacker"
	"sequoiasill.dev/sequoiasill/config/encoder"
	"sequoiasill.dev/sequoiasill/decide/mover"
	"sequoiasill.dev/sequoiasill/entry/server"
	"sequoiasill.dev/sequoiasill/standin/engine"
	"sequoiasill.dev/sequoiasill/standin/platform"
)

// moveSpan is the time from the start of a move to its deadline in tests.
const moveSpan = 24 * sequoiasill.Second

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
			o.ListEvery = 100
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
	cfg.Moves = []sequoiasill.Move{{Name: "m", Service: enginePool, From: "v1", To: "v2", Start: now, Deadline: now + moveSpan}}
	if _, err := s.Apply(cfg); err != nil {
		t.Fatalf("Apply: %v", err)
	}
	if err := s.AwaitReady(3); err != nil {
		t.Fatal(err)
	}
	awaitMembers(t, s, 3)
	return s
}

// newVersion returns the engines of the new version.
func newVersion(s *stacker.Stack) []*engine.Engine {
	var out []*engine.Engine
	for _, u := range s.Engines {
		if u.Instance.Version == "v2" {
			out = append(out, u.Engine)
		}
	}
	return out
}

// traffic asks until the returned function is called, which returns how many
// requests failed.
func traffic(a *asker.Asker) (stop func() int) {
	const askers = 16
	var failed atomic.Int64
	done := make(chan struct{})
	ended := make(chan struct{})
	for i := range askers {
		go func() {
			defer func() { ended <- struct{}{} }()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				answer, err := a.Complete(asker.Prompt(enginePool, fmt.Sprint(i, n), 4, false), nil)
				if err != nil || answer.Status != http.StatusOK {
					failed.Add(1)
				}
			}
		}()
	}
	return func() int {
		close(done)
		for range askers {
			<-ended
		}
		return int(failed.Load())
	}
}

// endHolder ends the controller that holds the move's lease, once it is another
// one than before, and returns the entry that it stands beside.
func endHolder(t *testing.T, s *stacker.Stack, before string) string {
	t.Helper()
	late := time.Now().Add(awaitSpan)
	for time.Now().Before(late) {
		time.Sleep(100 * time.Millisecond)
		o, err := s.Store.Get(encoder.LeasePrefix + "move-m")
		if err != nil {
			continue
		}
		l, err := encoder.DecodeLease(o.Value)
		if err != nil || l.Length == 0 || l.Holder == before {
			continue
		}
		for _, e := range s.Entries {
			if e.Name == l.Holder {
				e.Control.Close()
				return e.Name
			}
		}
	}
	t.Fatal("no controller holds the move's lease")
	return ""
}

// awaitEnd waits for the recorded end of the move.
func awaitEnd(t *testing.T, s *stacker.Stack, within time.Duration) sequoiasill.MoveStatus {
	t.Helper()
	late := time.Now().Add(within)
	for time.Now().Before(late) {
		if o, err := s.Store.Get(encoder.StatusPrefix + "m"); err == nil {
			status, err := encoder.DecodeStatus(o.Value)
			if err == nil && status.End != sequoiasill.MoveOpen {
				return status
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("the move has no end after %s", within)
	return sequoiasill.MoveStatus{}
}

// TestGoodMoveIsDone ends the controller that holds the move's lease, twice. The
// next one goes on, and the move is done.
func TestGoodMoveIsDone(t *testing.T) {
	s := startMoveStack(t)
	stop := traffic(newAsker(s))
	first := endHolder(t, s, "")
	second := endHolder(t, s, first)
	t.Logf("controllers of %s and %s ended", first, second)
	status := awaitEnd(t, s, moveSpan.Duration()+10*time.Second)
	if failed := stop(); failed > 0 {
		t.Errorf("%d requests failed", failed)
	}
	if status.End != sequoiasill.MoveDone {
		t.Errorf("end %s: %s, want done", status.End, status.Reason)
	}
}

// TestBadMoveIsTakenBack has the new version fail with the store down, so that
// only the entries' own brake can stop its traffic; the end is written when the
// store is back.
func TestBadMoveIsTakenBack(t *testing.T) {
	s := startMoveStack(t)
	stop := traffic(newAsker(s))
	late := time.Now().Add(awaitSpan)
	for requests(newVersion(s)) < 20 {
		if time.Now().After(late) {
			t.Fatal("the new version gets no traffic")
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.Platform.SetFaults(platform.Faults{Down: true})
	for _, e := range newVersion(s) {
		e.SetFaults(engine.Faults{FailPerThousand: 1000})
	}
	time.Sleep(4 * time.Second)
	before := requests(newVersion(s))
	time.Sleep(2 * time.Second)
	if got := requests(newVersion(s)) - before; got > 0 {
		t.Errorf("the new version got %d requests although it is braked", got)
	}
	s.Platform.SetFaults(platform.Faults{})
	status := awaitEnd(t, s, 30*time.Second)
	if status.End != sequoiasill.MoveRolledBack {
		t.Errorf("end %s: %s, want takenBack", status.End, status.Reason)
	}
	if failed := stop(); failed > 0 {
		t.Errorf("%d requests failed although they could be repeated", failed)
	}
	t.Logf("taken back: %s", status.Reason)
}

func requests(engines []*engine.Engine) int {
	n := 0
	for _, e := range engines {
		n += e.Counts().Requests
	}
	return n
}
