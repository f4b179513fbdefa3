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

// Members returns the live entries.
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

// New returns a Dialer without connections.
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

// maxMessageBytes is the maximum size of a message between entries.
const maxMessageBytes = 64 << 20

func (d *Dialer) peer(address string) (peerpb.PeerClient, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, locator.ErrShuttingDown
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

// call calls f with a client for the address and a context that expires after the
// timeout.
func call[T any](d *Dialer, address string, timeout sequoiasill.Millis, f func(context.Context, peerpb.PeerClient) (T, error)) (T, error) {
	var zero T
	p, err := d.peer(address)
	if err != nil {
		return zero, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout.Duration())
	defer cancel()
	out, err := f(ctx, p)
	return out, errors.Annotatef(err, "call entry at %s", address)
}

// Begin asks the entry at the address to journal an intent.
func (d *Dialer) Begin(address string, ev journaler.Begin, timeout sequoiasill.Millis) (journaler.Answer, error) {
	reply, err := call(d, address, timeout, func(ctx context.Context, p peerpb.PeerClient) (*peerpb.BeginReply, error) {
		return p.Begin(ctx, &peerpb.BeginRequest{
			KeyHash: ev.Key[:], Digest: ev.Digest, Writer: ev.Writer.Entry, Address: ev.Writer.Address,
			Session: ev.Writer.Session, Nonce: ev.Nonce, Voided: ev.VoidedNonce, WaitMillis: int64(ev.Deadline - d.clock.Now()),
		})
	})
	if err != nil {
		return journaler.Answer{}, err
	}
	return journaler.Answer{
		Decision: journaler.Decision(reply.GetDecision()), Entry: translator.DecodeJournalEntry(reply.GetEntry()),
	}, nil
}

// Conclude asks the entry at the address to journal the conclusion of an intent.
func (d *Dialer) Conclude(address string, ev journaler.Conclude, timeout sequoiasill.Millis) error {
	_, err := call(d, address, timeout, func(ctx context.Context, p peerpb.PeerClient) (*peerpb.ConcludeReply, error) {
		return p.Conclude(ctx, &peerpb.ConcludeRequest{
			KeyHash: ev.Key[:], Nonce: ev.Nonce, Void: ev.State == journaler.Void, Outcome: translator.EncodeOutcome(ev.Outcome),
		})
	})
	return err
}

// attachGrace is added to the wait of an Attach to get its timeout.
const attachGrace = 500 * sequoiasill.Millis(1)

// maxAttachWait limits the wait of one Attach, so that a writer that hangs is detected.
const maxAttachWait = 2 * sequoiasill.Second

// Attach implements claimer.Peers.
func (d *Dialer) Attach(w journaler.Writer, key journaler.KeyHash, nonce uint64, wait sequoiasill.Millis) (claimer.Attachment, error) {
	wait = min(wait, maxAttachWait)
	reply, err := call(d, w.Address, wait+attachGrace, func(ctx context.Context, p peerpb.PeerClient) (*peerpb.AttachReply, error) {
		return p.Attach(ctx, &peerpb.AttachRequest{KeyHash: key[:], Nonce: nonce, Session: w.Session, WaitMillis: int64(wait)})
	})
	if err != nil {
		return claimer.Attachment{}, err
	}
	return claimer.Attachment{
		Found: reply.GetKnown(), Running: reply.GetRunning(), Void: reply.GetVoid(), Outcome: translator.DecodeOutcome(reply.GetOutcome()),
	}, nil
}

// SessionEnded implements claimer.Peers.
func (d *Dialer) SessionEnded(w journaler.Writer) bool {
	for _, m := range d.members.Members() {
		if m.Name == w.Entry {
			return m.Session != w.Session
		}
	}
	return true
}

// PullConfig returns the changes above a generation in the configuration of the entry
// at the address.
func (d *Dialer) PullConfig(address string, above uint64, timeout sequoiasill.Millis) (syncer.Delta, error) {
	reply, err := call(d, address, timeout, func(ctx context.Context, p peerpb.PeerClient) (*peerpb.PullConfigReply, error) {
		return p.PullConfig(ctx, &peerpb.PullConfigRequest{Above: above})
	})
	delta := syncer.Delta{Generation: reply.GetGeneration(), Names: reply.GetNames()}
	for _, p := range reply.GetParts() {
		delta.Parts = append(delta.Parts, encoder.Part{Name: p.GetName(), Value: p.GetValue()})
	}
	return delta, err
}

// HandOver transfers running jobs to the entry at the address and returns the IDs of
// those that it accepted.
func (d *Dialer) HandOver(address string, jobs []generator.HandoverJob, timeout sequoiasill.Millis) ([]sequoiasill.RequestID, error) {
	req := &peerpb.HandOverRequest{}
	for _, h := range jobs {
		req.Requests = append(req.Requests, translator.EncodeHandover(h, d.clock.Now()))
	}
	reply, err := call(d, address, timeout, func(ctx context.Context, p peerpb.PeerClient) (*peerpb.HandOverReply, error) {
		return p.HandOver(ctx, req)
	})
	var ids []sequoiasill.RequestID
	for _, id := range reply.GetAccepted() {
		ids = append(ids, sequoiasill.RequestID(id))
	}
	return ids, err
}

// Follow streams the response to a request from the entry at the address, starting at
// an offset in tokens. The mirror is nil if the entry does not have the request; moved
// reports whether it has transferred it to another entry.
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
	m := generator.NewMirror(translator.DecodeHandover(first.GetRequest(), d.clock.Now()).Job, offset)
	go func() {
		defer cancel()
		d.copyReplies(m, first, stream)
	}()
	return m, false, nil
}

// copyReplies copies replies to the mirror until the response ends or the connection
// fails.
func (d *Dialer) copyReplies(m *generator.Mirror, reply *peerpb.FollowReply, stream peerpb.Peer_FollowClient) {
	for {
		m.Append(reply.GetTokens(), reply.GetFinish())
		if reply.GetDone() || reply.GetMoved() {
			m.End(d.clock.Now(), reply.GetDone(), translator.DecodeFailure(reply.GetFailure()))
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
