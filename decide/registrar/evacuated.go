package registrar

import "sequoiasill.dev/sequoiasill"

// AwaitEvacuations sets whether calls and probes are kept from all upstreams as it is not known which
// zones are evacuated. It is for entries that start in a deployment with evacuations.
func (r *Registrar) AwaitEvacuations(awaits bool) { r.awaitsEvacuations = awaits }

// SetEvacuated sets the zones to whose upstreams nothing more is sent.
func (r *Registrar) SetEvacuated(zones map[string]bool) { r.evacuated = zones }

// isEvacuated reports whether nothing may be sent to an upstream because of its zone.
func (r *Registrar) isEvacuated(s *state) bool {
	return r.awaitsEvacuations || r.evacuated[s.replica.Zone]
}

// Evacuated returns the zones to whose upstreams nothing more is sent. The map must not be changed.
func (r *Registrar) Evacuated() map[string]bool { return r.evacuated }

// MayProbe reports whether a probe may be sent to an upstream now, and counts it.
func (r *Registrar) MayProbe(now sequoiasill.Millis, name string) bool {
	s, ok := r.replicas[name]
	return ok && s.probeable(now) && !r.isEvacuated(s) && r.takeColdShare(now, s)
}

func (s *state) probeable(now sequoiasill.Millis) bool {
	return !s.removed && !s.replica.Draining && s.pausedUntil <= now
}

// Unavailable counts the upstreams of a service that get no calls at present for a reason of their
// state.
type Unavailable struct {
	Cold      int // this entry's share of their rate is used up
	Evacuated int // in evacuated zones, or in any while the evacuations are awaited
}

// Unavailable returns the upstreams of a service that get no calls because they are cold or in an
// evacuated zone.
func (r *Registrar) Unavailable(now sequoiasill.Millis, service string) Unavailable {
	var out Unavailable
	for _, s := range r.replicas {
		switch {
		case s.replica.Service != service || s.removed || s.replica.Draining:
		case r.isEvacuated(s):
			out.Evacuated++
		case !r.hasColdRoom(now, s):
			out.Cold++
		}
	}
	return out
}
