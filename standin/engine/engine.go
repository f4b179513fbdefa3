// Package engine simulates a model engine with continuous batching, token
// streaming, prefix caching, stream resumption and cancellation, KV cache export
// and import, orders and fault injection. docs/ENGINE.md describes the protocol.
package engine

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/standin/killer"
)

// Faults are the faults to inject, those of a bad version or a broken engine.
type Faults struct {
	FailPerThousand int     `json:"failPerThousand"` // requests answered with 500
	FailFromRunning int     `json:"failFromRunning"` // min running sequences for failures
	FailAfterMillis int64   `json:"failAfterMillis"` // delay before the failures start
	SlowFactor      float64 `json:"slowFactor"`      // 0 for 1
	CrashOn         string  `json:"crashOn"`         // text in a prompt that crashes the engine
	Refuse          bool    `json:"refuse"`          // refuse new requests, as a draining engine does
	CrossResponses  bool    `json:"crossAnswers"`    // return the previous request's ID
	NoExport        bool    `json:"noExport"`        // refuse to export KV cache
}

// Options configure an Engine.
type Options struct {
	Name           string
	Version        string
	Slots          int
	Speed          Speed
	Fencing        bool
	ReportInterval time.Duration // interval between updates of the load report
	Seed           uint64
	Crash          func() // called once when a prompt crashes the engine; may be nil
}

// Engine simulates a model engine. It is safe for concurrent use.
type Engine struct {
	opts   Options
	clock  sequoiasill.Clock
	batch  *batch
	cache  *prefixCache
	server *fasthttp.Server
	stop   chan struct{}
	once   sync.Once

	mu          sync.Mutex
	listener    *killer.Listener
	streams     map[string]*sequence
	faults      Faults
	faultsSetAt sequoiasill.Millis
	version     string
	epoch       uint64
	report      sequoiasill.LoadReport
	previousID  string // ID of the last request, for crossed responses
	prefill     time.Duration
	counts      Counts
	rand        *rand.Rand
}

// Counts are the counters of an engine.
type Counts struct {
	Requests      int `json:"requests"`
	Generated     int `json:"generated"`
	PromptTokens  int `json:"promptTokens"`
	CachedTokens  int `json:"cachedTokens"`
	Recomputed    int `json:"recomputedTokens"` // tokens from another engine that were prefilled again
	Imported      int `json:"importedTokens"`
	StaleOrders   int `json:"staleOrders"`
	OrdersApplied int `json:"ordersApplied"`
}

// New returns an engine that runs until Close or Kill.
func New(opts Options, clock sequoiasill.Clock) *Engine {
	e := &Engine{
		opts:    opts,
		clock:   clock,
		batch:   newBatch(opts.Slots),
		cache:   newPrefixCache(cacheEntries),
		stop:    make(chan struct{}),
		streams: make(map[string]*sequence),
		version: opts.Version,
		rand:    rand.New(rand.NewPCG(opts.Seed, 1)),
	}
	e.server = &fasthttp.Server{Handler: e.routes(), Logger: killer.NopLogger{}, NoDefaultServerHeader: true}
	go e.generate()
	go e.publishLoad()
	return e
}

// Serve serves requests on l until Close or Kill.
func (e *Engine) Serve(l net.Listener) error {
	k := killer.New(l)
	e.mu.Lock()
	e.listener = k
	e.mu.Unlock()
	return e.server.Serve(k)
}

// Close stops generating and serving.
func (e *Engine) Close() { e.Kill() }

// Kill resets all connections and stops without draining.
func (e *Engine) Kill() {
	e.once.Do(func() {
		close(e.stop)
		e.mu.Lock()
		l := e.listener
		e.mu.Unlock()
		if l != nil {
			l.Kill()
		}
	})
}

// Killed reports whether the engine was killed.
func (e *Engine) Killed() bool {
	select {
	case <-e.stop:
		return true
	default:
		return false
	}
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.faultsSetAt = e.clock.Now()
}

// Counts returns the current counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// generate runs the batch step by step until the engine stops.
func (e *Engine) generate() {
	for {
		running := e.batch.step()
		if len(running) == 0 {
			select {
			case <-e.stop:
				return
			case <-e.batch.work:
				continue
			}
		}
		select {
		case <-e.stop:
			return
		case <-time.After(e.stepTime(len(running))):
		}
		for _, s := range running {
			s.update(func() { s.generated++ })
		}
		e.mu.Lock()
		e.counts.Generated += len(running)
		e.mu.Unlock()
	}
}

// prefillChunk is the max number of prompt tokens that one step prefills.
const prefillChunk = 128

// stepTime returns the duration of the next step, including its part of the
// pending prefill.
func (e *Engine) stepTime(running int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	// Prefill is chunked, so that a long prompt does not delay a step.
	chunk := min(e.prefill, prefillChunk*e.opts.Speed.PrefillToken)
	e.prefill -= chunk
	d := e.opts.Speed.Step + time.Duration(running-1)*e.opts.Speed.StepPerRunning + chunk
	if e.faults.SlowFactor > 0 {
		d = time.Duration(float64(d) * e.faults.SlowFactor)
	}
	return d
}

// publishLoad updates the load report periodically, so the report lags.
func (e *Engine) publishLoad() {
	tick := time.NewTicker(max(e.opts.ReportInterval, 10*time.Millisecond))
	defer tick.Stop()
	for {
		running, waiting := e.batch.load()
		e.mu.Lock()
		e.report = sequoiasill.LoadReport{Running: running, Waiting: waiting, ReportedAt: e.clock.Now()}
		e.mu.Unlock()
		select {
		case <-e.stop:
			return
		case <-tick.C:
		}
	}
}

// shouldFail reports whether to fail the next request.
func (e *Engine) shouldFail() bool {
	running, _ := e.batch.load()
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults
	if f.FailPerThousand == 0 || running < f.FailFromRunning {
		return false
	}
	if e.clock.Now()-e.faultsSetAt < sequoiasill.Millis(f.FailAfterMillis) {
		return false
	}
	return e.rand.IntN(1000) < f.FailPerThousand
}
