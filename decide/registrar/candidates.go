package registrar

import (
	"math"
	"slices"
	"strings"

	"sequoiasill.dev/sequoiasill"
)

// Candidate is an upstream that is eligible for a call, with its estimated load and
// failure rate.
type Candidate struct {
	Replica        sequoiasill.Replica
	InFlight       int                // calls of this entry in flight
	Prefill        int                // prompt tokens of those calls that have not yet produced their first event
	OthersInFlight float64            // estimated calls of other entries in flight
	Waiting        float64            // queue length in the last report, weighted by the report's age
	FailureRate    float64            // failure rate of its recent calls
	Limited        bool               // it has a rate limit: each call needs a permit
	ReportAge      sequoiasill.Millis // age of the last report, -1 if there is none
	Pace           float64            // time that work is expected to take, as a factor, 1 if no pace is known in the service
	Connected      bool               // this entry holds an idle connection to it; set by the dispatcher
}

// Candidates returns the upstreams of a service that are eligible for a call, sorted by
// name.
func (r *Registrar) Candidates(now sequoiasill.Millis, service string) []Candidate {
	var out []Candidate
	brittle := r.IsBrittle(now, service)
	for _, s := range r.replicas {
		if s.replica.Service == service && s.usable(now) && r.maySendTo(now, s) && r.hasColdRoom(now, s) && (!brittle || s.hasRoom(now, r.entries)) {
			out = append(out, s.candidate(now, r.opts))
		}
	}
	r.setPaces(now, out)
	if brittle && len(out) > 0 {
		out = r.sampleCandidates(out)
	}
	slices.SortFunc(out, func(a, b Candidate) int { return strings.Compare(a.Replica.Name, b.Replica.Name) })
	return out
}

func (s *state) usable(now sequoiasill.Millis) bool {
	return !s.removed && !s.replica.Draining && s.backoffUntil <= now && s.pausedUntil <= now && s.limit.deniedUntil <= now && (s.slowStartWindow == 0 || s.inFlight-s.callsBeforePause < s.slowStartWindow)
}

// priorCalls is the number of successful calls that each failure rate starts with, so
// that one failure among few calls does not count as a high rate.
const priorCalls = 4

func (s *state) candidate(now sequoiasill.Millis, opts Options) Candidate {
	c := Candidate{ReportAge: -1, Replica: s.replica, InFlight: s.inFlight, Prefill: s.prefill, Limited: s.limit.active}
	s.decay(now, opts.FailureDecay)
	c.FailureRate = s.failures / (s.calls + priorCalls)
	if s.reported {
		c.ReportAge = now - s.loadAt
		weight := s.reportWeight(now, opts)
		c.OthersInFlight = weight * float64(s.othersAtReport())
		c.Waiting = weight * float64(s.load.Waiting)
	}
	return c
}

// reportWeight returns the weight of the last load report, 0 if there is none.
func (s *state) reportWeight(now sequoiasill.Millis, opts Options) float64 {
	if !s.reported {
		return 0
	}
	return math.Exp(-float64(now-s.loadAt) / float64(opts.ReportDecay))
}

// othersAtReport returns the number of calls of other entries in the last load report.
func (s *state) othersAtReport() int {
	return max(s.load.Running+s.load.Waiting-s.inFlightAtReport, 0)
}
