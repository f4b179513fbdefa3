// Package dialer calls other entries over gRPC.
package dialer

import (
	"context"
	"sync"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/config/encoder"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/journaler"
	"sequoiasill.dev/sequoiasill/entry/claimer"
	"sequoiasill.dev/sequoiasill/entry/generator"
	"sequoiasill.dev/sequoiasill/entry/locator"
	"sequoiasill.dev/sequoiasill/entry/peerpb"
	"sequoiasill.dev/sequoiasill/entry/syncer"
	"sequoiasill.dev/sequoiasill/entry/translator"
)

// Members tells the live entries.
type Members interface {
	Self() gossiper.Member
	Members() []gossiper.Member
}

// Dialer holds the connections to other entries. It is safe for concurrent use.
type Dialer struct {
	members     Members
	clock       sequoiasill.Clock
	credentials credentials.TransportCredentials

	mu     sync.Mutex
	conns  map[string]*grpc.ClientConn // by address
	closed bool
}

// New returns a dialer.
func New(m Members, clock sequoiasill.Clock, creds credentials.TransportCredentials) *Dialer {
	return &Dialer{members: m, clock: clock, credentials: creds, conns: make(map[string]*grpc.ClientConn)}
}

// Close closes all connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, c := range d.conns {
		_ = c.Close()
	}
}

// maxMessageBytes bounds a message between entries.
const maxMessageBytes = 64 << 20

func (d *Dialer) peer(address string) (peerpb.PeerClient, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, locator.ErrEnding
	}
	c, ok := d.conns[address]
	if !ok {
		var err error
		c, err = grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(d.credentials),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)))
		if err != nil {
			return nil, errors.Annotatef(err, "connect to %s", address)
		}
		d.conns[address] = c
	}
	return peerpb.NewPeerClient(c), nil
}

// call runs f with a client of the address within the span.
func call[T any](d *Dialer, address string, span sequoiasill.Millis, f func(context.Context, peerpb.PeerClient) (T, error)) (T, error) {
	var zero T
	p, err := d.peer(address)
	if err != nil {
		return zero, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), span.Duration())
	defer cancel()
	out, err := f(ctx, p)
	return out, errors.Annotatef(err, "call entry at %s", address)
}

// Begin asks the entry at the address to journal an intent.
func (d *Dialer) Begin(address string, ev journaler.Begin, span sequoiasill.Millis) (journaler.Answer, error) {
	reply, err := call(d, address, span, func(ctx context.Context, p peerpb.PeerClient) (*peerpb.BeginReply, error) {
		return p.Begin(ctx, &peerpb.BeginRequest{
			KeyHash: ev.Key[:], Digest: ev.Digest, Writer: ev.Writer.Entry, Address: ev.Writer.Address,
			Session: ev.Writer.Session, Nonce: ev.Nonce, Voided: ev.VoidedNonce, WaitMillis: int64(ev.Deadline - d.clock.Now()),
		})
	})
	if err != nil {
		return journaler.Answer{}, err
	}
	return journaler.Answer{
		Decision: journaler.Decision(reply.GetDecision()), Entry: translator.JournalEntryOf(reply.GetEntry()),
	}, nil
}

// Conclude asks the entry at the address to journal the end of an intent.
func (d *Dialer) Conclude(address string, ev journaler.Conclude, span sequoiasill.Millis) error {
	_, err := call(d, address, span, func(ctx context.Context, p peerpb.PeerClient) (*peerpb.ConcludeReply, error) {
		return p.Conclude(ctx, &peerpb.ConcludeRequest{
			KeyHash: ev.Key[:], Nonce: ev.Nonce, Void: ev.State == journaler.Void, Outcome: translator.Outcome(ev.Outcome),
		})
	})
	return err
}

// attachSlack is what an Attach may take beyond its wait.
const attachSlack = 500 * sequoiasill.Millis(1)

// attachWait bounds one Attach, so that a writer that hangs is noticed.
const attachWait = 2 * sequoiasill.Second

// Attach implements claimer.Peers.
func (d *Dialer) Attach(w journaler.Writer, key journaler.KeyHash, nonce uint64, wait sequoiasill.Millis) (claimer.Attachment, error) {
	wait = min(wait, attachWait)
	reply, err := call(d, w.Address, wait+attachSlack, func(ctx context.Context, p peerpb.PeerClient) (*peerpb.AttachReply, error) {
		return p.Attach(ctx, &peerpb.AttachRequest{KeyHash: key[:], Nonce: nonce, Session: w.Session, WaitMillis: int64(wait)})
	})
	if err != nil {
		return claimer.Attachment{}, err
	}
	return claimer.Attachment{
		Known: reply.GetKnown(), Running: reply.GetRunning(), Void: reply.GetVoid(), Outcome: translator.OutcomeOf(reply.GetOutcome()),
	}, nil
}

// Gone implements claimer.Peers.
func (d *Dialer) Gone(w journaler.Writer) bool {
	for _, m := range d.members.Members() {
		if m.Name == w.Entry {
			return m.Session != w.Session
		}
	}
	return true
}

// PullConfig returns what the configuration of the entry at the address has
// beyond the generation.
func (d *Dialer) PullConfig(address string, above uint64, span sequoiasill.Millis) (syncer.Delta, error) {
	reply, err := call(d, address, span, func(ctx context.Context, p peerpb.PeerClient) (*peerpb.PullConfigReply, error) {
		return p.PullConfig(ctx, &peerpb.PullConfigRequest{Above: above})
	})
	delta := syncer.Delta{Generation: reply.GetGeneration(), Names: reply.GetNames()}
	for _, p := range reply.GetParts() {
		delta.Parts = append(delta.Parts, encoder.Part{Name: p.GetName(), Value: p.GetValue()})
	}
	return delta, err
}

// HandOver gives running jobs to the entry at the address and returns the ids
// that it took.
func (d *Dialer) HandOver(address string, jobs []generator.Handed, span sequoiasill.Millis) ([]sequoiasill.RequestID, error) {
	req := &peerpb.HandOverRequest{}
	for _, h := range jobs {
		req.Requests = append(req.Requests, translator.Handed(h, d.clock.Now()))
	}
	reply, err := call(d, address, span, func(ctx context.Context, p peerpb.PeerClient) (*peerpb.HandOverReply, error) {
		return p.HandOver(ctx, req)
	})
	var ids []sequoiasill.RequestID
	for _, id := range reply.GetAccepted() {
		ids = append(ids, sequoiasill.RequestID(id))
	}
	return ids, err
}

// Follow opens the answer to a request on the entry at the address, from an
// offset in tokens on. The mirror is nil if the entry does not hold the request,
// and moved says that it gave it to another one.
func (d *Dialer) Follow(address string, id sequoiasill.RequestID, organisation string, offset int) (mirror *generator.Mirror, moved bool, err error) {
	p, err := d.peer(address)
	if err != nil {
		return nil, false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := p.Follow(ctx, &peerpb.FollowRequest{Id: string(id), Organisation: organisation, Offset: int64(offset)})
	if err != nil {
		cancel()
		return nil, false, errors.Annotatef(err, "call entry at %s", address)
	}
	first, err := stream.Recv()
	if err != nil || !first.GetFound() || first.GetMoved() {
		cancel()
		return nil, first.GetMoved(), errors.Annotatef(err, "call entry at %s", address)
	}
	m := generator.NewMirror(translator.HandedOf(first.GetRequest(), d.clock.Now()).Job, offset)
	go func() {
		defer cancel()
		d.feed(m, first, stream)
	}()
	return m, false, nil
}

// feed copies replies into the mirror until the answer ends or the entry is lost.
func (d *Dialer) feed(m *generator.Mirror, reply *peerpb.FollowReply, stream peerpb.Peer_FollowClient) {
	for {
		m.Append(reply.GetTokens(), reply.GetFinish())
		if reply.GetDone() || reply.GetMoved() {
			m.End(d.clock.Now(), reply.GetDone(), translator.FailureOf(reply.GetFailure()))
			return
		}
		next, err := stream.Recv()
		if err != nil {
			m.End(d.clock.Now(), false, nil)
			return
		}
		reply = next
	}
}
