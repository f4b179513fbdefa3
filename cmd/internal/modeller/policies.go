package modeller

import (
	"math/rand/v2"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/limiter"
	"sequoiasill.dev/sequoiasill/decide/picker"
)

func sortJobs(jobs []*Job) {
	sort.SliceStable(jobs, func(i, j int) bool { return jobs[i].Arrived < jobs[j].Arrived })
}

// Fair returns the router's limiter, which shares slots fairly between organisations.
func Fair() Admission { return limiter.New(limiter.DefaultOptions()) }

// FIFO returns a baseline that starts jobs in order of arrival and refuses none.
func FIFO() Admission { return &fifo{} }

type fifo struct {
	slots, used int
	queue       []sequoiasill.RequestID
}

// Step implements Admission.
func (f *fifo) Step(_ sequoiasill.Millis, ev limiter.Event) []limiter.Action {
	switch ev := ev.(type) {
	case limiter.Arrived:
		f.queue = append(f.queue, ev.Item.ID)
	case limiter.Ended:
		f.used--
	case limiter.SlotsChanged:
		f.slots = ev.Slots
	}
	var out []limiter.Action
	for f.used < f.slots && len(f.queue) > 0 {
		out = append(out, limiter.Start{ID: f.queue[0]})
		f.queue = f.queue[1:]
		f.used++
	}
	return out
}

// Strategies returns constructors of the strategies to compare, by name.
func Strategies() map[string]func(uint64) picker.Strategy {
	return map[string]func(uint64) picker.Strategy{
		"picker":        func(seed uint64) picker.Strategy { return picker.New(seed) },
		"random":        func(seed uint64) picker.Strategy { return &random{rand.New(rand.NewPCG(seed, 1))} },
		"leastReported": func(uint64) picker.Strategy { return leastReported{} },
		"roundRobin":    func(seed uint64) picker.Strategy { return &roundRobin{next: int(seed)} },
	}
}

type random struct{ rand *rand.Rand }

// Pick chooses a random candidate.
func (r *random) Pick(_ sequoiasill.Request, c []picker.Candidate) (picker.Choice, bool) {
	return picker.Choice{Upstream: c[r.rand.IntN(len(c))].Upstream}, true
}

type leastReported struct{}

// Pick chooses the candidate with the lowest reported load.
func (leastReported) Pick(_ sequoiasill.Request, c []picker.Candidate) (picker.Choice, bool) {
	best := 0
	for i := range c {
		if c[i].Report.Running+c[i].Report.Waiting < c[best].Report.Running+c[best].Report.Waiting {
			best = i
		}
	}
	return picker.Choice{Upstream: c[best].Upstream}, true
}

type roundRobin struct{ next int }

// Pick chooses the candidates in turn.
func (r *roundRobin) Pick(_ sequoiasill.Request, c []picker.Candidate) (picker.Choice, bool) {
	r.next++
	return picker.Choice{Upstream: c[r.next%len(c)].Upstream}, true
}

// Summary holds the statistics of a set of jobs. Times are in milliseconds; that of the
// first token counts from the arrival of the job.
type Summary struct {
	Jobs, Refused, DeadlineMisses int
	FirstTokenP50, FirstTokenP95  float64
	FirstTokenP99                 float64
	TokenIntervalP95              float64
	MaxWait                       float64 // from arrival to the dispatch to an engine
	GoodTokens                    int     // tokens of jobs that ended by their deadline
	Finished                      int
}

// Summarise returns the statistics of the jobs for which keep returns true.
func Summarise(jobs []*Job, keep func(*Job) bool) Summary {
	const maxTenths = 36_000_000 // an hour in tenths of a millisecond
	first := hdrhistogram.New(1, maxTenths, 3)
	gaps := hdrhistogram.New(1, maxTenths, 3)
	record := func(h *hdrhistogram.Histogram, millis float64) {
		_ = h.RecordValue(min(max(int64(millis*10), 1), maxTenths))
	}
	var s Summary
	for _, j := range jobs {
		if !keep(j) {
			continue
		}
		s.Jobs++
		if j.Refused {
			s.Refused++
			continue
		}
		record(first, j.FirstTokenAt-j.Arrived)
		for _, g := range j.TokenIntervals {
			record(gaps, g)
		}
		s.MaxWait = max(s.MaxWait, j.Started-j.Arrived)
		if j.Ended > 0 {
			s.Finished++
		}
		if j.Ended > float64(j.Request.Deadline) {
			s.DeadlineMisses++
		} else {
			s.GoodTokens += j.Request.OutputTokens
		}
	}
	at := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 10 }
	s.FirstTokenP50, s.FirstTokenP95, s.FirstTokenP99, s.TokenIntervalP95 = at(first, 50), at(first, 95), at(first, 99), at(gaps, 95)
	return s
}
