// Package peerpicker selects the entry that serves a call on behalf of this one. It prefers entries
// in the same zone with few calls of this entry in progress, and avoids for a while those that did
// not accept a call.
//
// A Picker is a state machine without I/O.
package peerpicker

import (
	"math/rand/v2"

	"sequoiasill.dev/sequoiasill"
)

// Options configure a Picker.
type Options struct {
	// AvoidTime is how long an entry that did not accept a call is avoided for its service.
	AvoidTime sequoiasill.Millis
	// OtherZoneCost is the number of calls in progress that an entry in this zone may have more than
	// one in another zone.
	OtherZoneCost int
}

// DefaultOptions returns the options that entries use.
func DefaultOptions() Options {
	return Options{AvoidTime: 500, OtherZoneCost: 2}
}

// Peer is an entry that may serve calls on behalf of this one.
type Peer struct {
	Name    string
	Address string
	Zone    string
}

// Picker holds the calls in progress and the refusals by entry. It is not safe for concurrent use.
type Picker struct {
	opts       Options
	zone       string
	rand       *rand.Rand
	inFlight   map[string]int
	avoidUntil map[refusal]sequoiasill.Millis
}

// refusal identifies what an entry did not accept.
type refusal struct {
	peer    string
	service string
}

// New returns a Picker for an entry in the zone. The seed makes its choices reproducible.
func New(opts Options, zone string, seed uint64) *Picker {
	return &Picker{opts: opts, zone: zone, rand: rand.New(rand.NewPCG(seed, 0)), inFlight: make(map[string]int), avoidUntil: make(map[refusal]sequoiasill.Millis)}
}

// Pick returns one of the peers that is neither tried nor avoided: of two random ones, the one with
// the lower cost (Mitzenmacher, 2001).
func (p *Picker) Pick(now sequoiasill.Millis, service string, peers []Peer, tried map[string]bool) (Peer, bool) {
	var eligible []Peer
	for _, peer := range peers {
		if !tried[peer.Name] && p.avoidUntil[refusal{peer.Name, service}] <= now {
			eligible = append(eligible, peer)
		}
	}
	if len(eligible) == 0 {
		return Peer{}, false
	}
	a := eligible[p.rand.IntN(len(eligible))]
	b := eligible[p.rand.IntN(len(eligible))]
	if p.cost(b) < p.cost(a) {
		return b, true
	}
	return a, true
}

func (p *Picker) cost(peer Peer) int {
	cost := p.inFlight[peer.Name]
	if peer.Zone != p.zone {
		cost += p.opts.OtherZoneCost
	}
	return cost
}

// Started counts a call that is offered to a peer.
func (p *Picker) Started(peer string) { p.inFlight[peer]++ }

// Ended counts down a call that is no longer in progress at a peer.
func (p *Picker) Ended(peer string) {
	if p.inFlight[peer]--; p.inFlight[peer] <= 0 {
		delete(p.inFlight, peer)
	}
}

// NotAccepted records that a peer did not accept a call of a service.
func (p *Picker) NotAccepted(now sequoiasill.Millis, peer, service string) {
	for r, until := range p.avoidUntil {
		if until <= now {
			delete(p.avoidUntil, r)
		}
	}
	p.avoidUntil[refusal{peer, service}] = now + p.opts.AvoidTime
}
