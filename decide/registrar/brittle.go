package registrar

import (
	"sequoiasill.dev/sequoiasill"
)

// Constants of the treatment of brittle upstreams.
const (
	// brittleRoom is the fraction of the slots of a brittle upstream that all entries share. The rest,
	// and its queue, absorb calls beyond the shares.
	brittleRoom = 0.8
	// spareRoom is the fraction of the slots up to which an entry sends calls beyond its share, by a
	// load report that is not older than brittleReportAge.
	spareRoom        = 0.65
	brittleReportAge = sequoiasill.Second
	// brittleSample is the number of upstreams among which one of many entries chooses.
	brittleSample = 2
	// rejectionShare is the fraction of the rejections that a brittle upstream withstands in a second
	// that all entries together may cause.
	rejectionShare = 0.5
	// rejectionJitter is the maximum fraction by which the time after a rejection is lengthened or
	// shortened.
	rejectionJitter = 0.25
	// minRejectionPause and maxRejectionPause bound the time for which an entry sends nothing after a
	// rejection.
	minRejectionPause = 250 * sequoiasill.Millis(1)
	maxRejectionPause = 10 * sequoiasill.Second
	// gossipedBrittleTime is how long a service is taken to be brittle on the word of other entries.
	gossipedBrittleTime = 10 * sequoiasill.Second
)

// Brittleness is what a response says of the brittleness of its upstream.
type Brittleness struct {
	FromUpstream bool    // the response comes from the upstream itself, so that it is not brittle unless it says so
	Rejections   float64 // rejected calls in a second that it withstands, 0 if it is not brittle
}

// brittleness is what is known of the brittleness of a service.
type brittleness struct {
	rejections    float64 // that an upstream withstands in a second
	announcedBy   map[string]bool
	announcedAt   sequoiasill.Millis // when the other entries were last to be told
	gossipedUntil sequoiasill.Millis
}

// SetEntries sets the number of entries whose rejections are bounded together.
func (r *Registrar) SetEntries(n int) { r.entries = max(n, 1) }

// BrittleAnnounced records what a response of an upstream says of its brittleness. It returns true if
// the other entries are to be told: at first, and again from time to time.
func (r *Registrar) BrittleAnnounced(now sequoiasill.Millis, n sequoiasill.Replica, a Brittleness) (tell bool) {
	b := r.brittle[n.Service]
	switch {
	case !a.FromUpstream:
		return false
	case a.Rejections <= 0:
		if b != nil {
			delete(b.announcedBy, n.Name)
		}
		return false
	}
	known := r.IsBrittle(now, n.Service)
	if b == nil {
		b = &brittleness{announcedBy: make(map[string]bool)}
		r.brittle[n.Service] = b
	}
	b.rejections = a.Rejections
	b.announcedBy[n.Name] = true
	if known && now-b.announcedAt < gossipedBrittleTime/2 {
		return false
	}
	b.announcedAt = now
	return true
}

// BrittleGossiped records the word of another entry that the upstreams of a service are brittle. It
// returns false if that was already known.
func (r *Registrar) BrittleGossiped(now sequoiasill.Millis, service string, rejections float64) bool {
	known := r.IsBrittle(now, service)
	b := r.brittle[service]
	if b == nil {
		b = &brittleness{announcedBy: make(map[string]bool)}
		r.brittle[service] = b
	}
	b.rejections, b.gossipedUntil, b.announcedAt = rejections, now+gossipedBrittleTime, now
	return !known
}

// IsBrittle reports whether an upstream of the service that is still listed announced it, or another
// entry did so recently. All upstreams of a service are brittle at the same time.
func (r *Registrar) IsBrittle(now sequoiasill.Millis, service string) bool {
	b := r.brittle[service]
	if b == nil {
		return false
	}
	for name := range b.announcedBy {
		if s, ok := r.replicas[name]; !ok || s.removed {
			delete(b.announcedBy, name)
		}
	}
	return len(b.announcedBy) > 0 || now < b.gossipedUntil
}

// hasRoom reports whether a brittle upstream may get another call of this entry. A call that it
// rejects for want of room does harm, so it is sent only within this entry's share of the slots: all
// shares together fit there, however many entries send at the same time. The shares are rounded at
// random, so that of many entries some have a slot and the others none.
func (s *state) hasRoom(now sequoiasill.Millis, entries int) bool {
	if s.rejectedUntil > now {
		return false
	}
	slots := float64(max(s.replica.Slots, 1))
	if s.inFlight < int(entryShare(slots, brittleRoom, entries)+s.rounding) {
		return true
	}
	if !s.reported || now-s.loadAt > brittleReportAge {
		return false
	}
	load := s.load.Running + s.load.Waiting + max(s.inFlight-s.inFlightAtReport, 0)
	return float64(load) < spareRoom*slots
}

// sampleCandidates returns some of the candidates at random if there are many entries, so that they
// do not all choose the upstream that looked best in the same reports.
func (r *Registrar) sampleCandidates(all []Candidate) []Candidate {
	if len(all) <= brittleSample || r.entries <= all[0].Replica.Slots {
		return all
	}
	r.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:brittleSample]
}

// recordRejection keeps this entry's calls from a brittle upstream that rejected one, so that all
// entries together cause fewer rejections than it withstands.
func (r *Registrar) recordRejection(now sequoiasill.Millis, s *state) {
	if !r.IsBrittle(now, s.replica.Service) {
		return
	}
	pause := shareInterval(r.brittle[s.replica.Service].rejections, rejectionShare, r.entries)
	pause *= 1 + rejectionJitter*(2*r.rand.Float64()-1)
	s.rejectedUntil = now + min(max(sequoiasill.Millis(pause), minRejectionPause), maxRejectionPause)
}
