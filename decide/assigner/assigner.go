// Package assigner selects the upstream with the lowest estimated cost for a call, in
// milliseconds. The cost covers prompt tokens to prefill, queued and running calls, the
// failure rate and the network distance. The cost of work is weighted by the upstream's pace, so that
// load follows speed. Prompts with shared parts prefer one upstream,
// which may have these parts in its cache. Entries agree on it without communication, by
// rendezvous hashing (Thaler and Ravishankar, 1998), and use it while it is the cheapest.
//
// An Assigner is a pure function of its inputs and of a seeded random source. It is
// designed for a load in which many prompts share long parts and entries know each
// other's load only from delayed reports.
package assigner

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// Options are the cost factors of an Assigner.
type Options struct {
	// PrefillTokensPerMilli is the prefill rate of an engine in tokens per millisecond.
	PrefillTokensPerMilli float64
	// QueueCost is the cost in milliseconds of each call that is queued at an upstream,
	// and BatchCost the cost of a full batch of running calls.
	QueueCost float64
	BatchCost float64
	// PlainCost is the cost of running calls in all slots of an upstream without an engine.
	PlainCost float64
	// FailureCost is the cost of a failure rate of 1. FailureFloor is the failure rate that
	// a healthy upstream may have without cost.
	FailureCost  float64
	FailureFloor float64
	// ZoneCost is the cost of sending a call to another availability zone.
	ZoneCost float64
	// ConnectCost is the cost of opening a connection. It is bounded by the cost of one more running
	// call, so that the preference for idle connections does not impair the balance.
	ConnectCost float64
	// Jitter is the upper bound of the random jitter in the cost, which keeps entries with
	// the same reports from all selecting the same upstream.
	Jitter float64
}

// DefaultOptions returns the costs that entries use.
func DefaultOptions() Options {
	return Options{
		PrefillTokensPerMilli: 100, QueueCost: 40, BatchCost: 60, PlainCost: 30,
		FailureCost: 1500, FailureFloor: 0.12, ZoneCost: 4, ConnectCost: 3, Jitter: 2,
	}
}

// Request describes the call for which an upstream is selected.
type Request struct {
	Zone   string // availability zone of this entry
	Engine bool   // the service runs model engines
	Prompt sequoiasill.Prompt
	Tried  map[string]bool // upstreams to which the call was already sent
}

// Choice is the selected upstream with the values behind the decision.
type Choice struct {
	Replica    sequoiasill.Replica
	Cost       float64            // milliseconds
	Prefill    int                // estimated tokens to prefill
	Home       bool               // the prompt's shared parts hash to this upstream
	Candidates int                // number of candidates
	ReportAge  sequoiasill.Millis // age of its last load report, -1 for none
	Limited    bool               // the call needs a permit for this upstream
	Pace       float64            // the pace of the upstream that was assumed
	// ByConnection is set if another upstream would have been chosen without idle connections.
	ByConnection bool
}

// Assigner selects upstreams. It is not safe for concurrent use.
type Assigner struct {
	opts Options
	rand *rand.Rand
}

// New returns an Assigner with a seeded random source.
func New(opts Options, seed uint64) *Assigner {
	return &Assigner{opts: opts, rand: rand.New(rand.NewPCG(seed, 0))}
}

// Choose returns the upstream for a call, or false if every candidate was tried.
func (a *Assigner) Choose(req Request, candidates []registrar.Candidate) (Choice, bool) {
	preferred := HomeIndex(req.Prompt, candidates)
	reuse := canReuse(req, candidates)
	best, found := Choice{}, false
	cheapest, unconnected := 0.0, ""
	for i := range candidates {
		c := &candidates[i]
		if req.Tried[c.Replica.Name] {
			continue
		}
		choice := a.score(req, c, i == preferred)
		if !found || choice.Cost < cheapest {
			cheapest, unconnected = choice.Cost, c.Replica.Name
		}
		if reuse && !c.Connected {
			choice.Cost += a.connectCost(req, c)
		}
		if !found || choice.Cost < best.Cost {
			best, found = choice, true
		}
	}
	best.Candidates = len(candidates)
	best.ByConnection = found && best.Replica.Name != unconnected
	return best, found
}

func (a *Assigner) score(req Request, c *registrar.Candidate, preferred bool) Choice {
	slots := float64(max(c.Replica.Slots, 1))
	running := (float64(c.InFlight) + c.OthersInFlight) / slots
	cost := a.opts.Jitter * a.rand.Float64()
	pace := c.Pace
	if pace <= 0 {
		pace = 1
	}
	prefill := 0
	if req.Engine {
		prefill = req.Prompt.Tokens
		if preferred {
			prefill -= sharedTokens(req.Prompt)
		}
		cost += pace * float64(prefill+c.Prefill) / a.opts.PrefillTokensPerMilli
		cost += pace * (a.opts.BatchCost*running + a.opts.QueueCost*c.Waiting)
	} else {
		cost += pace * (a.opts.PlainCost*running + a.opts.QueueCost*c.Waiting)
	}
	cost += a.opts.FailureCost * max(c.FailureRate-a.opts.FailureFloor, 0)
	if c.Replica.Zone != req.Zone {
		cost += a.opts.ZoneCost
	}
	return Choice{Replica: c.Replica, Cost: cost, Prefill: max(prefill, 0), Home: preferred, ReportAge: c.ReportAge, Limited: c.Limited, Pace: pace}
}

// canReuse reports whether this entry holds an idle connection to one of the candidates.
func canReuse(req Request, candidates []registrar.Candidate) bool {
	for i := range candidates {
		if candidates[i].Connected && !req.Tried[candidates[i].Replica.Name] {
			return true
		}
	}
	return false
}

// connectCost returns the cost of opening a connection to a candidate.
func (a *Assigner) connectCost(req Request, c *registrar.Candidate) float64 {
	full := a.opts.PlainCost
	if req.Engine {
		full = a.opts.BatchCost
	}
	return min(a.opts.ConnectCost, full/float64(max(c.Replica.Slots, 1)))
}

func sharedTokens(p sequoiasill.Prompt) int {
	sum := 0
	for _, part := range p.SharedParts() {
		sum += part.Tokens
	}
	return sum
}

// HomeIndex returns the index of the upstream that a prompt's shared parts hash to, or -1 for
// a prompt without shared parts.
func HomeIndex(p sequoiasill.Prompt, candidates []registrar.Candidate) int {
	shared := p.SharedParts()
	if len(shared) == 0 {
		return -1
	}
	key := shared[len(shared)-1].ID
	best, weight := -1, uint64(0)
	for i := range candidates {
		if w := rendezvous(key, candidates[i].Replica.Name); best < 0 || w > weight {
			best, weight = i, w
		}
	}
	return best
}

func rendezvous(key uint64, name string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	d := xxhash.New()
	// Writes to a Digest never fail.
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(name)
	return d.Sum64()
}
