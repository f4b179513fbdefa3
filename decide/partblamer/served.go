package partblamer

import "sequoiasill.dev/sequoiasill"

// servedParts remembers when parts were last served. It forgets the oldest half when it is full.
type servedParts struct {
	max              int
	recent, previous map[Part]sequoiasill.Millis
}

func newServedParts(size int) servedParts {
	return servedParts{max: size, recent: make(map[Part]sequoiasill.Millis)}
}

func (s *servedParts) put(p Part, at sequoiasill.Millis) {
	if _, known := s.recent[p]; !known && len(s.recent) >= s.max/2 {
		s.previous, s.recent = s.recent, make(map[Part]sequoiasill.Millis)
	}
	s.recent[p] = at
}

// last returns when a part was last served.
func (s *servedParts) last(p Part) (sequoiasill.Millis, bool) {
	if at, ok := s.recent[p]; ok {
		return at, true
	}
	at, ok := s.previous[p]
	return at, ok
}
