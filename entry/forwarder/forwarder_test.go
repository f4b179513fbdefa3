package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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
		"of HTTP/1.0, without framing":                 {"HTTP/1.0 200 OK\r\n\r\n", false, "good"},
		"of HTTP/1.0, with a length":                   {"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\n", false, "good"},
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

// Guards against processes that run out of memory: the body of a response without end was kept as a whole.
func TestBodyWithoutEndIsCutOff(t *testing.T) {
	const limit, offered, block = 1 << 20, 256 << 20, 64 << 10
	// What the connection's buffers hold comes on top of the limit.
	const most = limit + 32<<20
	heads := map[string]string{
		"in chunks":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"with a length":   "HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n",
		"until it closes": "HTTP/1.1 200 OK\r\n\r\n",
	}
	senders := map[string]func(f *Forwarder, address string) error{
		"call": func(f *Forwarder, address string) error {
			if _, err := f.Do(Call{Address: address, Method: http.MethodGet, URI: "/", RequestID: "1", Timeout: 20 * sequoiasill.Second}); err != nil {
				return err
			}
			return nil
		},
		"control request": func(f *Forwarder, address string) error {
			_, err := f.Control(http.MethodGet, address, "/", nil, 20*sequoiasill.Second)
			return err
		},
	}
	for framing, head := range heads {
		for name, send := range senders {
			t.Run(name+", "+framing, func(t *testing.T) {
				sent := make(chan int, 1)
				l := respondOnce(t, func(_ net.Listener, c net.Conn) {
					n := 0
					defer func() { sent <- n }()
					_, err := io.WriteString(c, head)
					for err == nil && n < offered {
						part := strings.Repeat("x", block)
						if framing == "in chunks" {
							part = fmt.Sprintf("%x\r\n%s\r\n", block, part)
						}
						if _, err = io.WriteString(c, part); err == nil {
							n += block
						}
					}
				})
				f := New(Options{DialTimeout: sequoiasill.Second, StallTimeout: sequoiasill.Second, MaxResponseBytes: limit})
				if err := send(f, l.Addr().String()); err == nil {
					t.Error("the body was delivered")
				}
				if n := <-sent; n > most {
					t.Errorf("%d bytes of the body were taken, %d are allowed", n, most)
				}
			})
		}
	}
}
