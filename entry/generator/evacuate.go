package generator

import (
	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/evacuator"
)

// defaultGap is taken where a stream has no measured rate yet, in milliseconds.
const defaultGap = 20

// Evacuate decides for each stream on an upstream that stops at stopAt whether
// it finishes there or moves.
func (g *Generator) Evacuate(upstream string, stopAt sequoiasill.Millis) {
	byID := make(map[sequoiasill.RequestID]*Generation)
	var streams []evacuator.Stream
	for _, gen := range g.active() {
		if job := gen.Job(); job.Upstream == upstream {
			byID[job.Request.ID] = gen
			streams = append(streams, gen.rest())
		}
	}
	for _, d := range evacuator.Plan(g.clock.Now(), stopAt, streams, evacuator.DefaultOptions()) {
		g.log.Info("evacuation", "request", d.ID, "upstream", upstream, "move", d.Move, "at", d.MoveAt)
		if d.Move {
			byID[d.ID].moveAfter(d.MoveAt)
		}
	}
}

// rest returns what the stream has still to do.
func (g *Generation) rest() evacuator.Stream {
	g.mu.Lock()
	defer g.mu.Unlock()
	gap := g.gapMicros / 1000
	if gap == 0 {
		gap = defaultGap
	}
	return evacuator.Stream{
		ID: g.job.Request.ID, Remaining: max(g.job.Request.OutputTokens-len(g.tokens), 1), TokenInterval: gap,
	}
}

// moveAfter asks the run to leave its upstream from a time on.
func (g *Generation) moveAfter(at sequoiasill.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaveAt = at
}

// mustMove reports, once, whether the time to leave the upstream has come.
func (g *Generation) mustMove(now sequoiasill.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaveAt == 0 || now < g.leaveAt {
		return false
	}
	g.leaveAt = 0
	return true
}

// gap takes a measured time between two tokens, in microseconds.
func (g *Generation) gap(micros int64) {
	const weight = 0.1
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gapMicros == 0 {
		g.gapMicros = float64(micros)
		return
	}
	g.gapMicros += weight * (float64(micros) - g.gapMicros)
}
