// Package modeller runs the routing decisions on a virtual clock against fake
// engines, so that policies can be compared with their baselines under the same
// seeded traffic. It models one pool with the latencies of the stand-in engine at
// its nominal speed; it does not simulate a cluster.
package modeller

import (
	"container/list"
	"math"

	"sequoiasill.dev/sequoiasill"
)

// Nominal speed and sizes of an engine. A step generates one token for each
// running job that needs no more prefill; running jobs and prefill make it longer.
const (
	stepMillis            = 12.0
	stepMillisPerJob      = 0.5
	prefillMillisPerToken = 0.1
	prefillChunkTokens    = 128 // tokens of prefill in one step
	maxCachedPrefixes     = 64
)

// Job is a request in the model. Times are in milliseconds since the start of the run.
type Job struct {
	Request      sequoiasill.Request
	Weight       int
	PrefixTokens int // prompt tokens covered by the prefix

	Arrived        float64
	Started        float64 // when it was sent to an engine
	FirstTokenAt   float64 // time of the first token
	Ended          float64
	TokenIntervals []float64 // intervals between tokens
	Refused        bool
	Engine         int
	prefillLeft    int // prompt tokens still to be processed
	generated      int // tokens
	lastTokenAt    float64
	entry          int
}

// engine is a fake model engine with continuous batching.
type engine struct {
	slots        int
	slowdown     float64
	running      []*Job
	waiting      []*Job
	cache        *list.List
	cached       map[uint64]*list.Element
	stepEnd      float64 // end of the current step, or infinity if the engine is idle
	hitTokens    int
	promptTokens int
	reports      []report
}

// report is a load report with its time.
type report struct {
	at   float64
	load sequoiasill.LoadReport
}

func newEngine(slots int) *engine {
	return &engine{slots: slots, slowdown: 1, stepEnd: math.Inf(1), cache: list.New(), cached: make(map[uint64]*list.Element)}
}

// add queues a job by class and starts a step if the engine is idle.
func (e *engine) add(now float64, j *Job) {
	j.prefillLeft = j.Request.PromptTokens
	e.promptTokens += j.Request.PromptTokens
	if j.Request.Prefix != 0 && e.touch(j.Request.Prefix) {
		j.prefillLeft -= j.PrefixTokens
		e.hitTokens += j.PrefixTokens
	}
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].Request.Class > j.Request.Class {
		i--
	}
	e.waiting = append(e.waiting[:i], append([]*Job{j}, e.waiting[i:]...)...)
	if math.IsInf(e.stepEnd, 1) {
		e.begin(now)
	}
}

// touch marks a prefix as most recently used and reports whether it was cached
// before. A prefix that was not is added, and the least recently used one is evicted
// if the cache is full.
func (e *engine) touch(prefix uint64) bool {
	if el, ok := e.cached[prefix]; ok {
		e.cache.MoveToFront(el)
		return true
	}
	e.cached[prefix] = e.cache.PushFront(prefix)
	if e.cache.Len() > maxCachedPrefixes {
		last := e.cache.Back()
		e.cache.Remove(last)
		delete(e.cached, last.Value.(uint64))
	}
	return false
}

// begin starts the next step, with waiting jobs in free slots. Prefill of quick jobs
// goes before that of long ones.
func (e *engine) begin(now float64) {
	for len(e.running) < e.slots && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		e.stepEnd = math.Inf(1)
		return
	}
	budget := prefillChunkTokens
	for _, class := range []sequoiasill.Class{sequoiasill.Quick, sequoiasill.Long} {
		for _, j := range e.running {
			if j.Request.Class == class {
				n := min(j.prefillLeft, budget)
				j.prefillLeft -= n
				budget -= n
			}
		}
	}
	duration := stepMillis + stepMillisPerJob*float64(len(e.running)-1) + prefillMillisPerToken*float64(prefillChunkTokens-budget)
	e.stepEnd = now + duration*e.slowdown
}

// step completes the current step, starts the next one and returns the jobs that ended.
func (e *engine) step(now float64) []*Job {
	var ended []*Job
	unfinished := e.running[:0]
	for _, j := range e.running {
		if j.prefillLeft <= 0 {
			j.generated++
			if j.generated == 1 {
				j.FirstTokenAt = now
			} else {
				j.TokenIntervals = append(j.TokenIntervals, now-j.lastTokenAt)
			}
			j.lastTokenAt = now
		}
		if j.generated >= j.Request.OutputTokens {
			j.Ended = now
			ended = append(ended, j)
			continue
		}
		unfinished = append(unfinished, j)
	}
	e.running = unfinished
	e.begin(now)
	return ended
}

func (e *engine) load(now float64) sequoiasill.LoadReport {
	return sequoiasill.LoadReport{Running: len(e.running), Waiting: len(e.waiting), ReportedAt: sequoiasill.Millis(now)}
}
