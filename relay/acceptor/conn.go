package acceptor

import (
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/reserver"
)

// callerConn is a caller's connection. It is closed for want of a request only by its own Read, and
// only if nothing has arrived: bytes that were read always reach the server.
type callerConn struct {
	net.Conn

	acceptor   *Acceptor
	acceptedAt time.Time
	input      *Input // set before the first read

	mu          sync.Mutex
	state       http.ConnState
	waitSince   time.Time   // when the connection was accepted, or its last response ended
	headerSince time.Time   // when part of the pending request was first read; zero if none was
	bufferSize  int         // of the server's empty read buffer, 0 until the first read
	bytes       int         // read since the last response
	head        headScanner // of the pending request; used only by the goroutine that serves the connection
	body        int         // bytes read since the head of the pending request ended
	request     *request    // in the handler or the last one there; nil while a header is read
	cause       string      // why this process closed the connection; empty if it did not
	rejection   int         // status with which net/http rejected a request itself, 0 for none
	readErr     error       // that ended the reading
	writeErr    error       // that ended the writing
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		waits, err := c.startWait(len(p))
		if err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if waits && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			var ended bool
			if n, ended, err = c.endWait(p); !ended {
				continue
			}
			if err != nil {
				c.rejectSlow()
			}
		}
		c.recordRead(n, err)
		if n > 0 {
			if rejected := c.admit(waits, p[:n]); rejected != nil {
				return 0, rejected
			}
		}
		return n, err
	}
}

// admit decides whether the server gets bytes that were read. It rejects a head beyond the limits, and one
// for which there is no memory, before the server parses it.
func (c *callerConn) admit(waits bool, p []byte) error {
	c.input.received(len(p))
	// A caller that sends continuously would keep the processor for a time slice of 10 ms; with chunks of one
	// byte a buffer takes less than 0.1 ms.
	runtime.Gosched()
	limits := c.acceptor.currentLimits()
	if !waits {
		c.mu.Lock()
		c.body += len(p)
		size := c.body
		c.mu.Unlock()
		if size <= limits.BodyBytes*maxFramingFactor+framingSlack {
			return nil
		}
		c.input.reportLimit(reasonFraming, c, size)
		c.setCause(causeRejected)
		return errFraming
	}
	c.input.setPhase(reserver.Reading)
	c.head.scan(p)
	switch {
	case c.head.exceeds(limits.HeaderBytes):
		c.input.reportLimit(reasonHead, c, c.head.bytes)
		c.reject(causeHeadTooLarge, headTooLargeResponse)
	case !c.input.reserveHead(c.head.cost()):
		c.reject(causeBudget, noMemoryResponse)
	default:
		return nil
	}
	return os.ErrDeadlineExceeded
}

const (
	// maxFramingFactor is the size of a body on the connection, relative to the size of its content: a chunk
	// of one byte has five of framing. Extensions of chunks and trailers have the rest, and framingSlack.
	maxFramingFactor = 8
	framingSlack     = 64 << 10 // bytes
)

// errFraming is the error of a body whose framing is far larger than its content.
const errFraming = errors.ConstError("framing of the body is too large")

const (
	headTooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	noMemoryResponse     = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// reject responds to a request that the server does not get, and ends the connection.
func (c *callerConn) reject(cause, response string) {
	if !c.setCause(cause) {
		return // it was closed meanwhile
	}
	if c.writeRejection(response) == nil {
		c.linger()
	}
}

// writeRejection writes a response past the server, which does not get the request.
func (c *callerConn) writeRejection(response string) error {
	_ = c.SetWriteDeadline(time.Now().Add(rejectTimeout.Duration()))
	_, err := io.WriteString(c.Conn, response)
	c.recordWrite(nil, err)
	return err
}

// linger reads what a caller still sends whose request was rejected, unless many do so.
func (c *callerConn) linger() {
	tcp, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return
	}
	defer c.acceptor.lingering.Add(-1)
	if c.acceptor.lingering.Add(1) > maxLingering || tcp.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(rejectLinger))
	_, _ = io.CopyN(io.Discard, c.Conn, rejectLingerBytes)
}

// rejectLinger bounds the time, and rejectLingerBytes the bytes, that are read from a caller whose request
// was rejected: with unread bytes the close would reset the connection before the response is read.
// maxLingering bounds such connections at a time, as they keep others out.
const (
	rejectLinger      = 500 * time.Millisecond
	rejectLingerBytes = 256 << 10
	maxLingering      = 16
)

// setCause sets why this process ends the connection. It returns false if there is a cause already.
func (c *callerConn) setCause(cause string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != "" {
		return false
	}
	c.cause = cause
	return true
}

// closeFor closes the connection, also while it is read.
func (c *callerConn) closeFor(cause string) {
	c.setCause(cause)
	_ = c.Close()
}

// startWait limits the next read if the server waits for a request or for the rest of a header, and
// reports whether it does. Size is that of the free part of the server's buffer: a part in use holds
// bytes of the next request. No read follows one that ended the wait, as the server takes what it has
// for a whole line of the header then.
func (c *callerConn) startWait(size int) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waits() {
		return false, nil
	}
	if c.cause != "" {
		return true, os.ErrDeadlineExceeded
	}
	c.bufferSize = max(c.bufferSize, size)
	if c.headerSince.IsZero() && size < c.bufferSize {
		c.headerSince = time.Now()
	}
	end, _ := c.waitEnd()
	_ = c.SetReadDeadline(end)
	return true, nil
}

// waits reports whether no complete header of a request was read yet. Only the goroutine that serves the
// connection reads then. The caller holds the lock.
func (c *callerConn) waits() bool { return c.state == http.StateNew || c.state == http.StateIdle }

// waitEnd returns until when the connection is kept without a complete header, and the cause of its end
// then. The caller holds the lock.
func (c *callerConn) waitEnd() (time.Time, string) {
	limits, isNew := c.acceptor.currentLimits(), c.state == http.StateNew
	switch {
	case !c.headerSince.IsZero():
		return c.headerSince.Add(limits.HeaderTimeout.Duration()), causeHeaderTimeout
	case c.acceptor.isDraining() && isNew:
		return c.waitSince.Add(firstRequestWait.Duration()), causeStop
	case c.acceptor.isDraining():
		return c.waitSince, causeStop
	case isNew:
		return c.waitSince.Add(max(limits.IdleTimeout, limits.HeaderTimeout).Duration()), causeIdleTimeout
	}
	return c.waitSince.Add(limits.IdleTimeout.Duration()), causeIdleTimeout
}

// endWait reads what has arrived if the time to wait is over, and reports whether it is: the time may have
// ended while this process did not run, and a request have arrived meanwhile.
func (c *callerConn) endWait(p []byte) (n int, ended bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	end, cause := c.waitEnd()
	if time.Now().Before(end) {
		return 0, false, nil
	}
	n, err = readArrived(c.Conn, p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.cause = cause
	}
	return n, true, err
}

// headerTimeoutResponse tells the caller of a slow request that it was not run.
const headerTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// rejectTimeout bounds the time to write it to a caller that does not read.
const rejectTimeout = sequoiasill.Second

// rejectSlow responds to a request whose header came too slowly. net/http would end it with a 400 or
// without a response.
func (c *callerConn) rejectSlow() {
	if !c.isRejected() {
		return
	}
	_ = c.writeRejection(headerTimeoutResponse)
}

// wake lets a read that waits for a request look again how long it may.
func (c *callerConn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waits() {
		_ = c.SetReadDeadline(time.Now())
	}
}

// setState records what the server does with the connection, and returns the state before.
func (c *callerConn) setState(s http.ConnState) http.ConnState {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.state
	c.state = s
	if s == http.StateIdle {
		c.input.endRequest()
	}
	switch s {
	case http.StateActive:
		c.request = nil
		_ = c.SetReadDeadline(time.Time{})
	case http.StateIdle:
		c.waitSince, c.headerSince, c.bytes = time.Now(), time.Time{}, 0
		c.body, c.head = 0, headScanner{}
	}
	return before
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.isRejected() {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	c.recordWrite(p, err)
	return n, err
}

// isRejected reports whether a request was rejected before the server got its header, so that the server's
// response is replaced.
func (c *callerConn) isRejected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.cause {
	case causeHeaderTimeout, causeHeadTooLarge, causeBudget:
		return true
	}
	return false
}
