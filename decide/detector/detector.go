// Package detector detects whether a new version fails more often, or is slower, than the
// old version at the same time. It sums the log-likelihood ratios of a worse rate against
// an equal rate and resets the sum at zero (CUSUM: Page, "Continuous inspection schemes",
// Biometrika 1954), so a regression that starts late is detected as fast as an immediate
// one.
//
// A Detector is a state machine without I/O.
package detector

import "math"

// Counts holds the request counts of a version on one route.
type Counts struct {
	Requests int
	Errors   int
	Slow     int // slower than most requests to the old version at that time
}

// Add returns the sum of two counts.
func (c Counts) Add(o Counts) Counts {
	return Counts{Requests: c.Requests + o.Requests, Errors: c.Errors + o.Errors, Slow: c.Slow + o.Slow}
}

// Sub returns the difference of two cumulative counts.
func (c Counts) Sub(o Counts) Counts {
	return Counts{Requests: c.Requests - o.Requests, Errors: c.Errors - o.Errors, Slow: c.Slow - o.Slow}
}

// Options configure a Detector.
type Options struct {
	// Threshold is the sum of log-likelihood ratios at which a regression is reported.
	Threshold float64
	// ErrorRatio and SlowRatio are the multiples of the old version's rate that count as a
	// regression. ErrorStep and SlowStep are the minimum absolute increases of a rate.
	ErrorRatio float64
	ErrorStep  float64
	SlowRatio  float64
	SlowStep   float64
	// The MuchSlower options are the same for a version that is several times slower,
	// which is detected with fewer requests.
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

// Regression is the result of a detector.
type Regression string

// The results.
const (
	None   Regression = ""
	Errors Regression = "errors"
	Slow   Regression = "latency"
)

// Detector compares the versions on one route. It is not safe for concurrent use.
type Detector struct {
	opts        Options
	errors      series
	slow        series
	muchSlower  series
	newRequests int
}

// New returns a detector without observations.
func New(opts Options) *Detector {
	return &Detector{
		opts:       opts,
		errors:     series{ratio: opts.ErrorRatio, step: opts.ErrorStep, threshold: opts.Threshold},
		slow:       series{ratio: opts.SlowRatio, step: opts.SlowStep, threshold: opts.Threshold},
		muchSlower: series{ratio: opts.MuchSlowerRatio, step: opts.MuchSlowerStep, threshold: opts.MuchSlowerThreshold},
	}
}

// Observe adds the counts of both versions since the previous call. It should be called
// about once per second.
func (d *Detector) Observe(old, next Counts) Regression {
	d.newRequests += next.Requests
	errs := d.errors.observe(old.Requests, old.Errors, next.Requests, next.Errors)
	slow := d.slow.observe(old.Requests-old.Errors, old.Slow, next.Requests-next.Errors, next.Slow)
	much := d.muchSlower.observe(old.Requests-old.Errors, old.Slow, next.Requests-next.Errors, next.Slow)
	switch {
	case errs:
		return Errors
	case slow || much:
		return Slow
	}
	return None
}

// NewRequests returns the number of requests to the new version so far.
func (d *Detector) NewRequests() int { return d.newRequests }

// series tests whether hits are more frequent with the new version. If the rates are
// equal, the new version's expected fraction of the hits in an interval equals its
// fraction of the requests, whatever the rate is. Noise that affects both versions
// cancels out.
type series struct {
	ratio, step, threshold float64

	sum                float64
	oldTrials, oldHits float64 // since the last reset of the sum
	newTrials, newHits float64
}

// observe adds trials and hits and reports whether the new version is worse.
func (s *series) observe(oldN, oldHit, newN, newHit int) bool {
	if oldN <= 0 || newN <= 0 {
		return false
	}
	same := float64(newN) / float64(newN+oldN)
	worse := s.ratio * float64(newN) / (s.ratio*float64(newN) + float64(oldN))
	s.sum += float64(newHit)*math.Log(worse/same) + float64(oldHit)*math.Log((1-worse)/(1-same))
	s.oldTrials, s.oldHits = s.oldTrials+float64(oldN), s.oldHits+float64(oldHit)
	s.newTrials, s.newHits = s.newTrials+float64(newN), s.newHits+float64(newHit)
	if s.sum <= 0 {
		s.sum, s.oldTrials, s.oldHits, s.newTrials, s.newHits = 0, 0, 0, 0, 0
		return false
	}
	return s.sum >= s.threshold && s.newHits/s.newTrials-s.oldHits/s.oldTrials >= s.step
}
