// Package acceptor serves callers over HTTP/1.1. It closes connections that were idle
// for longer than the configuration in force allows, and ends so that no request that
// was read goes without an answer.
package acceptor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
)

const (
	defaultHeaderWait = 3 * sequoiasill.Second
	defaultHeader     = 16 << 10 // bytes
	// headerSlack is for the request line and the header's own framing.
	headerSlack = 4 << 10
	// longestIdle bounds an idle connection whatever the configuration says.
	longestIdle = 5 * sequoiasill.Minute
	// closeEvery is the interval at which connections that became idle are closed
	// while the entry ends.
	closeEvery = 20 * time.Millisecond
)

// callerKeepAlive finds callers that went silent without closing.
var callerKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// Acceptor is the HTTP server for callers. It never closes a connection from which a
// request was read: net/http takes one for idle until it has read a whole header.
type Acceptor struct {
	server   *http.Server
	listener net.Listener
	idle     func() sequoiasill.Millis
	log      hclog.Logger

	mu      sync.Mutex
	conns   map[*callerConn]bool
	leaving bool
}

// New serves callers on l until Shutdown. Idle tells how long a connection may be idle.
func New(l net.Listener, h http.Handler, idle func() sequoiasill.Millis, log hclog.Logger) *Acceptor {
	a := &Acceptor{listener: l, idle: idle, log: log.Named("acceptor"), conns: make(map[*callerConn]bool)}
	a.server = &http.Server{
		Handler: a.closing(h), ReadHeaderTimeout: defaultHeaderWait.Duration(), IdleTimeout: longestIdle.Duration(),
		MaxHeaderBytes: defaultHeader + headerSlack, ConnState: a.stateChanged,
		ErrorLog: log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	go func() {
		err := a.server.Serve(&callerListener{Listener: l, acceptor: a})
		a.mu.Lock()
		defer a.mu.Unlock()
		if !a.leaving {
			a.log.Error("serving callers ended", "error", err)
		}
	}()
	return a
}

// closing makes answers the last of their connections while the entry leaves.
func (a *Acceptor) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if a.isLeaving() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, req)
	})
}

func (a *Acceptor) isLeaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaving
}

func (a *Acceptor) stateChanged(c net.Conn, s http.ConnState) {
	k, ok := c.(*callerConn)
	if !ok {
		return
	}
	k.mu.Lock()
	k.state = s
	if k.timer != nil {
		k.timer.Stop()
		k.timer = nil
	}
	if s == http.StateIdle {
		k.timer = time.AfterFunc(a.idle().Duration(), func() { k.closeIdle() })
	}
	k.mu.Unlock()
	if s == http.StateIdle && a.isLeaving() {
		// Its answer began before the entry left and did not say that it was the last.
		k.closeIdle()
	}
	if s == http.StateClosed || s == http.StateHijacked {
		a.mu.Lock()
		delete(a.conns, k)
		a.mu.Unlock()
	}
}

// LastAnswers takes no further connection, closes the idle ones and makes every
// answer the last of its connection.
func (a *Acceptor) LastAnswers() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	if err := a.listener.Close(); err != nil {
		a.log.Warn("listener not closed", "error", err)
	}
	a.closeIdle()
}

// closeIdle closes the idle connections and returns how many are left.
func (a *Acceptor) closeIdle() int {
	a.mu.Lock()
	conns := make([]*callerConn, 0, len(a.conns))
	for k := range a.conns {
		conns = append(conns, k)
	}
	a.mu.Unlock()
	left := 0
	for _, k := range conns {
		if !k.closeIdle() {
			left++
		}
	}
	return left
}

// Shutdown waits for the requests in progress, up to the span.
func (a *Acceptor) Shutdown(span sequoiasill.Millis) {
	end := time.Now().Add(span.Duration())
	for left := a.closeIdle(); left > 0; left = a.closeIdle() {
		if time.Now().After(end) {
			a.log.Warn("requests are still in progress", "connections", left)
			break
		}
		time.Sleep(closeEvery)
	}
	if err := a.server.Close(); err != nil {
		a.log.Debug("server not closed", "error", err)
	}
}

// callerListener hands out connections that tell whether they are idle.
type callerListener struct {
	net.Listener

	acceptor *Acceptor
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	k := &callerConn{Conn: c}
	l.acceptor.mu.Lock()
	l.acceptor.conns[k] = true
	l.acceptor.mu.Unlock()
	return k, nil
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn

	mu     sync.Mutex
	state  http.ConnState
	unread bool // bytes came in since the last ones went out
	closed bool
	timer  *time.Timer // runs while it is idle
}

// Read implements net.Conn. Bytes that come in after the decision to close are
// dropped, so their request is not passed on.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.unread = c.unread || n > 0
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.unread = false
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// closeIdle closes the connection if no request stands on it. It returns whether
// the connection is closed.
func (c *callerConn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.state == http.StateClosed {
		return true
	}
	if c.unread || c.state != http.StateIdle && c.state != http.StateNew {
		return false
	}
	c.closed = true
	// The server notices the closed connection and reports its state.
	_ = c.Close()
	return true
}

// Listen opens a TCP listener that finds callers that went silent.
func Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: callerKeepAlive}
	l, err := lc.Listen(context.Background(), "tcp", address)
	return l, errors.Annotatef(err, "listen on %s", address)
}
