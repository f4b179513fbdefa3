package registrar

import "sequoiasill.dev/sequoiasill"

// SetEvacuated sets the zones to whose upstreams nothing more is sent.
func (r *Registrar) SetEvacuated(zones map[string]bool) { r.evacuated = zones }

// Evacuated returns the zones to whose upstreams nothing more is sent. The map must not be changed.
func (r *Registrar) Evacuated() map[string]bool { return r.evacuated }

// MayProbe reports whether a probe may be sent to an upstream now, and counts it.
func (r *Registrar) MayProbe(now sequoiasill.Millis, name string) bool {
	s, ok := r.replicas[name]
	return ok && s.probeable(now) && !r.evacuated[s.replica.Zone] && r.takeColdShare(now, s)
}

func (s *state) probeable(now sequoiasill.Millis) bool {
	return !s.removed && !s.replica.Draining && s.pausedUntil <= now
}

// Unavailable counts the upstreams of a service that get no calls at present for a reason of their
// state.
type Unavailable struct {
	Cold      int // this entry's share of their rate is used up
	Evacuated int // in evacuated zones
}

// Unavailable returns the upstreams of a service that get no calls because they are cold or in an
// evacuated zone.
func (r *Registrar) Unavailable(now sequoiasill.Millis, service string) Unavailable {
	var out Unavailable
	for _, s := range r.replicas {
		switch {
		case s.replica.Service != service || s.removed || s.replica.Draining:
		case r.evacuated[s.replica.Zone]:
			out.Evacuated++
		case !r.hasColdRoom(now, s):
			out.Cold++
		}
	}
	return out
}
