package generator

import (
	"sync"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/entry/balancer"
)

// HandoverJob is a running job that one entry transfers to another.
type HandoverJob struct {
	Job    Job
	Tokens []string // generated so far
}

// TransferFunc offers jobs to other entries and returns the IDs of those that were
// accepted.
type TransferFunc func(jobs []HandoverJob) []sequoiasill.RequestID

// HandOver transfers all running jobs to other entries. It halts their runs first,
// so that no token is delivered that the new entry does not have. A job that no
// entry accepts is restarted on this one. It returns the numbers of transferred and
// of kept jobs.
func (g *Generator) HandOver(transfer TransferFunc) (transferred, kept int) {
	gens := g.active()
	var jobs []HandoverJob
	for _, gen := range gens {
		gen.haltRun()
		jobs = append(jobs, HandoverJob{Job: gen.Job(), Tokens: gen.From(0).Tokens})
	}
	accepted := make(map[sequoiasill.RequestID]bool)
	for _, id := range transfer(jobs) {
		accepted[id] = true
	}
	for _, gen := range gens {
		job := gen.Job()
		if accepted[job.Request.ID] {
			gen.markMoved()
			transferred++
			g.log.Info("handed over", "request", job.Request.ID, "offset", gen.tokenCount())
			continue
		}
		kept++
		g.restart(gen)
	}
	g.meter.HandedOver.Add(int64(transferred))
	return transferred, kept
}

// active returns the generations that run on this entry.
func (g *Generator) active() []*Generation {
	var out []*Generation
	for i := range g.shards {
		s := &g.shards[i]
		s.mu.Lock()
		for _, gen := range s.byID {
			if !gen.From(0).Ended() {
				out = append(out, gen)
			}
		}
		s.mu.Unlock()
	}
	return out
}

// AcceptHandover accepts jobs from another entry and returns their IDs. A job that is already
// known was accepted by an earlier call and is not started again.
func (g *Generator) AcceptHandover(jobs []HandoverJob) []sequoiasill.RequestID {
	var ids []sequoiasill.RequestID
	for _, h := range jobs {
		id := h.Job.Request.ID
		ids = append(ids, id)
		if _, known := g.Find(id, h.Job.Request.Organisation); known {
			continue
		}
		gen := newGeneration(h.Job, h.Tokens)
		gen.idleSince = g.clock.Now() // starts the abandon timeout until the caller reconnects
		g.restart(gen)
		g.meter.TakenOver.Add(1)
		g.log.Info("taken over", "request", id, "upstream", h.Job.Upstream, "offset", len(h.Tokens))
	}
	return ids
}

// restart runs a generation whose request was admitted before, here or by another
// entry.
func (g *Generator) restart(gen *Generation) {
	job := gen.Job()
	ticket, failure := g.balancer.Admit(balancer.Admission{
		Request: job.Request, Weight: job.Weight, Pool: job.Pool, Version: job.Version, Accepted: true,
	})
	if failure != nil {
		gen.end(g.clock.Now(), failure)
		return
	}
	g.launch(gen, ticket)
}

// Mirror is the local copy of a generation that runs on another entry.
type Mirror struct {
	gen  *Generation
	once sync.Once
}

// NewMirror returns a mirror of a job from a token offset. The tokens before the
// offset are empty.
func NewMirror(job Job, offset int) *Mirror {
	return &Mirror{gen: newGeneration(job, make([]string, offset))}
}

// Generation returns the mirrored generation, for callers to read.
func (m *Mirror) Generation() *Generation { return m.gen }

// Append adds tokens received from the other entry.
func (m *Mirror) Append(tokens []string, finish string) {
	m.gen.update(func() {
		m.gen.tokens = append(m.gen.tokens, tokens...)
		m.gen.finishReason = finish
	})
}

// End ends the mirror. If the generation is not done, because it moved or the
// connection failed, the mirror is marked as moved, so that the caller reconnects.
func (m *Mirror) End(now sequoiasill.Millis, done bool, f *sequoiasill.Failure) {
	m.once.Do(func() {
		if done {
			m.gen.end(now, f)
			return
		}
		m.gen.markMoved()
	})
}
