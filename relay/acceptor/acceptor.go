// Package acceptor is the HTTP/1.1 server for callers. It closes connections that exceed the
// configured idle timeout, and a shutdown drops no request that it has read unless the request
// exceeds the time for the shutdown.
package acceptor

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
)

const (
	// maxHeaderBytes, maxHeaderTimeout and maxIdle bound what a connection may cost, whatever the
	// configuration sets.
	maxHeaderBytes   = http.DefaultMaxHeaderBytes
	maxHeaderTimeout = sequoiasill.Minute
	maxIdle          = 5 * sequoiasill.Minute
	// defaultHeaderTimeout applies without a configured one.
	defaultHeaderTimeout = 3 * sequoiasill.Second
	// transitAllowance is added to the configured time for a header, which starts at the caller: lost
	// segments are sent again within it.
	transitAllowance = sequoiasill.Second
	// firstRequestWait is how long a connection that was just opened is kept for its first request
	// while the entry drains. Callers send it as soon as they are connected.
	firstRequestWait = 250 * sequoiasill.Millis(1)
	// idleCloseInterval is the interval at which idle connections are closed during a
	// shutdown.
	idleCloseInterval = 20 * time.Millisecond
)

// callerKeepAlive detects callers that disappeared without closing their connection.
var callerKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// Acceptor is the HTTP server for callers. It never closes a connection as idle on which part
// of a request was read or has arrived.
type Acceptor struct {
	server    *http.Server
	listener  net.Listener
	limits    func() sequoiasill.CallerLimits
	requestID func(*http.Request) string
	budget    *Budget
	meter     Meter
	log       hclog.Logger

	draining  atomic.Bool
	lingering atomic.Int64 // connections whose request was rejected

	mu    sync.Mutex
	conns map[*callerConn]bool
}

// Meter counts the ends of callers' connections and requests without a complete response.
type Meter interface {
	CallerEnded(cause string)
}

// New serves callers on l until Shutdown. limits returns the configured limits, of which the acceptor
// applies the timeouts and the size of a header while it is read, and requestID the ID by which a request is
// logged. All that callers send is reserved in the budget.
func New(l net.Listener, h http.Handler, limits func() sequoiasill.CallerLimits, requestID func(*http.Request) string, budget *Budget, m Meter, log hclog.Logger) *Acceptor {
	a := &Acceptor{listener: l, limits: limits, requestID: requestID, budget: budget, meter: m, log: log.Named("acceptor"), conns: make(map[*callerConn]bool)}
	// The connections have the timeouts of the server.
	a.server = &http.Server{
		Handler: a.trackRequests(a.closeWhenDraining(h)), DisableGeneralOptionsHandler: true, MaxHeaderBytes: maxHeaderBytes, ConnState: a.trackState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ErrorLog:    a.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn}),
	}
	go func() {
		err := a.server.Serve(&callerListener{Listener: l, acceptor: a})
		if !a.isDraining() {
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

func (a *Acceptor) isDraining() bool { return a.draining.Load() }

func (a *Acceptor) trackState(c net.Conn, s http.ConnState) {
	k, ok := c.(*callerConn)
	if !ok {
		return
	}
	before := k.setState(s)
	if s == http.StateClosed || s == http.StateHijacked {
		a.recordEnd(k, before)
		a.mu.Lock()
		delete(a.conns, k)
		a.mu.Unlock()
		k.input.close()
	}
}

// currentLimits returns the limits that apply to connections now.
func (a *Acceptor) currentLimits() sequoiasill.CallerLimits {
	l := a.limits().WithDefaultSizes()
	l.IdleTimeout = min(l.IdleTimeout, maxIdle)
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	l.HeaderTimeout = min(l.HeaderTimeout, maxHeaderTimeout) + transitAllowance
	return l
}

// Drain starts to drain the entry: it accepts no new connections, closes the idle ones
// and makes each response the last one on its connection.
func (a *Acceptor) Drain() {
	a.draining.Store(true)
	if err := a.listener.Close(); err != nil {
		a.log.Warn("listener not closed", "error", err)
	}
	a.closeIdle()
}

// closeIdle lets the idle connections of a draining entry close, and returns the number of open ones.
func (a *Acceptor) closeIdle() int {
	a.mu.Lock()
	conns := slices.Collect(maps.Keys(a.conns))
	a.mu.Unlock()
	for _, k := range conns {
		k.wake()
	}
	return len(conns)
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
	a.markStopped()
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
	k, err := l.accept()
	if err != nil {
		return nil, err
	}
	l.acceptor.mu.Lock()
	l.acceptor.conns[k] = true
	l.acceptor.mu.Unlock()
	return k, nil
}

// accept accepts the next connection for which there is room.
func (l *callerListener) accept() (*callerConn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		k := &callerConn{Conn: c, acceptor: l.acceptor, acceptedAt: now, waitSince: now}
		if l.acceptor.budget.open(k) {
			return k, nil
		}
		_ = c.Close()
	}
}

// Listen opens a TCP listener that detects callers that disappeared without closing.
func Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: callerKeepAlive}
	l, err := lc.Listen(context.Background(), "tcp", address)
	return l, errors.Annotatef(err, "listen on %s", address)
}
