package dispatcher_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/auditor"
	"sequoiasill.dev/sequoiasill/decide/rationer"
	"sequoiasill.dev/sequoiasill/relay/dispatcher"
)

// stalledTransport sends to upstreams that stall until they resume. They receive calls late
// then, but never respond in time.
type stalledTransport struct {
	mu      sync.Mutex
	resumed bool
	waiting []string // calls that were sent during the stall
	history *auditor.Auditor
	clock   sequoiasill.Clock
}

func (*stalledTransport) Outlived(context.Context, sequoiasill.Replica) error { return nil }

func (f *stalledTransport) Send(ctx context.Context, a dispatcher.Attempt) (*dispatcher.Response, error) {
	f.mu.Lock()
	if f.resumed {
		f.history.RecordArrival(f.clock.Now(), "plain", a.Call.ID)
	} else {
		f.waiting = append(f.waiting, a.Call.ID)
	}
	f.mu.Unlock()
	<-ctx.Done()
	return nil, sendError{v: sequoiasill.MayHaveRun}
}

func (f *stalledTransport) resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resumed = true
	for _, id := range f.waiting {
		f.history.RecordArrival(f.clock.Now(), "plain", id)
	}
}

// Upstreams stall for two windows and then receive all calls of that time at once. The retries
// among these must stay within the bound.
func TestLateArrivalsStayWithinTheRetryBound(t *testing.T) {
	bound := rationer.Limits{Ratio: 0.2, Slack: 20, Window: sequoiasill.Second}
	clock := sequoiasill.NewSystemClock()
	f := &stalledTransport{history: auditor.New(), clock: clock}
	d := newDispatcherWith(f, &fakePeers{usageCounts: make(map[string]int)}, rationer.New(bound, 1), hclog.NewNullLogger())
	const interval = 5 * time.Millisecond
	calls := int(3 * bound.Window.Duration() / interval)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var done sync.WaitGroup
	for i := range calls {
		<-tick.C
		if i == calls*2/3 {
			f.resume()
		}
		c := call("/read/x", "key")
		c.ID = strconv.Itoa(i)
		f.mu.Lock()
		f.history.RecordRequest(clock.Now(), "plain")
		f.mu.Unlock()
		done.Go(func() { d.Serve(context.Background(), c, &reply{}) })
	}
	done.Wait()
	if f.history.Repeats() == 0 {
		t.Error("no call was retried")
	}
	for _, w := range f.history.WorstWindows(bound) {
		if w.Used() > 1 {
			t.Errorf("%d retries in a window of %d calls, %.0f are allowed", w.Repeats, w.Requests, w.Allowed)
		}
	}
}
