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

// Admission decides when jobs start. The limiter implements it, and so does the
// first-in-first-out baseline.
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
	Prefixes     int // number of distinct prompt prefixes, 0 for none
	From, To     float64
	Deadline     float64
}

// Options describe a run. Times are in milliseconds.
type Options struct {
	Seed        uint64
	Engines     int
	Slots       int
	Entries     int
	Duration    float64
	Streams     []Stream
	ReportLag   float64         // age at which load reports reach the entries
	Slowdown    map[int]float64 // factor on the duration of steps, by engine
	SlowdownAll float64         // the same for all engines, 0 for none
	EjectSlow   bool            // eject slow engines
	// Admission and Strategy create the policy of each entry.
	Admission func() Admission
	Strategy  func(seed uint64) picker.Strategy
	// Limit bounds the in-flight jobs of an entry per engine; 0 stands for an equal
	// fraction of the engine's slots.
	Limit int
}

// Result is the result of a run.
type Result struct {
	Jobs      []*Job
	Imbalance float64 // maximum load of an engine divided by the mean, averaged over time
	HitRate   float64 // fraction of prompt tokens found in a prefix cache
	Ejected   map[int]bool
	SentLate  []int // jobs sent to each engine after the first third of the run
}

type entry struct {
	admission       Admission
	strategy        picker.Strategy
	inFlight        []int
	tracker         *tracker.Tracker
	inFlightHistory []inFlightSample
}

// inFlightSample is the number of an entry's jobs at each engine at a time. A strategy
// subtracts it from the load report of that time.
type inFlightSample struct {
	at       float64
	inFlight []int
}

// model is the state of a run.
type model struct {
	opts             Options
	rand             *rand.Rand
	now              float64
	engines          []*engine
	entries          []*entry
	jobs             map[sequoiasill.RequestID]*Job
	result           Result
	imbalanceSamples int
	imbalanceSum     float64
}

// reportInterval is the interval in milliseconds at which engines report their load.
const reportInterval = 250.0

// Run runs the model. Jobs arrive until Options.Duration is over; the run ends when all
// accepted jobs have ended.
func Run(opts Options) Result {
	m := &model{opts: opts, rand: rand.New(rand.NewPCG(opts.Seed, 4)), jobs: make(map[sequoiasill.RequestID]*Job)}
	m.result.Ejected = make(map[int]bool)
	m.result.SentLate = make([]int, opts.Engines)
	for i := range opts.Engines {
		e := newEngine(opts.Slots)
		if f, ok := opts.Slowdown[i]; ok {
			e.slowdown = f
		}
		if opts.SlowdownAll > 0 {
			e.slowdown *= opts.SlowdownAll
		}
		m.engines = append(m.engines, e)
	}
	for i := range opts.Entries {
		m.addEntry(i)
	}
	m.loop(m.arrivals())
	hitTokens, promptTokens := 0, 0
	for _, e := range m.engines {
		hitTokens += e.hitTokens
		promptTokens += e.promptTokens
	}
	m.result.HitRate = float64(hitTokens) / math.Max(float64(promptTokens), 1)
	m.result.Imbalance = m.imbalanceSum / math.Max(float64(m.imbalanceSamples), 1)
	return m.result
}

func (m *model) addEntry(i int) {
	e := &entry{
		admission: m.opts.Admission(), strategy: m.opts.Strategy(m.opts.Seed*1000 + uint64(i)),
		inFlight: make([]int, m.opts.Engines), tracker: tracker.New(tracker.DefaultOptions()),
	}
	var list []sequoiasill.Instance
	for k := range m.opts.Engines {
		list = append(list, sequoiasill.Instance{Name: strconv.Itoa(k), Role: sequoiasill.RoleUpstream, Pool: "p", Version: "v"})
	}
	e.tracker.Step(0, tracker.Listed{Instances: list})
	m.entries = append(m.entries, e)
	m.applyActions(i, e.admission.Step(0, limiter.SlotsChanged{Slots: m.engineLimit() * m.opts.Engines}))
}

func (m *model) engineLimit() int {
	if m.opts.Limit > 0 {
		return m.opts.Limit
	}
	return max(m.opts.Slots/m.opts.Entries, 1)
}

// arrivals returns all jobs, sorted by arrival time. Each is assigned to a random entry.
func (m *model) arrivals() []*Job {
	var all []*Job
	for _, s := range m.opts.Streams {
		to := s.To
		if to == 0 {
			to = m.opts.Duration
		}
		for at := s.From + m.interarrivalTime(s); at < to; at += m.interarrivalTime(s) {
			all = append(all, m.newJob(s, at))
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

func (m *model) interarrivalTime(s Stream) float64 { return m.rand.ExpFloat64() * 1000 / s.PerSecond }

func (m *model) newJob(s Stream, at float64) *Job {
	vary := func(n int) int { return max(int(float64(n)*(0.5+m.rand.Float64())), 1) }
	j := &Job{Weight: s.Weight, Arrived: at, Engine: -1, Request: sequoiasill.Request{
		Organisation: s.Organisation, Class: s.Class, PromptTokens: vary(s.PromptTokens), OutputTokens: vary(s.OutputTokens),
		Deadline: sequoiasill.Millis(at + s.Deadline),
	}}
	if s.Prefixes > 0 {
		j.Request.Prefix = uint64(m.rand.IntN(s.Prefixes)) + 1
		j.PrefixTokens = j.Request.PromptTokens * 8 / 10
	}
	return j
}

// loop processes arrivals, engine steps and load reports in chronological order.
func (m *model) loop(arrivals []*Job) {
	nextReport := 0.0
	for {
		at, engineIndex := math.Inf(1), -1
		for i, e := range m.engines {
			if e.stepEnd < at {
				at, engineIndex = e.stepEnd, i
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
			m.collectReports()
			nextReport += reportInterval
		default:
			m.now = at
			m.stepEngine(engineIndex)
		}
	}
}

func (m *model) arrive(j *Job) {
	m.applyActions(j.entry, m.entries[j.entry].admission.Step(m.nowMillis(), limiter.Arrived{Item: limiter.Item{
		ID: j.Request.ID, Organisation: j.Request.Organisation, Weight: j.Weight, Class: j.Request.Class,
		Cost: j.Request.Cost(), Service: m.expectedDuration(j), Deadline: j.Request.Deadline,
	}}))
}

// expectedDuration returns the expected processing time of a job on a busy engine.
func (m *model) expectedDuration(j *Job) sequoiasill.Millis {
	step := stepMillis + stepMillisPerJob*float64(m.opts.Slots-1) + prefillMillisPerToken*prefillChunkTokens/4
	return sequoiasill.Millis(float64(j.Request.OutputTokens)*step + float64(j.Request.PromptTokens)*prefillMillisPerToken*2)
}

func (m *model) nowMillis() sequoiasill.Millis { return sequoiasill.Millis(m.now) }

func (m *model) applyActions(i int, actions []limiter.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case limiter.Start:
			m.dispatch(i, m.jobs[a.ID])
		case limiter.Refuse:
			m.jobs[a.ID].Refused = true
		}
	}
}

// dispatch picks an engine for a job and sends the job to it. If the strategy finds none,
// the engine is random.
func (m *model) dispatch(i int, j *Job) {
	e := m.entries[i]
	usable := make(map[string]bool)
	for _, u := range e.tracker.Usable(m.nowMillis(), "p", "v") {
		usable[u.Name] = true
	}
	var candidates []picker.Candidate
	for k := range m.engines {
		name := strconv.Itoa(k)
		if m.opts.EjectSlow && !usable[name] {
			m.result.Ejected[k] = true
			continue
		}
		c := picker.Candidate{
			Upstream: sequoiasill.Upstream{Name: name, Slots: m.opts.Slots}, InFlight: e.inFlight[k], Limit: m.engineLimit() + 1, Slowness: 1,
		}
		if m.opts.EjectSlow {
			c.Slowness = e.tracker.Slowness(name)
		}
		if r, own, ok := m.lastReport(e, k); ok {
			c.Report, c.Reported, c.InFlightAtReport, c.ReportAge = r, true, own, m.nowMillis()-r.ReportedAt
		}
		candidates = append(candidates, c)
	}
	choice, ok := e.strategy.Pick(j.Request, candidates)
	k := m.rand.IntN(len(m.engines))
	if ok {
		k, _ = strconv.Atoi(choice.Upstream.Name)
	}
	j.Engine, j.Started = k, m.now
	if m.now > m.opts.Duration/3 {
		m.result.SentLate[k]++
	}
	e.inFlight[k]++
	m.engines[k].add(m.now, j)
}

// lastReport returns the newest load report of engine k that has reached the entry after
// the lag, and the entry's own in-flight jobs at the time of that report.
func (m *model) lastReport(e *entry, k int) (sequoiasill.LoadReport, int, bool) {
	reports := m.engines[k].reports
	for i := len(reports) - 1; i >= 0; i-- {
		if reports[i].at <= m.now-m.opts.ReportLag {
			own := 0
			for n := len(e.inFlightHistory) - 1; n >= 0; n-- {
				if e.inFlightHistory[n].at <= reports[i].at {
					own = e.inFlightHistory[n].inFlight[k]
					break
				}
			}
			return reports[i].load, own, true
		}
	}
	return sequoiasill.LoadReport{}, 0, false
}

// maxKeptReports is the maximum number of load reports kept for each engine, and of
// samples kept for each entry.
const maxKeptReports = 64

func (m *model) collectReports() {
	maxLoad, sumLoad, usedEngines := 0.0, 0.0, 0.0
	for _, e := range m.engines {
		l := e.load(m.now)
		e.reports = append(e.reports, report{at: m.now, load: l})
		e.reports = e.reports[max(len(e.reports)-maxKeptReports, 0):]
		load := float64(l.Running + l.Waiting)
		if e.promptTokens == 0 {
			continue // an engine that was never used does not count for the imbalance
		}
		usedEngines++
		maxLoad = math.Max(maxLoad, load)
		sumLoad += load
	}
	for _, e := range m.entries {
		e.inFlightHistory = append(e.inFlightHistory, inFlightSample{at: m.now, inFlight: append([]int(nil), e.inFlight...)})
		e.inFlightHistory = e.inFlightHistory[max(len(e.inFlightHistory)-maxKeptReports, 0):]
	}
	if mean := sumLoad / math.Max(usedEngines, 1); mean > 1 && m.now < m.opts.Duration {
		m.imbalanceSum += maxLoad / mean
		m.imbalanceSamples++
	}
}

func (m *model) stepEngine(k int) {
	running := append([]*Job(nil), m.engines[k].running...)
	ended := m.engines[k].step(m.now)
	for _, j := range running {
		if n := len(j.TokenIntervals); n > 0 && j.lastTokenAt == m.now {
			micros := int64(j.TokenIntervals[n-1] * 1000)
			m.entries[j.entry].tracker.Step(m.nowMillis(), tracker.Answered{Upstream: strconv.Itoa(k), Micros: micros})
		}
	}
	for _, j := range ended {
		e := m.entries[j.entry]
		e.inFlight[k]--
		m.applyActions(j.entry, e.admission.Step(m.nowMillis(), limiter.Ended{ID: j.Request.ID}))
	}
}
