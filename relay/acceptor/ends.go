package acceptor

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
)

// Causes of ends without a complete response, in logs and metrics. The handler logs and counts the
// ends of requests that it knows of.
const (
	causeIdleTimeout   = "idle timeout"
	causeHeaderTimeout = "header timeout"
	causeStop          = string(sequoiasill.EndedByStop)
	causeRejected      = "rejected"
	causeNotDelivered  = "not delivered"
	causeHeadTooLarge  = "header too large"
	causeBudget        = "memory budget" // closed or refused as callers' input takes too much memory
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// request is a request in the handler.
type request struct {
	id     string
	failed bool // a write failed before the handler returned, which logs it
}

// trackRequests tells the connection of each request what is served on it. The context of a request
// is cancelled with a sequoiasill.ConnectionError when its connection ends.
func (a *Acceptor) trackRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		c, ok := req.Context().Value(connKey{}).(*callerConn)
		if !ok {
			h.ServeHTTP(w, req)
			return
		}
		r := c.begin(a.requestID(req))
		defer c.end(r)
		// Part of the header may have been read with the request before, when nothing counted its lines.
		size, lines := HeaderSize(req)
		if !c.input.reserveHead(headerCost(size+lines*shortestLine, lines)) {
			refuseUnserved(w)
			return
		}
		ctx, cancel := context.WithCancelCause(context.WithoutCancel(req.Context()))
		defer cancel(nil)
		stop := context.AfterFunc(req.Context(), func() { cancel(c.endError()) })
		defer stop()
		h.ServeHTTP(w, req.WithContext(ctx))
	})
}

// HeaderSize returns the size of the request line and the header in bytes, without their framing, and the
// number of lines of the header.
func HeaderSize(req *http.Request) (bytes, lines int) {
	bytes = len(req.Method) + len(req.RequestURI) + len(req.Host)
	for name, values := range req.Header {
		lines += len(values)
		for _, v := range values {
			bytes += len(name) + len(v)
		}
	}
	return bytes, lines
}

// refuseUnserved refuses a request for which there is no memory, before it is dispatched.
func refuseUnserved(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Connection", "close")
	h.Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// begin records that the handler serves a request.
func (c *callerConn) begin(id string) *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = &request{id: id}
	return c.request
}

// end records that the handler has returned.
func (c *callerConn) end(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.failed = c.writeErr != nil
}

// recordRead records bytes that were read, and the end of the reading.
func (c *callerConn) recordRead(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes += n
	if n > 0 && c.waits() && c.headerSince.IsZero() {
		c.headerSince = time.Now()
	}
	if err != nil && c.readErr == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
	}
}

// recordWrite records the end of the writing, and a response of net/http itself. These are written
// without a request in the handler.
func (c *callerConn) recordWrite(p []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil {
		c.writeErr = err
	}
	if c.state != http.StateActive || c.request == nil {
		c.rejection = max(c.rejection, statusOf(p))
	}
}

// statusOf returns the status of a response that starts with p, 0 if p is not the start of one.
func statusOf(p []byte) int {
	rest, ok := bytes.CutPrefix(p, []byte("HTTP/1.1 "))
	if !ok || len(rest) < 3 {
		return 0
	}
	status, err := strconv.Atoi(string(rest[:3]))
	if err != nil {
		return 0
	}
	return status
}

// howEnded returns how the connection ended under a request. The caller holds the lock.
func (c *callerConn) howEnded() sequoiasill.ConnectionEnd {
	err := c.readErr
	if err == nil {
		err = c.writeErr
	}
	switch {
	case c.cause == causeStop:
		return sequoiasill.EndedByStop
	case errors.Is(err, io.EOF):
		return sequoiasill.EndedSending
	case errors.Is(err, syscall.ETIMEDOUT):
		return sequoiasill.EndedSilent
	}
	return sequoiasill.EndedByReset
}

// endError returns the error of a request whose connection ended.
func (c *callerConn) endError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &sequoiasill.ConnectionError{End: c.howEnded()}
}

// markStopped records that the requests still in progress are cut off by the end of a shutdown.
func (a *Acceptor) markStopped() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.mu.Lock()
		c.cause = causeStop
		c.mu.Unlock()
	}
}

// recordEnd logs and counts the end of a connection in the given state, unless all its requests were
// answered or the handler does so.
func (a *Acceptor) recordEnd(c *callerConn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cause := c.endCause(state)
	if cause == "" {
		return
	}
	a.meter.CallerEnded(cause)
	args := []any{"cause", cause, "remote", remoteOf(c.Conn), "age", sequoiasill.MillisOf(time.Since(c.acceptedAt)), "bytes", c.bytes}
	switch {
	case cause == causeNotDelivered:
		args = append(args, "request", c.request.id, "error", c.writeErr)
	case cause == causeRejected:
		args = append(args, "status", c.rejection)
	case c.readErr != nil:
		args = append(args, "error", c.readErr)
	}
	if cause == causeBudget {
		// The budget logs these, as many as it bounds.
		a.log.Debug("connection ended", args...)
		return
	}
	a.log.Info("connection ended", args...)
}

// endCause returns why the connection ended, empty if all its requests were answered or the handler
// logs their ends. The caller holds the lock.
func (c *callerConn) endCause(state http.ConnState) string {
	inHandler := state == http.StateActive && c.request != nil
	switch {
	case inHandler && !c.request.failed && c.writeErr != nil:
		return causeNotDelivered
	case inHandler:
		return ""
	case c.cause != "":
		return c.cause
	case c.rejection != 0 && c.readErr == nil: // net/http also rejects what breaks off
		return causeRejected
	case c.bytes > 0:
		return string(c.howEnded())
	}
	return ""
}

func remoteOf(c net.Conn) string {
	if a := c.RemoteAddr(); a != nil {
		return a.String()
	}
	return ""
}
