package store

import (
	"bytes"
	"encoding/json"
	"strconv"
	"sync"
)

// rawSpecs are specs that encoding/json does not encode. Objects hold a placeholder for each, which
// is replaced in responses.
type rawSpecs struct {
	mu    sync.Mutex
	specs [][]byte
}

// add returns the placeholder of a spec.
func (r *rawSpecs) add(spec []byte) json.RawMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.specs = append(r.specs, spec)
	return placeholder(len(r.specs) - 1)
}

func placeholder(i int) json.RawMessage { return []byte(`"raw spec ` + strconv.Itoa(i) + `"`) }

// restore replaces the placeholders in a response by their specs.
func (r *rawSpecs) restore(body []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, spec := range r.specs {
		body = bytes.ReplaceAll(body, placeholder(i), spec)
	}
	return body
}

// PutRaw writes an object as another writer does whose spec need not be valid JSON.
func (s *Store) PutRaw(kind, name string, spec []byte) uint64 {
	return s.Put(kind, name, s.raw.add(spec))
}
