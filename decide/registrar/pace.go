package registrar

import (
	"math"

	"sequoiasill.dev/sequoiasill"
)

// Constants of the treatment of paces.
const (
	// MinPace and MaxPace bound the factor by which a reported pace changes the cost of work, so that an
	// upstream with wrong reports neither attracts nor loses all calls.
	MinPace = 0.25
	MaxPace = 8.0
	// minPaceOfMean bounds the factor to a fraction of the mean of the service, so that a few upstreams with
	// figures that are too low do not gather queues.
	minPaceOfMean = 0.5
	// paceDecay is the time constant with which the last report of a pace gives way to the usual one.
	// Upstreams are slower than usual for tenths of a second.
	paceDecay = 150 * sequoiasill.Millis(1)
	// paceTolerance is the fraction above the usual pace up to which a report confirms it.
	paceTolerance = 0.1
	// paceRaiseSamples is the number of reports in a row above the usual pace that raise it, and
	// paceRaiseInterval the minimum interval between those that count. Upstreams are slower than usual for
	// 15 % of the time, so that one in 2,000 sequences of four reports is above it by chance.
	paceRaiseSamples  = 4
	paceRaiseInterval = 500 * sequoiasill.Millis(1)
	// paceTellChange is the relative change of a usual pace that the other entries are told.
	paceTellChange = 0.2
	// paceTellInterval is the minimum interval between announcements of one upstream's pace, and
	// paceTellGap that between any two of this entry: hundreds of entries send them, and they travel
	// with probes.
	paceTellInterval = 5 * sequoiasill.Second
	paceTellGap      = sequoiasill.Second
	// maxToldUpstreams is the number of upstreams, recently removed ones included, beyond which entries tell
	// each other no paces. Entries that know different facts exchange all of them, so that thousands of
	// changing ones would fill their links; with so many upstreams an entry's own reports have to do.
	maxToldUpstreams = 512
	// PaceTTL is how long an announcement is gossiped. It is renewed after half of that time, for entries
	// that have started since.
	PaceTTL = 10 * sequoiasill.Minute
	// typicalLoadWeight is the weight of a new report in the typical load of an upstream.
	typicalLoadWeight = 0.3
	// maxTypicalLoad bounds a typical load, in calls per slot, against reports of absurd numbers.
	maxTypicalLoad = 2
	// typicalLoadDecay is the time constant with which a typical load gives way to the mean of the service
	// without reports, so that an upstream that was full once gets calls again. An entry calls an upstream
	// about once in six seconds.
	typicalLoadDecay = 10 * sequoiasill.Second
	// minExploringShare is the minimum share of an entry's calls for which upstreams of which it knows nothing count
	// as idle. With all calls, up to 58 met at a new upstream; with none, it got no calls for seconds.
	minExploringShare = 0.05
	// maxEarlyPaces is the number of announced paces that are kept for upstreams that are not known yet,
	// and earlyPaceTime how long. The largest deployments have 2,700 upstreams.
	maxEarlyPaces = 4096
	earlyPaceTime = sequoiasill.Minute
)

// pace is what is known of the time that work takes at an upstream, as a factor.
type pace struct {
	usual  float64 // 0 if it is unknown
	own    bool    // usual is from responses to this entry
	last   float64
	lastAt sequoiasill.Millis

	raised   int                // reports above the usual pace in a row
	raisedTo float64            // the lowest of them
	raisedAt sequoiasill.Millis // time of the last one that counted

	load  float64 // typical number of calls of other entries at the upstream
	loads int     // reports behind it

	told   float64 // that the other entries were last told, by this entry or another one
	toldAt sequoiasill.Millis
}

// earlyPace is the announced pace of an upstream that is not known yet.
type earlyPace struct {
	startedAt  sequoiasill.Millis
	usual      float64
	receivedAt sequoiasill.Millis
}

// paces is what the registrar knows of paces apart from single upstreams.
type paces struct {
	known  bool // the pace of some upstream is or was known
	toldAt sequoiasill.Millis
	early  map[string]earlyPace
}

// RecordPace records the pace that an upstream incarnation reported in a response to this entry, as a
// factor, 0 for none. The load in the same response must be recorded before. It returns the usual pace,
// and whether the other entries are to be told of it.
func (r *Registrar) RecordPace(now sequoiasill.Millis, n sequoiasill.Replica, factor float64) (usual float64, tell bool) {
	s, ok := r.replicas[n.Name]
	if !ok || s.replica.StartedAt != n.StartedAt || !(factor > 0) {
		return 0, false
	}
	r.paces.known = true
	p := &s.pace
	factor = boundPace(factor)
	p.last, p.lastAt = factor, now
	p.learnLoad(s)
	if !p.learn(now, factor) || len(r.replicas) > maxToldUpstreams || !p.isNews(now) || r.paces.toldAt > 0 && now-r.paces.toldAt < paceTellGap {
		return p.usual, false
	}
	p.told, p.toldAt, r.paces.toldAt = p.usual, now, now
	return p.usual, true
}

// learn updates the usual pace by a report and reports whether the report confirms it. A lower report
// corrects the usual pace at once, and higher ones only if they persist.
func (p *pace) learn(now sequoiasill.Millis, factor float64) bool {
	switch {
	case p.usual == 0 || factor <= p.usual:
		p.usual = factor
	case factor <= p.usual*(1+paceTolerance):
	default:
		p.countRaised(now, factor)
		if p.raised < paceRaiseSamples {
			return false
		}
		p.usual = p.raisedTo
	}
	p.own, p.raised = true, 0
	return true
}

func (p *pace) countRaised(now sequoiasill.Millis, factor float64) {
	switch {
	case p.raised == 0:
		p.raisedTo = factor
	case now-p.raisedAt < paceRaiseInterval:
		p.raisedTo = min(p.raisedTo, factor)
		return
	}
	p.raisedTo = min(p.raisedTo, factor)
	p.raisedAt = now
	p.raised++
}

// isNews reports whether the usual pace differs from the one that the other entries were told, or was
// told long ago.
func (p *pace) isNews(now sequoiasill.Millis) bool {
	age := now - p.toldAt
	return p.told == 0 || age >= PaceTTL/2 || age >= paceTellInterval && math.Abs(p.usual-p.told) > paceTellChange*p.told
}

// PaceGossiped records the usual pace of an upstream incarnation that another entry announced. It
// returns false if this entry keeps its own figure, or if the announcement is of another incarnation. A
// lower figure corrects the own one, like a report.
func (r *Registrar) PaceGossiped(now sequoiasill.Millis, name string, startedAt sequoiasill.Millis, usual float64) bool {
	if !(usual > 0) {
		return false
	}
	usual = boundPace(usual)
	s, ok := r.replicas[name]
	if !ok || s.replica.StartedAt < startedAt {
		r.keepEarlyPace(now, name, earlyPace{startedAt: startedAt, usual: usual, receivedAt: now})
		return false
	}
	if s.replica.StartedAt != startedAt {
		return false
	}
	r.paces.known = true
	return s.pace.hear(now, usual)
}

func (p *pace) hear(now sequoiasill.Millis, usual float64) bool {
	p.told, p.toldAt = usual, now
	if p.own && usual >= p.usual || usual == p.usual {
		return false
	}
	p.usual, p.raised = usual, 0
	return true
}

func (r *Registrar) keepEarlyPace(now sequoiasill.Millis, name string, e earlyPace) {
	if r.paces.early == nil {
		r.paces.early = make(map[string]earlyPace)
	}
	if len(r.paces.early) >= maxEarlyPaces {
		for other, o := range r.paces.early {
			if now-o.receivedAt > earlyPaceTime {
				delete(r.paces.early, other)
			}
		}
	}
	if old, known := r.paces.early[name]; known && old.startedAt > e.startedAt || !known && len(r.paces.early) >= maxEarlyPaces {
		return
	}
	r.paces.early[name] = e
}

// applyEarlyPace applies an announcement that arrived before the upstream's registration.
func (r *Registrar) applyEarlyPace(s *state) {
	e, ok := r.paces.early[s.replica.Name]
	if !ok || e.startedAt > s.replica.StartedAt {
		return
	}
	delete(r.paces.early, s.replica.Name)
	if e.startedAt == s.replica.StartedAt {
		r.paces.known = true
		s.pace.hear(e.receivedAt, e.usual)
	}
}

func boundPace(factor float64) float64 { return min(max(factor, MinPace), MaxPace) }

// isKnown reports whether a usual pace is known. One that other entries announced, and that none renews,
// lapses: it may be that of a busy moment, for which all have avoided the upstream since.
func (p *pace) isKnown(now sequoiasill.Millis) bool {
	return p.usual > 0 && (p.own || now-p.toldAt < PaceTTL)
}

// expected returns the pace that a call sent now is expected to meet, 0 if none is known.
func (p *pace) expected(now sequoiasill.Millis) float64 {
	if p.last == 0 {
		return p.usual
	}
	return p.usual + (p.last-p.usual)*math.Exp(-float64(max(now-p.lastAt, 0))/float64(paceDecay))
}

// learnLoad updates the typical load by the last report.
func (p *pace) learnLoad(s *state) {
	load := min(float64(s.othersAtReport()), maxTypicalLoad*float64(max(s.replica.Slots, 1)))
	p.loads++
	if p.loads == 1 {
		p.load = load
		return
	}
	p.load += typicalLoadWeight * (load - p.load)
}

// setPaces sets the expected paces of the candidates of a service. Candidates without a known pace get
// the mean of the usual ones, or 1 if none is known. The load of an upstream with a known pace and
// without a recent report is taken to be the typical one, and that of an upstream of which nothing is known
// to be the mean, except for the calls that explore: entries that take them for idle all choose the
// same fast or new upstreams.
func (r *Registrar) setPaces(now sequoiasill.Millis, candidates []Candidate) {
	mean := typical{pace: 1}
	if r.paces.known {
		mean = r.meanOf(now, candidates)
	}
	explores := mean.unknown > 0 && r.rand.Float64() < max(mean.unknown, minExploringShare)
	for i := range candidates {
		c := &candidates[i]
		c.Pace = mean.pace
		if !mean.known {
			continue
		}
		s := r.replicas[c.Replica.Name]
		isKnown := s.pace.isKnown(now)
		if isKnown {
			c.Pace = max(s.pace.expected(now), mean.pace*minPaceOfMean)
		}
		if !isKnown && (s.reported || explores) {
			continue
		}
		load := mean.load
		if s.pace.loads > 0 {
			load += (s.pace.load - load) * math.Exp(-float64(max(now-s.pace.lastAt, 0))/float64(typicalLoadDecay))
		}
		c.OthersInFlight += (1 - s.reportWeight(now, r.opts)) * load
	}
}

// typical holds the means of the candidates of a service whose paces and loads are known.
type typical struct {
	pace  float64 // 1 if none is known
	load  float64
	known bool // some pace is known
	// unknown is the share of the candidates of which nothing is known, 0 if no pace is known.
	unknown float64
}

func (r *Registrar) meanOf(now sequoiasill.Millis, candidates []Candidate) typical {
	out := typical{pace: 1}
	var pace, load, paces, loads, unknown float64
	for i := range candidates {
		s := r.replicas[candidates[i].Replica.Name]
		p := &s.pace
		switch {
		case p.isKnown(now):
			pace += p.usual
			paces++
		case !s.reported:
			unknown++
		}
		if p.loads > 0 {
			load += p.load
			loads++
		}
	}
	if paces > 0 {
		out.pace, out.known, out.unknown = pace/paces, true, unknown/float64(len(candidates))
	}
	if loads > 0 {
		out.load = load / loads
	}
	return out
}

// UsualPaces returns the lowest and the highest usual pace of upstreams that are not removed, 0 if none
// is known.
func (r *Registrar) UsualPaces() (lowest, highest float64) {
	for _, s := range r.replicas {
		usual := s.pace.usual
		if usual == 0 || s.removed {
			continue
		}
		if lowest == 0 || usual < lowest {
			lowest = usual
		}
		highest = max(highest, usual)
	}
	return lowest, highest
}
