package generator

import (
	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/evacuator"
)

// defaultTokenInterval is the time between tokens in milliseconds that is assumed
// for a stream without measurements.
const defaultTokenInterval = 20

// Evacuate decides for each stream on an upstream that stops at stopAt whether it
// finishes there or moves to another upstream, and schedules the moves.
func (g *Generator) Evacuate(upstream string, stopAt sequoiasill.Millis) {
	byID := make(map[sequoiasill.RequestID]*Generation)
	var streams []evacuator.Stream
	for _, gen := range g.active() {
		if job := gen.Job(); job.Upstream == upstream {
			byID[job.Request.ID] = gen
			streams = append(streams, gen.remaining())
		}
	}
	for _, d := range evacuator.Plan(g.clock.Now(), stopAt, streams, evacuator.DefaultOptions()) {
		g.log.Info("evacuation", "request", d.ID, "upstream", upstream, "move", d.Move, "at", d.MoveAt)
		if d.Move {
			byID[d.ID].scheduleMove(d.MoveAt)
		}
	}
}

// remaining returns an estimate of the tokens that the stream has yet to generate
// and of their interval.
func (g *Generation) remaining() evacuator.Stream {
	g.mu.Lock()
	defer g.mu.Unlock()
	interval := g.tokenIntervalMicros / 1000
	if interval == 0 {
		interval = defaultTokenInterval
	}
	return evacuator.Stream{
		ID: g.job.Request.ID, Remaining: max(g.job.Request.OutputTokens-len(g.tokens), 1), TokenInterval: interval,
	}
}

// scheduleMove asks the run to move to another upstream. The run does so after the
// first token that it reads at or after the given time.
func (g *Generation) scheduleMove(at sequoiasill.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.moveAt = at
}

// moveDue reports whether the scheduled time to move has come. It returns true only
// once.
func (g *Generation) moveDue(now sequoiasill.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.moveAt == 0 || now < g.moveAt {
		return false
	}
	g.moveAt = 0
	return true
}

// recordTokenInterval adds a measured time between two tokens, in microseconds, to
// the moving average.
func (g *Generation) recordTokenInterval(micros int64) {
	const weight = 0.1
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tokenIntervalMicros == 0 {
		g.tokenIntervalMicros = float64(micros)
		return
	}
	g.tokenIntervalMicros += weight * (float64(micros) - g.tokenIntervalMicros)
}
