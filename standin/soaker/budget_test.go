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

// The judge finds entries that break a part of the rule, and none that keep to it.
func TestBudget(t *testing.T) {
	bound := rationer.Limits{Ratio: 0.2, Slack: 4, Window: 10 * second}
	// calls sends calls at the same time, each of which comes to an upstream at once.
	calls := func(b *budget, n int) {
		for i := range n {
			b.sent(0, fmt.Sprint(i), model, 2, 3000)
			b.arrived(0, fmt.Sprint(i), model, 3000, false)
		}
	}
	tests := map[string]struct {
		play func(b *budget)
		want []string
	}{
		"repeats within the bound": {func(b *budget) {
			calls(b, 10)
			for i := range 6 {
				b.arrived(400, fmt.Sprint(i), model, 2600, false)
			}
		}, nil},
		"one repeat too many": {func(b *budget) {
			calls(b, 10)
			for i := range 7 {
				b.arrived(400, fmt.Sprint(i), model, 2600, false)
			}
		}, []string{"7 repeats came to model within 10000ms from 00:00:00.400 on, 6.0 are allowed for 10 requests"}},
		"calls that run at as many upstreams as they may": {func(b *budget) {
			calls(b, 10)
			for i := range 10 {
				b.began(fmt.Sprint(i), "i-1")
				b.began(fmt.Sprint(i), "i-1")
				b.began(fmt.Sprint(i), "i-2")
			}
		}, nil},
		"calls that run at more": {func(b *budget) {
			calls(b, 10)
			for i := range 4 {
				for _, upstream := range []string{"i-1", "i-2", "i-3", "i-4"} {
					b.began(fmt.Sprint(i), upstream)
				}
			}
		}, []string{"4 calls ran at more upstreams than their routes allow"}},
		"time limits that end with the call's": {func(b *budget) {
			b.bound.Slack = 100
			calls(b, 30)
			for i := range 30 {
				b.arrived(2000, fmt.Sprint(i), model, 1400, false)
			}
		}, nil},
		"time limits that begin anew": {func(b *budget) {
			b.bound.Slack = 100
			calls(b, 30)
			for i := range 21 {
				b.arrived(2000, fmt.Sprint(i), model, 3000, false)
			}
		}, []string{"21 sends had a longer time limit than was left, of 21 late ones"}},
		"no time limits": {func(b *budget) {
			for i := range 21 {
				b.sent(0, fmt.Sprint(i), model, 2, 3000)
				b.arrived(0, fmt.Sprint(i), model, noLimit, false)
			}
		}, []string{"21 sends had a longer time limit than was left, of 0 late ones"}},
		"calls that were held up on their way": {func(b *budget) {
			b.bound.Slack = 100
			calls(b, 30)
			for i := range 30 {
				b.arrived(2000, fmt.Sprint(i), model, 3000, true)
			}
		}, nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBudget(bound)
			tc.play(b)
			if diff := cmp.Diff(tc.want, b.findings()); diff != "" {
				t.Errorf("findings (-want +got):\n%s", diff)
			}
		})
	}
}

// What is sent to an upstream that stands still comes to it later, whole and in order.
func TestFreezeKeepsWhatIsSent(t *testing.T) {
	j := newJudge(rationer.Limits{Window: second})
	r, err := newReplica("i-1", plain, "", j, func(*replica) {})
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	j.send("1", read, "key", 0)
	r.proxy.set(freeze)
	sendAndLeave(t, r.address(), "1")
	if n := arrivals(j, "1"); n != 0 {
		t.Fatalf("%d arrivals while the upstream stands still", n)
	}
	r.proxy.set(none)
	for range 100 {
		if arrivals(j, "1") == 1 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("the call did not come after the freeze")
}

// sendAndLeave sends a call and closes the connection soon, as one that is given up.
func sendAndLeave(t *testing.T, address, id string) {
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

func arrivals(j *judge, id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if c := j.budget.calls[id]; c != nil && c.arrived {
		return 1
	}
	return 0
}
