package generator

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/retrier"
	"sequoiasill.dev/sequoiasill/entry/balancer"
	"sequoiasill.dev/sequoiasill/entry/budgeter"
	"sequoiasill.dev/sequoiasill/entry/drainer"
	"sequoiasill.dev/sequoiasill/entry/forwarder"
	"sequoiasill.dev/sequoiasill/entry/isolator"
	"sequoiasill.dev/sequoiasill/entry/meter"
)

// Lifetimes of a generation.
const (
	// abandonTimeout is how long a generation without a reader keeps running.
	abandonTimeout = 30 * sequoiasill.Second
	// retention is how long a finished generation can still be fetched, and
	// deliveredRetention how long one that was sent completely to a caller.
	retention          = 60 * sequoiasill.Second
	deliveredRetention = 10 * sequoiasill.Second
	sweepInterval      = time.Second
)

const shardCount = 32

// Versions selects versions for requests and collects the results of requests by
// version.
type Versions interface {
	// Record records the result of a request to a version. The latency is in
	// microseconds, for a model service up to the first token.
	Record(service, route, version string, result sequoiasill.VersionResult, micros int64)
	// FallbackVersion returns another version of the service that can run a request whose
	// own version has no available upstream.
	FallbackVersion(service, pool, version string) (string, bool)
}

// Generator runs jobs and keeps their generations. It is safe for concurrent use.
type Generator struct {
	name      string // of the entry
	clock     sequoiasill.Clock
	balancer  *balancer.Balancer
	forwarder *forwarder.Forwarder
	budgets   *budgeter.Budgeter
	isolator  *isolator.Isolator
	versions  Versions
	meter     *meter.Meter
	log       hclog.Logger
	stop      chan struct{}
	running   sync.WaitGroup

	shards [shardCount]shard
}

type shard struct {
	mu   sync.Mutex
	byID map[sequoiasill.RequestID]*Generation
}

// New returns the Generator of the named entry. It runs until Close.
func New(name string, clock sequoiasill.Clock, b *balancer.Balancer, f *forwarder.Forwarder, m *meter.Meter, budgets *budgeter.Budgeter, iso *isolator.Isolator, v Versions, log hclog.Logger) *Generator {
	g := &Generator{
		name:      name,
		isolator:  iso,
		versions:  v,
		clock:     clock,
		balancer:  b,
		forwarder: f,
		meter:     m,
		budgets:   budgets,
		log:       log.Named("generator"),
		stop:      make(chan struct{}),
	}
	for i := range g.shards {
		g.shards[i].byID = make(map[sequoiasill.RequestID]*Generation)
	}
	go func() {
		tick := time.NewTicker(sweepInterval)
		defer tick.Stop()
		for {
			select {
			case <-g.stop:
				return
			case <-tick.C:
				g.sweep()
			}
		}
	}()
	return g
}

// Close stops the background work. It doesn't wait for running jobs.
func (g *Generator) Close() { close(g.stop) }

// Drain waits until all jobs have finished or the timeout expires. It reports
// whether all have finished.
func (g *Generator) Drain(timeout sequoiasill.Millis) bool { return drainer.Wait(&g.running, timeout) }

// Running returns the number of jobs that run on this entry.
func (g *Generator) Running() int { return len(g.active()) }

// Start admits a job and runs it in the background. A Failure has the verdict NotRun.
func (g *Generator) Start(job Job, serviceTime sequoiasill.Millis) (*Generation, *sequoiasill.Failure) {
	ticket, failure := g.balancer.Admit(balancer.Admission{
		Request: job.Request, Weight: job.Weight, ExpectedDuration: serviceTime, Pool: job.Pool, Version: job.Version,
	})
	if failure != nil {
		return nil, failure
	}
	g.budgets.Step(retrier.FirstAttempt{Organisation: job.Request.Organisation, Pool: job.Pool})
	gen := newGeneration(job, nil)
	g.launch(gen, ticket)
	return gen, nil
}

func (g *Generator) launch(gen *Generation, ticket *balancer.Ticket) {
	id := gen.Job().Request.ID
	s := g.shard(id)
	s.mu.Lock()
	s.byID[id] = gen
	s.mu.Unlock()
	g.running.Add(1)
	epoch, stop := gen.beginRun()
	go func() {
		defer g.running.Done()
		r := run{g: g, gen: gen, ticket: ticket, epoch: epoch, stop: stop, avoid: make(map[string]bool)}
		defer func() { r.ticket.End() }()
		r.loop()
	}()
}

// Find returns the organisation's generation with the ID. Generations of other
// organisations are not found.
func (g *Generator) Find(id sequoiasill.RequestID, organisation string) (*Generation, bool) {
	s := g.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	gen, ok := s.byID[id]
	if !ok || gen.Job().Request.Organisation != organisation {
		return nil, false
	}
	return gen, true
}

func (g *Generator) shard(id sequoiasill.RequestID) *shard {
	return &g.shards[xxhash.Sum64String(string(id))%shardCount]
}

// abandon cancels a generation whose caller did not reconnect.
func (g *Generator) abandon(now sequoiasill.Millis, gen *Generation) {
	if gen.From(0).Ended() {
		return
	}
	gen.haltRun()
	gen.end(now, sequoiasill.NewFailure(sequoiasill.MayHaveRun, sequoiasill.CodeDeadline, 408, "the caller did not come back"))
	job := gen.Job()
	g.log.Info("abandoned", "request", job.Request.ID)
	if up, ok := g.balancer.Instance(job.Upstream); ok {
		go func() {
			_, _ = g.forwarder.Control("DELETE", up.Address, "/v1/streams/"+job.StreamID, nil, kvTimeout)
		}()
	}
}

// sweep cancels abandoned generations and deletes expired ones.
func (g *Generator) sweep() {
	now := g.clock.Now()
	for i := range g.shards {
		s := &g.shards[i]
		s.mu.Lock()
		for id, gen := range s.byID {
			if gen.abandoned(now, abandonTimeout) {
				g.abandon(now, gen)
			}
			if gen.expired(now) {
				delete(s.byID, id)
			}
		}
		s.mu.Unlock()
	}
}
