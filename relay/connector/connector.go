// Package connector keeps HTTP/1.1 connections to upstreams and runs one exchange at a time on
// each. Every error states whether the upstream may have received the request.
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
	"sequoiasill.dev/sequoiasill/relay/responsechecker"
)

// Options configure a Connector.
type Options struct {
	DialTimeout sequoiasill.Millis
	Source      net.IP // local address of the connections, nil for any
	// IdleTimeout is the idle timeout of a connection if the upstream announces none.
	IdleTimeout sequoiasill.Millis
	// IdleTimeoutPercent is the percentage of an announced idle timeout for which an idle
	// connection is kept, so that the upstream never closes it while a request is being sent.
	IdleTimeoutPercent int
	// MaxSilence is how long a sound upstream may be silent. Users state a second or so.
	MaxSilence sequoiasill.Millis
	// UserTimeout is how long sent data may stay unacknowledged before the connection is
	// closed, and KeepAliveInterval is the interval of keep-alive probes on a connection without
	// traffic. On Linux UserTimeout also decides when unanswered probes close the connection. It counts
	// from the last data, before which a probe may have been answered, to a probe that is due and not
	// sent any more, so that it must exceed MaxSilence by two intervals.
	UserTimeout       sequoiasill.Millis
	KeepAliveInterval sequoiasill.Millis
	MaxIdle           int // idle connections per upstream
	// MaxHeaderBytes limits the size of a response header, including interim responses.
	MaxHeaderBytes int
	// ResetUnfinished closes unfinished exchanges with a TCP reset, so that no data that is
	// still in flight arrives later.
	ResetUnfinished bool
}

// DefaultOptions returns the options that entries use.
func DefaultOptions() Options {
	const maxSilence, keepAliveInterval = 2500 * sequoiasill.Millis(1), sequoiasill.Second
	return Options{
		DialTimeout: 500, IdleTimeout: 3 * sequoiasill.Second, IdleTimeoutPercent: 50,
		MaxSilence: maxSilence, UserTimeout: maxSilence + 2*keepAliveInterval, KeepAliveInterval: keepAliveInterval, MaxIdle: 16, MaxHeaderBytes: 64 << 10,
	}
}

// Error is the error of a failed exchange.
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

// Connector is a pool of connections to upstreams. It is safe for concurrent use.
type Connector struct {
	opts   Options
	clock  sequoiasill.Clock
	dialer *net.Dialer
	stop   chan struct{}
	once   sync.Once

	mu     sync.Mutex
	idle   map[string][]*conn // by upstream, least recently used first
	closed bool
	dials  int64
	reused int64
}

// conn is a connection to an upstream.
type conn struct {
	net       net.Conn
	checked   *responsechecker.Conn // reads from and writes to net
	bounded   *boundedReader
	reader    *bufio.Reader // reads from bounded
	idleAt    sequoiasill.Millis
	expiresAt sequoiasill.Millis
	requests  int      // sent on the connection
	earlier   []string // IDs of the last of them, without the current one
}

// sweepInterval is the interval at which idle connections are checked.
const sweepInterval = time.Second

// readBufferSize is the size of a connection's read buffer in bytes. It is small, as responses
// are short and an instance with little memory has many connections.
const readBufferSize = 2 << 10

// New returns a connector, which checks its idle connections until Close is called.
func New(opts Options, clock sequoiasill.Clock) *Connector {
	c := &Connector{
		opts: opts, clock: clock, idle: make(map[string][]*conn), stop: make(chan struct{}),
		dialer: Dialer(opts),
	}
	if opts.Source != nil {
		c.dialer.LocalAddr = &net.TCPAddr{IP: opts.Source}
	}
	go func() {
		tick := time.NewTicker(sweepInterval)
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

// keepAlive returns the configuration of keep-alive probes. Their count has no effect, as the user
// timeout is set.
func keepAlive(interval sequoiasill.Millis) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: interval.Duration(), Interval: interval.Duration(), Count: 2}
}

// Dialer returns a dialer of connections that end when the other end is silent for the user timeout.
func Dialer(opts Options) *net.Dialer {
	return &net.Dialer{Timeout: opts.DialTimeout.Duration(), Control: userTimeoutControl(opts.UserTimeout), KeepAliveConfig: keepAlive(opts.KeepAliveInterval)}
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

// Counts returns the number of connections that were opened and the number of reuses.
func (c *Connector) Counts() (dials, reused int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials, c.reused
}

// CloseIdle closes the idle connections to an upstream.
func (c *Connector) CloseIdle(upstream string) {
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

// sweep closes idle connections that have expired, that the upstream has closed, or that hold
// unexpected data.
func (c *Connector) sweep() {
	now := c.clock.Now()
	var expired []*conn
	c.mu.Lock()
	for key, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if k.expiresAt <= now || !isHealthy(k.net) {
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

// take returns a healthy idle connection, or nil.
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
		if k.expiresAt > c.clock.Now() && k.reader.Buffered() == 0 && isHealthy(k.net) {
			c.mu.Lock()
			c.reused++
			c.mu.Unlock()
			return k
		}
		_ = k.net.Close()
	}
}

func (c *Connector) put(upstream string, k *conn, timeout sequoiasill.Millis) {
	now := c.clock.Now()
	k.idleAt, k.expiresAt = now, now+timeout
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[upstream]) >= c.opts.MaxIdle {
		_ = k.net.Close()
		return
	}
	c.idle[upstream] = append(c.idle[upstream], k)
}

// remainingIdle returns how much longer a connection may stay idle if no request was sent on
// it; initial applies to a new connection.
func (k *conn) remainingIdle(initial, now sequoiasill.Millis) sequoiasill.Millis {
	if k.expiresAt == 0 {
		return initial
	}
	return k.expiresAt - now
}

// Request is the request of one exchange.
type Request struct {
	Upstream      string // name, by which connections are pooled
	Address       string
	Method        string
	Target        string
	Host          string
	Header        http.Header
	Body          []byte
	NewConnection bool // opens a new connection
	// ID identifies the request, and ResponseID returns the ID of the request that a response belongs
	// to. If both are set, late copies of responses to earlier requests on the connection are skipped.
	ID         string
	ResponseID func(*http.Response) string
	// MaySend is called immediately before the first byte is written, unless it is nil. If it
	// returns false, nothing is sent and the error wraps ErrWithheld.
	MaySend func() bool
}

// ErrWithheld is the cause of an Error if MaySend returned false.
const ErrWithheld = errors.ConstError("request withheld")

// Exchange is a request and the header of its response. Close must be called.
type Exchange struct {
	Response *http.Response
	Reused   bool
	// First is set if no other request was sent on the connection before, so that the response
	// belongs to this one.
	First bool

	connector        *Connector
	conn             *conn
	upstream         string
	bodyDone         chan error
	stopContextWatch func() bool
	bodyWritten      bool
	skipped          bool // a response to an earlier request came first
	closeOnce        sync.Once
}

// MaxInlineBody is the largest request body in bytes that is written before the response is
// read. A larger one is written concurrently, as the upstream may respond before it has read
// everything.
const MaxInlineBody = 16 << 10

// Do sends a request and reads the header of its response. It never sends a request twice. If
// ctx is cancelled before the exchange is closed, the connection is closed.
func (c *Connector) Do(ctx context.Context, r Request) (*Exchange, error) {
	k, reused, err := c.connect(ctx, r)
	if err != nil {
		return nil, &Error{Verdict: sequoiasill.NotRun, Op: "connect to " + r.Address, Err: err}
	}
	if r.MaySend != nil && !r.MaySend() {
		c.put(r.Upstream, k, k.remainingIdle(c.opts.IdleTimeout, c.clock.Now()))
		return nil, &Error{Verdict: sequoiasill.NotRun, Op: "send to " + r.Address, Err: ErrWithheld}
	}
	x := &Exchange{connector: c, conn: k, upstream: r.Upstream, Reused: reused, First: k.requests == 0, bodyDone: make(chan error, 1)}
	k.requests++
	x.stopContextWatch = context.AfterFunc(ctx, func() { c.closeUnfinished(k.net) })
	head := encodeHead(r)
	if len(r.Body) <= MaxInlineBody {
		head = append(head, r.Body...)
		n, err := k.checked.Write(head)
		if err != nil {
			x.abort()
			return nil, &Error{Verdict: verdictOfWrite(n), Op: "write to " + r.Address, Err: err}
		}
		x.bodyWritten = true
	} else {
		n, err := k.checked.Write(head)
		if err != nil {
			x.abort()
			return nil, &Error{Verdict: verdictOfWrite(n), Op: "write to " + r.Address, Err: err}
		}
		go func() {
			_, err := k.checked.Write(r.Body)
			x.bodyDone <- err
		}()
	}
	if err := x.readResponse(r); err != nil {
		x.abort()
		return nil, &Error{Verdict: sequoiasill.MayHaveRun, Op: "read response from " + r.Address, Err: err}
	}
	k.remember(r.ID)
	return x, nil
}

func verdictOfWrite(n int) sequoiasill.Verdict {
	if n == 0 {
		return sequoiasill.NotRun
	}
	return sequoiasill.MayHaveRun
}

func (c *Connector) connect(ctx context.Context, r Request) (k *conn, reused bool, err error) {
	if !r.NewConnection {
		if k := c.take(r.Upstream); k != nil {
			return k, true, nil
		}
	}
	k, err = c.dial(ctx, r.Address)
	return k, false, err
}

func (c *Connector) dial(ctx context.Context, address string) (*conn, error) {
	n, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.dials++
	c.mu.Unlock()
	checked := responsechecker.NewConn(n)
	bounded := &boundedReader{source: checked}
	return &conn{net: n, checked: checked, bounded: bounded, reader: bufio.NewReaderSize(bounded, readBufferSize)}, nil
}

// maxProbeBytes limits the size of a probe's response.
const maxProbeBytes = 16 << 10

// readResponse reads the header of the response, and skips responses to earlier requests.
func (x *Exchange) readResponse(r Request) error {
	for range maxSkipped + 1 {
		if err := x.readResponseHeader(r.Method); err != nil {
			return err
		}
		if !x.conn.isLate(x.Response, r) {
			return nil
		}
		if err := skipBody(x.Response); err != nil {
			return errors.Annotate(err, "late response to an earlier request")
		}
		x.skipped = true
	}
	return errors.Errorf("more than %d late responses to earlier requests", maxSkipped)
}

// readResponseHeader reads interim responses and the header of the final response.
func (x *Exchange) readResponseHeader(method string) error {
	x.conn.bounded.bound(x.connector.opts.MaxHeaderBytes)
	defer x.conn.bounded.unbound()
	for {
		resp, err := x.conn.readHead(method)
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

// readHead reads the header of one response, interim or final, while the connection's reader is bounded.
func (k *conn) readHead(method string) (*http.Response, error) {
	buffered, err := k.reader.Peek(k.reader.Buffered())
	if err != nil {
		return nil, err
	}
	k.bounded.record(buffered)
	resp, err := http.ReadResponse(k.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	// What the reader has buffered follows the header.
	recorded := k.bounded.recorded
	return resp, responsechecker.CheckHead(recorded[:len(recorded)-k.reader.Buffered()])
}

func (x *Exchange) abort() {
	x.closeOnce.Do(func() {
		x.stopContextWatch()
		x.connector.closeUnfinished(x.conn.net)
	})
}

// closeUnfinished closes a connection with an unfinished exchange.
func (c *Connector) closeUnfinished(n net.Conn) {
	if tcp, ok := n.(*net.TCPConn); ok && c.opts.ResetUnfinished {
		// The error is ignored: a closed connection needs no reset.
		_ = tcp.SetLinger(0)
	}
	_ = n.Close()
}

// Close ends the exchange. whole states whether the response was read to its end. The
// connection is kept for reuse only if it was, if the request was written in full and not
// cancelled, and if the response leaves the connection open with no data left over.
func (x *Exchange) Close(whole bool) {
	x.closeOnce.Do(func() {
		cancelled := !x.stopContextWatch()
		if !whole || cancelled || !x.reusable() {
			x.connector.closeUnfinished(x.conn.net)
			return
		}
		x.connector.put(x.upstream, x.conn, x.connector.idleTimeout(x.Response.Header))
	})
}

// UntilClose reports whether a response has neither a length nor chunks and ends with its connection.
func UntilClose(r *http.Response) bool { return r.ContentLength < 0 && len(r.TransferEncoding) == 0 }

func (x *Exchange) reusable() bool {
	if x.Response == nil || x.skipped || x.Response.Close || UntilClose(x.Response) {
		return false
	}
	if !x.bodyWritten {
		select {
		case err := <-x.bodyDone:
			if err != nil {
				return false
			}
		default:
			return false
		}
	}
	return x.conn.reader.Buffered() == 0
}

// idleTimeout returns how long a connection may stay idle after a response with the header h.
func (c *Connector) idleTimeout(h http.Header) sequoiasill.Millis {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return sequoiasill.ClampDuration(float64(s), sequoiasill.Second) * sequoiasill.Millis(c.opts.IdleTimeoutPercent) / 100
		}
	}
	return c.opts.IdleTimeout
}

// encodeHead encodes the request line and the header of a request. Method, target and header
// fields come from a parsed request, so they contain no line breaks.
func encodeHead(r Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(r.Body), MaxInlineBody))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writes to a bytes.Buffer never fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
