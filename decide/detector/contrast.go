package detector

import "math"

// contrast compares how often both versions decline or reject requests, which may be right: only the other version, at
// the same time and on the same route, tells. Callers' mistakes come in bursts that both versions get in proportion to
// their requests.
type contrast struct {
	more     series // somewhat more often
	muchMore series // many times as often, which takes fewer requests
	strata   strata
}

func newContrast(opts Options) contrast {
	return contrast{
		more:     series{ratio: opts.ErrorRatio, step: opts.ContrastStep, threshold: opts.Threshold},
		muchMore: series{ratio: opts.ContrastRatio, step: opts.ContrastStep, threshold: opts.ContrastThreshold},
	}
}

// observe adds the requests and the hits of an interval and reports whether the new version has more hits.
func (c *contrast) observe(oldN, oldHit, newN, newHit int) bool {
	c.strata.observe(oldN, oldHit, newN, newHit)
	more := c.more.observe(oldN, oldHit, newN, newHit)
	return c.muchMore.observe(oldN, oldHit, newN, newHit) || more
}

// reaches reports whether there is an amount of evidence that the new version has more hits.
func (c *contrast) reaches(l Level) bool {
	return c.muchMore.sum >= l.Contrast || c.strata.isSignificant(l.ContrastDeviations, l.Step)
}

// strata compares the hits of the new version with those expected if both versions had them equally often in each
// interval (Mantel and Haenszel, J. Natl. Cancer Inst. 1959). Unlike with sums over all intervals, it does not matter
// whether there were more hits while the new version had a larger share.
type strata struct {
	newTrials, hits    float64
	expected, variance float64
}

func (s *strata) observe(oldN, oldHit, newN, newHit int) {
	if oldN <= 0 || newN <= 0 {
		return
	}
	share := float64(newN) / float64(oldN+newN)
	all := float64(oldHit + newHit)
	s.newTrials += float64(newN)
	s.hits += float64(newHit)
	s.expected += all * share
	s.variance += all * share * (1 - share)
}

// minContrastHits is the number of hits beyond those expected below which the normal approximation says little.
const minContrastHits = 2.5

func (s *strata) isSignificant(deviations, fraction float64) bool {
	excess := s.hits - s.expected
	return excess >= minContrastHits && excess-continuity >= deviations*math.Sqrt(s.variance) && excess >= fraction*s.newTrials
}
