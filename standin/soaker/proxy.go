package soaker

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// trouble is what a proxy does to its connections.
type trouble int

const (
	none    trouble = iota
	delay           // each piece of data waits
	silence         // nothing passes, nothing is closed
	oneWay          // requests pass, answers do not
	freeze          // nothing is read until it is over, as by a process that stands still
)

// proxy passes connections on to an address and can harm them.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	trouble trouble
	ended   time.Time     // of the last trouble
	over    chan struct{} // closed when the trouble is over
	conns   map[net.Conn]bool
	dropped map[string]bool // connections to the target, by their own address, of which answers were dropped
}

// newProxy listens on an address and passes connections on to target.
func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, over: make(chan struct{}), conns: make(map[net.Conn]bool), dropped: make(map[string]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return p, nil
}

func (p *proxy) close() {
	p.set(none)
	// Nothing is lost with the listener; open connections end by reset.
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) set(t trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.trouble != none {
		p.ended = time.Now()
	}
	p.trouble = t
	close(p.over)
	p.over = make(chan struct{})
}

// heldUp reports whether there is a trouble, or was one within a span.
func (p *proxy) heldUp(span time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trouble != none || time.Since(p.ended) < span
}

// passes reports whether answers on a connection to the target pass now and none was
// dropped before.
func (p *proxy) passes(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trouble != freeze && !p.dropped[address]
}

func (p *proxy) drop(answersOf net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropped[answersOf.LocalAddr().String()] = true
}

// wait returns the trouble of the moment, and not before a freeze is over.
func (p *proxy) wait() trouble {
	for {
		p.mu.Lock()
		t, over := p.trouble, p.over
		p.mu.Unlock()
		if t != freeze {
			return t
		}
		<-over
	}
}

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// Linger 0 makes the close a reset; a closed connection needs none.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
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
	_ = c.Close()
}

func (p *proxy) pass(near net.Conn) {
	p.wait()
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	p.track(near, true)
	p.track(far, true)
	defer p.track(near, false)
	defer p.track(far, false)
	done := make(chan struct{}, 2)
	go func() { p.copy(far, near, func() {}, false); done <- struct{}{} }()
	go func() { p.copy(near, far, func() { p.drop(far) }, true); done <- struct{}{} }()
	<-done
}

// longestDelay bounds the delay of a piece of data.
const longestDelay = 150 * time.Millisecond

// copy passes data on as the trouble of the moment has it, and tells where it drops some. A
// silenced connection stays silent after the trouble.
func (p *proxy) copy(to io.Writer, from io.Reader, dropped func(), answers bool) {
	buf := make([]byte, 16<<10)
	silent := false
	for {
		n, err := from.Read(buf)
		t := p.wait()
		silent = silent || t == silence || t == oneWay && answers
		if t == delay {
			time.Sleep(rand.N(longestDelay))
		}
		if n > 0 && silent {
			dropped()
		}
		if n > 0 && !silent {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil && !silent {
			return
		}
		if err != nil {
			// The other side must not see the end either; a reset ends it.
			time.Sleep(longestDelay)
			if _, werr := to.Write(nil); werr != nil {
				return
			}
			return
		}
	}
}
