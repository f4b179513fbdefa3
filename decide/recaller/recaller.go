// Package recaller remembers when something last occurred, for a bounded number of keys.
package recaller

import "sequoiasill.dev/sequoiasill"

// Recaller remembers the time of the last occurrence of each key. It forgets the oldest half when it is full. It is
// not safe for concurrent use.
type Recaller[K comparable] struct {
	max              int
	recent, previous map[K]sequoiasill.Millis
}

// New returns a Recaller of at most size keys.
func New[K comparable](size int) Recaller[K] {
	return Recaller[K]{max: size, recent: make(map[K]sequoiasill.Millis)}
}

// Put records an occurrence.
func (r *Recaller[K]) Put(key K, at sequoiasill.Millis) {
	if _, known := r.recent[key]; !known && len(r.recent) >= r.max/2 {
		r.previous, r.recent = r.recent, make(map[K]sequoiasill.Millis)
	}
	r.recent[key] = at
}

// Last returns the time of the last occurrence of a key, and whether there was one.
func (r *Recaller[K]) Last(key K) (sequoiasill.Millis, bool) {
	if at, ok := r.recent[key]; ok {
		return at, true
	}
	at, ok := r.previous[key]
	return at, ok
}
