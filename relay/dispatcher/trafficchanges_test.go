package dispatcher_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

// Guards against calls that fail without an answer as their route, service or organisation changes
// under them.
func TestTrafficChangesUnderCalls(t *testing.T) {
	const calls = 60
	c := &fakeTransport{steps: []step{{status: 503, refused: true, delay: 20}, {status: 200, delay: 30, body: "b"}}}
	d := newDispatcher(t, c, &fakePeers{usageCounts: make(map[string]int)})
	changes := []func(*sequoiasill.Traffic){
		func(n *sequoiasill.Traffic) { n.Routes = nil },
		func(n *sequoiasill.Traffic) { n.Services = nil },
		func(n *sequoiasill.Traffic) { n.Accounts = nil },
		func(n *sequoiasill.Traffic) {
			n.Routes = []sequoiasill.TrafficRoute{{Name: "once", Host: host, Prefix: "/", Timeout: 2000, MaxAttempts: 1}}
		},
		func(n *sequoiasill.Traffic) {
			n.Routes = []sequoiasill.TrafficRoute{{Name: "once", Host: host, Prefix: "/", Targets: []sequoiasill.WeightedService{{Service: "gone", Weight: -1}}}}
		},
		func(*sequoiasill.Traffic) {},
	}
	var wg sync.WaitGroup
	replies := make([]reply, calls)
	for i := range calls {
		wg.Go(func() {
			request := call([]string{"/once/x", "/read/x", "/long/x"}[i%3], "key")
			request.ID = strconv.Itoa(i)
			d.Serve(context.Background(), request, &replies[i])
		})
		next := *traffic
		next.Version = uint64(i + 2)
		changes[i%len(changes)](&next)
		d.SetTraffic(&next)
		time.Sleep(2 * time.Millisecond)
	}
	wg.Wait()
	for i, r := range replies {
		if diff := cmp.Diff([]bool{true, false}, []bool{r.Status > 0 && r.Ended, r.WasCut}); diff != "" {
			t.Errorf("call %d ended and was cut (-want +got):\n%s", i, diff)
		}
	}
	if diff := cmp.Diff(0, d.Active()); diff != "" {
		t.Errorf("active calls (-want +got):\n%s", diff)
	}
}
