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

// pour writes a beginning and then a text without end until the caller closes, and returns
// the bytes that were taken.
func pour(c net.Conn, begin, again string) int64 {
	sent := int64(0)
	block := strings.Repeat(again, 64<<10/len(again))
	for text := begin; ; text = block {
		n, err := io.WriteString(c, text)
		sent += int64(n)
		if err != nil {
			return sent
		}
	}
}

// Bytes that are no answer and come without end in its head are given up after a bounded
// number, and the connection is closed.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	// mostSent allows for what the system buffers beyond what is read.
	const mostSent = 32 << 20
	for name, tc := range map[string]struct{ begin, again string }{
		"no answer at all":         {"", "x"},
		"a status without end":     {"HTTP/1.1 200 ", "x"},
		"a line without end":       {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"a name without end":       {"HTTP/1.1 200 OK\r\n", "x"},
		"lines without end":        {"HTTP/1.1 200 OK\r\n", "A: x\r\n"},
		"continued without end":    {"HTTP/1.1 200 OK\r\nA: x\r\n", " x\r\n"},
		"interim answers":          {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim answers of lines": {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			closed := make(chan struct{})
			u := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				defer close(closed)
				if read(r) {
					sent.Store(pour(c, tc.begin, tc.again))
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			begin := time.Now()
			x, err := newConnector(t).Do(ctx, request(u))
			if err == nil {
				x.Close(false)
				t.Fatal("taken for an answer")
			}
			if took := time.Since(begin); took > 2*time.Second {
				t.Errorf("given up after %s", took)
			}
			select {
			case <-closed:
			case <-time.After(2 * time.Second):
				t.Fatal("the connection is not closed")
			}
			if sent.Load() > mostSent {
				t.Errorf("%d bytes were taken", sent.Load())
			}
		})
	}
}

// An idle connection on which bytes come that belong to no request is closed soon, not only
// when it is needed again.
func TestIdleConnectionWithBytesIsClosed(t *testing.T) {
	closed := make(chan struct{})
	u := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if read(r) {
			defer close(closed)
			pour(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=60\r\n\r\nok", "x")
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
