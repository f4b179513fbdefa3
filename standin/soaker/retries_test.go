package soaker

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/rationer"
)

const second = sequoiasill.Second

// Checks that the retry checker reports entries that exceed the limits on retries, and no
// others.
func TestRetryChecker(t *testing.T) {
	limits := rationer.Limits{Ratio: 0.2, Slack: 4, Window: 10 * second}
	// sendCalls records n calls at time 0, each of which arrives at an upstream immediately.
	sendCalls := func(r *retryChecker, n int) {
		for i := range n {
			r.recordSend(0, fmt.Sprint(i), streamService, 2, 3000)
			r.recordArrival(0, fmt.Sprint(i), streamService, 3000, false)
		}
	}
	tests := map[string]struct {
		play func(r *retryChecker)
		want []string
	}{
		"retries within the limit": {func(r *retryChecker) {
			sendCalls(r, 10)
			for i := range 6 {
				r.recordArrival(400, fmt.Sprint(i), streamService, 2600, false)
			}
		}, nil},
		"one retry too many": {func(r *retryChecker) {
			sendCalls(r, 10)
			for i := range 7 {
				r.recordArrival(400, fmt.Sprint(i), streamService, 2600, false)
			}
		}, []string{"7 repeats came to model within 10000ms from 00:00:00.400 on, 6.0 are allowed for 10 requests"}},
		"calls executed by the maximum number of upstreams": {func(r *retryChecker) {
			sendCalls(r, 10)
			for i := range 10 {
				r.recordExecution(fmt.Sprint(i), "i-1")
				r.recordExecution(fmt.Sprint(i), "i-1")
				r.recordExecution(fmt.Sprint(i), "i-2")
			}
		}, nil},
		"calls executed by too many upstreams": {func(r *retryChecker) {
			sendCalls(r, 10)
			for i := range 4 {
				for _, upstream := range []string{"i-1", "i-2", "i-3", "i-4"} {
					r.recordExecution(fmt.Sprint(i), upstream)
				}
			}
		}, []string{"4 calls ran at more upstreams than their routes allow"}},
		"timeouts that end with the call's": {func(r *retryChecker) {
			r.limits.Slack = 100
			sendCalls(r, 30)
			for i := range 30 {
				r.recordArrival(2000, fmt.Sprint(i), streamService, 1400, false)
			}
		}, nil},
		"timeouts that restart with a retry": {func(r *retryChecker) {
			r.limits.Slack = 100
			sendCalls(r, 30)
			for i := range 21 {
				r.recordArrival(2000, fmt.Sprint(i), streamService, 3000, false)
			}
		}, []string{"21 sends had a longer time limit than was left, of 21 late ones"}},
		"no timeouts": {func(r *retryChecker) {
			for i := range 21 {
				r.recordSend(0, fmt.Sprint(i), streamService, 2, 3000)
				r.recordArrival(0, fmt.Sprint(i), streamService, noTimeout, false)
			}
		}, []string{"21 sends had a longer time limit than was left, of 0 late ones"}},
		"calls delayed in flight": {func(r *retryChecker) {
			r.limits.Slack = 100
			sendCalls(r, 30)
			for i := range 30 {
				r.recordArrival(2000, fmt.Sprint(i), streamService, 3000, true)
			}
		}, nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRetryChecker(limits)
			tc.play(r)
			if diff := cmp.Diff(tc.want, r.violations()); diff != "" {
				t.Errorf("violations (-want +got):\n%s", diff)
			}
		})
	}
}

// Checks that a call sent to a stalled upstream arrives after the stall, even if its sender has
// disconnected by then.
func TestStallKeepsSentData(t *testing.T) {
	c := newChecker(rationer.Limits{Window: second})
	r, err := newReplica("i-1", plainService, "", nil, c, func(*replica) {})
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	c.recordSend("1", repeatable, "key", 0)
	r.proxy.setFault(stall)
	sendAndDisconnect(t, r.address(), "1")
	if n := arrivals(c, "1"); n != 0 {
		t.Fatalf("%d arrivals while the upstream is stalled", n)
	}
	r.proxy.setFault(noFault)
	for range 100 {
		if arrivals(c, "1") == 1 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("the call did not arrive after the stall")
}

// sendAndDisconnect sends a call and closes the connection soon after, as if the attempt were
// cancelled.
func sendAndDisconnect(t *testing.T, address, id string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(c, "GET /read/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n\r\n", id, host, id); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
}

func arrivals(c *checker, id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call := c.retries.calls[id]; call != nil && call.arrived {
		return 1
	}
	return 0
}
