// Package picker chooses the upstream of an attempt. It takes the less loaded of two
// random candidates (Mitzenmacher, "The power of two choices in randomised load
// balancing", 2001) and prefers the upstream that a prompt's prefix hashes to, within a
// bound on its load (Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with
// bounded loads", 2018).
//
// A Picker is a deterministic function of its inputs and of a seeded random source.
package picker

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"

	"sequoiasill.dev/sequoiasill"
)

// Candidate is an upstream with the load information that this entry has.
type Candidate struct {
	Upstream         sequoiasill.Upstream
	InFlight         int // requests of this entry in flight
	Limit            int // maximum requests of this entry in flight
	Report           sequoiasill.LoadReport
	Reported         bool
	InFlightAtReport int                // InFlight at the time of the report
	ReportAge        sequoiasill.Millis // age of the report
	Slowness         float64            // latency of its recent responses relative to its peers; 1 is normal
}

// reportDecay is the time constant by which the weight of a report decays with its age.
const reportDecay = 2 * sequoiasill.Second

// othersAtReport returns the requests of other entries at the time of the report.
func (c Candidate) othersAtReport() float64 {
	return float64(max(c.Report.Running+c.Report.Waiting-c.InFlightAtReport, 0))
}

// scored is a candidate with its estimated load per slot, multiplied by its slowness.
type scored struct {
	Candidate

	score float64
}

// estimate scores the candidates. The number of this entry's requests is exact; that of
// other entries' requests comes from delayed reports. The older a report, the closer
// its estimate moves to the mean of all, so that entries do not herd to an upstream
// whose load was low at some earlier time.
func estimate(candidates []Candidate) []scored {
	mean, reported := 0.0, 0
	for _, c := range candidates {
		if c.Reported {
			mean += c.othersAtReport()
			reported++
		}
	}
	mean /= float64(max(reported, 1))
	out := make([]scored, 0, len(candidates))
	for _, c := range candidates {
		others := mean
		if c.Reported {
			weight := math.Exp(-float64(c.ReportAge) / float64(reportDecay))
			others = weight*c.othersAtReport() + (1-weight)*mean
		}
		slots := float64(max(c.Upstream.Slots, 1))
		out = append(out, scored{Candidate: c, score: (float64(c.InFlight) + others + 1) / slots * max(c.Slowness, 1)})
	}
	return out
}

// Reason is the reason for a choice.
type Reason string

// The reasons.
const (
	ByPrefix          Reason = "prefixAffinity"
	ByLoad            Reason = "powerOfTwoChoices"
	BySingleCandidate Reason = "onlyCandidate"
	ByCaller          Reason = "placed" // chosen by the caller rather than by the picker
)

// Choice is an upstream and the reason for choosing it.
type Choice struct {
	Upstream sequoiasill.Upstream
	Reason   Reason
}

// affinityBound is the ratio to the mean score up to which an upstream is chosen for a
// prefix.
const affinityBound = 1.25

// prefixUpstreams is the number of upstreams, in rendezvous order, that may serve a
// prefix.
const prefixUpstreams = 2

// Strategy chooses among candidates. It returns false if none has capacity.
type Strategy interface {
	Pick(req sequoiasill.Request, candidates []Candidate) (Choice, bool)
}

// Picker is the strategy that the router uses. It is not safe for concurrent use.
type Picker struct {
	rand *rand.Rand
}

// New returns a Picker with a seeded random source.
func New(seed uint64) *Picker { return &Picker{rand: rand.New(rand.NewPCG(seed, 0))} }

// Pick chooses an upstream for req.
func (p *Picker) Pick(req sequoiasill.Request, candidates []Candidate) (Choice, bool) {
	available := withRoom(partition(req.Class, estimate(candidates)))
	switch len(available) {
	case 0:
		return Choice{}, false
	case 1:
		return Choice{Upstream: available[0].Upstream, Reason: BySingleCandidate}, true
	}
	if req.Prefix != 0 {
		if c, ok := byPrefix(req, available); ok {
			return Choice{Upstream: c.Upstream, Reason: ByPrefix}, true
		}
	}
	i := p.rand.IntN(len(available))
	j := p.rand.IntN(len(available) - 1)
	if j >= i {
		j++
	}
	best := available[i]
	if available[j].score < best.score {
		best = available[j]
	}
	return Choice{Upstream: best.Upstream, Reason: ByLoad}, true
}

func withRoom(candidates []scored) []scored {
	var available []scored
	for _, c := range candidates {
		if c.InFlight < c.Limit {
			available = append(available, c)
		}
	}
	return available
}

const (
	// reservedPercent is the percentage of upstreams that are reserved for quick requests,
	// because a long request slows all others in its batch. It equals the limiter's
	// reserve.
	reservedPercent = 25
	// minPartitioned is the minimum number of upstreams that are partitioned by class.
	minPartitioned = 4
	// reservedFullScore is the score from which quick requests also go to other upstreams.
	reservedFullScore = 0.9
)

// partition returns the candidates for a class: the reserved upstreams for quick
// requests, unless these are full, and the others for long ones.
func partition(class sequoiasill.Class, candidates []scored) []scored {
	if len(candidates) < minPartitioned {
		return candidates
	}
	byHash := append([]scored(nil), candidates...)
	sort.Slice(byHash, func(i, j int) bool {
		return Rendezvous("home", 0, byHash[i].Upstream.Name) > Rendezvous("home", 0, byHash[j].Upstream.Name)
	})
	reserved := (len(byHash)*reservedPercent + 99) / 100
	preferred, fallback := byHash[reserved:], byHash[:reserved]
	if class == sequoiasill.Quick {
		preferred, fallback = fallback, preferred
	}
	for _, c := range preferred {
		if c.InFlight < c.Limit && (class == sequoiasill.Long || c.score < reservedFullScore) {
			return preferred
		}
	}
	return append(preferred, fallback...)
}

// byPrefix returns the first of the prefix's upstreams, in rendezvous order, whose load
// is within the bound.
func byPrefix(req sequoiasill.Request, available []scored) (scored, bool) {
	mean := 0.0
	for _, c := range available {
		mean += c.score
	}
	mean /= float64(len(available))
	var last uint64 = math.MaxUint64
	for range min(prefixUpstreams, len(available)) {
		best, weight := -1, uint64(0)
		for i, c := range available {
			w := Rendezvous(req.Organisation, req.Prefix, c.Upstream.Name)
			if w < last && (best < 0 || w > weight) {
				best, weight = i, w
			}
		}
		if best < 0 {
			break
		}
		if available[best].score <= affinityBound*mean {
			return available[best], true
		}
		last = weight
	}
	return scored{}, false
}

// Rendezvous returns the weight of a node for a key in rendezvous hashing (Thaler and
// Ravishankar, 1998): the node with the highest weight is preferred.
func Rendezvous(space string, key uint64, node string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	d := xxhash.New()
	_, _ = d.WriteString(space)
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(node)
	return d.Sum64()
}
