// Package store simulates the consortium platform's object store and cloud API as
// their published protocol describes them, with fault injection.
package store

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Faults are the faults to inject. Fractions are in thousandths.
type Faults struct {
	RefuseStatus             int           // status with which every call is refused, 0 for none
	RefuseIP                 string        // refuse only callers with this IP address, empty for all
	Delay                    time.Duration // delay before each response
	DropResponsesPerThousand int           // fraction of writes that take effect and whose response is lost
	LostWriteDelay           time.Duration // delay after which such writes take effect
	MissChanges              bool          // watches miss all changes
	Era                      string        // value of the header Store-Era instead of the true one, empty for none
	PageSize                 int           // entries per page of a list, 0 for 500
	NoReclaimable            bool          // no reclaimable upstreams are available
}

// Object is an object in its wire format.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Metadata is the metadata of an object.
type Metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

// Event is a change of an object.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind     string
	revision uint64
}

// Usage is an accepted usage report.
type Usage struct {
	Holder string
	Epoch  uint64
	Window int64
	Counts map[string]int
	At     time.Time
}

// Scaling is an accepted scaling order.
type Scaling struct {
	Holder      string
	Epoch       uint64
	Service     string
	Zone        string
	Desired     int
	Reclaimable bool
}

// Store simulates the object store and the cloud API. It is safe for concurrent use.
type Store struct {
	server *http.Server
	log    hclog.Logger

	mu             sync.Mutex
	faults         Faults
	objects        map[string]map[string]Object // by kind and name
	events         []Event
	oldestRevision uint64 // watches from an earlier revision are refused
	revision       uint64
	changed        chan struct{} // closed and replaced at each change
	rand           *rand.Rand
	epochs         map[string]uint64 // highest epoch received, by duty and subject
	unfenced       bool              // lower epochs are accepted too
	copies         []snapshot        // oldest first
	eraHeader      atomic.Value
	era            uint64 // header Store-Era of responses, 0 for none
	eraOmitted     bool
	usage          []Usage
	scaling        []Scaling
	calls          int
	raw            rawSpecs
}

// New serves on l until Close. The seed determines which responses are lost.
func New(l net.Listener, seed uint64, log hclog.Logger) *Store {
	s := &Store{
		log: log, objects: make(map[string]map[string]Object), changed: make(chan struct{}),
		rand: rand.New(rand.NewPCG(seed, 0)), epochs: make(map[string]uint64), revision: 1,
	}
	s.setEraHeader()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/objects/{kind}", s.list)
	mux.HandleFunc("POST /-/objects/{kind}", s.create)
	mux.HandleFunc("GET /-/objects/{kind}/{name}", s.get)
	mux.HandleFunc("PUT /-/objects/{kind}/{name}", s.replace)
	mux.HandleFunc("PUT /-/objects/{kind}/{name}/status", s.replaceStatus)
	mux.HandleFunc("DELETE /-/objects/{kind}/{name}", s.remove)
	mux.HandleFunc("POST /usage", s.handleUsage)
	mux.HandleFunc("POST /scaling", s.handleScaling)
	s.server = &http.Server{Handler: s.injectFaults(mux), ReadHeaderTimeout: time.Second}
	go func() {
		// Serve returns when Close is called.
		_ = s.server.Serve(l)
	}()
	return s
}

// Close stops serving and closes all connections.
func (s *Store) Close() { _ = s.server.Close() }

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.setEraHeader()
}

// SetEra sets the era of the store, which each return from a copy increments. By default responses
// have none until then.
func (s *Store) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
	s.setEraHeader()
}

// OmitEra omits the era from responses, as of a store that does not tell it.
func (s *Store) OmitEra() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eraOmitted = true
	s.setEraHeader()
}

// SetFenced sets whether calls with an old epoch are refused. By default they are.
func (s *Store) SetFenced(fenced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unfenced = !fenced
}

// DropHistory discards the history of changes. Pending watches are not notified.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = nil
	s.oldestRevision = s.revision
}

// Put writes an object as an operator or a replica does.
func (s *Store) Put(kind, name string, spec any) uint64 {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name = name
	o.Spec = b
	return s.write(kind, o).Metadata.Revision
}

// Get returns an object.
func (s *Store) Get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

// Delete removes an object as the platform does.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.deleteObject(kind, o)
	}
}

// Names returns the names of the objects of a kind.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects[kind]))
}

// Usage returns the usage reports accepted so far.
func (s *Store) Usage() []Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.usage)
}

// Scaling returns the scaling orders accepted so far.
func (s *Store) Scaling() []Scaling {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.scaling)
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// injectFaults applies the current faults to each call.
func (s *Store) injectFaults(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		f := s.faults
		write := r.Method != http.MethodGet
		lose := write && s.rand.IntN(1000) < f.DropResponsesPerThousand
		s.mu.Unlock()
		time.Sleep(f.Delay)
		w = &eraWriter{ResponseWriter: w, store: s}
		if f.RefuseStatus != 0 && (f.RefuseIP == "" || strings.HasPrefix(r.RemoteAddr, f.RefuseIP+":")) {
			w.WriteHeader(f.RefuseStatus)
			return
		}
		if !lose {
			h.ServeHTTP(w, r)
			return
		}
		time.Sleep(f.LostWriteDelay)
		h.ServeHTTP(discardWriter{header: make(http.Header)}, r)
		panic(http.ErrAbortHandler)
	})
}

// discardWriter discards a response, for calls whose response is lost.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

func (s *Store) writeJSON(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		s.log.Error("response not encoded", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(s.raw.restore(b)); err != nil {
		s.log.Debug("response not written", "error", err)
	}
}

// write stores an object under a new revision. The caller holds the lock.
func (s *Store) write(kind string, o Object) Object {
	s.takeCopy()
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	s.revision++
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	o.Metadata.Revision = s.revision
	s.objects[kind][o.Metadata.Name] = o
	s.publish(Event{Object: o, kind: kind, revision: s.revision})
	return o
}

// deleteObject deletes an object under a new revision. The caller holds the lock.
func (s *Store) deleteObject(kind string, o Object) {
	s.takeCopy()
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], o.Metadata.Name)
	s.publish(Event{Object: o, Deleted: true, kind: kind, revision: s.revision})
}

func (s *Store) publish(e Event) {
	s.events = append(s.events, e)
	if !s.faults.MissChanges {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// defaultPageSize is the number of entries per page of a list.
const defaultPageSize = 500

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	if after := r.URL.Query().Get("watch"); after != "" {
		s.watch(w, r, after)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	size := s.faults.PageSize
	if size == 0 {
		size = defaultPageSize
	}
	entries := []Object{}
	for _, o := range s.objects[r.PathValue("kind")] {
		if o.Metadata.Name > r.URL.Query().Get("after") {
			entries = append(entries, o)
		}
	}
	slices.SortFunc(entries, func(a, b Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(entries) > size
	s.writeJSON(w, http.StatusOK, map[string]any{"entries": entries[:min(len(entries), size)], "hasMore": more, "at": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, from string) {
	after, err := strconv.ParseUint(from, 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, at, next, compacted := s.eventsAfter(r.PathValue("kind"), after)
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			s.writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-next:
		case <-r.Context().Done():
			return
		case <-timer:
			s.writeJSON(w, http.StatusOK, map[string]any{"events": []Event{}, "at": at})
			return
		}
	}
}

func (s *Store) eventsAfter(kind string, after uint64) (events []Event, at uint64, next <-chan struct{}, compacted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.oldestRevision || after > s.revision {
		return nil, 0, nil, true
	}
	if !s.faults.MissChanges {
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
	}
	return events, s.revision, s.changed, false
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.writeJSON(w, http.StatusOK, o)
}

func (s *Store) create(w http.ResponseWriter, r *http.Request) {
	var o Object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Metadata.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.objects[r.PathValue("kind")][o.Metadata.Name]; ok {
		s.writeJSON(w, http.StatusConflict, old)
		return
	}
	o.Metadata.Created = 0
	s.writeJSON(w, http.StatusOK, s.write(r.PathValue("kind"), o))
}

func (s *Store) replace(w http.ResponseWriter, r *http.Request) {
	s.update(w, r, func(old, sent Object) Object {
		old.Spec, old.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
		return old
	})
}

func (s *Store) replaceStatus(w http.ResponseWriter, r *http.Request) {
	s.update(w, r, func(old, sent Object) Object {
		old.Status = sent.Status
		return old
	})
}

func (s *Store) update(w http.ResponseWriter, r *http.Request, change func(old, sent Object) Object) {
	var sent Object
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	kind := r.PathValue("kind")
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[kind][r.PathValue("name")]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case sent.Metadata.Revision != 0 && sent.Metadata.Revision != old.Metadata.Revision:
		s.writeJSON(w, http.StatusConflict, old)
	default:
		s.writeJSON(w, http.StatusOK, s.write(kind, change(old, sent)))
	}
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	kind := r.PathValue("kind")
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[kind][r.PathValue("name")]
	revision := r.URL.Query().Get("revision")
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case revision != "" && revision != strconv.FormatUint(old.Metadata.Revision, 10):
		s.writeJSON(w, http.StatusConflict, old)
	default:
		s.deleteObject(kind, old)
		s.writeJSON(w, http.StatusOK, old)
	}
}
