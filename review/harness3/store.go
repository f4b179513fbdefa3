package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// metadata is the metadata of an object in the platform's store.
type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

// object is an object in the platform's store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// event is a change of an object.
type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind string
}

// store is a sound stand-in of the platform's metadata store and its cloud API. It loses nothing and
// answers each call.
type store struct {
	rec     *recorder
	address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object // by kind and name
	events   []event
	changed  chan struct{} // closed at each change
	fences   map[string]uint64
	onStatus func(kind, name string, status json.RawMessage)
	watches  map[string]int // open watches of the list of replicas, by the address of the store that was called
}

// newStore serves on l until the process ends.
func newStore(l net.Listener, rec *recorder) *store {
	s := &store{rec: rec, address: l.Addr().String(), revision: 1, objects: make(map[string]map[string]object), changed: make(chan struct{}), fences: make(map[string]uint64), watches: make(map[string]int)}
	s.serve(l)
	return s
}

// serve serves on one more address until the process ends.
func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/objects/{kind}", s.list)
	mux.HandleFunc("POST /-/objects/{kind}", s.create)
	mux.HandleFunc("GET /-/objects/{kind}/{name}", s.get)
	mux.HandleFunc("PUT /-/objects/{kind}/{name}", s.put)
	mux.HandleFunc("PUT /-/objects/{kind}/{name}/status", s.put)
	mux.HandleFunc("DELETE /-/objects/{kind}/{name}", s.delete)
	mux.HandleFunc("POST /usage", s.duty)
	mux.HandleFunc("POST /scaling", s.duty)
	go func() { _ = http.Serve(l, mux) }()
}

// watchers returns the addresses of the store at which a watch of the list of replicas waits.
func (s *store) watchers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for address, n := range s.watches {
		if n > 0 {
			out = append(out, address)
		}
	}
	return out
}

// countWatch adds n to the open watches of a call's address.
func (s *store) countWatch(r *http.Request, kind string, n int) {
	address, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if kind != "servers" || !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches[address.String()] += n
}

// write stores an object under a new revision. The caller holds the lock.
func (s *store) write(kind string, o object) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.publish(event{Object: o, kind: kind})
	return o
}

func (s *store) publish(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes the spec of an object, as the operator and the replicas do.
func (s *store) set(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, b
	s.write(kind, o)
}

// remove deletes an object, as the platform does.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.removeLocked(kind, o)
	}
}

func (s *store) removeLocked(kind string, o object) {
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], o.Metadata.Name)
	s.publish(event{Object: o, Deleted: true, kind: kind})
}

func reply(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	kind, query := r.PathValue("kind"), r.URL.Query()
	if query.Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := []object{}
	for _, o := range s.objects[kind] {
		if o.Metadata.Name > query.Get("after") {
			entries = append(entries, o)
		}
	}
	slices.SortFunc(entries, func(a, b object) int { return cmp.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, http.StatusOK, map[string]any{"entries": entries, "hasMore": false, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.After(time.Duration(wait) * time.Millisecond)
	s.countWatch(r, kind, 1)
	defer s.countWatch(r, kind, -1)
	for {
		s.mu.Lock()
		found, at, changed := []event{}, s.revision, s.changed
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > from {
				found = append(found, e)
			}
		}
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer:
			reply(w, http.StatusOK, map[string]any{"events": found, "at": at})
			return
		}
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) create(w http.ResponseWriter, r *http.Request) {
	var sent object
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil || sent.Metadata.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.objects[r.PathValue("kind")][sent.Metadata.Name]; ok {
		reply(w, http.StatusConflict, old)
		return
	}
	sent.Metadata.Created = 0
	reply(w, http.StatusOK, s.write(r.PathValue("kind"), sent))
}

func (s *store) put(w http.ResponseWriter, r *http.Request) {
	var sent object
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	kind, name := r.PathValue("kind"), r.PathValue("name")
	isStatus := r.URL.Path == "/-/objects/"+kind+"/"+name+"/status"
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[kind][name]
	next := old
	if isStatus {
		next.Status = sent.Status
	} else {
		next.Spec, next.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
	}
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case sent.Metadata.Revision != 0 && sent.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case bytes.Equal(next.Spec, old.Spec) && bytes.Equal(next.Status, old.Status) && slices.Equal(next.Metadata.Finalizers, old.Metadata.Finalizers):
		reply(w, http.StatusOK, old)
	default:
		written := s.write(kind, next)
		reply(w, http.StatusOK, written)
		if isStatus && s.onStatus != nil {
			s.onStatus(kind, name, written.Status)
		}
	}
}

func (s *store) delete(w http.ResponseWriter, r *http.Request) {
	kind := r.PathValue("kind")
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[kind][r.PathValue("name")]
	revision := r.URL.Query().Get("revision")
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case revision != "" && revision != strconv.FormatUint(old.Metadata.Revision, 10):
		reply(w, http.StatusConflict, old)
	default:
		s.removeLocked(kind, old)
		reply(w, http.StatusOK, old)
	}
}

// duty accepts a call of a duty unless its fence is lower than one before.
func (s *store) duty(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		Zone    string `json:"zone"`
	}
	fence, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err2 := json.NewDecoder(r.Body).Decode(&body); err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	subject := fmt.Sprintf("%s %s %s", r.URL.Path, body.Service, body.Zone)
	s.mu.Lock()
	defer s.mu.Unlock()
	if fence < s.fences[subject] {
		reply(w, http.StatusConflict, struct{}{})
		return
	}
	s.fences[subject] = fence
	reply(w, http.StatusOK, struct{}{})
}
