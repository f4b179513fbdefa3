// Package forwarder sends requests to upstreams over HTTP and reports for each
// failed attempt whether the upstream may have run the request.
package forwarder

import (
	"bufio"
	"cmp"
	"io"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/relay/responsechecker"
)

// HTTP headers used between entries and upstreams.
const (
	StreamIDHeader       = "Sequoia-Stream-Id"
	RequestIDHeader      = "Sequoia-Request-Id"
	VerdictHeader        = "Sequoia-Verdict"
	IdempotencyKeyHeader = "Idempotency-Key"
)

// Options configure a Forwarder.
type Options struct {
	DialTimeout  sequoiasill.Millis
	StallTimeout sequoiasill.Millis // max time without data from an upstream within a stream
	// MaxResponseBytes bounds the body of a response that is not a stream, 0 for
	// DefaultMaxResponseBytes.
	MaxResponseBytes int
}

// DefaultMaxResponseBytes is the default bound of a body in bytes.
const DefaultMaxResponseBytes = 4 << 20

// Forwarder sends requests. It is safe for concurrent use.
type Forwarder struct {
	opts      Options
	stream    *fasthttp.Client
	control   *fasthttp.Client
	plain     *fasthttp.Client
	singleUse *fasthttp.Client // closes each connection after one call
	callConns *connSet         // of plain and singleUse
}

// maxIdleDuration is how long an idle connection to an upstream is kept open.
const maxIdleDuration = 5 * time.Second

// maxConnsPerUpstream bounds the connections to one upstream.
const maxConnsPerUpstream = 4096

// New returns a Forwarder.
func New(opts Options) *Forwarder {
	opts.MaxResponseBytes = cmp.Or(opts.MaxResponseBytes, DefaultMaxResponseBytes)
	f := &Forwarder{opts: opts, callConns: newConnSet()}
	f.stream = f.newClient(f.dialWithReadTimeout)
	f.control = f.newClient(f.dial)
	f.plain = f.newClient(f.dialForCall)
	f.singleUse = f.newClient(f.dialForCall)
	return f
}

func (f *Forwarder) newClient(dial fasthttp.DialFunc) *fasthttp.Client {
	return &fasthttp.Client{
		Dial: dial,
		// The header of a response with its body tells its length, whether it was sent or not.
		StreamResponseBody:            true,
		MaxConnsPerHost:               maxConnsPerUpstream,
		MaxIdleConnDuration:           maxIdleDuration,
		MaxIdemponentCallAttempts:     1,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
	}
}

// dialError marks a failure to establish a connection, in which case nothing was sent.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

func (f *Forwarder) dial(addr string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, f.opts.DialTimeout.Duration())
	if err != nil {
		return nil, dialError{err}
	}
	return responsechecker.NewHeadConn(c), nil
}

func (f *Forwarder) dialWithReadTimeout(addr string) (net.Conn, error) {
	c, err := f.dial(addr)
	if err != nil {
		return nil, err
	}
	return &readTimeoutConn{Conn: c, timeout: f.opts.StallTimeout.Duration()}, nil
}

// readTimeoutConn fails a read that blocks longer than the timeout.
type readTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Read implements net.Conn.
func (c *readTimeoutConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// AttemptError describes a failed attempt.
type AttemptError struct {
	Verdict    sequoiasill.Verdict
	Status     int  // of the upstream's response, zero if there was none
	DialFailed bool // the upstream could not be reached
	Body       []byte
	Err        error
}

// Error implements error.
func (e *AttemptError) Error() string {
	if e.Err != nil {
		return e.Err.Error()
	}
	return fasthttp.StatusMessage(e.Status)
}

// PossibleCrash reports whether the upstream may have crashed during the attempt: there was
// a connection, but the response is missing or incomplete.
func (e *AttemptError) PossibleCrash() bool { return e.Status == 0 && !e.DialFailed }

// Refused reports whether the upstream rejected the request because it currently
// accepts no work.
func (e *AttemptError) Refused() bool {
	return e.Verdict == sequoiasill.NotRun && (e.Status == fasthttp.StatusServiceUnavailable || e.Status == fasthttp.StatusTooManyRequests)
}

func connectionError(err error) *AttemptError {
	if _, ok := errors.AsType[dialError](err); ok {
		return &AttemptError{Verdict: sequoiasill.NotRun, DialFailed: true, Err: err}
	}
	if errors.Is(err, fasthttp.ErrNoFreeConns) {
		return &AttemptError{Verdict: sequoiasill.NotRun, DialFailed: true, Err: err}
	}
	return &AttemptError{Verdict: sequoiasill.MayHaveRun, Err: err}
}

// statusError returns the AttemptError for an error response. The verdict is taken from the
// response's header; an upstream that sends none is taken to have run the request.
func statusError(resp *fasthttp.Response, body []byte) *AttemptError {
	v := sequoiasill.Ran
	if h := resp.Header.Peek(VerdictHeader); len(h) > 0 {
		v = sequoiasill.ParseVerdict(string(h))
	}
	return &AttemptError{Verdict: v, Status: resp.StatusCode(), Body: body}
}

// Call is a single request to a plain service.
type Call struct {
	Address   string
	Method    string
	URI       string // path and query
	Body      []byte
	Headers   [][2]string
	RequestID sequoiasill.RequestID
	Timeout   sequoiasill.Millis
	SingleUse bool // must not be retried; uses a connection of its own
}

// Response is the complete response of a plain service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Do sends a call and returns the complete response.
func (f *Forwarder) Do(c Call) (Response, *AttemptError) { return f.do(f.clientFor(c.SingleUse), c) }

func (f *Forwarder) do(client *fasthttp.Client, c Call) (Response, *AttemptError) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)

	req.SetRequestURI("http://" + c.Address + c.URI)
	req.Header.SetMethod(c.Method)
	for _, h := range c.Headers {
		req.Header.Set(h[0], h[1])
	}
	req.Header.Set(RequestIDHeader, string(c.RequestID))
	req.SetBodyRaw(c.Body)
	if c.SingleUse {
		// With a new connection a failed dial proves that the call was not run.
		// On a reused connection the upstream may have closed the connection
		// in the meantime, which proves nothing.
		req.SetConnectionClose()
	}
	if err := client.DoTimeout(req, resp, c.Timeout.Duration()); err != nil {
		return Response{}, connectionError(err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if echoedID := resp.Header.Peek(RequestIDHeader); len(echoedID) > 0 && string(echoedID) != string(c.RequestID) {
		return Response{}, &AttemptError{Verdict: sequoiasill.MayHaveRun, Err: errors.Errorf("response belongs to request %s", echoedID)}
	}
	body, err := f.readBody(resp)
	if err != nil {
		return Response{}, &AttemptError{Verdict: sequoiasill.MayHaveRun, Err: err}
	}
	// The connections of an upstream that dies end as those of one that has sent its whole response.
	if resp.Header.ContentLength() == untilClose && !f.Reachable(c.Address) {
		return Response{}, &AttemptError{Verdict: sequoiasill.MayHaveRun, Err: errors.New("upstream ended with its response")}
	}
	if sequoiasill.ParseVerdict(string(resp.Header.Peek(VerdictHeader))) == sequoiasill.NotRun {
		return Response{}, statusError(resp, body)
	}
	return Response{Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType()), Body: body}, nil
}

// readBody reads the body of a response. One that is too long ends its connection.
func (f *Forwarder) readBody(resp *fasthttp.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.BodyStream(), int64(f.opts.MaxResponseBytes)+1))
	if err == nil && len(body) > f.opts.MaxResponseBytes {
		resp.SetConnectionClose()
		err = errors.Errorf("body is longer than %d bytes", f.opts.MaxResponseBytes)
	}
	return body, err
}

// untilClose is the content length of a response that ends with its connection.
const untilClose = -2

func (f *Forwarder) clientFor(singleUse bool) *fasthttp.Client {
	if singleUse {
		return f.singleUse
	}
	return f.plain
}

// StreamRequest is a request that starts or resumes a stream of server-sent events.
type StreamRequest struct {
	Address  string
	Method   string
	URI      string
	Body     []byte
	StreamID string
}

// Stream is an open stream. It is not safe for concurrent use.
type Stream struct {
	resp   *fasthttp.Response
	reader *bufio.Reader
	parser fastjson.Parser // reused for all events to avoid allocations at high event rates
}

// readBufferBytes is the size of a stream's read buffer and the max number of
// bytes kept of an error response to Open.
const readBufferBytes = 4096

// Open sends the request and returns once the response header is received.
func (f *Forwarder) Open(streamReq StreamRequest) (*Stream, *AttemptError) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + streamReq.Address + streamReq.URI)
	req.Header.SetMethod(streamReq.Method)
	req.Header.SetContentType("application/json")
	req.Header.Set(StreamIDHeader, streamReq.StreamID)
	req.SetBodyRaw(streamReq.Body)
	if err := f.stream.Do(req, resp); err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, connectionError(err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(resp.BodyStream(), readBufferBytes))
		attemptErr := statusError(resp, body)
		closeResponse(resp)
		return nil, attemptErr
	}
	if echoedID := resp.Header.Peek(StreamIDHeader); string(echoedID) != streamReq.StreamID {
		err := errors.Errorf("response belongs to stream %s", echoedID)
		closeResponse(resp)
		return nil, &AttemptError{Verdict: sequoiasill.MayHaveRun, Status: fasthttp.StatusBadGateway, Err: err}
	}
	return &Stream{resp: resp, reader: bufio.NewReaderSize(resp.BodyStream(), readBufferBytes)}, nil
}

func closeResponse(resp *fasthttp.Response) {
	_ = resp.CloseBodyStream()
	fasthttp.ReleaseResponse(resp)
}

// Close closes the stream, whether or not it is complete.
func (s *Stream) Close() { closeResponse(s.resp) }

// probeTimeout bounds the liveness probe of an upstream.
const probeTimeout = 250 * time.Millisecond

// Reachable reports whether the upstream accepts TCP connections.
func (f *Forwarder) Reachable(address string) bool {
	c, err := net.DialTimeout("tcp", address, probeTimeout)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// Control sends a short control request to an upstream, such as a cancellation or
// a KV cache export, and returns its response. A status other than 200 is an error.
func (f *Forwarder) Control(method, address, uri string, body []byte, timeout sequoiasill.Millis) (Response, error) {
	response, attemptErr := f.do(f.control, Call{Address: address, Method: method, URI: uri, Body: body, Timeout: timeout})
	if attemptErr != nil {
		return Response{}, attemptErr
	}
	if response.Status != fasthttp.StatusOK {
		return response, errors.Errorf("%s %s: status %d", method, uri, response.Status)
	}
	return response, nil
}
