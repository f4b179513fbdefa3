package modeller

import (
	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/picker"
)

// Size and length of the trials; the size is about that of a present deployment.
const (
	trialEngines = 12
	trialSlots   = 16
	trialMillis  = 60_000.0
)

// Required latencies in milliseconds, as 95th percentiles: the time to the first token and
// the interval between tokens.
const (
	TargetFirstToken    = 540.0
	TargetTokenInterval = 43.0
)

func baseOptions(seed uint64) Options {
	return Options{
		Seed: seed, Engines: trialEngines, Slots: trialSlots, Entries: 3, Duration: trialMillis, ReportLag: 500,
		Admission: Fair, Strategy: func(s uint64) picker.Strategy { return picker.New(s) }, EjectSlow: true,
	}
}

// IsQuick returns a filter for the quick jobs of an organisation, or of all organisations
// if the name is empty.
func IsQuick(org string) func(*Job) bool {
	return func(j *Job) bool {
		return j.Request.Class == sequoiasill.Quick && (org == "" || j.Request.Organisation == org)
	}
}

// IsLong returns a filter for the long jobs of an organisation, or of all organisations if
// the name is empty.
func IsLong(org string) func(*Job) bool {
	return func(j *Job) bool {
		return j.Request.Class == sequoiasill.Long && (org == "" || j.Request.Organisation == org)
	}
}

// Surge runs the traffic of five organisations, one of which sends factor times as many
// long requests as each of the others.
func Surge(seed uint64, factor float64, admission func() Admission) Result {
	o := baseOptions(seed)
	o.Admission = admission
	for _, org := range []string{"small-1", "small-2", "small-3", "small-4", "large"} {
		long := Stream{
			Organisation: org, Weight: 1, Class: sequoiasill.Long, PerSecond: 1, PromptTokens: 800, OutputTokens: 300, Deadline: 600_000,
		}
		if org == "large" {
			long.PerSecond *= factor
		}
		o.Streams = append(o.Streams, long, Stream{
			Organisation: org, Weight: 1, Class: sequoiasill.Quick, PerSecond: 4, PromptTokens: 150, OutputTokens: 30, Deadline: 10_000,
		})
	}
	return Run(o)
}

// Overload runs traffic of factor times the capacity of the engines.
func Overload(seed uint64, factor float64) Result {
	o := baseOptions(seed)
	const capacity = 24 // long requests per second that the engines can process
	for _, org := range []string{"a", "b", "c"} {
		o.Streams = append(o.Streams, Stream{
			Organisation: org, Weight: 1, Class: sequoiasill.Long, PerSecond: factor * capacity / 3,
			PromptTokens: 300, OutputTokens: 300, Deadline: 20_000,
		})
	}
	return Run(o)
}

// LaggedReports runs steady traffic with load reports that reach the entries after lag
// milliseconds.
func LaggedReports(seed uint64, lag float64, strategy func(uint64) picker.Strategy) Result {
	o := baseOptions(seed)
	o.Entries, o.ReportLag, o.Strategy, o.EjectSlow = 9, lag, strategy, false
	o.Limit = trialSlots
	o.Streams = []Stream{{
		Organisation: "a", Weight: 1, Class: sequoiasill.Long, PerSecond: 20, PromptTokens: 400, OutputTokens: 200, Deadline: 600_000,
	}}
	return Run(o)
}

// OneSlowEngine runs steady traffic with one engine that is factor times slower than the others,
// with the router's policy or with round robin.
func OneSlowEngine(seed uint64, factor float64, policy bool) Result {
	o := baseOptions(seed)
	o.EjectSlow = policy
	if !policy {
		o.Strategy = Strategies()["roundRobin"]
	}
	o.Slowdown = map[int]float64{0: factor}
	o.Streams = steadyStreams()
	return Run(o)
}

// AllSlowEngines runs steady traffic with all engines factor times slower and the request rate
// reduced by the same factor.
func AllSlowEngines(seed uint64, factor float64) Result {
	o := baseOptions(seed)
	o.SlowdownAll = factor
	o.Streams = steadyStreams()
	for i := range o.Streams {
		o.Streams[i].PerSecond /= factor
	}
	return Run(o)
}

func steadyStreams() []Stream {
	return []Stream{{
		Organisation: "a", Weight: 1, Class: sequoiasill.Long, PerSecond: 15, PromptTokens: 300, OutputTokens: 150, Deadline: 600_000,
	}}
}

// Prefixes runs traffic whose prompts share prefixes, with or without prefix affinity.
func Prefixes(seed uint64, affinity bool) Result {
	o := baseOptions(seed)
	o.Streams = []Stream{{
		Organisation: "a", Weight: 1, Class: sequoiasill.Quick, PerSecond: 40, PromptTokens: 1500, OutputTokens: 40,
		Prefixes: 400, Deadline: 60_000,
	}}
	if !affinity {
		o.Strategy = func(s uint64) picker.Strategy { return withoutPrefix{picker.New(s)} }
	}
	return Run(o)
}

// withoutPrefix wraps a strategy and hides the prefix of requests from it.
type withoutPrefix struct{ picker.Strategy }

// Pick chooses by load only.
func (w withoutPrefix) Pick(r sequoiasill.Request, c []picker.Candidate) (picker.Choice, bool) {
	r.Prefix = 0
	return w.Strategy.Pick(r, c)
}
