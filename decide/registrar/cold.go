package registrar

import "sequoiasill.dev/sequoiasill"

// Constants of the treatment of cold upstreams.
const (
	// coldShare is the fraction of the rate of a cold upstream that all entries together use. With 62
	// entries at random offsets, more than 29 of 8 expected requests fall into a given second with a
	// probability of 1.3e-11, and of 1.5e-7 if half of the entries know of only half of them. The
	// rest of the rate absorbs requests that were sent before the entries knew.
	coldShare = 0.5
	// maxColdTime bounds the time for which an announcement makes an upstream cold, so that an absurd
	// number does not keep calls from it for good.
	maxColdTime = sequoiasill.Minute
	// coldReturnJitter is the maximum time by which an entry lengthens the cold time of an upstream at
	// random, so that the entries do not all return to it at once.
	coldReturnJitter = 500 * sequoiasill.Millis(1)
)

// coldState is what is known of the cold time of an upstream, and this entry's share of its rate.
type coldState struct {
	until    sequoiasill.Millis // end of the cold time, with jitter
	jitter   sequoiasill.Millis // of the present cold time
	revision uint64             // store version of the last announcement that was used
	lastSend sequoiasill.Millis // of a request of this entry, whether the upstream was cold or not
	next     sequoiasill.Millis // time of the next send
	entries  int                // by which next was drawn, 0 if it has to be drawn
	// reserved is set from the choice of the upstream for a call to the end of the send, so that other
	// calls do not choose it as well.
	reserved bool
}

// ColdStats counts what the shares of cold upstreams do.
type ColdStats struct {
	Cold     int    // upstreams that are cold now
	Sends    uint64 // requests sent to cold upstreams
	Withheld uint64 // requests that were not sent, as the share was used up after the choice
}

// ColdStart is the start of a cold time, with the inputs of this entry's share.
type ColdStart struct {
	For      sequoiasill.Millis // time until calls are no longer limited
	Wait     sequoiasill.Millis // time until the first send
	Interval sequoiasill.Millis // minimum interval between sends, 0 if the service has no rate
	Entries  int                // among which the rate is divided
}

// SetColdRates sets the requests a second that a cold upstream of a service serves. Upstreams of other
// services are not limited while they are cold.
func (r *Registrar) SetColdRates(perSecond map[string]float64) { r.coldRates = perSecond }

// SetColdEntries sets the number of entries among which the rate of a cold upstream is divided. Until
// then it is the largest that is possible.
func (r *Registrar) SetColdEntries(n int) { r.coldEntries = max(n, 1) }

// ColdAnnounced records that a response of an incarnation of an upstream announced how much longer it
// stays cold. It returns true if it was not known to be cold.
func (r *Registrar) ColdAnnounced(now sequoiasill.Millis, n sequoiasill.Replica, coldFor sequoiasill.Millis) (ColdStart, bool) {
	s, ok := r.replicas[n.Name]
	if !ok || s.replica.StartedAt != n.StartedAt {
		return ColdStart{}, false
	}
	return r.extendCold(now, s, coldFor)
}

// Find returns the upstream of a name if it has the address, or nil.
func (r *Registrar) Find(name, address string) *sequoiasill.Replica {
	s, ok := r.replicas[name]
	if !ok || s.removed || s.replica.Address != address {
		return nil
	}
	found := s.replica
	return &found
}

// recordColdTime records the cold time in the record of an upstream. A record counts once, however
// often it is read.
func (r *Registrar) recordColdTime(now sequoiasill.Millis, s *state, n sequoiasill.Replica) {
	if n.ColdFor <= 0 || n.Revision <= s.cold.revision || n.StartedAt != s.replica.StartedAt {
		return
	}
	s.cold.revision = n.Revision
	if c, isNew := r.extendCold(now, s, n.ColdFor); isNew {
		r.coldStarts = append(r.coldStarts, RecordedColdStart{ColdStart: c, Name: n.Name, Service: n.Service})
	}
}

// RecordedColdStart is the start of a cold time that the record of an upstream announced.
type RecordedColdStart struct {
	ColdStart

	Name, Service string
}

// ColdStarts returns the cold times that records announced since the last call.
func (r *Registrar) ColdStarts() []RecordedColdStart {
	out := r.coldStarts
	r.coldStarts = nil
	return out
}

// extendCold makes an upstream cold, or cold for longer. Its cold time is never shortened, as an older
// announcement may arrive after a newer one.
func (r *Registrar) extendCold(now sequoiasill.Millis, s *state, coldFor sequoiasill.Millis) (ColdStart, bool) {
	if coldFor <= 0 {
		return ColdStart{}, false
	}
	isNew := s.cold.until <= now
	if isNew {
		s.cold.entries = 0
		s.cold.jitter = sequoiasill.Millis(r.rand.Float64() * float64(coldReturnJitter))
	}
	s.cold.until = max(s.cold.until, now+min(coldFor, maxColdTime)+s.cold.jitter)
	c := ColdStart{For: s.cold.until - now, Wait: r.coldWait(now, s), Entries: r.coldEntries}
	if r.coldRates[s.replica.Service] > 0 {
		c.Interval = r.coldInterval(s)
	}
	return c, isNew
}

// isCold reports whether the sends of this entry to an upstream are limited because it is cold.
func (r *Registrar) isCold(now sequoiasill.Millis, s *state) bool {
	return s.cold.until > now && r.coldRates[s.replica.Service] > 0
}

func (r *Registrar) coldInterval(s *state) sequoiasill.Millis {
	return sequoiasill.Millis(shareInterval(r.coldRates[s.replica.Service], coldShare, r.coldEntries))
}

// coldWait returns the time until this entry's share of the rate of a cold upstream has room for a
// send, 0 if it has now. The first send is at a random offset, which is drawn again when the number of
// entries changes: otherwise many entries whose intervals become shorter would send at once.
func (r *Registrar) coldWait(now sequoiasill.Millis, s *state) sequoiasill.Millis {
	if !r.isCold(now, s) {
		return 0
	}
	if s.cold.entries != r.coldEntries {
		interval := r.coldInterval(s)
		s.cold.entries = r.coldEntries
		s.cold.next = now + sequoiasill.Millis(r.rand.Float64()*float64(interval))
		if s.cold.lastSend > 0 {
			s.cold.next = max(s.cold.next, s.cold.lastSend+interval)
		}
	}
	return max(min(s.cold.next, s.cold.until)-now, 0)
}

// hasColdRoom reports whether a call may choose an upstream within this entry's share of its rate.
func (r *Registrar) hasColdRoom(now sequoiasill.Millis, s *state) bool {
	return !r.isCold(now, s) || r.coldWait(now, s) == 0 && !s.cold.reserved
}

// takeColdShare counts a send to an upstream, unless it is cold and this entry's share is used up.
func (r *Registrar) takeColdShare(now sequoiasill.Millis, s *state) bool {
	s.cold.reserved = false
	if r.coldRates[s.replica.Service] <= 0 {
		return true
	}
	if r.coldWait(now, s) > 0 {
		r.cold.Withheld++
		return false
	}
	s.cold.lastSend = now
	if r.isCold(now, s) {
		s.cold.next = now + r.coldInterval(s)
		r.cold.Sends++
	}
	return true
}

// ColdStats returns the number of cold upstreams and what their shares did since the start.
func (r *Registrar) ColdStats(now sequoiasill.Millis) ColdStats {
	out := r.cold
	for _, s := range r.replicas {
		if !s.removed && r.isCold(now, s) {
			out.Cold++
		}
	}
	return out
}
