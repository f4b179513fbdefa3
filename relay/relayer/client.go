// Package relayer lets other entries serve calls whose upstreams this entry does not reach, and serves
// such calls of theirs.
package relayer

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/peerpicker"
	"sequoiasill.dev/sequoiasill/relay/connector"
	"sequoiasill.dev/sequoiasill/relay/dispatcher"
	"sequoiasill.dev/sequoiasill/relay/relaypb"
)

// Peers lists the entries that may reach the upstreams of a service, without this one.
type Peers interface {
	WaysTo(service string) []peerpicker.Peer
	// NoneReaches reports whether all other entries, and at least one, announce that they reach no upstream
	// of a service.
	NoneReaches(service string) bool
}

const (
	// acceptTimeout bounds the time until an entry accepts a call, including the connect. An entry
	// that is suspended does not accept in time, and the call goes elsewhere.
	acceptTimeout = 300 * time.Millisecond
	// idleTimeout is how long an unused connection to another entry is kept.
	idleTimeout = 10 * time.Second
	// maxMessageBytes bounds a message. A call holds its body.
	maxMessageBytes = 8 << 20
	// bufferBytes is the size of the buffers of a connection. Instances with little memory have
	// connections to many entries.
	bufferBytes = 8 << 10
)

// Memory reserves memory for copies of calls.
type Memory interface {
	// Hold returns false if there is no room for the bytes. If it returns true, release must be called.
	Hold(bytes int64) (release func(), ok bool)
}

// copiesOfCall is the number of copies of a call that are held at a time while it is sent to another entry
// or received from one: the message and its parts, or those and the decoded call.
const copiesOfCall = 2

// sizeKey is the metadata key of the size of a call in bytes, which comes with its offer. Earlier builds
// neither send nor read it, and an offer that no call follows has none.
const sizeKey = "call-bytes"

// callSize returns the size of a call in memory, in bytes.
func callSize(call *sequoiasill.Call) int64 {
	const perField = 128 // of a header, in addition to its text
	size := len(call.Body) + len(call.Target)
	for name, values := range call.Header {
		for _, v := range values {
			size += len(name) + len(v) + perField
		}
	}
	return int64(size)
}

// Client lets other entries serve calls. It is safe for concurrent use.
type Client struct {
	peers  Peers
	memory Memory
	clock  sequoiasill.Clock
	log    hclog.Logger

	mu     sync.Mutex
	picker *peerpicker.Picker
	conns  map[string]*grpc.ClientConn // by address
}

// NewClient returns a client that chooses among the peers with p. Copies of calls are reserved in memory.
func NewClient(p *peerpicker.Picker, peers Peers, memory Memory, clock sequoiasill.Clock, log hclog.Logger) *Client {
	return &Client{peers: peers, memory: memory, clock: clock, log: log.Named("relayer"), picker: p, conns: make(map[string]*grpc.ClientConn)}
}

// Close closes the connections to other entries.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		// Calls in progress end with an error.
		_ = conn.Close()
		delete(c.conns, address)
	}
}

// Pick implements dispatcher.Relays.
func (c *Client) Pick(service string, tried map[string]bool) (peerpicker.Peer, bool) {
	peers := c.peers.WaysTo(service)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.picker.Pick(c.clock.Now(), service, peers, tried)
}

// NoneReaches implements dispatcher.Relays.
func (c *Client) NoneReaches(service string) bool { return c.peers.NoneReaches(service) }

// Error is the error of a call that another entry did not serve.
type Error struct {
	Verdict sequoiasill.Verdict // NotRun unless the entry accepted the call
	Op      string
	Err     error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Ran returns the verdict.
func (e *Error) Ran() sequoiasill.Verdict { return e.Verdict }

// errNoMemory is the error of a call whose copy would take too much memory.
const errNoMemory = errors.ConstError("no memory for a copy of the call")

// Send implements dispatcher.Relays.
func (c *Client) Send(ctx context.Context, p peerpicker.Peer, call dispatcher.RelayedCall) (*dispatcher.Response, error) {
	size := callSize(call.Call)
	release, ok := c.memory.Hold(copiesOfCall * size)
	if !ok {
		return nil, &Error{Verdict: sequoiasill.NotRun, Op: "offer to " + p.Name, Err: errNoMemory}
	}
	ctx, cancel := context.WithCancel(metadata.AppendToOutgoingContext(ctx, sizeKey, strconv.FormatInt(size, 10)))
	c.mu.Lock()
	c.picker.Started(p.Name)
	c.mu.Unlock()
	done := sync.OnceFunc(func() {
		cancel()
		release()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.picker.Ended(p.Name)
	})
	stream, err := c.offer(ctx, cancel, p, call)
	if err != nil {
		done()
		c.mu.Lock()
		c.picker.NotAccepted(c.clock.Now(), p.Name, call.Service)
		c.mu.Unlock()
		return nil, err
	}
	response, err := c.deliver(stream, p, call)
	if err != nil {
		done()
		return nil, err
	}
	response.Close = func(bool) { done() }
	return response, nil
}

// Offer implements dispatcher.Relays.
func (c *Client) Offer(p peerpicker.Peer, call dispatcher.RelayedCall) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_, err := c.offer(ctx, cancel, p, call)
	if err != nil {
		c.log.Debug("offer not accepted", "by", p.Name, "service", call.Service, "error", err)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.picker.NotAccepted(c.clock.Now(), p.Name, call.Service)
	}
	return err == nil
}

// offer offers a call to an entry and waits until it accepts.
func (c *Client) offer(ctx context.Context, cancel func(), p peerpicker.Peer, call dispatcher.RelayedCall) (relaypb.Relay_ServeClient, error) {
	timer := time.AfterFunc(acceptTimeout, cancel)
	stream, err := c.open(ctx, p, call)
	if !timer.Stop() && err == nil {
		err = errors.Timeoutf("offer to %s", p.Name)
	}
	var refusal *dispatcher.RefusalError
	switch {
	case err == nil:
		return stream, nil
	case errors.As(err, &refusal):
		return nil, err
	}
	return nil, &Error{Verdict: sequoiasill.NotRun, Op: "offer to " + p.Name, Err: err}
}

func (c *Client) open(ctx context.Context, p peerpicker.Peer, call dispatcher.RelayedCall) (relaypb.Relay_ServeClient, error) {
	conn, err := c.conn(p.Address)
	if err != nil {
		return nil, err
	}
	stream, err := relaypb.NewRelayClient(conn).Serve(ctx)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(encodeOffer(call)); err != nil {
		return nil, err
	}
	r, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	if f := r.GetRefusal(); f != nil {
		return nil, decodeRefusal(f, 0)
	}
	if r.GetAccepted() == nil {
		return nil, errors.New("offer was neither accepted nor refused")
	}
	return stream, nil
}

func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		return conn, nil
	}
	dialer := connector.Dialer(connector.DefaultOptions())
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithIdleTimeout(idleTimeout), grpc.WithNoProxy(),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", a) }),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	)
	if err != nil {
		return nil, errors.Annotatef(err, "connect to %s", address)
	}
	c.conns[address] = conn
	return conn, nil
}

// untoldArrivals is the number of upstreams that are taken to have received a call which an older server
// refused after it had accepted it.
const untoldArrivals = 1

// deliver sends an accepted call and waits for the head of its response.
func (c *Client) deliver(stream relaypb.Relay_ServeClient, p peerpicker.Peer, call dispatcher.RelayedCall) (*dispatcher.Response, error) {
	lost := func(op string, err error) error {
		return &Error{Verdict: sequoiasill.MayHaveRun, Op: op + p.Name, Err: err}
	}
	if err := stream.Send(encodeCall(call, c.clock.Now())); err != nil {
		return nil, lost("send call to ", err)
	}
	if err := stream.CloseSend(); err != nil {
		return nil, lost("send call to ", err)
	}
	r, err := stream.Recv()
	if err != nil {
		return nil, lost("response of ", err)
	}
	if f := r.GetRefusal(); f != nil {
		return nil, decodeRefusal(f, untoldArrivals)
	}
	head := r.GetHead()
	if head == nil {
		return nil, lost("response of ", errors.New("body without a head"))
	}
	b := &body{stream: stream, runs: int(head.GetRuns())}
	return &dispatcher.Response{
		Status: int(head.GetStatus()), Header: decodeHeader(head.GetHeader()), EventStream: head.GetEventStream(), Authentic: true,
		Runs: func() int { return b.runs }, Body: b,
	}, nil
}

// body reads the body of a response.
type body struct {
	stream relaypb.Relay_ServeClient
	rest   []byte
	ended  bool
	runs   int // upstreams that may have run the call
}

// Read implements io.Reader. A response that ends without its end is incomplete.
func (b *body) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		r, err := b.stream.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return 0, io.ErrUnexpectedEOF
		case err != nil:
			b.runs = max(b.runs, runsOf(b.stream.Trailer()))
			return 0, errors.Annotate(err, "read relayed response")
		}
		b.rest, b.ended = r.GetData(), r.GetEnd() != nil
		b.runs = max(b.runs, int(r.GetEnd().GetRuns()))
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func decodeHeader(list []*relaypb.Header) http.Header {
	out := make(http.Header, len(list))
	for _, h := range list {
		out[h.GetName()] = h.GetValues()
	}
	return out
}
