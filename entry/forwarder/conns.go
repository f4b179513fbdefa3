package forwarder

import (
	"net"
	"sync"

	"github.com/juju/errors"
)

// errCallsEnded is the error of connections that are opened after EndCalls.
var errCallsEnded = errors.New("the entry shuts down")

// EndCalls ends all calls to plain services. Those in progress fail with verdict
// MayHaveRun, and those that have no connection yet, or start later, with NotRun.
func (f *Forwarder) EndCalls() { f.callConns.end() }

func (f *Forwarder) dialForCall(addr string) (net.Conn, error) {
	c, err := f.dial(addr)
	if err != nil {
		return nil, err
	}
	return f.callConns.add(c)
}

// connSet is a set of open connections that can be closed together. It is safe for
// concurrent use.
type connSet struct {
	mu    sync.Mutex
	ended bool
	conns map[net.Conn]struct{}
}

func newConnSet() *connSet { return &connSet{conns: make(map[net.Conn]struct{})} }

// add returns a connection that is in the set until it is closed. After end, it closes
// the connection instead and returns an error.
func (s *connSet) add(c net.Conn) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		_ = c.Close()
		return nil, dialError{errCallsEnded}
	}
	s.conns[c] = struct{}{}
	return &setConn{Conn: c, set: s}, nil
}

func (s *connSet) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// end closes all connections.
func (s *connSet) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for c := range s.conns {
		_ = c.Close()
	}
	clear(s.conns)
}

// setConn is a connection in a connSet.
type setConn struct {
	net.Conn
	set *connSet
}

// Close implements net.Conn.
func (c *setConn) Close() error {
	c.set.remove(c.Conn)
	return c.Conn.Close()
}
