package acceptor

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConn is a caller's connection that tracks whether a request is pending on it, and how it
// ends.
type callerConn struct {
	net.Conn

	acceptedAt time.Time

	mu             sync.Mutex
	state          http.ConnState
	requestPending bool // bytes were read since the last write
	closed         bool
	timer          *time.Timer // set while the connection is idle
	bytes          int         // read since the last response
	request        *request    // the last one that reached the handler; nil before the first
	cause          string      // why this process closed the connection; empty if it did not
	rejection      int         // status with which net/http rejected a request itself, 0 for none
	readErr        error       // that ended the reading
	writeErr       error       // that ended the writing
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
	c.recordRead(n, err)
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.requestPending = false
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.recordWrite(p, err)
	return n, err
}

// closeIdle closes the connection unless a request is pending on it. It reports whether the
// connection is closed.
func (c *callerConn) closeIdle(cause string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.state == http.StateClosed {
		return true
	}
	if c.requestPending || c.state != http.StateIdle && c.state != http.StateNew {
		return false
	}
	c.closed, c.cause = true, cause
	// The server then detects the closed connection and reports StateClosed.
	_ = c.Close()
	return true
}
