// Package killer provides a listener that can reset all its connections at once. Tests
// use it to simulate the crash of a stand-in that runs in their own process.
package killer

import (
	"net"
	"sync"
)

// Listener wraps a TCP listener and tracks its open connections.
type Listener struct {
	net.Listener
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	killed bool
}

// New returns a Listener that wraps l.
func New(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: make(map[net.Conn]struct{})}
}

// NopLogger is a logger that discards all output, for servers whose connections are reset on
// purpose.
type NopLogger struct{}

// Printf discards the message.
func (NopLogger) Printf(string, ...any) {}

// Accept returns the next connection. After Kill it returns net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.killed {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	tracked := &conn{Conn: c, listener: l}
	l.conns[tracked] = struct{}{}
	return tracked, nil
}

// Kill closes the listener and resets every open connection.
func (l *Listener) Kill() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.killed = true
	_ = l.Close()
	for c := range l.conns {
		if t, ok := c.(*conn).Conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.(*conn).Conn.Close()
	}
}

type conn struct {
	net.Conn
	listener *Listener
}

// Close closes the connection and stops tracking it.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
