package registrar

import "sequoiasill.dev/sequoiasill"

const (
	// MaxTickGap is the interval between calls of Tick from which this process is taken to have been
	// paused. Evacuations must be kept 5 s after their record; what is in transit takes the rest.
	MaxTickGap = 3 * sequoiasill.Second
	// resumeHold is how long nothing is sent after a pause. What arrived meanwhile waits in the buffers of
	// the sockets and is read in some tens of milliseconds.
	resumeHold = 300 * sequoiasill.Millis(1)
)

// noteTick begins a hold if this process was paused.
func (r *Registrar) noteTick(now sequoiasill.Millis) {
	if r.paused(now) {
		r.holdUntil = now + resumeHold
	}
	r.tickedAt = now
}

// paused reports whether this process was paused and Tick was not called since.
func (r *Registrar) paused(now sequoiasill.Millis) bool {
	return r.tickedAt > 0 && now-r.tickedAt > MaxTickGap
}

// holdWait returns the time for which nothing is sent, as an evacuation may have begun while this process
// was paused. It is 0 where evacuations are not followed.
func (r *Registrar) holdWait(now sequoiasill.Millis) sequoiasill.Millis {
	switch {
	case r.evacuated == nil:
		return 0
	case r.paused(now):
		return resumeHold
	}
	return max(r.holdUntil-now, 0)
}

// maySendTo reports whether an upstream may get requests by its zone.
func (r *Registrar) maySendTo(now sequoiasill.Millis, s *state) bool {
	return !r.isEvacuated(s) && r.holdWait(now) == 0
}

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
	return ok && s.probeable(now) && r.maySendTo(now, s) && r.takeColdShare(now, s)
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
