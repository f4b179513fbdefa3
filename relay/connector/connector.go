// Package connector keeps HTTP/1.1 connections to upstreams and carries one
// exchange at a time on each. It reports for every failure whether the upstream
// may have received the request.
package connector

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
)

// Options configure a Connector.
type Options struct {
	DialTimeout sequoiasill.Millis
	// IdleSpan is how long an idle connection is kept where the upstream announces
	// no timeout of its own.
	IdleSpan sequoiasill.Millis
	// IdlePart is the part, in percent, of an announced timeout for which an idle
	// connection is kept, so that the upstream's close never meets a request.
	IdlePart int
	// SilentSpan is how long sent bytes may stay unacknowledged, and SilentProbe the
	// pause between probes of a quiet connection, until it is taken as dead.
	SilentSpan  sequoiasill.Millis
	SilentProbe sequoiasill.Millis
	MaxIdle     int // connections kept for one upstream
	// HeadBytes bounds the heads of an answer, interim ones included.
	HeadBytes int
	// Reset ends exchanges that are broken off by a reset, so that nothing of them which
	// is still on its way comes later.
	Reset bool
}

// DefaultOptions returns the options that entries use.
func DefaultOptions() Options {
	return Options{
		DialTimeout: 500, IdleSpan: 3 * sequoiasill.Second, IdlePart: 50,
		SilentSpan: 1500, SilentProbe: sequoiasill.Second, MaxIdle: 16, HeadBytes: 64 << 10,
	}
}

// Error is a failed exchange.
type Error struct {
	Verdict sequoiasill.Verdict // NotRun if no byte reached the upstream
	Op      string
	Err     error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Ran returns the verdict.
func (e *Error) Ran() sequoiasill.Verdict { return e.Verdict }

// Connector keeps the connections. It is safe for concurrent use.
type Connector struct {
	opts   Options
	clock  sequoiasill.Clock
	dialer net.Dialer
	stop   chan struct{}
	once   sync.Once

	mu     sync.Mutex
	idle   map[string][]*conn // by upstream, the latest used last
	closed bool
	dials  int64
	reused int64
}

// conn is a connection to an upstream.
type conn struct {
	net     net.Conn
	bounded *boundedReader
	reader  *bufio.Reader // of bounded
	idleAt  sequoiasill.Millis
	expires sequoiasill.Millis
}

// sweepEvery is the interval at which idle connections are looked through.
const sweepEvery = time.Second

// readBuffer is the size of a connection's read buffer in bytes; answers are small
// and there are many connections on an instance with little memory.
const readBuffer = 2 << 10

// New returns a connector that works until Close.
func New(opts Options, clock sequoiasill.Clock) *Connector {
	c := &Connector{
		opts: opts, clock: clock, idle: make(map[string][]*conn), stop: make(chan struct{}),
		dialer: net.Dialer{
			Timeout: opts.DialTimeout.Duration(),
			Control: silenceControl(opts.SilentSpan),
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: opts.SilentProbe.Duration(), Interval: opts.SilentProbe.Duration(), Count: 2,
			},
		},
	}
	go func() {
		tick := time.NewTicker(sweepEvery)
		defer tick.Stop()
		for {
			select {
			case <-c.stop:
				return
			case <-tick.C:
				c.sweep()
			}
		}
	}()
	return c
}

// Close closes all idle connections.
func (c *Connector) Close() {
	c.once.Do(func() {
		close(c.stop)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closed = true
		for key, list := range c.idle {
			closeAll(list)
			delete(c.idle, key)
		}
	})
}

// Counts returns how many connections were opened and how often one was reused.
func (c *Connector) Counts() (dials, reused int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials, c.reused
}

// Forget closes the idle connections to an upstream.
func (c *Connector) Forget(upstream string) {
	c.mu.Lock()
	list := c.idle[upstream]
	delete(c.idle, upstream)
	c.mu.Unlock()
	closeAll(list)
}

func closeAll(list []*conn) {
	for _, k := range list {
		_ = k.net.Close()
	}
}

// sweep closes idle connections whose time is over, that were closed, or on which bytes came
// that belong to no request.
func (c *Connector) sweep() {
	now := c.clock.Now()
	var expired []*conn
	c.mu.Lock()
	for key, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if k.expires <= now || !quiet(k.net) {
				expired = append(expired, k)
				continue
			}
			kept = append(kept, k)
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(c.idle, key)
			continue
		}
		c.idle[key] = kept
	}
	c.mu.Unlock()
	closeAll(expired)
}

// take returns an idle connection that is still sound, or nil.
func (c *Connector) take(upstream string) *conn {
	for {
		c.mu.Lock()
		list := c.idle[upstream]
		if len(list) == 0 {
			c.mu.Unlock()
			return nil
		}
		k := list[len(list)-1]
		list[len(list)-1] = nil
		c.idle[upstream] = list[:len(list)-1]
		c.mu.Unlock()
		if k.expires > c.clock.Now() && k.reader.Buffered() == 0 && quiet(k.net) {
			c.mu.Lock()
			c.reused++
			c.mu.Unlock()
			return k
		}
		_ = k.net.Close()
	}
}

func (c *Connector) put(upstream string, k *conn, keep sequoiasill.Millis) {
	now := c.clock.Now()
	k.idleAt, k.expires = now, now+keep
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[upstream]) >= c.opts.MaxIdle {
		_ = k.net.Close()
		return
	}
	c.idle[upstream] = append(c.idle[upstream], k)
}

// keepSpan returns how long a connection on which nothing was sent may stay idle.
func (k *conn) keepSpan(fresh, now sequoiasill.Millis) sequoiasill.Millis {
	if k.expires == 0 {
		return fresh
	}
	return k.expires - now
}

// Request is what is sent on one exchange.
type Request struct {
	Upstream string // name, under which connections are kept
	Address  string
	Method   string
	Target   string
	Host     string
	Header   http.Header
	Body     []byte
	Fresh    bool // opens a connection of its own
	// MaySend is asked right before the first byte is written, nil for always. If it
	// returns false, nothing is sent and the error wraps ErrWithheld.
	MaySend func() bool
}

// ErrWithheld is the cause of a failed exchange whose request was not to be sent any
// longer when a connection was had.
const ErrWithheld = errors.ConstError("request is not to be sent any longer")

// Exchange is a request with the head of its answer. Close must be called.
type Exchange struct {
	Response *http.Response
	Reused   bool

	connector *Connector
	conn      *conn
	upstream  string
	written   chan error
	stopWatch func() bool
	wrote     bool
	closeOnce sync.Once
}

// inlineBody is the largest body that is written before the answer is read. A
// larger one is written meanwhile, as the upstream may answer before it reads all.
const inlineBody = 16 << 10

// Do sends a request and reads the head of its answer. It never sends twice. The
// connection is closed when ctx ends before the exchange does.
func (c *Connector) Do(ctx context.Context, r Request) (*Exchange, error) {
	k, reused, err := c.connect(ctx, r)
	if err != nil {
		return nil, &Error{Verdict: sequoiasill.NotRun, Op: "connect to " + r.Address, Err: err}
	}
	if r.MaySend != nil && !r.MaySend() {
		c.put(r.Upstream, k, k.keepSpan(c.opts.IdleSpan, c.clock.Now()))
		return nil, &Error{Verdict: sequoiasill.NotRun, Op: "send to " + r.Address, Err: ErrWithheld}
	}
	x := &Exchange{connector: c, conn: k, upstream: r.Upstream, Reused: reused, written: make(chan error, 1)}
	x.stopWatch = context.AfterFunc(ctx, func() { c.breakOff(k.net) })
	head := encodeHead(r)
	if len(r.Body) <= inlineBody {
		head = append(head, r.Body...)
		n, err := k.net.Write(head)
		if err != nil {
			x.abandon()
			return nil, &Error{Verdict: verdictOfWrite(n), Op: "write to " + r.Address, Err: err}
		}
		x.wrote = true
	} else {
		n, err := k.net.Write(head)
		if err != nil {
			x.abandon()
			return nil, &Error{Verdict: verdictOfWrite(n), Op: "write to " + r.Address, Err: err}
		}
		go func() {
			_, err := k.net.Write(r.Body)
			x.written <- err
		}()
	}
	if err := x.readHead(r.Method); err != nil {
		x.abandon()
		return nil, &Error{Verdict: sequoiasill.MayHaveRun, Op: "read answer of " + r.Address, Err: err}
	}
	return x, nil
}

func verdictOfWrite(n int) sequoiasill.Verdict {
	if n == 0 {
		return sequoiasill.NotRun
	}
	return sequoiasill.MayHaveRun
}

func (c *Connector) connect(ctx context.Context, r Request) (k *conn, reused bool, err error) {
	if !r.Fresh {
		if k := c.take(r.Upstream); k != nil {
			return k, true, nil
		}
	}
	n, err := c.dialer.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		return nil, false, err
	}
	c.mu.Lock()
	c.dials++
	c.mu.Unlock()
	bounded := &boundedReader{from: n}
	return &conn{net: n, bounded: bounded, reader: bufio.NewReaderSize(bounded, readBuffer)}, false, nil
}

// readHead reads up to the final head of an answer.
func (x *Exchange) readHead(method string) error {
	x.conn.bounded.bound(x.connector.opts.HeadBytes)
	defer x.conn.bounded.unbound()
	for {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method})
		if err != nil {
			return err
		}
		if resp.StatusCode >= 200 {
			x.Response = resp
			return nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return errors.New("upstream switched protocols")
		}
	}
}

func (x *Exchange) abandon() {
	x.closeOnce.Do(func() {
		x.stopWatch()
		x.connector.breakOff(x.conn.net)
	})
}

// breakOff closes a connection on which an exchange has not ended.
func (c *Connector) breakOff(n net.Conn) {
	if tcp, ok := n.(*net.TCPConn); ok && c.opts.Reset {
		// On a connection that is closed already there is nothing to reset.
		_ = tcp.SetLinger(0)
	}
	_ = n.Close()
}

// Close ends the exchange. The connection is kept only if the answer was read to
// its end and nothing speaks against it.
func (x *Exchange) Close(whole bool) {
	x.closeOnce.Do(func() {
		cancelled := !x.stopWatch()
		if !whole || cancelled || !x.reusable() {
			x.connector.breakOff(x.conn.net)
			return
		}
		x.connector.put(x.upstream, x.conn, x.connector.keepSpan(x.Response.Header))
	})
}

func (x *Exchange) reusable() bool {
	if x.Response == nil || x.Response.Close || x.Response.ContentLength < 0 && len(x.Response.TransferEncoding) == 0 {
		return false
	}
	if !x.wrote {
		select {
		case err := <-x.written:
			if err != nil {
				return false
			}
		default:
			return false
		}
	}
	return x.conn.reader.Buffered() == 0
}

// keepSpan returns how long a connection may stay idle.
func (c *Connector) keepSpan(h http.Header) sequoiasill.Millis {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return sequoiasill.Millis(s) * sequoiasill.Second * sequoiasill.Millis(c.opts.IdlePart) / 100
		}
	}
	return c.opts.IdleSpan
}

// encodeHead returns the head of a request. Method, target and header come from a
// parsed request, so none holds a line break.
func encodeHead(r Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(r.Body), inlineBody))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// A bytes.Buffer takes every write.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
