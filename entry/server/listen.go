package server

import (
	"net"

	"github.com/juju/errors"
)

// Listen opens the sockets at the addresses in the options. Port 0 selects a free
// port. The returned options contain the actual addresses.
func Listen(o Options) (Listeners, Options, error) {
	var l Listeners
	for _, s := range []struct {
		address  *string
		listener *net.Listener
	}{{&o.Listen, &l.Public}, {&o.Operators, &l.Operators}, {&o.Peer, &l.Peer}} {
		opened, err := net.Listen("tcp", *s.address)
		if err != nil {
			l.Close()
			return Listeners{}, o, errors.Annotatef(err, "listen on %s", *s.address)
		}
		*s.listener = opened
		*s.address = opened.Addr().String()
	}
	gossip, err := net.ListenPacket("udp", o.Peer)
	if err != nil {
		l.Close()
		return Listeners{}, o, errors.Annotatef(err, "listen on %s", o.Peer)
	}
	l.Gossip = gossip
	return l, o, nil
}

// Close closes the open sockets.
func (l Listeners) Close() {
	for _, c := range []net.Listener{l.Public, l.Operators, l.Peer} {
		if c != nil {
			_ = c.Close()
		}
	}
	if l.Gossip != nil {
		_ = l.Gossip.Close()
	}
}
