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

// frozen is a courier to upstreams that stand still until they are thawed, and answer
// nothing in time then either.
type frozen struct {
	mu      sync.Mutex
	thawed  bool
	waiting []string // calls that came while they stood still
	history *auditor.Auditor
	clock   sequoiasill.Clock
}

func (f *frozen) Send(ctx context.Context, a dispatcher.Attempt) (*dispatcher.Answer, error) {
	f.mu.Lock()
	if f.thawed {
		f.history.Arrived(f.clock.Now(), "plain", a.Call.ID)
	} else {
		f.waiting = append(f.waiting, a.Call.ID)
	}
	f.mu.Unlock()
	<-ctx.Done()
	return nil, sendError{sequoiasill.MayHaveRun}
}

func (f *frozen) thaw() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.thawed = true
	for _, id := range f.waiting {
		f.history.Arrived(f.clock.Now(), "plain", id)
	}
}

// Upstreams stand still for two windows; what was sent meanwhile comes to them at once.
func TestLateArrivalsStayWithinTheBoundOnRepeats(t *testing.T) {
	bound := rationer.Limits{Ratio: 0.2, Slack: 20, Window: sequoiasill.Second}
	clock := sequoiasill.NewSystemClock()
	f := &frozen{history: auditor.New(), clock: clock}
	d := newDispatcherWith(f, &usage{began: make(map[string]int)}, rationer.New(bound, 1), hclog.NewNullLogger())
	const pace = 5 * time.Millisecond
	calls := int(3 * bound.Window.Duration() / pace)
	tick := time.NewTicker(pace)
	defer tick.Stop()
	var done sync.WaitGroup
	for i := range calls {
		<-tick.C
		if i == calls*2/3 {
			f.thaw()
		}
		c := call("/read/x", "key")
		c.ID = strconv.Itoa(i)
		f.mu.Lock()
		f.history.Requested(clock.Now(), "plain")
		f.mu.Unlock()
		done.Go(func() { d.Serve(context.Background(), c, &reply{}) })
	}
	done.Wait()
	if f.history.Repeats() == 0 {
		t.Error("no call was repeated")
	}
	for _, w := range f.history.Worst(bound) {
		if w.Used() > 1 {
			t.Errorf("%d repeats in a window of %d calls, %.0f are allowed", w.Repeats, w.Requests, w.Allowed)
		}
	}
}
