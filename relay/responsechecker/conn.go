// Package responsechecker detects broken responses that HTTP libraries take for sound ones.
package responsechecker

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/juju/errors"
)

// Conn is a connection whose reader learns of its failure also if a write was told of it. The operating
// system reports a failure, such as a reset, only once. If a concurrent write gets the report, reads then end as if the
// other end had closed the connection, and a response that ends with its connection looks complete.
type Conn struct {
	net.Conn

	writing  sync.Mutex // held during a write
	writeErr error      // failure of the connection that a write was told of; guarded by writing
}

// NewConn returns a Conn that reads from and writes to c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil && isFailure(err) {
		c.writeErr = err
	}
	return n, err
}

// isFailure reports whether the error of a write is the report of a connection's failure. If the other end had
// ended its sending side before the failure, which leaves what it sent complete, the error is EPIPE.
func isFailure(err error) bool {
	errno, ok := errors.AsType[syscall.Errno](err)
	return ok && errno != syscall.EPIPE
}

// Read implements net.Conn. It returns io.EOF only if the other end has ended its sending side.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if failure := c.failure(); failure != nil {
			return n, failure
		}
	}
	return n, err
}

// failure returns the failure of the connection that a write was told of, nil if there is none.
func (c *Conn) failure() error {
	if !c.writing.TryLock() {
		if !isClosed(c.Conn) {
			return nil // the other end has only ended its sending side
		}
		// The write in progress returns at once, as the connection is closed.
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.writeErr
}
