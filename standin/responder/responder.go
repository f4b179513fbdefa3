// Package responder is a stand-in of an HTTP server whose responses are bytes of a script, sound or not.
package responder

import (
	"bufio"
	"net"
	"net/http"

	"github.com/juju/errors"
)

// Responder serves connections until Close.
type Responder struct {
	listener net.Listener
}

// New returns a Responder that listens on a port of 127.0.0.1. For the first request of each connection it calls
// respond, which writes the response; the body of the request is unread. The connection is closed afterwards, which
// resets it if part of the body was not read.
func New(respond func(c *net.TCPConn, req *http.Request)) (*Responder, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "listen")
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					respond(c.(*net.TCPConn), req)
				}
			}()
		}
	}()
	return &Responder{listener: l}, nil
}

// Address returns the address of the server.
func (r *Responder) Address() string { return r.listener.Addr().String() }

// Close stops accepting connections.
func (r *Responder) Close() { _ = r.listener.Close() }
