package acceptor

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
)

const getRequest = "GET / HTTP/1.1\r\nHost: kiosk.example\r\n\r\n"

// serve starts an acceptor with an idle timeout.
func serve(t *testing.T, l net.Listener, idle func() sequoiasill.Millis, h http.HandlerFunc) *Acceptor {
	t.Helper()
	return serveLimited(t, l, func() sequoiasill.CallerLimits { return sequoiasill.CallerLimits{IdleTimeout: idle()} }, h)
}

// serveLimited starts an acceptor with the limits of a configuration.
func serveLimited(t *testing.T, l net.Listener, limits func() sequoiasill.CallerLimits, h http.HandlerFunc) *Acceptor {
	t.Helper()
	a := New(l, h, limits, func(*http.Request) string { return "" }, newBudget(100<<20, 1000), &causes{}, hclog.NewNullLogger())
	t.Cleanup(func() {
		a.Drain()
		a.Shutdown(sequoiasill.Second)
	})
	return a
}

// lateConn delivers a request at once, and the next one when its reader is woken up by a deadline or by
// a close.
type lateConn struct {
	net.Conn

	mu       sync.Mutex
	woken    sync.Cond
	deadline time.Time
	closed   bool
	requests int // delivered
	timeouts int // that precede the second request
	written  bytes.Buffer
}

func newLateConn(timeouts int) *lateConn {
	c := &lateConn{timeouts: timeouts}
	c.woken.L = &c.mu
	return c
}

func (c *lateConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests == 0 {
		c.requests++
		return copy(p, getRequest), nil
	}
	for !c.closed && (c.deadline.IsZero() || time.Now().Before(c.deadline)) {
		c.woken.Wait()
	}
	switch {
	case len(p) == 1 || c.requests == 2: // net/http waits for the end of the connection
		return 0, os.ErrDeadlineExceeded
	case c.timeouts > 0:
		c.timeouts--
		return 0, os.ErrDeadlineExceeded
	}
	c.requests++
	return copy(p, getRequest), nil
}

func (c *lateConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	return c.written.Write(p)
}

func (c *lateConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.woken.Broadcast()
	return nil
}

func (c *lateConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	time.AfterFunc(time.Until(t), c.woken.Broadcast)
	return nil
}

func (c *lateConn) SetWriteDeadline(time.Time) error { return nil }
func (c *lateConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *lateConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }

func (c *lateConn) responses() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Count(c.written.String(), "HTTP/1.1 200 OK")
}

// Guards against requests that are read while their connection is closed as idle, and get no answer.
func TestRequestReadAtIdleCloseIsServed(t *testing.T) {
	tests := map[string]struct {
		idle     sequoiasill.Millis
		drain    bool
		timeouts int
	}{
		"read when the timeout ends":  {idle: 50},
		"found after the timeout":     {idle: 50, timeouts: 1},
		"read when a drain starts":    {idle: sequoiasill.Minute, drain: true},
		"found after a drain's start": {idle: sequoiasill.Minute, drain: true, timeouts: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := &pipeListener{conns: make(chan net.Conn, 1)}
			c := newLateConn(tc.timeouts)
			l.conns <- c
			a := serve(t, l, func() sequoiasill.Millis { return tc.idle }, func(http.ResponseWriter, *http.Request) {})
			await(t, func() bool { return c.responses() == 1 })
			if tc.drain {
				time.Sleep(20 * time.Millisecond)
				a.Drain()
			}
			await(t, func() bool { return c.responses() == 2 })
		})
	}
}

func await(t *testing.T, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !reached(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reached in time")
		}
	}
}

// slowListener accepts connections whose readers get what was read late, as on a busy machine.
type slowListener struct {
	net.Listener

	late time.Duration
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	readBytes.Delete(c.RemoteAddr().String())
	return &slowConn{TCPConn: c.(*net.TCPConn), late: l.late}, nil
}

type slowConn struct {
	*net.TCPConn

	late time.Duration
}

// readBytes counts the bytes that were read from each caller.
var readBytes sync.Map

func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		count, _ := readBytes.LoadOrStore(c.RemoteAddr().String(), new(atomic.Int64))
		count.(*atomic.Int64).Add(int64(n))
		time.Sleep(c.late)
	}
	return n, err
}

// bytesRead returns the number of bytes that were read from a caller.
func bytesRead(c net.Conn) int64 {
	count, ok := readBytes.Load(c.LocalAddr().String())
	if !ok {
		return 0
	}
	return count.(*atomic.Int64).Load()
}

// exchange sends a request and reads the response. It returns false if none came.
func exchange(c net.Conn, r *bufio.Reader) bool {
	if _, err := io.WriteString(c, getRequest); err != nil {
		return false
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil
}

// Guards against requests that are read whole and not answered, as their connection is closed in
// the same moment.
func TestRequestsAroundIdleTimeoutAreServedOrNotRead(t *testing.T) {
	const rounds = 40
	idle := 60 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serve(t, &slowListener{Listener: l, late: 10 * time.Millisecond}, func() sequoiasill.Millis { return sequoiasill.MillisOf(idle) }, func(http.ResponseWriter, *http.Request) {})
	var dropped, closed, served atomic.Int64
	var wg sync.WaitGroup
	for i := range rounds {
		wg.Go(func() {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			if !exchange(c, r) {
				t.Error("no response to the first request")
				return
			}
			time.Sleep(idle + time.Duration(i-rounds*3/4)*time.Millisecond/2)
			switch {
			case exchange(c, r):
				served.Add(1)
			case bytesRead(c) > int64(len(getRequest)):
				dropped.Add(1)
			default:
				closed.Add(1)
			}
		})
	}
	wg.Wait()
	t.Logf("served %d, closed unread %d", served.Load(), closed.Load())
	if diff := cmp.Diff(int64(0), dropped.Load()); diff != "" {
		t.Errorf("requests that were read and not answered (-want +got):\n%s", diff)
	}
}

// The bytes of a pipelined request that came with the one before are no idle connection.
func TestPipelinedStartOfRequestIsNotIdle(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serve(t, l, func() sequoiasill.Millis { return 100 }, func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) })
	for name, during := range map[string]bool{"with the request before": false, "during the request before": true} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			const start = "GET / HTTP/1.1\r\nHo"
			if during {
				_, _ = fmt.Fprint(c, getRequest)
				time.Sleep(10 * time.Millisecond)
				_, _ = fmt.Fprint(c, start)
			} else {
				_, _ = fmt.Fprint(c, getRequest+start)
			}
			time.Sleep(400 * time.Millisecond)
			_, _ = fmt.Fprint(c, getRequest[len(start):])
			r := bufio.NewReader(c)
			for range 2 {
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
		})
	}
}

// lateRestConn delivers the rest of a header when the time for it is over.
type lateRestConn struct {
	*lateConn

	parts []string // an empty one is a timeout
}

func (c *lateRestConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.parts) == 0 {
		return 0, io.EOF
	}
	part := c.parts[0]
	c.parts = c.parts[1:]
	if part != "" {
		return copy(p, part), nil
	}
	for !c.closed && time.Now().Before(c.deadline) {
		c.woken.Wait()
	}
	return 0, os.ErrDeadlineExceeded
}

// Guards against requests that net/http reads from the halves of a line before and after a timeout.
func TestNothingIsReadAfterHeaderTimeout(t *testing.T) {
	const start = "GET / HTTP/1.1\r\nHost: kiosk.exa"
	l := &pipeListener{conns: make(chan net.Conn, 1)}
	c := &lateRestConn{lateConn: newLateConn(0), parts: []string{start, "", "", getRequest[len(start):]}}
	l.conns <- c
	var served atomic.Int64
	serveLimited(t, l, func() sequoiasill.CallerLimits { return sequoiasill.CallerLimits{HeaderTimeout: 1} }, func(http.ResponseWriter, *http.Request) { served.Add(1) })
	await(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.closed
	})
	if diff := cmp.Diff(int64(0), served.Load()); diff != "" {
		t.Errorf("requests served (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(true, strings.HasPrefix(c.written.String(), "HTTP/1.1 408 ")); diff != "" {
		t.Errorf("answered with 408 (-want +got):\n%s%s", diff, c.written.String())
	}
}

// Guards against requests that a drain cuts off right after their connection was opened.
func TestConnectionOpenedBeforeDrainIsServed(t *testing.T) {
	tests := map[string]struct {
		open, send time.Duration // before and after the start of the drain
		served     bool
	}{
		"just opened":              {20 * time.Millisecond, 100 * time.Millisecond, true},
		"opened, request arrived":  {time.Second, 0, true},
		"opened long before":       {time.Second, 100 * time.Millisecond, false},
		"just opened, no requests": {20 * time.Millisecond, time.Second, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			a := serve(t, l, func() sequoiasill.Millis { return 5000 }, func(http.ResponseWriter, *http.Request) {})
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			time.Sleep(tc.open)
			if tc.send == 0 {
				_, _ = io.WriteString(c, getRequest)
			}
			a.Drain()
			go a.Shutdown(2 * sequoiasill.Second)
			if tc.send > 0 {
				time.Sleep(tc.send)
				_, _ = io.WriteString(c, getRequest)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if diff := cmp.Diff(tc.served, err == nil); diff != "" {
				t.Fatalf("served, %v (-want +got):\n%s", err, diff)
			}
			if err == nil && !resp.Close {
				t.Error("the connection is kept")
			}
		})
	}
}
