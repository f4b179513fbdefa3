// Package mover decides the progress of a version move, the gradual shift of a
// service's traffic to a new version: which share the new version gets, and when the
// move is completed or rolled back. It keeps the share small for as long as the
// deadline allows. Each replica of the new version bears the load of a replica of the
// old one.
//
// A Mover is a state machine without I/O.
package mover

import (
	"fmt"
	"maps"
	"slices"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/detector"
)

// Options configure a Mover.
type Options struct {
	Detector detector.Options
	// Stages is the schedule of shares. The last share leaves the old version enough
	// traffic for a comparison.
	Stages []Stage
	// EndAt is the fraction of the time up to the deadline, in thousandths, after which a
	// healthy move is completed. If errors are suspected then, the move is completed once they are
	// not any more, or rolled back after the fraction DecideAt.
	EndAt    int
	DecideAt int
	// MinRequests is the number of requests to the new version, and MinPerRoute the number
	// on each route with traffic, below which a move is rolled back for lack of evidence. A
	// service with few requests needs only the fraction MinShare of them, in thousandths, if
	// that is less than MinRequests; 0 means MinRequests.
	MinRequests int
	MinPerRoute int
	MinShare    int
	// Handover, if set, takes the place of the final stages.
	Handover *Handover
}

// Stage is a share of traffic and the fraction of the time up to the deadline at which
// it begins, both in thousandths. A final stage is left out while errors of the new version are in doubt.
type Stage struct {
	From  int
	Share int
	Final bool
}

// DefaultOptions returns the options that controllers use.
func DefaultOptions() Options {
	return Options{
		Detector: detector.DefaultOptions(),
		Stages:   []Stage{{From: 0}, {From: 20, Share: 50}, {From: 550, Share: 150}, {From: 660, Share: 400}, {From: 760, Share: 950, Final: true}},
		EndAt:    870, DecideAt: 970, MinRequests: 500, MinPerRoute: 20,
	}
}

// Sample holds the request counts of both versions on a route.
type Sample struct {
	Old detector.Counts
	New detector.Counts
}

// Event is an input of the mover.
type Event interface{ event() }

// Evidence reports the request counts since the last Evidence, by route.
type Evidence struct {
	Routes map[string]Sample
	// DrainTime is the time within which nearly all calls to the old version end, 0 if it is not known.
	DrainTime sequoiasill.Millis
}

// EntryStopped reports that an entry stopped the move because of its own measurements.
type EntryStopped struct{ Reason string }

// Rollback reports that an operator ordered a rollback.
type Rollback struct{ Reason string }

// Tick advances the schedule.
type Tick struct{}

func (Evidence) event()     {}
func (EntryStopped) event() {}
func (Rollback) event()     {}
func (Tick) event()         {}

// Action is an output of the mover.
type Action interface{ action() }

// SetShare sets the share of traffic on the new version, in thousandths.
type SetShare struct{ Share int }

// Finish requests that the end of the move be stored. It is repeated until the write
// succeeds, because only the write makes the end final.
type Finish struct {
	End    sequoiasill.MoveEnd
	Reason string
}

func (SetShare) action() {}
func (Finish) action()   {}

// Mover is the state of one move. It is not safe for concurrent use.
type Mover struct {
	opts      Options
	move      sequoiasill.Move
	share     int
	detectors map[string]*detector.Detector
	total     Sample // since New
	early     int    // share without that of the final stages
	handover  handover
	end       *Finish
}

// New returns the Mover of a move with the stored share.
func New(m sequoiasill.Move, share int, opts Options) *Mover {
	return &Mover{opts: opts, move: m, share: share, early: opts.earlyShare(share), detectors: make(map[string]*detector.Detector)}
}

// Share returns the share that was last requested.
func (m *Mover) Share() int { return m.share }

// Total returns the request counts of both versions since New.
func (m *Mover) Total() Sample { return m.total }

// Step processes one event and returns the resulting action, or nil.
func (m *Mover) Step(now sequoiasill.Millis, ev Event) Action {
	switch ev := ev.(type) {
	case Evidence:
		m.observe(ev)
		m.handover.observe(now, ev)
	case EntryStopped:
		m.setEnd(sequoiasill.MoveRolledBack, ev.Reason)
	case Rollback:
		m.setEnd(sequoiasill.MoveRolledBack, ev.Reason)
	}
	if m.end == nil {
		m.endIfDue(now)
	}
	if m.end != nil {
		return *m.end
	}
	if share := m.targetShare(now); share != m.share {
		m.share = share
		return SetShare{Share: share}
	}
	return nil
}

func (m *Mover) setEnd(end sequoiasill.MoveEnd, reason string) {
	if m.end == nil {
		m.end = &Finish{End: end, Reason: reason}
	}
}

// observe tests the new version for a regression on each route and over all routes.
func (m *Mover) observe(ev Evidence) {
	var all Sample
	for _, route := range slices.Sorted(maps.Keys(ev.Routes)) {
		s := ev.Routes[route]
		all = Sample{Old: all.Old.Add(s.Old), New: all.New.Add(s.New)}
		m.observeRoute(route, s)
	}
	m.total = Sample{Old: m.total.Old.Add(all.Old), New: m.total.New.Add(all.New)}
	m.observeRoute(allRoutes, all)
}

// allRoutes is the name of the detector over all routes.
const allRoutes = "all routes"

func (m *Mover) observeRoute(route string, s Sample) {
	d, ok := m.detectors[route]
	if !ok {
		d = detector.New(m.opts.Detector)
		m.detectors[route] = d
	}
	if regression := d.Observe(s.Old, s.New); regression != detector.None {
		m.setEnd(sequoiasill.MoveRolledBack, fmt.Sprintf("%s of the new version on %s", regression, route))
	}
}

// elapsed returns the fraction of the time up to the deadline that has passed, in
// thousandths.
func (m *Mover) elapsed(now sequoiasill.Millis) int {
	return int((now - m.move.Start) * 1000 / (m.move.Deadline - m.move.Start))
}

// targetShare returns the share of the current stage. The shares before the final stages never
// fall. While errors of the new version are in doubt, it keeps the share that it had before these.
func (m *Mover) targetShare(now sequoiasill.Millis) int {
	if m.opts.Handover != nil {
		return m.handoverShare(now)
	}
	early, final := 0, 0
	for _, s := range m.opts.Stages {
		switch {
		case m.elapsed(now) < s.From:
		case s.Final:
			final = s.Share
		default:
			early = s.Share
		}
	}
	m.early = max(m.early, early)
	if final == 0 || m.routeWhere((*detector.Detector).IsDoubtful) != "" {
		return m.early
	}
	return max(m.early, final)
}

// earlyShare returns a share, or that of the last stage before the final ones if it is lower.
func (o Options) earlyShare(share int) int {
	highest := 0
	for _, s := range o.Stages {
		if !s.Final {
			highest = max(highest, s.Share)
		}
	}
	return min(share, highest)
}

// routeWhere returns a route for which is reports true of its detector, or "".
func (m *Mover) routeWhere(is func(*detector.Detector) bool) string {
	for _, route := range slices.Sorted(maps.Keys(m.detectors)) {
		if is(m.detectors[route]) {
			return route
		}
	}
	return ""
}

// endIfDue ends the move once EndAt is reached.
func (m *Mover) endIfDue(now sequoiasill.Millis) {
	if m.elapsed(now) < m.opts.EndAt {
		return
	}
	if route := m.routeWhere((*detector.Detector).IsSuspected); route != "" {
		if m.elapsed(now) < m.opts.DecideAt {
			return
		}
		m.setEnd(sequoiasill.MoveRolledBack, "errors of the new version are suspected on "+route)
		return
	}
	if needed := m.requestsNeeded(); m.total.New.Requests < needed {
		m.setEnd(sequoiasill.MoveRolledBack, fmt.Sprintf("not enough evidence: %d requests to the new version, %d are needed", m.total.New.Requests, needed))
		return
	}
	for _, route := range slices.Sorted(maps.Keys(m.detectors)) {
		if n := m.detectors[route].NewRequests(); n < m.opts.MinPerRoute {
			m.setEnd(sequoiasill.MoveRolledBack, fmt.Sprintf("not enough evidence: %d requests on %s, %d are needed", n, route, m.opts.MinPerRoute))
			return
		}
	}
	if m.opts.Handover != nil {
		m.endHandover(now)
		return
	}
	m.setEnd(sequoiasill.MoveDone, "no badness seen")
}

// requestsNeeded returns the number of requests to the new version below which a move is rolled
// back.
func (m *Mover) requestsNeeded() int {
	if m.opts.MinShare == 0 {
		return m.opts.MinRequests
	}
	all := m.total.Old.Requests + m.total.New.Requests
	return min(m.opts.MinRequests, max(all*m.opts.MinShare/1000, 1))
}
