// Package detector tells from counts whether a new version fails more often, or
// is slower, than the old one at the same time. It sums log-likelihood ratios of
// a worse rate against an equal one and never lets the sum fall below zero
// (CUSUM: Page, "Continuous inspection schemes", Biometrika 1954), so badness
// that shows late is seen as soon as badness that shows at once.
//
// A Detector is a state machine without I/O.
package detector

import "math"

// Counts are what was seen of a version on one route.
type Counts struct {
	Requests int
	Errors   int
	Slow     int // slower than most of the old version's requests at that time
}

// Add returns the sum of two counts.
func (c Counts) Add(o Counts) Counts {
	return Counts{Requests: c.Requests + o.Requests, Errors: c.Errors + o.Errors, Slow: c.Slow + o.Slow}
}

// Sub returns the counts since o.
func (c Counts) Sub(o Counts) Counts {
	return Counts{Requests: c.Requests - o.Requests, Errors: c.Errors - o.Errors, Slow: c.Slow - o.Slow}
}

// Options configure a Detector.
type Options struct {
	// Threshold is the sum of log-likelihood ratios at which a version is bad.
	Threshold float64
	// ErrorRatio and SlowRatio are how many times the old version's rate counts as
	// bad, and the steps the least rise of a rate.
	ErrorRatio float64
	ErrorStep  float64
	SlowRatio  float64
	SlowStep   float64
	// MuchSlower* are the same for a version that is several times slower, which fewer
	// requests show.
	MuchSlowerRatio     float64
	MuchSlowerStep      float64
	MuchSlowerThreshold float64
}

// DefaultOptions returns the options that moves use.
func DefaultOptions() Options {
	return Options{
		Threshold: 14, ErrorRatio: 3, ErrorStep: 0.004, SlowRatio: 2, SlowStep: 0.02,
		MuchSlowerRatio: 6, MuchSlowerStep: 0.15, MuchSlowerThreshold: 10,
	}
}

// Sign is what a detector found.
type Sign string

// The signs.
const (
	Clear  Sign = ""
	Errors Sign = "errors"
	Slow   Sign = "latency"
)

// Detector watches one route. It is not safe for concurrent use.
type Detector struct {
	opts   Options
	errors series
	slow   series
	much   series
	seen   int
}

// New returns a detector that saw nothing.
func New(opts Options) *Detector {
	return &Detector{
		opts:   opts,
		errors: series{ratio: opts.ErrorRatio, step: opts.ErrorStep, threshold: opts.Threshold},
		slow:   series{ratio: opts.SlowRatio, step: opts.SlowStep, threshold: opts.Threshold},
		much:   series{ratio: opts.MuchSlowerRatio, step: opts.MuchSlowerStep, threshold: opts.MuchSlowerThreshold},
	}
}

// Observe takes in what was seen of both versions since the last call, which
// should be a second or so ago.
func (d *Detector) Observe(old, next Counts) Sign {
	d.seen += next.Requests
	errs := d.errors.observe(old.Requests, old.Errors, next.Requests, next.Errors)
	slow := d.slow.observe(old.Requests-old.Errors, old.Slow, next.Requests-next.Errors, next.Slow)
	much := d.much.observe(old.Requests-old.Errors, old.Slow, next.Requests-next.Errors, next.Slow)
	switch {
	case errs:
		return Errors
	case slow || much:
		return Slow
	}
	return Clear
}

// Seen returns the requests of the new version so far.
func (d *Detector) Seen() int { return d.seen }

// series tests whether hits are more frequent with the new version. Given how
// many hits there were at a time, the new version's part of them follows from its
// part of the requests, whatever the rate was, so noise that meets both versions
// cancels out.
type series struct {
	ratio, step, threshold float64

	sum          float64
	oldN, oldHit float64 // since the sum left zero
	newN, newHit float64
}

// observe adds trials and hits, and reports whether the new version is bad.
func (s *series) observe(oldN, oldHit, newN, newHit int) bool {
	if oldN <= 0 || newN <= 0 {
		return false
	}
	same := float64(newN) / float64(newN+oldN)
	worse := s.ratio * float64(newN) / (s.ratio*float64(newN) + float64(oldN))
	s.sum += float64(newHit)*math.Log(worse/same) + float64(oldHit)*math.Log((1-worse)/(1-same))
	s.oldN, s.oldHit = s.oldN+float64(oldN), s.oldHit+float64(oldHit)
	s.newN, s.newHit = s.newN+float64(newN), s.newHit+float64(newHit)
	if s.sum <= 0 {
		s.sum, s.oldN, s.oldHit, s.newN, s.newHit = 0, 0, 0, 0, 0
		return false
	}
	return s.sum >= s.threshold && s.newHit/s.newN-s.oldHit/s.oldN >= s.step
}
