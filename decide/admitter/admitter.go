// Package admitter implements admission control under overload. When the upstreams of a service
// are saturated, it refuses the calls whose refusal costs callers least before they take a place
// in an upstream's queue, so that urgent calls still find one.
//
// An Admitter knows what the responses to this entry's own calls report: waiting and running calls
// for each slot, rejections, and how long calls hold a slot. Reports are averaged over a fraction
// of a second and expire within a second, so that an entry without fresh reports admits all calls.
// Entries exchange nothing for it. Each refuses a fraction of the calls that rises with the
// pressure, and the fractions of all entries have the effect of one.
//
// An Admitter is a state machine without I/O. It is designed for a load in which many short, less
// urgent calls fill the queues of all upstreams within two seconds.
package admitter

import (
	"math"
	"math/rand/v2"
	"slices"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// Options configure an Admitter.
type Options struct {
	// LoadDecay is the time constant by which the weight of a load report decays with its age.
	// An entry of the largest deployments gets about 12 reports a second of a service, so that
	// five of them make up most of the mean.
	LoadDecay sequoiasill.Millis
	// HoldDecay is the same for the time that calls hold a slot. It depends on the calls, which
	// change more slowly than queues.
	HoldDecay sequoiasill.Millis
	// The pressure counts in full up to FreshAge of the newest sample, and not at all from
	// StaleAge on. Queues of short calls drain within a second.
	FreshAge sequoiasill.Millis
	StaleAge sequoiasill.Millis
	// MinSamples is the number of load reports in the last second below which nothing is refused.
	MinSamples int
	// MinTaken is the mean share of taken slots below which nothing is refused. With a fifth of the
	// slots free, queues at some upstreams come from an uneven distribution, which refusals do not
	// correct.
	MinTaken float64
	// MaxWaiting bounds the waiting calls per slot in one report, so that a faulty one has little
	// weight. Known queues hold up to four.
	MaxWaiting float64
	// RejectedWaiting is the least number of waiting calls per slot that a rejection counts as. The
	// queues of known engines hold two.
	RejectedWaiting float64
	// EngineBand are the waiting calls per slot over which the probability to refuse a call of the
	// least urgent rank rises from 0 to 1 at services with engines. Below half a waiting call per
	// slot, a queue only bridges the gaps between calls.
	EngineBand Band
	// EngineShift is added to EngineBand for the most urgent of the ranks that are refused, and in
	// proportion for ranks between, so that less urgent ones are refused first. The band must end
	// below RejectedWaiting, where upstreams reject urgent calls too.
	EngineShift float64
	// PlainBand is the same at services without engines for the most urgent rank, as a fraction of
	// the route's target latency that the expected wait takes. The rest of the target is left for
	// the work, a retry and the variation of queues. PlainLessUrgent is the factor for other ranks.
	PlainBand       Band
	PlainLessUrgent float64
	// A call with less than ReturnedFraction of its route's timeout left has been refused before;
	// its probability is multiplied by ReturnedWeight, so that callers that have waited go first.
	ReturnedFraction float64
	ReturnedWeight   float64
	// DefaultTarget replaces the target latency of routes without one in the time to retry after.
	DefaultTarget sequoiasill.Millis
	// RetryTargets is the mean time to retry after, as a fraction of the target latency, and
	// RetrySpread the fraction by which it varies at random, so that callers do not return
	// together. At services without engines it is PlainRetryTargets: their queues change within a
	// fraction of the target, and callers that return within it are still served in time. RetryRemaining limits it to a fraction of the time left, beyond which callers
	// ignore it.
	RetryTargets      float64
	PlainRetryTargets float64
	RetrySpread       float64
	RetryRemaining    float64
}

// Band is a range over which the probability to refuse a call rises from 0 to 1.
type Band struct{ Low, High float64 }

// DefaultOptions returns the options that entries use.
func DefaultOptions() Options {
	return Options{
		LoadDecay: 400, HoldDecay: 2 * sequoiasill.Second, FreshAge: 400, StaleAge: sequoiasill.Second,
		MinSamples: 5, MinTaken: 0.8, MaxWaiting: 8, RejectedWaiting: 2,
		EngineBand: Band{0.5, 1.25}, EngineShift: 0.7, PlainBand: Band{0.3, 0.6}, PlainLessUrgent: 0.5,
		ReturnedFraction: 0.75, ReturnedWeight: 0.5,
		DefaultTarget: 500, RetryTargets: 0.5, PlainRetryTargets: 0.2, RetrySpread: 0.5, RetryRemaining: 1.0 / 3,
	}
}

// Request describes a call that asks for admission.
type Request struct {
	Service       string
	Priority      int                // of its route, 0 is the highest
	TargetLatency sequoiasill.Millis // of its route, 0 for none
	Timeout       sequoiasill.Millis // of its route, 0 for none
	Remaining     sequoiasill.Millis // until the caller stops waiting
}

// Decision is a decision on a call with the values behind it.
type Decision struct {
	Refused     bool
	RetryAfter  sequoiasill.Millis // of a refused call
	Engine      bool               // Band is in waiting calls per slot, else in milliseconds of wait
	Rank, Ranks int                // rank of the call among those of the service, from 0 for the most urgent
	Waiting     float64            // waiting calls per slot
	Taken       float64            // share of the slots that are taken
	Wait        sequoiasill.Millis // expected wait for a slot
	Band        Band
	Probability float64
	Samples     int                // load reports in the last second
	Age         sequoiasill.Millis // of the newest one, -1 for none
}

// Admitter holds the pressure at the upstreams of each service. It is not safe for concurrent use.
type Admitter struct {
	opts     Options
	services map[string]*service
	rand     *rand.Rand
}

// service is the state of one service.
type service struct {
	engine     bool
	priorities []int // of its routes, in order and each once
	arrivals   arrivals

	waiting  mean // calls per slot
	taken    mean // share of slots
	hold     mean // milliseconds that a call holds a slot
	samples  recentCount
	reported bool
	newestAt sequoiasill.Millis // time of the newest sample
}

// New returns an Admitter without services, which admits all calls. The seed makes its draws
// reproducible.
func New(opts Options, seed uint64) *Admitter {
	return &Admitter{opts: opts, services: make(map[string]*service), rand: rand.New(rand.NewPCG(seed, 0))}
}

// SetTraffic sets the services and the priorities of their routes. Services that stay keep what is
// known of their load.
func (a *Admitter) SetTraffic(t *sequoiasill.Traffic) {
	services := make(map[string]*service, len(t.Services))
	for _, c := range t.Services {
		s := a.services[c.Name]
		if s == nil {
			s = &service{}
		}
		s.engine = c.Engine != nil
		s.priorities = nil
		services[c.Name] = s
	}
	for _, r := range t.Routes {
		for _, w := range r.Targets {
			if s := services[w.Service]; s != nil && r.Selects(w.Service) {
				s.priorities = append(s.priorities, r.Priority)
			}
		}
	}
	for _, s := range services {
		slices.Sort(s.priorities)
		s.priorities = slices.Compact(s.priorities)
	}
	a.services = services
}

// RecordLoad records a load report that came with a response.
func (a *Admitter) RecordLoad(now sequoiasill.Millis, name string, l registrar.Load) {
	if s := a.service(now, name); s != nil && l.Slots > 0 {
		s.record(now, a.opts, a.waitingPerSlot(l), taken(l))
	}
}

// RecordRejected records that an upstream rejected a call because its queue is full, with its load
// if it reported that. A report without waiting calls and with a free slot contradicts that and
// counts as any other.
func (a *Admitter) RecordRejected(now sequoiasill.Millis, name string, l registrar.Load, reported bool) {
	s := a.service(now, name)
	switch {
	case s == nil:
	case !reported || l.Slots <= 0:
		// Without a report, it does not add to the samples that suffice for refusals: if only
		// rejections are seen, nothing tells how many calls are served.
		s.waiting.add(now, a.opts.LoadDecay, a.opts.RejectedWaiting)
	case l.Waiting == 0 && l.Running < l.Slots:
		a.RecordLoad(now, name, l)
	default:
		s.record(now, a.opts, max(a.waitingPerSlot(l), a.opts.RejectedWaiting), 1)
	}
}

// RecordEnd records the duration of a call that was served, with the load that the upstream
// reported in the response. A call waits about as long for each waiting call per slot as it then
// holds a slot.
func (a *Admitter) RecordEnd(now sequoiasill.Millis, name string, took sequoiasill.Millis, l registrar.Load) {
	if s := a.service(now, name); s != nil && l.Slots > 0 && took >= 0 {
		s.hold.add(now, a.opts.HoldDecay, float64(took)/(1+a.waitingPerSlot(l)))
	}
}

// taken returns the share of taken slots in a report. Where calls wait, none is free, also if a report
// is made between the end of one call and the start of the next.
func taken(l registrar.Load) float64 {
	if l.Waiting > 0 {
		return 1
	}
	return min(max(float64(l.Running)/float64(l.Slots), 0), 1)
}

// waitingPerSlot returns the bounded number of waiting calls per slot in a report.
func (a *Admitter) waitingPerSlot(l registrar.Load) float64 {
	return min(max(float64(l.Waiting), 0)/float64(l.Slots), a.opts.MaxWaiting)
}

// service returns the state of a configured service, or nil.
func (a *Admitter) service(now sequoiasill.Millis, name string) *service {
	s := a.services[name]
	if s != nil && s.reported && s.newestAt-now > a.opts.StaleAge {
		// The clock was set back: the ages of the samples are unknown.
		*s = service{engine: s.engine, priorities: s.priorities}
	}
	return s
}

func (s *service) record(now sequoiasill.Millis, opts Options, waiting, taken float64) {
	s.waiting.add(now, opts.LoadDecay, waiting)
	s.taken.add(now, opts.LoadDecay, taken)
	s.samples.add(now)
	s.reported, s.newestAt = true, max(now, s.newestAt)
}

// freshness returns the weight of the pressure at the age of its newest sample, from 0 to 1.
func (o Options) freshness(age sequoiasill.Millis) float64 {
	return min(max(float64(o.StaleAge-age)/float64(o.StaleAge-o.FreshAge), 0), 1)
}

// Pressure returns the waiting calls per slot of a service, 0 if they are not known.
func (a *Admitter) Pressure(now sequoiasill.Millis, name string) float64 {
	s := a.service(now, name)
	if s == nil || !s.reported {
		return 0
	}
	return s.waiting.value() * a.opts.freshness(now-s.newestAt)
}

// Decide decides whether a call is admitted.
func (a *Admitter) Decide(now sequoiasill.Millis, r Request) Decision {
	d := a.Assess(now, r)
	if d.Probability == 0 {
		return d
	}
	if d.Refused = a.rand.Float64() < d.Probability; d.Refused {
		d.RetryAfter = a.retryAfter(r, d.Engine)
	}
	return d
}

// Assess returns the probability to refuse a call and the values behind it, without a decision.
func (a *Admitter) Assess(now sequoiasill.Millis, r Request) Decision {
	d := Decision{Age: -1}
	s := a.service(now, r.Service)
	if s == nil {
		return d
	}
	rank, ranks, known := s.rank(now, r.Priority)
	d.Engine, d.Rank, d.Ranks = s.engine, rank, ranks
	if !known || !s.reported {
		return d
	}
	d.Waiting, d.Taken = a.Pressure(now, r.Service), s.taken.value()
	d.Wait = sequoiasill.ClampDuration(d.Waiting*s.hold.value(), 1)
	d.Samples, d.Age = s.samples.last(now), max(now-s.newestAt, 0)
	if d.Samples < a.opts.MinSamples || d.Taken < a.opts.MinTaken {
		return d
	}
	var limited bool
	level := d.Waiting
	if s.engine {
		d.Band, limited = a.engineBand(rank, ranks)
	} else {
		d.Band, limited = a.plainBand(rank, r.TargetLatency)
		level = float64(d.Wait)
	}
	if !limited || level < d.Band.Low {
		return d
	}
	d.Probability = min((level-d.Band.Low)/(d.Band.High-d.Band.Low), 1)
	if float64(r.Remaining) < a.opts.ReturnedFraction*float64(r.Timeout) {
		d.Probability *= a.opts.ReturnedWeight
	}
	if d.Wait > r.Remaining {
		d.Probability = 1
	}
	return d
}

// engineBand returns the band of a rank in waiting calls per slot. Engines serve the most urgent
// rank first, so that others do not delay it.
func (a *Admitter) engineBand(rank, ranks int) (b Band, limited bool) {
	if rank == 0 {
		return Band{}, false
	}
	shift := 0.0
	if ranks > 2 {
		shift = a.opts.EngineShift * float64(ranks-1-rank) / float64(ranks-2)
	}
	return Band{a.opts.EngineBand.Low + shift, a.opts.EngineBand.High + shift}, true
}

// plainBand returns the band of a rank in milliseconds of expected wait.
func (a *Admitter) plainBand(rank int, target sequoiasill.Millis) (b Band, limited bool) {
	scale := float64(target)
	if rank > 0 {
		scale *= a.opts.PlainLessUrgent
	}
	return Band{a.opts.PlainBand.Low * scale, a.opts.PlainBand.High * scale}, target > 0
}

func (a *Admitter) retryAfter(r Request, engine bool) sequoiasill.Millis {
	target := r.TargetLatency
	if target <= 0 {
		target = a.opts.DefaultTarget
	}
	spread := 1 + a.opts.RetrySpread*(2*a.rand.Float64()-1)
	targets := a.opts.PlainRetryTargets
	if engine {
		targets = a.opts.RetryTargets
	}
	wait := targets * spread * float64(target)
	return sequoiasill.Millis(max(min(wait, a.opts.RetryRemaining*float64(r.Remaining)), 1))
}

// mean is a mean of samples whose weights decay exponentially with their age.
type mean struct {
	sum, weight float64
	at          sequoiasill.Millis
}

func (m *mean) add(now, timeConstant sequoiasill.Millis, x float64) {
	if elapsed := now - m.at; elapsed > 0 {
		remaining := math.Exp(-float64(elapsed) / float64(timeConstant))
		m.sum *= remaining
		m.weight *= remaining
		m.at = now
	}
	m.sum += x
	m.weight++
}

// value returns the mean, 0 without samples.
func (m *mean) value() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}

// countSteps is the number of steps into which a second is divided for counting, and countStep the
// length of one.
const (
	countSteps = 10
	countStep  = sequoiasill.Second / countSteps
)

// recentCount counts events in the last second.
type recentCount struct {
	counts [countSteps]int
	step   sequoiasill.Millis // number of the newest step since the epoch
}

func (c *recentCount) advance(now sequoiasill.Millis) {
	step := now / countStep
	if step-c.step >= countSteps {
		clear(c.counts[:])
		c.step = step
	}
	for c.step < step {
		c.step++
		c.counts[c.step%countSteps] = 0
	}
}

func (c *recentCount) add(now sequoiasill.Millis) {
	c.advance(now)
	c.counts[c.step%countSteps]++
}

func (c *recentCount) last(now sequoiasill.Millis) int {
	c.advance(now)
	n := 0
	for _, count := range c.counts {
		n += count
	}
	return n
}
