package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// writeEndlessly writes prefix and then unit repeatedly until the client closes the
// connection, and returns the number of bytes written.
func writeEndlessly(c net.Conn, prefix, unit string) int64 {
	sent := int64(0)
	block := strings.Repeat(unit, 64<<10/len(unit))
	for text := prefix; ; text = block {
		n, err := io.WriteString(c, text)
		sent += int64(n)
		if err != nil {
			return sent
		}
	}
}

// A header that does not end, or that is no HTTP header, is rejected after a bounded number of
// bytes, and the connection is closed.
func TestEndlessHeadIsRejected(t *testing.T) {
	// maxSent includes what the operating system buffers beyond what is read.
	const maxSent = 32 << 20
	for name, tc := range map[string]struct{ prefix, unit string }{
		"no response at all":         {"", "x"},
		"a status without end":       {"HTTP/1.1 200 ", "x"},
		"a line without end":         {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"a name without end":         {"HTTP/1.1 200 OK\r\n", "x"},
		"lines without end":          {"HTTP/1.1 200 OK\r\n", "A: x\r\n"},
		"continued without end":      {"HTTP/1.1 200 OK\r\nA: x\r\n", " x\r\n"},
		"interim responses":          {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim responses of lines": {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			closed := make(chan struct{})
			u := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				defer close(closed)
				if readRequest(r) {
					sent.Store(writeEndlessly(c, tc.prefix, tc.unit))
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			start := time.Now()
			x, err := newConnector(t).Do(ctx, request(u))
			if err == nil {
				x.Close(false)
				t.Fatal("accepted as a response")
			}
			if took := time.Since(start); took > 2*time.Second {
				t.Errorf("rejected after %s", took)
			}
			select {
			case <-closed:
			case <-time.After(2 * time.Second):
				t.Fatal("the connection is not closed")
			}
			if sent.Load() > maxSent {
				t.Errorf("%d bytes were accepted", sent.Load())
			}
		})
	}
}

// An idle connection on which unexpected data arrives is closed within seconds, not only when
// it is to be reused.
func TestIdleConnectionWithBytesIsClosed(t *testing.T) {
	closed := make(chan struct{})
	u := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			defer close(closed)
			writeEndlessly(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=60\r\n\r\nok", "x")
		}
	})
	c := newConnector(t)
	x, err := c.Do(context.Background(), request(u))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, x.Response.Body); err != nil {
		t.Fatal(err)
	}
	x.Close(true)
	select {
	case <-closed:
	case <-time.After(3 * time.Second):
		t.Error("the connection is still open")
	}
}
