// Package acceptor is the HTTP/1.1 server for callers. It closes connections that exceed the
// configured idle timeout, and a shutdown drops no request that it has read unless the request
// exceeds the time for the shutdown.
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
	defaultHeaderTimeout = 3 * sequoiasill.Second
	defaultHeaderBytes   = 16 << 10
	// headerSlack allows for the request line and the framing of the header, in bytes.
	headerSlack = 4 << 10
	// maxIdle limits the idle timeout of a connection, whatever the configuration sets.
	maxIdle = 5 * sequoiasill.Minute
	// idleCloseInterval is the interval at which idle connections are closed during a
	// shutdown.
	idleCloseInterval = 20 * time.Millisecond
)

// callerKeepAlive detects callers that disappeared without closing their connection.
var callerKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// Acceptor is the HTTP server for callers. It never closes a connection as idle on which part
// of a request was read, whereas net/http reports a connection as idle until it has read a
// complete header.
type Acceptor struct {
	server      *http.Server
	listener    net.Listener
	idleTimeout func() sequoiasill.Millis
	log         hclog.Logger

	mu       sync.Mutex
	conns    map[*callerConn]bool
	draining bool
}

// New serves callers on l until Shutdown. idleTimeout returns the configured idle timeout of a
// connection.
func New(l net.Listener, h http.Handler, idleTimeout func() sequoiasill.Millis, log hclog.Logger) *Acceptor {
	a := &Acceptor{listener: l, idleTimeout: idleTimeout, log: log.Named("acceptor"), conns: make(map[*callerConn]bool)}
	a.server = &http.Server{
		Handler: a.closeWhenDraining(h), ReadHeaderTimeout: defaultHeaderTimeout.Duration(), IdleTimeout: maxIdle.Duration(),
		MaxHeaderBytes: defaultHeaderBytes + headerSlack, ConnState: a.trackState,
		ErrorLog: log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	go func() {
		err := a.server.Serve(&callerListener{Listener: l, acceptor: a})
		a.mu.Lock()
		defer a.mu.Unlock()
		if !a.draining {
			a.log.Error("serving callers ended", "error", err)
		}
	}()
	return a
}

// closeWhenDraining makes each response the last one on its connection while the entry is
// draining.
func (a *Acceptor) closeWhenDraining(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if a.isDraining() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, req)
	})
}

func (a *Acceptor) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

func (a *Acceptor) trackState(c net.Conn, s http.ConnState) {
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
		k.timer = time.AfterFunc(a.idleTimeout().Duration(), func() { k.closeIdle() })
	}
	k.mu.Unlock()
	if s == http.StateIdle && a.isDraining() {
		// The response started before the draining did, so it had no Connection: close.
		k.closeIdle()
	}
	if s == http.StateClosed || s == http.StateHijacked {
		a.mu.Lock()
		delete(a.conns, k)
		a.mu.Unlock()
	}
}

// Drain starts to drain the entry: it accepts no new connections, closes the idle ones
// and makes each response the last one on its connection.
func (a *Acceptor) Drain() {
	a.mu.Lock()
	a.draining = true
	a.mu.Unlock()
	if err := a.listener.Close(); err != nil {
		a.log.Warn("listener not closed", "error", err)
	}
	a.closeIdle()
}

// closeIdle closes the idle connections and returns the number of the remaining ones.
func (a *Acceptor) closeIdle() int {
	a.mu.Lock()
	conns := make([]*callerConn, 0, len(a.conns))
	for k := range a.conns {
		conns = append(conns, k)
	}
	a.mu.Unlock()
	open := 0
	for _, k := range conns {
		if !k.closeIdle() {
			open++
		}
	}
	return open
}

// Shutdown waits for the requests in progress, at most for timeout, and closes the server.
func (a *Acceptor) Shutdown(timeout sequoiasill.Millis) {
	end := time.Now().Add(timeout.Duration())
	for open := a.closeIdle(); open > 0; open = a.closeIdle() {
		if time.Now().After(end) {
			a.log.Warn("requests are still in progress", "connections", open)
			break
		}
		time.Sleep(idleCloseInterval)
	}
	if err := a.server.Close(); err != nil {
		a.log.Debug("server not closed", "error", err)
	}
}

// callerListener wraps accepted connections in callerConn and registers them.
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

// callerConn is a caller's connection that tracks whether a request is pending on it.
type callerConn struct {
	net.Conn

	mu             sync.Mutex
	state          http.ConnState
	requestPending bool // bytes were read since the last write
	closed         bool
	timer          *time.Timer // set while the connection is idle
}

// Read implements net.Conn. Data that arrives after the decision to close is discarded, so
// that its request is not served.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.requestPending = c.requestPending || n > 0
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.requestPending = false
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// closeIdle closes the connection unless a request is pending on it. It reports whether the
// connection is closed.
func (c *callerConn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.state == http.StateClosed {
		return true
	}
	if c.requestPending || c.state != http.StateIdle && c.state != http.StateNew {
		return false
	}
	c.closed = true
	// The server then detects the closed connection and reports StateClosed.
	_ = c.Close()
	return true
}

// Listen opens a TCP listener that detects callers that disappeared without closing.
func Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: callerKeepAlive}
	l, err := lc.Listen(context.Background(), "tcp", address)
	return l, errors.Annotatef(err, "listen on %s", address)
}
