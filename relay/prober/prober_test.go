package prober_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/pathmonitor"
	"sequoiasill.dev/sequoiasill/relay/meter"
	"sequoiasill.dev/sequoiasill/relay/prober"
)

// fakeConnector answers probes while it is not cut off.
type fakeConnector struct {
	mu  sync.Mutex
	cut bool
}

func (c *fakeConnector) set(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

func (c *fakeConnector) Probe(context.Context, string, string, string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut {
		return errors.New("connection refused")
	}
	return nil
}

// A failed connect is followed by probes, which tell a lost path from an upstream that is down, and
// when the path is back.
func TestProbesFollowFailures(t *testing.T) {
	c := &fakeConnector{}
	p := prober.New(pathmonitor.New(pathmonitor.DefaultOptions(), 1), c, func(string) []prober.Target {
		return []prober.Target{{Upstream: "i-1", Address: "10.0.0.1:1", Path: "/"}, {Upstream: "i-2", Address: "10.0.0.2:1", Path: "/"}}
	}, meter.New(), sequoiasill.NewSystemClock(), hclog.NewNullLogger())
	t.Cleanup(p.Close)
	var mu sync.Mutex
	var got []string
	p.Observe(func(c pathmonitor.Transition) {
		mu.Lock()
		defer mu.Unlock()
		got = append(got, c.Service+" "+c.To.String())
	})
	awaitState := func(want pathmonitor.State) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); p.State("model") != want; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("state is %s, %s is wanted", p.State("model"), want)
			}
		}
	}
	p.Failed("model")
	awaitState(pathmonitor.Reachable)
	c.set(true)
	p.Failed("model")
	awaitState(pathmonitor.Unreachable)
	if diff := cmp.Diff([]string{"model"}, p.Unreachable()); diff != "" {
		t.Errorf("unreachable services (-want +got):\n%s", diff)
	}
	c.set(false)
	awaitState(pathmonitor.Reachable)
	mu.Lock()
	defer mu.Unlock()
	want := []string{"model inDoubt", "model reachable", "model inDoubt", "model unreachable", "model reachable"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}
