// Package tracker tracks the health of upstreams and selects those that may receive
// new requests. Its inputs are the platform's instance list, termination notices,
// refusals, errors, and the leaving marks that other entries gossip, whichever
// arrives first. It ejects outliers by errors and latency.
//
// A Tracker is a state machine without I/O.
package tracker

import (
	"slices"
	"sort"

	"sequoiasill.dev/sequoiasill"
)

// Options configure a Tracker.
type Options struct {
	MarkTTL            sequoiasill.Millis // minimum lifetime of a leaving mark
	BaseEjectionTime   sequoiasill.Millis // base ejection time, doubled with each consecutive ejection
	MaxEjectionTime    sequoiasill.Millis // maximum ejection time
	ConsecutiveErrors  int                // consecutive errors that cause an ejection
	MinSamples         int                // samples required before latency is compared
	SlowFactor         float64            // ratio to the median latency that causes an ejection
	MaxEjectionPercent int                // maximum percentage of a pool and version ejected by errors and latency
}

// DefaultOptions returns the options of the router.
func DefaultOptions() Options {
	return Options{
		MarkTTL:            sequoiasill.Minute,
		BaseEjectionTime:   sequoiasill.Second,
		MaxEjectionTime:    30 * sequoiasill.Second,
		ConsecutiveErrors:  3,
		MinSamples:         8,
		SlowFactor:         4,
		MaxEjectionPercent: 34,
	}
}

// Event is an input of the tracker.
type Event interface{ event() }

// Listed replaces the known upstreams with the platform's list.
type Listed struct{ Instances []sequoiasill.Instance }

// Leaving marks an upstream whose shutdown was announced.
type Leaving struct {
	Upstream string
	Source   Source
	StopAt   sequoiasill.Millis // 0 if unknown
}

// Answered reports a successful response with its latency per unit of work: one
// token of a model engine, or a whole call of a plain service.
type Answered struct {
	Upstream string
	Micros   int64 // microseconds, as Millis is too coarse
}

// Failed reports a response that was an upstream error.
type Failed struct{ Upstream string }

// Unreachable reports a refused or broken connection.
type Unreachable struct{ Upstream string }

func (Listed) event()      {}
func (Leaving) event()     {}
func (Answered) event()    {}
func (Failed) event()      {}
func (Unreachable) event() {}

// Source identifies where a leaving mark came from.
type Source string

// Sources of leaving marks.
const (
	FromList    Source = "list"
	FromNotice  Source = "notice"
	FromRefusal Source = "refusal"
	FromGossip  Source = "gossip"
)

// Marked is the action of publishing a new leaving mark to the other entries.
type Marked struct {
	Upstream string
	Source   Source
	StopAt   sequoiasill.Millis // 0 if unknown
}

// Tracker is the state of all upstreams. It is not safe for concurrent use.
type Tracker struct {
	opts  Options
	known map[string]*state
	marks map[string]leavingMark // by upstream
}

type leavingMark struct {
	until  sequoiasill.Millis // expiry of the mark
	stopAt sequoiasill.Millis // 0 if unknown
}

type state struct {
	instance     sequoiasill.Instance
	failures     int
	ejections    int
	ejectedUntil sequoiasill.Millis
	unreachable  bool
	samples      int
	unitMicros   float64 // exponentially weighted moving average of Answered.Micros
}

// New returns a tracker without upstreams.
func New(opts Options) *Tracker {
	return &Tracker{opts: opts, known: make(map[string]*state), marks: make(map[string]leavingMark)}
}

// Step processes one event and returns the new marks to publish.
func (t *Tracker) Step(now sequoiasill.Millis, ev Event) []Marked {
	switch ev := ev.(type) {
	case Listed:
		return t.replaceList(now, ev.Instances)
	case Leaving:
		return t.mark(now, ev)
	case Answered:
		t.answered(now, ev)
	case Failed:
		t.failed(now, ev.Upstream)
	case Unreachable:
		if s, ok := t.known[ev.Upstream]; ok {
			s.unreachable = true
			t.eject(now, s)
		}
	}
	return nil
}

func (t *Tracker) replaceList(now sequoiasill.Millis, instances []sequoiasill.Instance) []Marked {
	var out []Marked
	listed := make(map[string]bool, len(instances))
	for _, i := range instances {
		if i.Role != sequoiasill.RoleUpstream {
			continue
		}
		listed[i.Name] = true
		if s, ok := t.known[i.Name]; ok && s.instance.Address == i.Address {
			s.instance = i
		} else {
			t.known[i.Name] = &state{instance: i}
		}
		if i.Leaving {
			out = append(out, t.mark(now, Leaving{Upstream: i.Name, Source: FromList, StopAt: i.StopAt})...)
		}
	}
	for name := range t.known {
		if !listed[name] {
			delete(t.known, name)
		}
	}
	return out
}

// mark sets or extends a leaving mark. A mark that is already active is published
// again only if the event adds its stop time.
func (t *Tracker) mark(now sequoiasill.Millis, ev Leaving) []Marked {
	old, marked := t.marks[ev.Upstream]
	t.marks[ev.Upstream] = leavingMark{until: now + t.opts.MarkTTL, stopAt: max(old.stopAt, ev.StopAt)}
	if marked && old.until > now && (ev.StopAt == 0 || old.stopAt != 0) {
		return nil
	}
	return []Marked{Marked(ev)}
}

func (t *Tracker) answered(now sequoiasill.Millis, ev Answered) {
	s, ok := t.known[ev.Upstream]
	if !ok {
		return
	}
	const weight = 0.1
	s.failures = 0
	s.unreachable = false
	s.samples++
	micros := float64(ev.Micros)
	if s.samples == 1 {
		s.unitMicros = micros
	} else {
		s.unitMicros += weight * (micros - s.unitMicros)
	}
	// The median is computed once per MinSamples samples, not for every token.
	if s.samples < t.opts.MinSamples || s.samples%t.opts.MinSamples != 0 {
		return
	}
	if t.Slowness(ev.Upstream) > t.opts.SlowFactor {
		t.ejectWithin(now, s)
		s.samples = 0
		return
	}
	s.ejections = 0
}

func (t *Tracker) failed(now sequoiasill.Millis, upstream string) {
	s, ok := t.known[upstream]
	if !ok {
		return
	}
	s.failures++
	if s.failures >= t.opts.ConsecutiveErrors {
		s.failures = 0
		t.ejectWithin(now, s)
	}
}

// ejectWithin ejects an upstream unless MaxEjectionPercent of its pool and version would be
// exceeded.
func (t *Tracker) ejectWithin(now sequoiasill.Millis, s *state) {
	total, ejected := 0, 0
	for _, o := range t.known {
		if o.instance.Pool == s.instance.Pool && o.instance.Version == s.instance.Version {
			total++
			if o.ejectedUntil > now {
				ejected++
			}
		}
	}
	if (ejected+1)*100 <= total*t.opts.MaxEjectionPercent {
		t.eject(now, s)
	}
}

func (t *Tracker) eject(now sequoiasill.Millis, s *state) {
	if s.ejectedUntil > now {
		return
	}
	span := t.opts.BaseEjectionTime << min(s.ejections, 16)
	s.ejectedUntil = now + min(span, t.opts.MaxEjectionTime)
	s.ejections++
}

// Usable returns the upstreams of a pool and version that may receive new requests,
// sorted by name.
func (t *Tracker) Usable(now sequoiasill.Millis, pool, version string) []sequoiasill.Instance {
	var out []sequoiasill.Instance
	for _, s := range t.known {
		i := s.instance
		if i.Pool != pool || i.Version != version || t.IsLeaving(now, i.Name) || s.ejectedUntil > now {
			continue
		}
		out = append(out, i)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// Listed returns the sorted names of all upstreams of a pool and version that the
// platform lists and that are not leaving.
func (t *Tracker) Listed(now sequoiasill.Millis, pool, version string) []string {
	var out []string
	for name, s := range t.known {
		if s.instance.Pool == pool && s.instance.Version == version && !t.IsLeaving(now, name) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Instance returns a known upstream.
func (t *Tracker) Instance(upstream string) (sequoiasill.Instance, bool) {
	s, ok := t.known[upstream]
	if !ok {
		return sequoiasill.Instance{}, false
	}
	return s.instance, true
}

// IsLeaving reports whether the upstream's shutdown was announced.
func (t *Tracker) IsLeaving(now sequoiasill.Millis, upstream string) bool {
	if s, ok := t.known[upstream]; ok && s.instance.Leaving {
		return true
	}
	return t.marks[upstream].until > now
}

// Slowness returns the ratio of the upstream's latency per unit to the median of its
// pool and version, or 1 with too few samples.
func (t *Tracker) Slowness(upstream string) float64 {
	s, ok := t.known[upstream]
	if !ok || s.samples < t.opts.MinSamples {
		return 1
	}
	var units []float64
	for _, o := range t.known {
		if o.instance.Pool == s.instance.Pool && o.instance.Version == s.instance.Version && o.samples >= t.opts.MinSamples {
			units = append(units, o.unitMicros)
		}
	}
	slices.Sort(units)
	median := units[(len(units)-1)/2]
	if median <= 0 {
		return 1
	}
	return s.unitMicros / median
}
