package acceptor

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

// Guards against connections that are closed by an idle timeout which no longer applies, or which
// their caller can't know yet.
func TestIdleConnectionsFollowConfiguration(t *testing.T) {
	tests := map[string]struct {
		before, after sequoiasill.Millis
		pause         time.Duration
		served        bool
	}{
		"grows":                        {200, 5000, 600 * time.Millisecond, true},
		"shrinks, within the old one":  {1000, 50, 600 * time.Millisecond, true},
		"shrinks, beyond the old one":  {600, 50, 1200 * time.Millisecond, false},
		"grows, but less than a pause": {200, 400, 1200 * time.Millisecond, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var idle atomic.Int64
			idle.Store(int64(tc.before))
			serve(t, l, func() sequoiasill.Millis { return sequoiasill.Millis(idle.Load()) }, func(http.ResponseWriter, *http.Request) {})
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			if !exchange(c, r) {
				t.Fatal("no response to the first request")
			}
			time.Sleep(50 * time.Millisecond)
			idle.Store(int64(tc.after))
			time.Sleep(tc.pause - 50*time.Millisecond)
			if diff := cmp.Diff(tc.served, exchange(c, r)); diff != "" {
				t.Errorf("served (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against requests that take longer than a fixed time, but not than the configured one.
func TestSlowHeaderWithinConfiguredTimeIsServed(t *testing.T) {
	tests := map[string]struct {
		limit         sequoiasill.Millis
		before, pause time.Duration // before and inside the header
		served        bool
	}{
		"slow header":                       {5000, 0, 3500 * time.Millisecond, true},
		"connection opened ahead":           {5000, 2500 * time.Millisecond, time.Second, true},
		"opened long ahead":                 {5000, 3500 * time.Millisecond, 0, true},
		"slower than the configured time":   {500, 0, 2500 * time.Millisecond, false},
		"no header within the default time": {0, 0, 6 * time.Second, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			serveLimited(t, l, func() sequoiasill.CallerLimits {
				return sequoiasill.CallerLimits{HeaderTimeout: tc.limit, IdleTimeout: 500}
			}, func(http.ResponseWriter, *http.Request) {})
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			time.Sleep(tc.before)
			_, _ = io.WriteString(c, getRequest[:10])
			time.Sleep(tc.pause)
			_, _ = io.WriteString(c, getRequest[10:])
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if diff := cmp.Diff(tc.served, err == nil && resp.StatusCode == http.StatusOK); diff != "" {
				t.Errorf("served, %v (-want +got):\n%s", err, diff)
			}
		})
	}
}
