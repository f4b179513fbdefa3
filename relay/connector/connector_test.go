package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/relay/connector"
)

// upstream is a server that runs a script on each connection.
type upstream struct {
	address string

	mu    sync.Mutex
	conns int
}

// serve starts an upstream that runs script on its n-th connection, counted from 0.
func serve(t *testing.T, script func(n int, c net.Conn, r *bufio.Reader)) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u := &upstream{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			n := u.conns
			u.conns++
			u.mu.Unlock()
			go func() {
				defer func() { _ = c.Close() }()
				script(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return u
}

func (u *upstream) connections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns
}

// readRequest reads one request with its body.
func readRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

func newConnector(t *testing.T) *connector.Connector {
	t.Helper()
	c := connector.New(connector.DefaultOptions(), sequoiasill.NewSystemClock())
	t.Cleanup(c.Close)
	return c
}

func request(u *upstream) connector.Request {
	return connector.Request{
		Upstream: "r0", Address: u.address, Method: "POST", Target: "/a/b?c=d", Host: "kiosk.example",
		Header: http.Header{"X-Test": {"1"}}, Body: []byte("body"),
	}
}

// exchange sends one request and returns the body of its response.
func exchange(t *testing.T, c *connector.Connector, r connector.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	x, err := c.Do(ctx, r)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(x.Response.Body)
	x.Close(err == nil)
	return string(body), err
}

const goodResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"

func TestResponses(t *testing.T) {
	tests := map[string]struct {
		response string
		want     string
		broken   bool
		conns    int // connections that two exchanges use
	}{
		"with a length":                 {goodResponse, "good", false, 1},
		"in chunks":                     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", "good", false, 1},
		"after an interim response":     {"HTTP/1.1 100 Continue\r\n\r\n" + goodResponse, "good", false, 1},
		"that closes the connection":    {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ngood", "good", false, 2},
		"with bytes after its end":      {goodResponse + "HTTP/1.1 200 OK\r\n\r\n", "good", false, 2},
		"with an idle timeout of 0":     {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 4\r\n\r\ngood", "good", false, 2},
		"with a huge idle timeout":      {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9223372036854775807\r\nContent-Length: 4\r\n\r\ngood", "good", false, 1},
		"that ends with the connection": {"HTTP/1.1 200 OK\r\n\r\ngood", "good", false, 2},
		"of HTTP/1.0":                   {"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ngood", "good", false, 2},
		"of HTTP/1.0 without framing":   {"HTTP/1.0 200 OK\r\n\r\ngood", "good", false, 2},
		"that breaks off":               {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ngood", "good", true, 2},
		"whose last chunk is missing":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n", "good", true, 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			u := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for {
					if !readRequest(r) {
						return
					}
					_, _ = io.WriteString(c, tc.response)
					if tc.conns == 2 {
						return
					}
				}
			})
			c := newConnector(t)
			for range 2 {
				got, err := exchange(t, c, request(u))
				if diff := cmp.Diff(tc.want, got); diff != "" || (err != nil) != tc.broken {
					t.Errorf("error %v, body (-want +got):\n%s", err, diff)
				}
				time.Sleep(20 * time.Millisecond)
			}
			if diff := cmp.Diff(tc.conns, u.connections()); diff != "" {
				t.Errorf("connections (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRequestAsSent(t *testing.T) {
	var head string
	var mu sync.Mutex
	u := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		b := make([]byte, 4096)
		n, _ := r.Read(b)
		mu.Lock()
		head = string(b[:n])
		mu.Unlock()
		_, _ = io.WriteString(c, goodResponse)
	})
	if _, err := exchange(t, newConnector(t), request(u)); err != nil {
		t.Fatal(err)
	}
	mu.Lock()
	defer mu.Unlock()
	want := "POST /a/b?c=d HTTP/1.1\r\nHost: kiosk.example\r\nX-Test: 1\r\nContent-Length: 4\r\n\r\nbody"
	if diff := cmp.Diff(want, head); diff != "" {
		t.Errorf("request (-want +got):\n%s", diff)
	}
}

func TestVerdicts(t *testing.T) {
	verdict := func(err error) sequoiasill.Verdict {
		var e *connector.Error
		if !errors.As(err, &e) {
			t.Fatalf("error %v has no verdict", err)
		}
		return e.Verdict
	}
	t.Run("no connection", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		u := &upstream{address: l.Addr().String()}
		_ = l.Close()
		_, err = exchange(t, newConnector(t), request(u))
		if diff := cmp.Diff(sequoiasill.NotRun, verdict(err)); diff != "" {
			t.Errorf("verdict (-want +got):\n%s", diff)
		}
	})
	t.Run("closed without a response", func(t *testing.T) {
		u := serve(t, func(_ int, _ net.Conn, r *bufio.Reader) { readRequest(r) })
		_, err := exchange(t, newConnector(t), request(u))
		if diff := cmp.Diff(sequoiasill.MayHaveRun, verdict(err)); diff != "" {
			t.Errorf("verdict (-want +got):\n%s", diff)
		}
	})
	t.Run("bytes that are no response", func(t *testing.T) {
		u := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, "garbage\r\n\r\n")
		})
		_, err := exchange(t, newConnector(t), request(u))
		if diff := cmp.Diff(sequoiasill.MayHaveRun, verdict(err)); diff != "" {
			t.Errorf("verdict (-want +got):\n%s", diff)
		}
	})
}

// A late second response to a request must not be taken for the response to the next request.
func TestLateBytesOnAnIdleConnection(t *testing.T) {
	u := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, goodResponse)
		if n == 0 {
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, strings.Replace(goodResponse, "good", "late", 1))
		}
		readRequest(r)
	})
	c := newConnector(t)
	for range 2 {
		got, err := exchange(t, c, request(u))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff("good", got); diff != "" {
			t.Errorf("body (-want +got):\n%s", diff)
		}
		time.Sleep(60 * time.Millisecond)
	}
	if diff := cmp.Diff(2, u.connections()); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
}

// The connection is closed when the caller disconnects.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	u := serve(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := newConnector(t).Do(ctx, request(u)); err == nil {
		t.Error("no error from a cancelled exchange")
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection stayed open")
	}
}

// A response may arrive before a long request body was read. The connection is then reused
// only if the whole body was written.
func TestResponseBeforeTheBodyIsRead(t *testing.T) {
	release := make(chan struct{})
	u := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull")
		<-release
	})
	defer close(release)
	r := request(u)
	r.Body = make([]byte, 8<<20)
	c := newConnector(t)
	for range 2 {
		got, err := exchange(t, c, r)
		if diff := cmp.Diff("full", got); diff != "" || err != nil {
			t.Errorf("error %v, body (-want +got):\n%s", err, diff)
		}
	}
	if diff := cmp.Diff(2, u.connections()); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
}

// No byte of a withheld request is written, and the connection is reused for the next request.
func TestWithheldRequestIsNotWritten(t *testing.T) {
	u := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	c := newConnector(t)
	for name, reused := range map[string]bool{"on a new connection": false, "on a reused one": true} {
		t.Run(name, func(t *testing.T) {
			if reused {
				if _, err := exchange(t, c, request(u)); err != nil {
					t.Fatal(err)
				}
			}
			r := request(u)
			r.MaySend = func() bool { return false }
			_, err := exchange(t, c, r)
			var failure *connector.Error
			if !errors.As(err, &failure) || failure.Verdict != sequoiasill.NotRun || !errors.Is(err, connector.ErrWithheld) {
				t.Fatalf("error %v", err)
			}
			if _, err := exchange(t, c, request(u)); err != nil {
				t.Fatal(err)
			}
		})
	}
	if diff := cmp.Diff(1, u.connections()); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
}

// Guards against LOST: Linux ends a connection once it has received nothing for the user timeout and a probe is
// unanswered, so that a silence may begin just before the first probe and end just after the last one.
func TestConnectionsSurviveShortSilence(t *testing.T) {
	o := connector.DefaultOptions()
	if got, least := o.UserTimeout-2*o.KeepAliveInterval, 2500*sequoiasill.Millis(1); got < least {
		t.Errorf("connections end after %s of silence, at least %s are wanted", got, least)
	}
}

// A response whose upstream stops anywhere inside its header, or before the end of its body, is no
// response.
func TestResponseThatStopsMidway(t *testing.T) {
	tests := map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: text/event-stream\r\nContent-Length: 11\r\n\r\nid: 1\ndata\n",
		"in chunks":     "HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
		"line feeds":    "HTTP/1.1 200 OK\nSignature: s\nContent-Length: 4\n\ngood",
		"interim":       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood",
	}
	for name, whole := range tests {
		t.Run(name, func(t *testing.T) {
			written := make(chan string, 1)
			u := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				part := <-written
				if readRequest(r) {
					_, _ = io.WriteString(c, part)
				}
			})
			c := newConnector(t)
			for n := range whole {
				written <- whole[:n]
				r := request(u)
				r.NewConnection = true
				if got, err := exchange(t, c, r); err == nil {
					t.Errorf("the first %d bytes, up to %q, are a response with the body %q", n, whole[max(n-20, 0):n], got)
				}
			}
		})
	}
}
