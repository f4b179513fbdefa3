package scenarios

import (
	"syscall"
	"testing"
	"time"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/stacker"
	"sequoiasill.dev/sequoiasill/entry/server"
	"sequoiasill.dev/sequoiasill/standin/engine"
	"sequoiasill.dev/sequoiasill/standin/platform"
)

// TestSigtermUnderLoad stops a router process that has many requests in progress. It must
// truncate none and exit with status 0.
func TestSigtermUnderLoad(t *testing.T) {
	p := startProcessStack(t)
	l := startLoad(p.client, 50, 120)
	time.Sleep(400 * time.Millisecond)
	if err := p.router.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatalf("signal: %v", err)
	}
	l.check(t)
	if err := p.router.Wait(); err != nil {
		t.Errorf("the router exited with %v", err)
	}
}

// TestLeavingUpstreamGetsNoNewWork starts the draining of an upstream, which entries can
// learn from one source only, while the store is unavailable. Three seconds later no entry
// may send it new requests.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	announce := func(s *stacker.Stack, u *stacker.Upstream) {
		s.Platform.AnnounceStop(u.Instance.Name, sequoiasill.Minute)
	}
	tests := map[string]struct {
		options       func(*server.Options)
		startDraining func(*stacker.Stack, *stacker.Upstream)
	}{
		"list": {options: func(*server.Options) {}, startDraining: announce},
		"gossip from one entry": {
			options: func(o *server.Options) {
				if o.Name != "entry-1" {
					o.ListInterval = sequoiasill.Hour
				}
			},
			startDraining: announce,
		},
		"refusal": {options: func(*server.Options) {}, startDraining: func(_ *stacker.Stack, u *stacker.Upstream) {
			u.Engine.SetFaults(engine.Faults{Refuse: true})
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := startStackWith(t, 3, 4, 0, 1, tc.options)
			stop := startTraffic(newClient(s))
			up := awaitBusy(t, s)
			s.Platform.SetFaults(platform.Faults{Down: true})
			tc.startDraining(s, up)
			time.Sleep(3 * time.Second)
			before := up.Engine.Counts().Requests
			time.Sleep(time.Second)
			if got := up.Engine.Counts().Requests - before; got > 0 {
				t.Errorf("%d new requests after 3 s", got)
			}
			if failed := stop(); failed > 0 {
				t.Errorf("%d requests failed", failed)
			}
		})
	}
}

// awaitBusy waits until an upstream has received a number of requests and returns it.
func awaitBusy(t *testing.T, s *stacker.Stack) *stacker.Upstream {
	t.Helper()
	const steady = 50
	deadline := time.Now().Add(awaitTimeout)
	for time.Now().Before(deadline) {
		for _, u := range s.Engines {
			if u.Engine.Counts().Requests >= steady {
				return u
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("no upstream receives enough requests")
	return nil
}
