// Package assigner chooses the upstream of a call by the cost in milliseconds
// that each would put on it: the prompt tokens it has yet to read, what waits
// there before it, the failures it may meet and the way to it. Prompts that share
// parts go to one upstream while that is the cheapest, which is found by
// rendezvous hashing (Thaler and Ravishankar, 1998), so that entries agree on it
// without a word.
//
// An Assigner is a pure function of its inputs and of a seeded random source. It
// answers the load in which many prompts share long parts and entries know each
// other's load only from lagging reports.
package assigner

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// Options are the costs that an Assigner counts.
type Options struct {
	// TokensPerMilli is the rate at which an engine reads prompts.
	TokensPerMilli float64
	// QueueCost is the cost in milliseconds of a call that waits at an upstream, and
	// BatchCost that of a full batch of running ones.
	QueueCost float64
	BatchCost float64
	// PlainCost is that of a full set of running calls at a plain service.
	PlainCost float64
	// FailureCost is the cost of a call that fails for certain, and FailureFloor the
	// part of failures that a sound upstream may have.
	FailureCost  float64
	FailureFloor float64
	// ZoneCost is the cost of the way to another availability zone.
	ZoneCost float64
	// Noise is the largest random cost, which keeps entries with the same reports
	// from choosing alike.
	Noise float64
}

// DefaultOptions returns the costs that entries use.
func DefaultOptions() Options {
	return Options{
		TokensPerMilli: 100, QueueCost: 40, BatchCost: 60, PlainCost: 30,
		FailureCost: 1500, FailureFloor: 0.12, ZoneCost: 4, Noise: 2,
	}
}

// Request is what placing needs to know of a call.
type Request struct {
	Zone   string // availability zone of this entry
	Engine bool   // the service runs model engines
	Prompt sequoiasill.Prompt
	Tried  map[string]bool // upstreams that had the call
}

// Choice is the chosen upstream with what decided.
type Choice struct {
	Replica sequoiasill.Replica
	Cost    float64            // milliseconds
	Prefill int                // tokens that it is believed to have to read
	Home    bool               // it is the one that the prompt's shared parts hash to
	Choices int                // upstreams that were weighed
	Age     sequoiasill.Millis // of its last load report, -1 for none
	Limited bool               // the call needs a permit there
}

// Assigner chooses upstreams. It is not safe for concurrent use.
type Assigner struct {
	opts Options
	rand *rand.Rand
}

// New returns an Assigner with a seeded random source.
func New(opts Options, seed uint64) *Assigner {
	return &Assigner{opts: opts, rand: rand.New(rand.NewPCG(seed, 0))}
}

// Choose returns the upstream for a call, or false if there is none left.
func (a *Assigner) Choose(req Request, candidates []registrar.Candidate) (Choice, bool) {
	home := Home(req.Prompt, candidates)
	best, found := Choice{}, false
	for i := range candidates {
		c := &candidates[i]
		if req.Tried[c.Replica.Name] {
			continue
		}
		choice := a.weigh(req, c, i == home)
		if !found || choice.Cost < best.Cost {
			best, found = choice, true
		}
	}
	best.Choices = len(candidates)
	return best, found
}

func (a *Assigner) weigh(req Request, c *registrar.Candidate, home bool) Choice {
	slots := float64(max(c.Replica.Slots, 1))
	running := (float64(c.Own) + c.Others) / slots
	cost := a.opts.Noise * a.rand.Float64()
	prefill := 0
	if req.Engine {
		prefill = req.Prompt.Tokens
		if home {
			prefill -= sharedTokens(req.Prompt)
		}
		cost += float64(prefill+c.Prefill) / a.opts.TokensPerMilli
		cost += a.opts.BatchCost*running + a.opts.QueueCost*c.Waiting
	} else {
		cost += a.opts.PlainCost*running + a.opts.QueueCost*c.Waiting
	}
	cost += a.opts.FailureCost * max(c.Failures-a.opts.FailureFloor, 0)
	if c.Replica.Zone != req.Zone {
		cost += a.opts.ZoneCost
	}
	return Choice{Replica: c.Replica, Cost: cost, Prefill: max(prefill, 0), Home: home, Age: c.Age, Limited: c.Limited}
}

func sharedTokens(p sequoiasill.Prompt) int {
	sum := 0
	for _, part := range p.Shared() {
		sum += part.Tokens
	}
	return sum
}

// Home returns the index of the upstream that a prompt's shared parts hash to, or
// -1 for a prompt without any.
func Home(p sequoiasill.Prompt, candidates []registrar.Candidate) int {
	shared := p.Shared()
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
	// A Digest takes every write.
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(name)
	return d.Sum64()
}
