package responsechecker

import (
	"bytes"
	"net"
)

// HeadConn is the connection of a client that writes each request in full before it reads the response. A read
// fails, with an error that wraps ErrInvalidHead, instead of completing an invalid head.
type HeadConn struct {
	net.Conn

	expectsHead bool
	head        []byte // what was received of the expected head
}

// NewHeadConn returns a HeadConn that reads from and writes to c.
func NewHeadConn(c net.Conn) *HeadConn { return &HeadConn{Conn: c} }

// Write implements net.Conn. A response follows it.
func (c *HeadConn) Write(b []byte) (int, error) {
	c.expectsHead, c.head = true, nil
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *HeadConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.expectsHead {
		if err := c.receive(b[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

// receive adds bytes to the expected head, and checks it once it is complete. Another one follows an interim
// response.
func (c *HeadConn) receive(b []byte) error {
	c.head = append(c.head, b...)
	for c.expectsHead {
		end := headEnd(c.head)
		if end < 0 {
			return nil
		}
		h, err := parseHead(c.head[:end])
		if err != nil {
			return err
		}
		c.head, c.expectsHead = c.head[end:], h.isInterim()
	}
	c.head = nil
	return nil
}

// headEnd returns the length of the head at the start of b, up to and with its empty line, -1 if it is
// incomplete. Libraries skip empty lines before the status line.
func headEnd(b []byte) int {
	end, begun := 0, false
	for line := range bytes.Lines(b) {
		if !bytes.HasSuffix(line, []byte("\n")) {
			return -1
		}
		end += len(line)
		empty := len(trimLineEnd(line)) == 0
		if empty && begun {
			return end
		}
		begun = begun || !empty
	}
	return -1
}
