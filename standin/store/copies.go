package store

import (
	"maps"
	"net/http"
	"strconv"
	"time"
)

const (
	// copyInterval is the minimum interval between two copies, and maxCopyAge the age up to which
	// they are kept.
	copyInterval = 100 * time.Millisecond
	maxCopyAge   = 10 * time.Second
)

// snapshot is a copy of the store's objects.
type snapshot struct {
	at       time.Time
	objects  map[string]map[string]Object
	revision uint64
}

// takeCopy keeps a copy of the objects before they change, unless there is a recent one. The
// caller holds the lock.
func (s *Store) takeCopy() {
	now := time.Now()
	if n := len(s.copies); n > 0 && now.Sub(s.copies[n-1].at) < copyInterval {
		return
	}
	for len(s.copies) > 1 && now.Sub(s.copies[1].at) > maxCopyAge {
		s.copies = s.copies[1:]
	}
	c := snapshot{at: now, objects: make(map[string]map[string]Object), revision: s.revision}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	s.copies = append(s.copies, c)
}

// Restored is the content of the store after it came back from a copy.
type Restored struct {
	Era     uint64
	Objects map[string]map[string]Object // by kind and name
}

// RestoreCopy replaces the objects by a copy that is about as old as given: what was written since
// is gone, and its revisions are given out again.
func (s *Store) RestoreCopy(age time.Duration) Restored {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.copies) == 0 {
		s.takeCopy()
	}
	i := len(s.copies) - 1
	for i > 0 && time.Since(s.copies[i].at) < age {
		i--
	}
	c := s.copies[i]
	s.objects, s.revision = make(map[string]map[string]Object), c.revision
	for kind, objects := range c.objects {
		s.objects[kind] = maps.Clone(objects)
	}
	s.copies = s.copies[:i+1]
	s.events, s.oldestRevision = nil, s.revision
	s.era++
	s.setEraHeader()
	close(s.changed)
	s.changed = make(chan struct{})
	return Restored{Era: s.era, Objects: c.objects}
}

// eraWriter adds the store's era to a response, as of the time at which it is written.
type eraWriter struct {
	http.ResponseWriter

	store   *Store
	written bool
}

// WriteHeader implements http.ResponseWriter. The lock may be held by the caller, so the era is
// read without it: handlers that hold it see the era of their objects.
func (w *eraWriter) WriteHeader(status int) {
	if !w.written {
		w.written = true
		if era := w.store.eraHeader.Load().(string); era != "" {
			w.Header().Set("Store-Era", era)
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(b []byte) (int, error) {
	if !w.written {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// setEraHeader updates the header of responses. The caller holds the lock.
func (s *Store) setEraHeader() {
	value := s.faults.Era
	if value == "" && s.era > 0 && !s.eraOmitted {
		value = strconv.FormatUint(s.era, 10)
	}
	s.eraHeader.Store(value)
}
