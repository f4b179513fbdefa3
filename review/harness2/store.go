package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the largest number of entries on a page of a list.
const pageSize = 500

// maxWatch is the longest time that a watch may wait.
const maxWatch = 30 * time.Second

type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind string
}

// store is a stand-in of the platform's metadata store and of its cloud API. Each machine reaches it at an
// address of its own, so that it can tell the machines apart.
type store struct {
	mu       sync.Mutex
	objects  map[string]map[string]object // by kind and name
	events   []event
	revision uint64
	changed  chan struct{}             // closed and replaced at each change
	watching map[string]map[string]int // open watches by kind and machine
	fences   map[string]uint64         // highest generation number by duty and subject
	refuses  func(machine string, r *http.Request) bool
}

func newStore() *store {
	return &store{
		objects: make(map[string]map[string]object), revision: 1, changed: make(chan struct{}),
		watching: make(map[string]map[string]int), fences: make(map[string]uint64),
	}
}

// serve answers the calls of one machine at l.
func (s *store) serve(l net.Listener, machine string) {
	mux := http.NewServeMux()
	with := func(f func(w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if s.refuses != nil && s.refuses(machine, r) {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			f(w, r)
		}
	}
	mux.HandleFunc("GET /-/objects/{kind}", with(func(w http.ResponseWriter, r *http.Request) { s.list(w, r, machine) }))
	mux.HandleFunc("POST /-/objects/{kind}", with(s.create))
	mux.HandleFunc("GET /-/objects/{kind}/{name}", with(s.get))
	mux.HandleFunc("PUT /-/objects/{kind}/{name}", with(s.replace))
	mux.HandleFunc("PUT /-/objects/{kind}/{name}/status", with(s.replace))
	mux.HandleFunc("DELETE /-/objects/{kind}/{name}", with(s.remove))
	mux.HandleFunc("POST /usage", with(s.duty))
	mux.HandleFunc("POST /scaling", with(s.duty))
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}).Serve(l) }()
}

func reply(w http.ResponseWriter, status int, body any) {
	b, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// write stores an object under a new revision. The caller holds the lock.
func (s *store) write(kind string, o object, deleted bool) object {
	s.revision++
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	if deleted {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		s.objects[kind][o.Metadata.Name] = o
	}
	s.events = append(s.events, event{Object: o, Deleted: deleted, kind: kind})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// put writes an object as the operator or a replica does, and returns the time of the confirmation.
func (s *store) put(kind, name string, spec any) time.Time {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, b
	s.write(kind, o, false)
	return time.Now()
}

// delete removes an object, and returns the time of the confirmation.
func (s *store) delete(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.write(kind, o, true)
	}
	return time.Now()
}

// watchers returns the machines that have a watch of a kind open.
func (s *store) watchers(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for machine, n := range s.watching[kind] {
		if n > 0 {
			out = append(out, machine)
		}
	}
	sort.Strings(out)
	return out
}

func (s *store) list(w http.ResponseWriter, r *http.Request, machine string) {
	kind, q := r.PathValue("kind"), r.URL.Query()
	if after := q.Get("watch"); after != "" {
		s.watch(w, r, machine, kind, after, q.Get("waitMs"))
		return
	}
	s.mu.Lock()
	entries := []object{}
	for name, o := range s.objects[kind] {
		if name > q.Get("after") {
			entries = append(entries, o)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(entries, func(i, j int) bool { return entries[i].Metadata.Name < entries[j].Metadata.Name })
	more := len(entries) > pageSize
	if more {
		entries = entries[:pageSize]
	}
	reply(w, http.StatusOK, map[string]any{"entries": entries, "hasMore": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, machine, kind, after, waitMs string) {
	from, err := strconv.ParseUint(after, 10, 64)
	ms, err2 := strconv.Atoi(waitMs)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.watching[kind] == nil {
		s.watching[kind] = make(map[string]int)
	}
	s.watching[kind][machine]++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.watching[kind][machine]--
	}()
	end := time.After(min(time.Duration(ms)*time.Millisecond, maxWatch))
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
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": found, "at": at})
			return
		case <-changed:
		}
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func decode(w http.ResponseWriter, r *http.Request) (object, bool) {
	var o object
	b, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(b, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func (s *store) create(w http.ResponseWriter, r *http.Request) {
	o, ok := decode(w, r)
	if !ok {
		return
	}
	kind := r.PathValue("kind")
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, exists := s.objects[kind][o.Metadata.Name]; exists {
		reply(w, http.StatusConflict, old)
		return
	}
	o.Metadata.Created = 0
	reply(w, http.StatusOK, s.write(kind, o, false))
}

func (s *store) replace(w http.ResponseWriter, r *http.Request) {
	in, ok := decode(w, r)
	if !ok {
		return
	}
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind][name]
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	case in.Metadata.Revision != 0 && in.Metadata.Revision != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
		return
	}
	before, _ := json.Marshal(o)
	if strings.HasSuffix(r.URL.Path, "/status") {
		o.Status = in.Status
	} else {
		o.Spec, o.Metadata.Finalizers = in.Spec, in.Metadata.Finalizers
	}
	if after, _ := json.Marshal(o); string(after) != string(before) {
		o = s.write(kind, o, false)
	}
	reply(w, http.StatusOK, o)
}

func (s *store) remove(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind][name]
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, s.write(kind, o, true))
}

// duty accepts a call of a duty unless a higher generation number was seen for its subject.
func (s *store) duty(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, Zone string }
	b, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(b, &body)
	fence, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	subject := r.URL.Path + " " + body.Service + " " + body.Zone
	s.mu.Lock()
	defer s.mu.Unlock()
	if fence < s.fences[subject] {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.fences[subject] = fence
	w.WriteHeader(http.StatusOK)
}
