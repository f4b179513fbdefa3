// Package detector detects whether a new version fails more often, or is slower, than the
// old version at the same time. It sums the log-likelihood ratios of a worse rate against
// an equal rate and resets the sum at zero (CUSUM: Page, "Continuous inspection schemes",
// Biometrika 1954), so a regression that starts late is detected as fast as an immediate
// one.
//
// Errors are also compared with the old version's rate over a longer time. At equal times a
// failure says little once the new version gets most of the requests, and a small service
// then has intervals without any request to the old version.
//
// A Detector is a state machine without I/O.
package detector

import "math"

// Counts holds the request counts of a version on one route.
type Counts struct {
	Requests int
	Errors   int
	Slow     int // slower than most requests to the old version at that time
	// Declined is the number of requests that were answered with a status of 3xx or 4xx. They are no errors.
	Declined int
	// Rejected is the number of requests that an upstream did not run though it had room. They are not in Requests.
	Rejected int
}

// Sent returns the number of requests that reached the version.
func (c Counts) Sent() int { return c.Requests + c.Rejected }

// Add returns the sum of two counts.
func (c Counts) Add(o Counts) Counts {
	return Counts{Requests: c.Requests + o.Requests, Errors: c.Errors + o.Errors, Slow: c.Slow + o.Slow, Declined: c.Declined + o.Declined, Rejected: c.Rejected + o.Rejected}
}

// Sub returns the difference of two cumulative counts.
func (c Counts) Sub(o Counts) Counts {
	return Counts{Requests: c.Requests - o.Requests, Errors: c.Errors - o.Errors, Slow: c.Slow - o.Slow, Declined: c.Declined - o.Declined, Rejected: c.Rejected - o.Rejected}
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
	// ExcessThreshold is the sum of log-likelihood ratios at which errors beyond the old
	// version's rate over a longer time are reported. ExcessRatio and ExcessStep are the multiple
	// of that rate, and the minimum increase, that count as a regression.
	ExcessThreshold float64
	ExcessRatio     float64
	ExcessStep      float64
	// ContrastThreshold is the sum of log-likelihood ratios at which declined or rejected requests beyond the old
	// version's rate are reported, ContrastRatio the multiple of that rate, and ContrastStep the minimum increase, that count as a
	// regression.
	ContrastThreshold float64
	ContrastRatio     float64
	ContrastStep      float64
	// Doubt and Suspicion are the levels below a report.
	Doubt     Level
	Suspicion Level
}

// Level is an amount of evidence for a regression. Either part suffices.
type Level struct {
	// Sum is the sum of log-likelihood ratios for errors beyond the old version's rate of late,
	// with resets.
	Sum float64
	// Deviations are the standard deviations by which all errors of the new version exceed those that
	// are expected, if they do by the fraction Step of its requests.
	Deviations float64
	Step       float64
	// MinErrors is the number of errors of the new version below which deviations say little.
	MinErrors int
	// Contrast and ContrastDeviations are the same as Sum and Deviations for declined or rejected requests.
	Contrast           float64
	ContrastDeviations float64
}

// DefaultOptions returns the options that moves use.
func DefaultOptions() Options {
	return Options{
		Threshold: 14, ErrorRatio: 3, ErrorStep: 0.004, SlowRatio: 2, SlowStep: 0.02,
		MuchSlowerRatio: 6, MuchSlowerStep: 0.15, MuchSlowerThreshold: 10,
		ExcessThreshold: 10, ExcessRatio: 3, ExcessStep: 0.08,
		ContrastThreshold: 10, ContrastRatio: 20, ContrastStep: 0.05,
		Doubt:     Level{Sum: 3, Deviations: 2, Step: 0.03, Contrast: 4, ContrastDeviations: 3},
		Suspicion: Level{Sum: 5, Deviations: 2.5, Step: 0.03, MinErrors: 3, Contrast: 6.5, ContrastDeviations: 4},
	}
}

// Regression is the result of a detector.
type Regression string

// The results.
const (
	None     Regression = ""
	Errors   Regression = "errors"
	Slow     Regression = "latency"
	Declined Regression = "declined requests"
	Rejected Regression = "rejected requests"
)

// Detector compares the versions on one route. It is not safe for concurrent use.
type Detector struct {
	opts        Options
	errors      series
	slow        series
	muchSlower  series
	excess      excess
	surplus     surplus
	declined    contrast
	rejected    contrast
	newRequests int
}

// New returns a detector without observations.
func New(opts Options) *Detector {
	return &Detector{
		opts:       opts,
		errors:     series{ratio: opts.ErrorRatio, step: opts.ErrorStep, threshold: opts.Threshold},
		slow:       series{ratio: opts.SlowRatio, step: opts.SlowStep, threshold: opts.Threshold},
		muchSlower: series{ratio: opts.MuchSlowerRatio, step: opts.MuchSlowerStep, threshold: opts.MuchSlowerThreshold},
		excess:     excess{ratio: opts.ExcessRatio, step: opts.ExcessStep, threshold: opts.ExcessThreshold},
		declined:   newContrast(opts),
		rejected:   newContrast(opts),
	}
}

// Observe adds the counts of both versions since the previous call. It should be called
// about once per second.
func (d *Detector) Observe(old, next Counts) Regression {
	d.newRequests += next.Requests
	errs := d.errors.observe(old.Requests, old.Errors, next.Requests, next.Errors)
	excess := d.excess.observe(old, next)
	d.surplus.observe(old, next)
	slow := d.slow.observe(old.Requests-old.Errors, old.Slow, next.Requests-next.Errors, next.Slow)
	much := d.muchSlower.observe(old.Requests-old.Errors, old.Slow, next.Requests-next.Errors, next.Slow)
	declined := d.declined.observe(old.Requests, old.Declined, next.Requests, next.Declined)
	rejected := d.rejected.observe(old.Sent(), old.Rejected, next.Sent(), next.Rejected)
	switch {
	case errs || excess:
		return Errors
	case declined:
		return Declined
	case rejected:
		return Rejected
	case slow || much:
		return Slow
	}
	return None
}

// NewRequests returns the number of requests to the new version so far.
func (d *Detector) NewRequests() int { return d.newRequests }

// IsDoubtful reports whether chance would seldom let the new version fail, decline or reject as often as it did. Too little
// is known for a decision.
func (d *Detector) IsDoubtful() bool { return d.reaches(d.opts.Doubt) }

// IsSuspected reports whether the new version probably fails, declines or rejects more often, though too little is known
// to report it.
func (d *Detector) IsSuspected() bool { return d.reaches(d.opts.Suspicion) }

// IsAlarming reports whether the failures of one of the last two intervals alone make a regression likely. They may be
// due to the crash of one upstream.
func (d *Detector) IsAlarming() bool {
	return max(d.excess.last, d.excess.beforeLast) >= d.opts.Suspicion.Sum
}

// IsSlower reports whether the new version is probably much slower.
func (d *Detector) IsSlower() bool { return d.muchSlower.sum >= d.opts.MuchSlowerThreshold/2 }

func (d *Detector) reaches(l Level) bool {
	if d.declined.reaches(l) || d.rejected.reaches(l) {
		return true
	}
	return d.excess.sum >= l.Sum || d.surplus.next.Errors >= l.MinErrors && d.surplus.isSignificant(l.Deviations, l.Step)
}

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

const (
	// referenceDecay and recentDecay are the fractions of the earlier requests to the old
	// version that remain in each interval.
	referenceDecay = 0.98
	recentDecay    = 0.8
	// Without requests to the old version, one in priorTrials is assumed to fail.
	priorTrials = 20
	priorHits   = 1
	// Recent failures of the old version count as a fraction of its recent requests and of
	// recentTrials more.
	recentTrials = 3
	// maxWorseRate limits the rate that counts as a regression.
	maxWorseRate = 0.95
	// minExcessIntervals is the number of intervals in which failures must occur. The crash of
	// one upstream fails many requests at once.
	minExcessIntervals = 5
)

// excess tests whether the new version fails more often than the old version did over the last
// seconds. It needs no requests to the old version in the same interval, and a failure tells as
// much at any share of the traffic. If the old version fails more often of late, too, its recent
// rate counts.
type excess struct {
	ratio, step, threshold float64

	sum             float64
	last            float64 // log-likelihood ratio of the last interval
	beforeLast      float64 // and of the one before
	oldTrials       float64 // decayed
	oldHits         float64
	recentOldTrials float64 // decayed faster
	recentOldHits   float64
}

// observe adds the counts of an interval and reports whether the new version is worse.
func (s *excess) observe(old, next Counts) bool {
	s.oldTrials = s.oldTrials*referenceDecay + float64(old.Requests)
	s.oldHits = s.oldHits*referenceDecay + float64(old.Errors)
	s.recentOldTrials = s.recentOldTrials*recentDecay + float64(old.Requests)
	s.recentOldHits = s.recentOldHits*recentDecay + float64(old.Errors)
	reference := max((s.oldHits+priorHits)/(s.oldTrials+priorTrials), s.recentOldHits/(s.recentOldTrials+recentTrials))
	worse := min(max(s.ratio*reference, reference+s.step), maxWorseRate)
	s.beforeLast = s.last
	s.last = logRatio(next, reference, worse)
	s.sum = max(s.sum+min(s.last, s.threshold/minExcessIntervals), 0)
	return s.sum >= s.threshold
}

// surplus compares the errors of the new version with those expected if both versions failed equally
// often since the start. It forgets nothing, so it finds errors that are too rare for a sum with resets.
type surplus struct{ old, next Counts }

func (s *surplus) observe(old, next Counts) { s.old, s.next = s.old.Add(old), s.next.Add(next) }

// continuity corrects the normal approximation of a discrete distribution.
const continuity = 0.5

// isSignificant reports whether the errors beyond those expected are a number of standard deviations,
// and a fraction of the requests.
func (s *surplus) isSignificant(deviations, fraction float64) bool {
	if s.old.Requests <= 0 || s.next.Requests <= 0 {
		return false
	}
	share := float64(s.next.Requests) / float64(s.old.Requests+s.next.Requests)
	errs := float64(s.old.Errors + s.next.Errors)
	excess := float64(s.next.Errors) - errs*share
	return excess-continuity >= deviations*math.Sqrt(errs*share*(1-share)) && excess >= fraction*float64(s.next.Requests)
}

// logRatio returns the log-likelihood ratio of two rates of errors, 0 if the second is not higher.
func logRatio(c Counts, reference, worse float64) float64 {
	if worse <= reference {
		return 0
	}
	return float64(c.Errors)*math.Log(worse/reference) + float64(c.Requests-c.Errors)*math.Log((1-worse)/(1-reference))
}
