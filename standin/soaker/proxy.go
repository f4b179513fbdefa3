package soaker

import (
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

// networkFault is a fault that a proxy applies to its connections.
type networkFault int

const (
	noFault        networkFault = iota
	delayData                   // each read is delayed by a random time
	blackhole                   // no data is forwarded and no connection is closed
	dropResponses               // requests are forwarded, responses are not
	stall                       // no data is forwarded until the fault ends, as with a paused process
	isolate                     // as stall, and the kernel accepts no new connections
	repeatRefusals              // a refusal is sent once more when the next request on its connection is forwarded
)

// holdsBack reports whether data waits for the end of the fault.
func (f networkFault) holdsBack() bool { return f == stall || f == isolate }

// proxy forwards connections to an address and can inject network faults into them.
type proxy struct {
	listener net.Listener
	target   string
	paths    *partitions // between entries and this proxy; nil for none

	mu           sync.Mutex
	fault        networkFault
	lastFaultEnd time.Time
	faultChanged chan struct{} // closed and replaced when the fault changes
	restore      func()        // ends the isolation of the listener; nil if it is not isolated
	conns        map[net.Conn]bool
	senders      map[net.Conn]int // number of the entry that opened the connection, -1 if unknown
	targetSender map[string]int   // the same by the local address of the connection to the target
	lossy        map[string]bool  // connections to the target that lost response data, by local address
}

// newProxy listens on an address and forwards connections to target.
func newProxy(address, target string, paths *partitions) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{
		listener: l, target: target, paths: paths, faultChanged: make(chan struct{}), conns: make(map[net.Conn]bool),
		senders: make(map[net.Conn]int), targetSender: make(map[string]int), lossy: make(map[string]bool),
	}
	go func() {
		for {
			p.waitWhileIsolated()
			c, err := l.Accept()
			if errors.Is(err, os.ErrDeadlineExceeded) {
				continue
			}
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

func (p *proxy) close() {
	p.setFault(noFault)
	// An error of the listener does not matter; open connections are reset below.
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) setFault(f networkFault) {
	p.mu.Lock()
	if p.restore != nil {
		p.restore()
		p.restore = nil
	}
	if p.fault != noFault {
		p.lastFaultEnd = time.Now()
	}
	p.fault = f
	close(p.faultChanged)
	p.faultChanged = make(chan struct{})
	p.mu.Unlock()
	if f == isolate {
		p.isolate()
	}
}

// faultyWithin reports whether a fault is active or ended less than the given duration ago.
func (p *proxy) faultyWithin(duration time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault != noFault || time.Since(p.lastFaultEnd) < duration
}

// deliversResponses reports whether responses on the connection to the target with the given
// local address are not stalled and none was dropped before.
func (p *proxy) deliversResponses(address string) bool {
	if p.senderHeldWithin(address, 0) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.fault.holdsBack() && !p.lossy[address]
}

func (p *proxy) markLossy(target net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lossy[target.LocalAddr().String()] = true
}

// waitWhileStalled waits until connections of an entry are not stalled and returns the active fault.
func (p *proxy) waitWhileStalled(sender int) networkFault {
	for {
		if p.paths != nil {
			p.paths.waitWhileHeld(sender)
		}
		p.mu.Lock()
		f, changed := p.fault, p.faultChanged
		p.mu.Unlock()
		if !f.holdsBack() {
			return f
		}
		<-changed
	}
}

// waitWhileIsolated waits until the kernel may accept connections.
func (p *proxy) waitWhileIsolated() {
	for {
		p.mu.Lock()
		f, changed := p.fault, p.faultChanged
		p.mu.Unlock()
		if f != isolate {
			return
		}
		<-changed
	}
}

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetOnClose(c)
		_ = c.Close()
	}
}

// resetSender resets the connections that an entry opened.
func (p *proxy) resetSender(entry int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, sender := range p.senders {
		if sender == entry {
			resetOnClose(c)
			_ = c.Close()
		}
	}
}

// sender returns the number of the entry that sent a request over the proxy, by the address from
// which the target received it, or -1 if it is unknown.
func (p *proxy) sender(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if entry, ok := p.targetSender[address]; ok {
		return entry
	}
	return -1
}

// senderHeldWithin reports whether the entry that sent a request is partitioned, or was less than the
// given duration ago.
func (p *proxy) senderHeldWithin(address string, duration time.Duration) bool {
	return p.paths != nil && p.paths.heldWithin(p.sender(address), duration)
}

// identify returns the number of the entry that opened a connection, and whether it may connect.
func (p *proxy) identify(client net.Conn) (sender int, accepted bool) {
	if p.paths == nil {
		return -1, true
	}
	sender = p.paths.sender(client.RemoteAddr())
	state, _ := p.paths.state(sender)
	return sender, state != refuse
}

// resetOnClose makes the close of a connection send a reset.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// An error means that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
	delete(p.senders, c)
	_ = c.Close()
}

func (p *proxy) forward(client net.Conn) {
	sender, accepted := p.identify(client)
	if !accepted {
		resetOnClose(client)
		_ = client.Close()
		return
	}
	p.waitWhileStalled(sender)
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.track(client, true)
	p.track(server, true)
	p.mu.Lock()
	p.senders[client] = sender
	p.targetSender[server.LocalAddr().String()] = sender
	p.mu.Unlock()
	defer p.track(client, false)
	defer p.track(server, false)
	done := make(chan struct{}, 2)
	refusals := &refusalRepeater{client: client}
	go func() { p.relay(server, client, sender, func() {}, refusals, false); done <- struct{}{} }()
	go func() {
		p.relay(client, server, sender, func() { p.markLossy(server) }, refusals, true)
		done <- struct{}{}
	}()
	<-done
}

// maxDataDelay bounds the random delay of the data of one read.
const maxDataDelay = 150 * time.Millisecond

// relay copies data as the active fault permits and calls onDrop when it drops some. A
// blackholed connection stays blackholed after the fault has ended.
func (p *proxy) relay(dst, src net.Conn, sender int, onDrop func(), refusals *refusalRepeater, responses bool) {
	buf := make([]byte, 16<<10)
	blackholed := false
	for {
		n, err := src.Read(buf)
		f := p.waitWhileStalled(sender)
		blackholed = blackholed || f == blackhole || f == dropResponses && responses
		if f == delayData {
			time.Sleep(rand.N(maxDataDelay))
		}
		if n > 0 && blackholed {
			onDrop()
			// A peer that misses data must not see a regular end.
			resetOnClose(dst)
		}
		if n > 0 && f == repeatRefusals {
			refusals.forward(buf[:n], responses)
		}
		if n > 0 && !blackholed {
			if _, writeErr := dst.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil && !blackholed {
			return
		}
		if err != nil {
			// Delays the moment at which the peer observes the end of the stream: forward
			// closes both connections once relay returns.
			time.Sleep(maxDataDelay)
			if _, writeErr := dst.Write(nil); writeErr != nil {
				return
			}
			return
		}
	}
}
