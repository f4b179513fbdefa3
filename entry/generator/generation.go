// Package generator runs requests to model services. It keeps the tokens that an
// engine has generated so far, so that a request can continue on another engine
// when its own drains or crashes, and so that a caller can reconnect and fetch
// the rest of its response.
package generator

import (
	"sync"

	"sequoiasill.dev/sequoiasill"
)

// Job is an accepted request to a model service.
type Job struct {
	Request  sequoiasill.Request
	Pool     string
	Version  string
	Weight   int
	Body     []byte // as sent by the caller
	Stream   bool   // the caller requested server-sent events
	Upstream string // that runs it, empty before the first attempt
	StreamID string // of the engine's stream on Upstream
}

// Generation is the response to a job, as far as it has been generated. It is safe
// for concurrent use.
type Generation struct {
	mu           sync.Mutex
	job          Job
	tokens       []string
	finishReason string
	failure      *sequoiasill.Failure
	done         bool
	moved        bool // handed over to another entry
	subscribers  map[chan struct{}]struct{}
	epoch        int
	stop         chan struct{} // closed when the run of the epoch must stop early
	streamCount  int
	readers      int
	idleSince    sequoiasill.Millis // time when a reader last left or this entry accepted the job in a handover, or zero
	endedAt      sequoiasill.Millis
	delivered    bool // completely sent to a caller; receipt is not confirmed

	tokenIntervalMicros float64            // moving average
	moveAt              sequoiasill.Millis // when the run must move to another upstream, or zero
}

func newGeneration(job Job, tokens []string) *Generation {
	return &Generation{
		job:         job,
		tokens:      tokens,
		subscribers: make(map[chan struct{}]struct{}),
		stop:        make(chan struct{}),
	}
}

// Job returns the job with its current upstream and stream.
func (g *Generation) Job() Job {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.job
}

// Progress is a snapshot of a generation from a token offset.
type Progress struct {
	Tokens       []string // from the requested offset; read-only
	FinishReason string
	Failure      *sequoiasill.Failure
	Done         bool
	Moved        bool
}

// Ended reports whether this entry will produce no further tokens.
func (p Progress) Ended() bool { return p.Done || p.Moved }

// From returns the progress from an offset, counted in tokens.
func (g *Generation) From(offset int) Progress {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := len(g.tokens)
	return Progress{
		Tokens: g.tokens[min(max(offset, 0), n):n:n], FinishReason: g.finishReason,
		Failure: g.failure, Done: g.done, Moved: g.moved,
	}
}

// Subscribe returns a channel that receives a value after each change, and a
// function that ends the subscription. Changes in quick succession are coalesced.
func (g *Generation) Subscribe() (<-chan struct{}, func(now sequoiasill.Millis)) {
	c := make(chan struct{}, 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.subscribers[c] = struct{}{}
	g.readers++
	return c, func(now sequoiasill.Millis) {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.subscribers, c)
		g.readers--
		g.idleSince = now
	}
}

// Wait blocks until the generation has ended on this entry.
func (g *Generation) Wait(now func() sequoiasill.Millis) Progress {
	changed, unsubscribe := g.Subscribe()
	defer func() { unsubscribe(now()) }()
	for {
		if p := g.From(0); p.Ended() {
			return p
		}
		<-changed
	}
}

// update applies f and notifies the subscribers.
func (g *Generation) update(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
	for c := range g.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// append adds a token, unless the run of the epoch has been halted.
func (g *Generation) append(epoch int, text, finish string) {
	g.update(func() {
		if epoch != g.epoch {
			return
		}
		g.tokens = append(g.tokens, text)
		g.finishReason = finish
	})
}

func (g *Generation) tokenCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.tokens)
}

func (g *Generation) end(now sequoiasill.Millis, f *sequoiasill.Failure) {
	g.update(func() {
		if g.moved || g.done {
			return
		}
		g.done = true
		g.failure = f
		g.endedAt = now
	})
}

func (g *Generation) setVersion(version string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.job.Version = version
}

func (g *Generation) setStream(upstream, streamID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.job.Upstream = upstream
	g.job.StreamID = streamID
}

// endRun ends the generation, unless the run of the epoch has been halted.
func (g *Generation) endRun(epoch int, now sequoiasill.Millis, f *sequoiasill.Failure) {
	g.mu.Lock()
	stale := epoch != g.epoch
	g.mu.Unlock()
	if !stale {
		g.end(now, f)
	}
}

// haltRun stops the current run without ending the generation, so that another
// run can continue it.
func (g *Generation) haltRun() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch++
	close(g.stop)
	g.stop = make(chan struct{})
}

// markMoved records that another entry continues the generation.
func (g *Generation) markMoved() { g.update(func() { g.moved = true }) }

// beginRun returns the epoch of a new run and the channel that is closed when the
// run must stop early.
func (g *Generation) beginRun() (epoch int, stop <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epoch, g.stop
}

// nextStreamNumber returns the sequence number for the generation's next engine
// stream on this entry.
func (g *Generation) nextStreamNumber() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.streamCount++
	return g.streamCount
}

// abandoned reports whether there has been no reader for longer than the timeout. A
// new generation is not abandoned before its first reader has left.
func (g *Generation) abandoned(now, timeout sequoiasill.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readers == 0 && g.idleSince > 0 && now-g.idleSince > timeout
}

// MarkDelivered records that the complete response was sent to a caller.
func (g *Generation) MarkDelivered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delivered = true
}

// expired reports whether the generation ended long enough ago to be deleted. The
// retention is shorter if the complete response was sent to a caller.
func (g *Generation) expired(now sequoiasill.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	keep := retention
	if g.delivered {
		keep = deliveredRetention
	}
	return (g.done || g.moved) && g.readers == 0 && now-max(g.endedAt, g.idleSince) > keep
}
