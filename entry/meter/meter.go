// Package meter counts the events of an entry and publishes the counters through
// expvar.
package meter

import (
	"expvar"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sequoiasill.dev/sequoiasill"
)

// Meter holds the counters of one entry. It is safe for concurrent use.
type Meter struct {
	vars *expvar.Map

	Requests         *expvar.Int
	Refusals         *expvar.Int
	Attempts         *expvar.Int
	Retries          *expvar.Int
	Tokens           *expvar.Int
	RecomputedTokens *expvar.Int
	ResumedStreams   *expvar.Int
	ImportedTokens   *expvar.Int
	HandedOver       *expvar.Int
	TakenOver        *expvar.Int
	StoreWrites      *expvar.Int
	ConfigGeneration *expvar.Int
	FirstToken       *Histogram
	BetweenTokens    *Histogram
	verdicts         *expvar.Map
}

// published maps the names of entries to their counters. A process may run several
// entries.
var published = expvar.NewMap("sequoiasill")

// New returns the counters of an entry, published under its name.
func New(entry string) *Meter {
	m := &Meter{vars: new(expvar.Map).Init(), verdicts: new(expvar.Map).Init()}
	m.Requests = m.counter("requests")
	m.Refusals = m.counter("refusals")
	m.Attempts = m.counter("attempts")
	m.Retries = m.counter("retries")
	m.Tokens = m.counter("tokens")
	m.RecomputedTokens = m.counter("recomputedTokens")
	m.ResumedStreams = m.counter("resumedStreams")
	m.ImportedTokens = m.counter("importedTokens")
	m.HandedOver = m.counter("handedOver")
	m.TakenOver = m.counter("takenOver")
	m.StoreWrites = m.counter("journalWrites")
	m.ConfigGeneration = m.counter("configGeneration")
	m.FirstToken = m.histogram("firstTokenMillis")
	m.BetweenTokens = m.histogram("betweenTokensMillis")
	m.vars.Set("verdicts", m.verdicts)
	published.Set(entry, m.vars)
	return m
}

// CountVerdict counts the verdict of a request.
func (m *Meter) CountVerdict(v sequoiasill.Verdict) { m.verdicts.Add(v.String(), 1) }

func (m *Meter) counter(name string) *expvar.Int {
	v := new(expvar.Int)
	m.vars.Set(name, v)
	return v
}

func (m *Meter) histogram(name string) *Histogram {
	h := &Histogram{hist: hdrhistogram.New(1, maxMicros, 3)}
	m.vars.Set(name, expvar.Func(h.summary))
	return h
}

// maxMicros is the max duration that a histogram records; longer ones are clamped.
const maxMicros = 600_000_000

// Histogram records durations. It is safe for concurrent use.
type Histogram struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

// RecordMicros records a duration in microseconds.
func (h *Histogram) RecordMicros(v int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.hist.RecordValue(min(max(v, 1), maxMicros))
}

func (h *Histogram) summary() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	millis := func(q float64) float64 { return float64(h.hist.ValueAtQuantile(q)) / 1000 }
	return map[string]float64{"p50": millis(50), "p95": millis(95), "p99": millis(99), "count": float64(h.hist.TotalCount())}
}
