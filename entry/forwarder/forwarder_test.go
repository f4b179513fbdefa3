package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

// respondOnce starts an upstream that runs respond for one request and closes its connection.
func respondOnce(t *testing.T, respond func(l net.Listener, c net.Conn)) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			respond(l, c)
		}
	}()
	return l
}

// Guards against short responses: one without framing that ends with its upstream may not be whole.
func TestResponseThatEndsWithItsUpstream(t *testing.T) {
	tests := map[string]struct {
		head string
		dies bool
		want string // empty if the call fails
	}{
		"without framing":                              {"HTTP/1.1 200 OK\r\n\r\n", false, "good"},
		"without framing, the upstream dies":           {"HTTP/1.1 200 OK\r\n\r\n", true, ""},
		"with a length, the upstream dies":             {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", true, "good"},
		"with a length that is not reached, it is cut": {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", true, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := respondOnce(t, func(l net.Listener, c net.Conn) {
				_, _ = io.WriteString(c, tc.head+"good")
				if tc.dies {
					_ = l.Close()
				}
			})
			f := New(Options{DialTimeout: sequoiasill.Second, StallTimeout: sequoiasill.Second})
			r, attemptErr := f.Do(Call{Address: l.Addr().String(), Method: http.MethodGet, URI: "/", RequestID: "1", Timeout: 5 * sequoiasill.Second})
			if diff := cmp.Diff(tc.want, string(r.Body)); diff != "" {
				t.Errorf("error %v, body (-want +got):\n%s", attemptErr, diff)
			}
			if failed := attemptErr != nil; failed != (tc.want == "") || failed && attemptErr.Verdict != sequoiasill.MayHaveRun {
				t.Errorf("error is %v", attemptErr)
			}
		})
	}
}

// A response that trickles ends with the timeout of its call.
func TestTricklingResponseEndsWithItsTimeout(t *testing.T) {
	l := respondOnce(t, func(_ net.Listener, c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
		for range 100 {
			if _, err := io.WriteString(c, "x"); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	f := New(Options{DialTimeout: sequoiasill.Second, StallTimeout: sequoiasill.Second})
	began := time.Now()
	_, attemptErr := f.Do(Call{Address: l.Addr().String(), Method: http.MethodGet, URI: "/", RequestID: "1", Timeout: 300})
	if took := time.Since(began); attemptErr == nil || took > time.Second {
		t.Errorf("error %v after %s", attemptErr, took)
	}
}
