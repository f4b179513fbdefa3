// Package scaler decides how many reclaimable and on-demand upstreams of a service to
// order in each availability zone. Reclaimable upstreams carry the load at a fraction
// of the price. They are spread over the zones, so that enough remain when those of a
// zone are reclaimed. On-demand upstreams replace reclaimable ones that are
// unavailable.
//
// A Scaler is a state machine without I/O. It handles the loss of all reclaimable
// upstreams of a zone while no others are available for some time.
package scaler

import (
	"maps"
	"slices"
	"sort"

	"sequoiasill.dev/sequoiasill"
)

// Options configure a Scaler.
type Options struct {
	// MinBackoff and MaxBackoff are the minimum and maximum of the backoff after an order
	// of reclaimable upstreams in a zone that was refused or whose result is unknown.
	MinBackoff sequoiasill.Millis
	MaxBackoff sequoiasill.Millis
	// SurplusGrace is how long a surplus of on-demand upstreams lasts before it is released.
	// StartSlack is how long a start may exceed the announced boot time.
	SurplusGrace sequoiasill.Millis
	StartSlack   sequoiasill.Millis
	// WaveSpan is how long after a loss the target is LossWaveTarget rather than MinServing.
	WaveSpan sequoiasill.Millis
}

// DefaultOptions returns the options that entries use.
func DefaultOptions() Options {
	return Options{MinBackoff: 1500, MaxBackoff: 6 * sequoiasill.Second, SurplusGrace: sequoiasill.Second, StartSlack: 2 * sequoiasill.Second, WaveSpan: 3 * sequoiasill.Second}
}

// Stock is the number of a service's upstreams in a zone, without those that are
// leaving.
type Stock struct {
	Reclaimable int
	OnDemand    int
}

// View is the observed state of a service.
type View struct {
	Limits         sequoiasill.ScalingLimits
	Zones          map[string]Stock // all zones that may run the service
	Need           int              // upstreams that the load requires
	LossWaveTarget int              // of these, the upstreams to keep during a wave of losses
	MinServing     int              // of these, the minimum to serve the load
	Moving         bool             // a move to another version, with additional upstreams, is in progress
}

// Order sets the number of reclaimable or on-demand upstreams in a zone.
type Order struct {
	Zone        string
	Reclaimable bool
	Desired     int
}

// Result is the result of an order.
type Result int

// The results.
const (
	Accepted Result = iota
	Refused         // no capacity is available
	Unknown
)

type market struct {
	zone        string
	reclaimable bool
}

// Scaler holds the order state of a service. It is not safe for concurrent use.
type Scaler struct {
	opts         Options
	ordered      map[market]lastOrder
	backoffs     map[string]backoff // of reclaimable upstreams, by zone
	surplusSince sequoiasill.Millis // start of a surplus of on-demand upstreams, 0 for none
	lastLossAt   sequoiasill.Millis // when reclaimable upstreams were last lost or refused
}

type lastOrder struct {
	desired int
	at      sequoiasill.Millis
	pending bool // its result is not known yet
}

type backoff struct {
	until sequoiasill.Millis
	span  sequoiasill.Millis
}

// New returns a Scaler without orders.
func New(opts Options) *Scaler {
	return &Scaler{opts: opts, ordered: make(map[market]lastOrder), backoffs: make(map[string]backoff)}
}

// Step returns the orders that are due.
func (s *Scaler) Step(now sequoiasill.Millis, v View) []Order {
	zones := s.zonesByPrice(v)
	reclaimable := spreadOverZones(v, zones)
	onDemand := s.onDemandTargets(now, v, zones, reclaimable)
	var out []Order
	for _, zone := range zones {
		st := v.Zones[zone]
		if s.backoffs[zone].until <= now {
			out = s.order(now, v, out, market{zone, true}, reclaimable[zone], st.Reclaimable)
		}
		out = s.order(now, v, out, market{zone, false}, onDemand[zone], st.OnDemand)
	}
	return out
}

func (s *Scaler) zonesByPrice(v View) []string {
	zones := slices.Sorted(maps.Keys(v.Zones))
	sort.SliceStable(zones, func(i, j int) bool {
		return v.Limits.ZonePrices[zones[i]] < v.Limits.ZonePrices[zones[j]]
	})
	return zones
}

// spreadOverZones divides the need evenly over the zones, because all reclaimable
// upstreams of a zone may be reclaimed at once. The cheapest zones get the remainder.
func spreadOverZones(v View, zones []string) map[string]int {
	out := make(map[string]int)
	for remaining, placed := v.Need, true; remaining > 0 && placed; {
		placed = false
		for _, zone := range zones {
			if remaining > 0 && out[zone] < v.Limits.Max {
				out[zone]++
				remaining--
				placed = true
			}
		}
	}
	return out
}

// onDemandTargets returns the number of on-demand upstreams per zone that replace
// reclaimable ones that are not running.
func (s *Scaler) onDemandTargets(now sequoiasill.Millis, v View, zones []string, reclaimable map[string]int) map[string]int {
	reclaimableCount, onDemandCount := 0, 0
	for _, zone := range zones {
		reclaimableCount += min(v.Zones[zone].Reclaimable, reclaimable[zone])
		onDemandCount += v.Zones[zone].OnDemand
	}
	wanted := v.MinServing
	if s.inLossWave(now, v, zones, reclaimable) {
		wanted = max(v.LossWaveTarget, v.MinServing)
	}
	needed := max(wanted-reclaimableCount, 0)
	switch {
	case needed >= onDemandCount || v.Moving:
		s.surplusSince = 0
		needed = max(needed, onDemandCount)
	case s.surplusSince == 0:
		s.surplusSince = now
		needed = onDemandCount
	case now-s.surplusSince < s.opts.SurplusGrace:
		needed = onDemandCount
	}
	out := make(map[string]int)
	// Running upstreams stay in their zone, because moving them would only cost starts.
	for _, zone := range zones {
		out[zone] = min(v.Zones[zone].OnDemand, needed)
		needed -= out[zone]
	}
	for needed > 0 {
		placed := false
		for _, zone := range zones {
			if needed > 0 && out[zone]+s.reclaimableSlots(now, v, zone, reclaimable[zone]) < v.Limits.Max {
				out[zone]++
				needed--
				placed = true
			}
		}
		if !placed {
			break
		}
	}
	for _, zone := range zones {
		// The minimum applies to both kinds together.
		out[zone] = max(out[zone], v.Limits.Min-v.Zones[zone].Reclaimable)
	}
	return out
}

// reclaimableSlots returns the places in a zone that reclaimable upstreams take. While
// none can be started, only running ones count.
func (s *Scaler) reclaimableSlots(now sequoiasill.Millis, v View, zone string, target int) int {
	if s.backoffs[zone].until > now || now-s.lastLossAt < s.opts.WaveSpan && s.lastLossAt > 0 {
		return v.Zones[zone].Reclaimable
	}
	return target
}

// inLossWave reports whether reclaimable upstreams were lost or refused recently. Those
// of other zones are often lost soon after, before on-demand upstreams can start.
func (s *Scaler) inLossWave(now sequoiasill.Millis, v View, zones []string, reclaimable map[string]int) bool {
	for _, zone := range zones {
		last, known := s.ordered[market{zone, true}]
		lost := known && last.desired > 0 && v.Zones[zone].Reclaimable < min(last.desired, reclaimable[zone]) && now-last.at > v.Limits.BootTime+s.opts.StartSlack
		if lost || s.backoffs[zone].until > now {
			s.lastLossAt = now
		}
	}
	return s.lastLossAt > 0 && now-s.lastLossAt < s.opts.WaveSpan
}

// order appends an order if its number differs from the last one, or if the ordered
// upstreams are overdue.
func (s *Scaler) order(now sequoiasill.Millis, v View, out []Order, m market, desired, have int) []Order {
	if v.Moving && desired <= have {
		// Releasing an upstream could stop one of the new version, on which the move is
		// evaluated.
		if last, known := s.ordered[m]; !known || last.desired != have && !last.pending {
			s.ordered[m] = lastOrder{desired: have, at: now}
		}
		return out
	}
	last, known := s.ordered[m]
	if !known {
		last = lastOrder{desired: have}
		if desired == have {
			s.ordered[m] = last
			return out
		}
	}
	if last.pending {
		return out
	}
	overdue := have < desired && now-last.at >= v.Limits.BootTime+s.opts.StartSlack
	if last.desired == desired && !overdue {
		return out
	}
	s.ordered[m] = lastOrder{desired: desired, at: now, pending: true}
	return append(out, Order{Zone: m.zone, Reclaimable: m.reclaimable, Desired: desired})
}

// OrderDone records the result of an order.
func (s *Scaler) OrderDone(now sequoiasill.Millis, o Order, r Result) {
	m := market{o.Zone, o.Reclaimable}
	p := s.ordered[m]
	p.pending = false
	if r != Accepted {
		p.desired = -1 // forces a new order
	}
	s.ordered[m] = p
	if !o.Reclaimable {
		return
	}
	if r == Accepted {
		delete(s.backoffs, o.Zone)
		return
	}
	b := s.backoffs[o.Zone]
	b.span = min(max(b.span*2, s.opts.MinBackoff), s.opts.MaxBackoff)
	b.until = now + b.span
	s.backoffs[o.Zone] = b
}
