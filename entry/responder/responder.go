// Package responder serves the gRPC requests of other entries.
package responder

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/journaler"
	"sequoiasill.dev/sequoiasill/entry/claimer"
	"sequoiasill.dev/sequoiasill/entry/generator"
	"sequoiasill.dev/sequoiasill/entry/peerpb"
	"sequoiasill.dev/sequoiasill/entry/recorder"
	"sequoiasill.dev/sequoiasill/entry/syncer"
	"sequoiasill.dev/sequoiasill/entry/translator"
)

// Configs holds the current configuration.
type Configs interface {
	// DeltaFrom returns the difference between a generation and the current
	// configuration.
	DeltaFrom(generation uint64) syncer.Delta
}

// Responder implements the gRPC service Peer.
type Responder struct {
	peerpb.UnimplementedPeerServer

	clock     sequoiasill.Clock
	configs   Configs
	recorder  *recorder.Recorder
	claimer   *claimer.Claimer
	generator *generator.Generator
	draining  func() bool
}

// New returns a responder. While draining returns true, it accepts no jobs.
func New(clock sequoiasill.Clock, configs Configs, r *recorder.Recorder, c *claimer.Claimer, g *generator.Generator, draining func() bool) *Responder {
	return &Responder{clock: clock, configs: configs, recorder: r, claimer: c, generator: g, draining: draining}
}

func parseKeyHash(b []byte) (journaler.KeyHash, error) {
	if len(b) != len(journaler.KeyHash{}) {
		return journaler.KeyHash{}, status.Error(codes.InvalidArgument, "key hash of a wrong length")
	}
	return journaler.KeyHash(b), nil
}

// PullConfig returns the current configuration, without the parts of the
// generation that the peer already has.
func (r *Responder) PullConfig(_ context.Context, req *peerpb.PullConfigRequest) (*peerpb.PullConfigReply, error) {
	delta := r.configs.DeltaFrom(req.GetAbove())
	reply := &peerpb.PullConfigReply{Generation: delta.Generation, Names: delta.Names}
	for _, p := range delta.Parts {
		reply.Parts = append(reply.Parts, &peerpb.Part{Name: p.Name, Value: p.Value})
	}
	return reply, nil
}

// Begin records another entry's intent to run a request in the journal.
func (r *Responder) Begin(_ context.Context, req *peerpb.BeginRequest) (*peerpb.BeginReply, error) {
	key, err := parseKeyHash(req.GetKeyHash())
	if err != nil {
		return nil, err
	}
	answer := r.recorder.Begin(journaler.Begin{
		Key: key, Digest: req.GetDigest(), Nonce: req.GetNonce(), VoidedNonce: req.GetVoided(),
		Writer:   journaler.Writer{Entry: req.GetWriter(), Address: req.GetAddress(), Session: req.GetSession()},
		Deadline: r.clock.Now() + sequoiasill.Millis(req.GetWaitMillis()),
	})
	return &peerpb.BeginReply{Decision: int32(answer.Decision), Entry: translator.EncodeJournalEntry(answer.Entry)}, nil
}

// Conclude records the outcome of another entry's intent in the journal.
func (r *Responder) Conclude(_ context.Context, req *peerpb.ConcludeRequest) (*peerpb.ConcludeReply, error) {
	key, err := parseKeyHash(req.GetKeyHash())
	if err != nil {
		return nil, err
	}
	state := journaler.Done
	if req.GetVoid() {
		state = journaler.Void
	}
	r.recorder.Conclude(journaler.Conclude{
		Key: key, Nonce: req.GetNonce(), State: state, Outcome: translator.DecodeOutcome(req.GetOutcome()),
	})
	return &peerpb.ConcludeReply{}, nil
}

// Attach returns the state of an intent of this entry. It waits for the outcome up
// to the requested time.
func (r *Responder) Attach(_ context.Context, req *peerpb.AttachRequest) (*peerpb.AttachReply, error) {
	key, err := parseKeyHash(req.GetKeyHash())
	if err != nil {
		return nil, err
	}
	a := r.claimer.AttachLocal(req.GetSession(), key, req.GetNonce(), sequoiasill.Millis(req.GetWaitMillis()))
	return &peerpb.AttachReply{Known: a.Found, Running: a.Running, Void: a.Void, Outcome: translator.EncodeOutcome(a.Outcome)}, nil
}

// HandOver takes over running jobs of another entry.
func (r *Responder) HandOver(_ context.Context, req *peerpb.HandOverRequest) (*peerpb.HandOverReply, error) {
	if r.draining() {
		return &peerpb.HandOverReply{}, nil
	}
	var jobs []generator.HandoverJob
	for _, h := range req.GetRequests() {
		jobs = append(jobs, translator.DecodeHandover(h, r.clock.Now()))
	}
	reply := &peerpb.HandOverReply{}
	for _, id := range r.generator.AcceptHandover(jobs) {
		reply.Accepted = append(reply.Accepted, string(id))
	}
	return reply, nil
}

// Follow streams the response to a request that this entry runs or has run. Only
// the first message describes the request.
func (r *Responder) Follow(req *peerpb.FollowRequest, stream peerpb.Peer_FollowServer) error {
	gen, ok := r.generator.Find(sequoiasill.RequestID(req.GetId()), req.GetOrganisation())
	if !ok {
		return stream.Send(&peerpb.FollowReply{})
	}
	changed, unsubscribe := gen.Subscribe()
	defer func() { unsubscribe(r.clock.Now()) }()
	offset := int(req.GetOffset())
	request := translator.EncodeHandover(generator.HandoverJob{Job: gen.Job()}, r.clock.Now())
	for {
		p := gen.From(offset)
		offset += len(p.Tokens)
		reply := &peerpb.FollowReply{
			Found: true, Request: request, Tokens: p.Tokens, Finish: p.FinishReason, Done: p.Done, Moved: p.Moved,
			Failure: translator.EncodeFailure(p.Failure),
		}
		request = nil
		if err := stream.Send(reply); err != nil || p.Ended() {
			return err
		}
		select {
		case <-changed:
		case <-stream.Context().Done():
			return nil
		}
	}
}
