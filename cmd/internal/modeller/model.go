package modeller

import (
	"math"
	"math/rand/v2"
	"strconv"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/limiter"
	"sequoiasill.dev/sequoiasill/decide/picker"
	"sequoiasill.dev/sequoiasill/decide/tracker"
)

// Admission decides when jobs start. The limiter is one, first in first out the
// baseline.
type Admission interface {
	Step(now sequoiasill.Millis, ev limiter.Event) []limiter.Action
}

// Stream is the traffic of one organisation in one class.
type Stream struct {
	Organisation string
	Weight       int
	Class        sequoiasill.Class
	PerSecond    float64
	PromptTokens int
	OutputTokens int
	Prefixes     int // distinct prompt heads, 0 for none
	From, To     float64
	Deadline     float64
}

// Options describe a run. Times are in milliseconds.
type Options struct {
	Seed     uint64
	Engines  int
	Slots    int
	Entries  int
	Span     float64
	Streams  []Stream
	Lag      float64 // of load reports
	Slow     map[int]float64
	SlowAll  float64
	Tracking bool // eject slow engines
	// Admission and Strategy make each entry's policy.
	Admission func() Admission
	Strategy  func(seed uint64) picker.Strategy
	// Limit bounds what an entry sends to an engine; 0 is an even share of slots.
	Limit int
}

// Result is what came of a run.
type Result struct {
	Jobs      []*Job
	Imbalance float64 // greatest over mean load of the engines, averaged over time
	HitRate   float64 // of prompt tokens
	Ejected   map[int]bool
	Shed      []int // jobs sent to each engine after the first third of the run
}

type entry struct {
	admission Admission
	strategy  picker.Strategy
	own       []int
	tracker   *tracker.Tracker
	ownAt     []ownership
}

// ownership remembers how much of an engine's load was this entry's at a time.
type ownership struct {
	at  float64
	own []int
}

// model is the state of a run.
type model struct {
	opts    Options
	rand    *rand.Rand
	now     float64
	engines []*engine
	entries []*entry
	jobs    map[sequoiasill.RequestID]*Job
	result  Result
	samples int
	total   float64
}

// reportEvery is the interval at which engines make load reports.
const reportEvery = 250.0

// Run runs the model to its end: no arrivals after the span, but all jobs that
// were accepted end.
func Run(opts Options) Result {
	m := &model{opts: opts, rand: rand.New(rand.NewPCG(opts.Seed, 4)), jobs: make(map[sequoiasill.RequestID]*Job)}
	m.result.Ejected = make(map[int]bool)
	m.result.Shed = make([]int, opts.Engines)
	for i := range opts.Engines {
		e := newEngine(opts.Slots)
		if f, ok := opts.Slow[i]; ok {
			e.slow = f
		}
		if opts.SlowAll > 0 {
			e.slow *= opts.SlowAll
		}
		m.engines = append(m.engines, e)
	}
	for i := range opts.Entries {
		m.addEntry(i)
	}
	m.loop(m.arrivals())
	hits, prompts := 0, 0
	for _, e := range m.engines {
		hits += e.hits
		prompts += e.prompts
	}
	m.result.HitRate = float64(hits) / math.Max(float64(prompts), 1)
	m.result.Imbalance = m.total / math.Max(float64(m.samples), 1)
	return m.result
}

func (m *model) addEntry(i int) {
	e := &entry{
		admission: m.opts.Admission(), strategy: m.opts.Strategy(m.opts.Seed*1000 + uint64(i)),
		own: make([]int, m.opts.Engines), tracker: tracker.New(tracker.DefaultOptions()),
	}
	var list []sequoiasill.Instance
	for k := range m.opts.Engines {
		list = append(list, sequoiasill.Instance{Name: strconv.Itoa(k), Role: sequoiasill.RoleUpstream, Pool: "p", Version: "v"})
	}
	e.tracker.Step(0, tracker.Listed{Instances: list})
	m.entries = append(m.entries, e)
	m.act(i, e.admission.Step(0, limiter.SlotsChanged{Slots: m.limit() * m.opts.Engines}))
}

func (m *model) limit() int {
	if m.opts.Limit > 0 {
		return m.opts.Limit
	}
	return max(m.opts.Slots/m.opts.Entries, 1)
}

// arrivals returns all jobs in order of arrival.
func (m *model) arrivals() []*Job {
	var all []*Job
	for _, s := range m.opts.Streams {
		to := s.To
		if to == 0 {
			to = m.opts.Span
		}
		for at := s.From + m.gap(s); at < to; at += m.gap(s) {
			all = append(all, m.job(s, at))
		}
	}
	sortJobs(all)
	for i, j := range all {
		j.Request.ID = sequoiasill.RequestID(strconv.Itoa(i))
		j.entry = m.rand.IntN(m.opts.Entries)
		m.jobs[j.Request.ID] = j
	}
	m.result.Jobs = all
	return all
}

func (m *model) gap(s Stream) float64 { return m.rand.ExpFloat64() * 1000 / s.PerSecond }

func (m *model) job(s Stream, at float64) *Job {
	vary := func(n int) int { return max(int(float64(n)*(0.5+m.rand.Float64())), 1) }
	j := &Job{Weight: s.Weight, Arrived: at, Engine: -1, Request: sequoiasill.Request{
		Organisation: s.Organisation, Class: s.Class, PromptTokens: vary(s.PromptTokens), OutputTokens: vary(s.OutputTokens),
		Deadline: sequoiasill.Millis(at + s.Deadline),
	}}
	if s.Prefixes > 0 {
		j.Request.Prefix = uint64(m.rand.IntN(s.Prefixes)) + 1
		j.PrefixN = j.Request.PromptTokens * 8 / 10
	}
	return j
}

// loop takes arrivals, steps of engines and load reports in order of time.
func (m *model) loop(arrivals []*Job) {
	nextReport := 0.0
	for {
		at, which := math.Inf(1), -1
		for i, e := range m.engines {
			if e.next < at {
				at, which = e.next, i
			}
		}
		switch {
		case len(arrivals) > 0 && arrivals[0].Arrived <= math.Min(at, nextReport):
			m.now = arrivals[0].Arrived
			m.arrive(arrivals[0])
			arrivals = arrivals[1:]
		case math.IsInf(at, 1) && len(arrivals) == 0:
			return
		case nextReport <= at:
			m.now = nextReport
			m.report()
			nextReport += reportEvery
		default:
			m.now = at
			m.step(which)
		}
	}
}

func (m *model) arrive(j *Job) {
	m.act(j.entry, m.entries[j.entry].admission.Step(m.millis(), limiter.Arrived{Item: limiter.Item{
		ID: j.Request.ID, Organisation: j.Request.Organisation, Weight: j.Weight, Class: j.Request.Class,
		Cost: j.Request.Cost(), Service: m.service(j), Deadline: j.Request.Deadline,
	}}))
}

// service returns the expected time of a job on a busy engine.
func (m *model) service(j *Job) sequoiasill.Millis {
	step := stepTime + stepPerJob*float64(m.opts.Slots-1) + prefillToken*prefillChunk/4
	return sequoiasill.Millis(float64(j.Request.OutputTokens)*step + float64(j.Request.PromptTokens)*prefillToken*2)
}

func (m *model) millis() sequoiasill.Millis { return sequoiasill.Millis(m.now) }

func (m *model) act(i int, actions []limiter.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case limiter.Start:
			m.send(i, m.jobs[a.ID])
		case limiter.Refuse:
			m.jobs[a.ID].Refused = true
		}
	}
}

// send picks an engine for a job.
func (m *model) send(i int, j *Job) {
	e := m.entries[i]
	usable := make(map[string]bool)
	for _, u := range e.tracker.Usable(m.millis(), "p", "v") {
		usable[u.Name] = true
	}
	var candidates []picker.Candidate
	for k := range m.engines {
		name := strconv.Itoa(k)
		if m.opts.Tracking && !usable[name] {
			m.result.Ejected[k] = true
			continue
		}
		c := picker.Candidate{
			Upstream: sequoiasill.Upstream{Name: name, Slots: m.opts.Slots}, InFlight: e.own[k], Limit: m.limit() + 1, Slowness: 1,
		}
		if m.opts.Tracking {
			c.Slowness = e.tracker.Slowness(name)
		}
		if r, own, ok := m.reported(e, k); ok {
			c.Report, c.Reported, c.InFlightAtReport, c.ReportAge = r, true, own, m.millis()-r.ReportedAt
		}
		candidates = append(candidates, c)
	}
	choice, ok := e.strategy.Pick(j.Request, candidates)
	k := m.rand.IntN(len(m.engines))
	if ok {
		k, _ = strconv.Atoi(choice.Upstream.Name)
	}
	j.Engine, j.Started = k, m.now
	if m.now > m.opts.Span/3 {
		m.result.Shed[k]++
	}
	e.own[k]++
	m.engines[k].add(m.now, j)
}

// reported returns the newest report that is old enough to be known.
func (m *model) reported(e *entry, k int) (sequoiasill.LoadReport, int, bool) {
	reports := m.engines[k].reports
	for i := len(reports) - 1; i >= 0; i-- {
		if reports[i].at <= m.now-m.opts.Lag {
			own := 0
			for n := len(e.ownAt) - 1; n >= 0; n-- {
				if e.ownAt[n].at <= reports[i].at {
					own = e.ownAt[n].own[k]
					break
				}
			}
			return reports[i].load, own, true
		}
	}
	return sequoiasill.LoadReport{}, 0, false
}

// keptReports bounds the reports that are remembered.
const keptReports = 64

func (m *model) report() {
	most, sum, used := 0.0, 0.0, 0.0
	for _, e := range m.engines {
		l := e.load(m.now)
		e.reports = append(e.reports, report{at: m.now, load: l})
		e.reports = e.reports[max(len(e.reports)-keptReports, 0):]
		load := float64(l.Running + l.Waiting)
		if e.prompts == 0 {
			continue // never used, so not a part of the balance
		}
		used++
		most = math.Max(most, load)
		sum += load
	}
	for _, e := range m.entries {
		e.ownAt = append(e.ownAt, ownership{at: m.now, own: append([]int(nil), e.own...)})
		e.ownAt = e.ownAt[max(len(e.ownAt)-keptReports, 0):]
	}
	if mean := sum / math.Max(used, 1); mean > 1 && m.now < m.opts.Span {
		m.total += most / mean
		m.samples++
	}
}

func (m *model) step(k int) {
	running := append([]*Job(nil), m.engines[k].running...)
	ended := m.engines[k].step(m.now)
	for _, j := range running {
		if n := len(j.Gaps); n > 0 && j.last == m.now {
			micros := int64(j.Gaps[n-1] * 1000)
			m.entries[j.entry].tracker.Step(m.millis(), tracker.Answered{Upstream: strconv.Itoa(k), Micros: micros})
		}
	}
	for _, j := range ended {
		e := m.entries[j.entry]
		e.own[k]--
		m.act(j.entry, e.admission.Step(m.millis(), limiter.Ended{ID: j.Request.ID}))
	}
}
