// Package responder answers other entries over gRPC.
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

// Configs holds the configuration in force.
type Configs interface {
	// Above returns what the present configuration has beyond a generation.
	Above(generation uint64) syncer.Delta
}

// Responder implements the service Peer.
type Responder struct {
	peerpb.UnimplementedPeerServer

	clock     sequoiasill.Clock
	configs   Configs
	recorder  *recorder.Recorder
	claimer   *claimer.Claimer
	generator *generator.Generator
	leaving   func() bool
}

// New returns a responder. An entry that leaves takes no jobs over.
func New(clock sequoiasill.Clock, configs Configs, r *recorder.Recorder, c *claimer.Claimer, g *generator.Generator, leaving func() bool) *Responder {
	return &Responder{clock: clock, configs: configs, recorder: r, claimer: c, generator: g, leaving: leaving}
}

func keyOf(b []byte) (journaler.KeyHash, error) {
	if len(b) != len(journaler.KeyHash{}) {
		return journaler.KeyHash{}, status.Error(codes.InvalidArgument, "key hash of a wrong length")
	}
	return journaler.KeyHash(b), nil
}

// PullConfig returns the configuration in force.
func (r *Responder) PullConfig(_ context.Context, req *peerpb.PullConfigRequest) (*peerpb.PullConfigReply, error) {
	delta := r.configs.Above(req.GetAbove())
	reply := &peerpb.PullConfigReply{Generation: delta.Generation, Names: delta.Names}
	for _, p := range delta.Parts {
		reply.Parts = append(reply.Parts, &peerpb.Part{Name: p.Name, Value: p.Value})
	}
	return reply, nil
}

// Begin journals an intent of another entry.
func (r *Responder) Begin(_ context.Context, req *peerpb.BeginRequest) (*peerpb.BeginReply, error) {
	key, err := keyOf(req.GetKeyHash())
	if err != nil {
		return nil, err
	}
	answer := r.recorder.Begin(journaler.Begin{
		Key: key, Digest: req.GetDigest(), Nonce: req.GetNonce(), VoidedNonce: req.GetVoided(),
		Writer:   journaler.Writer{Entry: req.GetWriter(), Address: req.GetAddress(), Session: req.GetSession()},
		Deadline: r.clock.Now() + sequoiasill.Millis(req.GetWaitMillis()),
	})
	return &peerpb.BeginReply{Decision: int32(answer.Decision), Entry: translator.JournalEntry(answer.Entry)}, nil
}

// Conclude journals the end of an intent of another entry.
func (r *Responder) Conclude(_ context.Context, req *peerpb.ConcludeRequest) (*peerpb.ConcludeReply, error) {
	key, err := keyOf(req.GetKeyHash())
	if err != nil {
		return nil, err
	}
	state := journaler.Done
	if req.GetVoid() {
		state = journaler.Void
	}
	r.recorder.Conclude(journaler.Conclude{
		Key: key, Nonce: req.GetNonce(), State: state, Outcome: translator.OutcomeOf(req.GetOutcome()),
	})
	return &peerpb.ConcludeReply{}, nil
}

// Attach tells what became of an intent of this entry.
func (r *Responder) Attach(_ context.Context, req *peerpb.AttachRequest) (*peerpb.AttachReply, error) {
	key, err := keyOf(req.GetKeyHash())
	if err != nil {
		return nil, err
	}
	a := r.claimer.Answer(req.GetSession(), key, req.GetNonce(), sequoiasill.Millis(req.GetWaitMillis()))
	return &peerpb.AttachReply{Known: a.Known, Running: a.Running, Void: a.Void, Outcome: translator.Outcome(a.Outcome)}, nil
}

// HandOver takes running jobs over.
func (r *Responder) HandOver(_ context.Context, req *peerpb.HandOverRequest) (*peerpb.HandOverReply, error) {
	if r.leaving() {
		return &peerpb.HandOverReply{}, nil
	}
	var jobs []generator.Handed
	for _, h := range req.GetRequests() {
		jobs = append(jobs, translator.HandedOf(h, r.clock.Now()))
	}
	reply := &peerpb.HandOverReply{}
	for _, id := range r.generator.Adopt(jobs) {
		reply.Accepted = append(reply.Accepted, string(id))
	}
	return reply, nil
}

// Follow streams the answer to a request that this entry runs or ran.
func (r *Responder) Follow(req *peerpb.FollowRequest, stream peerpb.Peer_FollowServer) error {
	gen, ok := r.generator.Find(sequoiasill.RequestID(req.GetId()), req.GetOrganisation())
	if !ok {
		return stream.Send(&peerpb.FollowReply{})
	}
	changed, unsubscribe := gen.Subscribe()
	defer func() { unsubscribe(r.clock.Now()) }()
	offset := int(req.GetOffset())
	head := translator.Handed(generator.Handed{Job: gen.Job()}, r.clock.Now())
	for {
		p := gen.From(offset)
		offset += len(p.Tokens)
		reply := &peerpb.FollowReply{
			Found: true, Request: head, Tokens: p.Tokens, Finish: p.Finish, Done: p.Done, Moved: p.Moved,
			Failure: translator.Failure(p.Failure),
		}
		head = nil
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
