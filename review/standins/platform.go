package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store in its wire format.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

// event is a change of an object.
type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind     string
	revision uint64
}

// snapshot is a copy of the store's content.
type snapshot struct {
	at       time.Time
	objects  map[string]map[string]object
	revision uint64
}

// dutyCall is a call of a duty that the platform accepted.
type dutyCall struct {
	at      time.Time
	subject string
	holder  string
	token   uint64
	window  int64
	counts  string
}

// platform is a stand-in of the platform's object store and of its cloud API.
type platform struct {
	record  *record
	address string // of the store and the cloud API

	mu       sync.Mutex
	objects  map[string]map[string]object // by kind and name
	events   []event
	oldest   uint64 // watches from an earlier revision get 410
	revision uint64
	era      uint64
	hasEra   bool // answers carry Store-Era
	down     bool // all calls get 503
	changed  chan struct{}
	copies   []snapshot
	tokens   map[string]uint64 // highest fencing token by subject
	calls    []dutyCall
	beats    map[string]time.Time // last heartbeat of a replica by name
}

// newPlatform starts the stand-in on a free loopback port.
func newPlatform(rec *record) (*platform, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{
		record: rec, address: l.Addr().String(), objects: make(map[string]map[string]object), revision: 1, changed: make(chan struct{}),
		tokens: make(map[string]uint64), beats: make(map[string]time.Time),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/objects/{kind}", p.list)
	mux.HandleFunc("POST /-/objects/{kind}", p.create)
	mux.HandleFunc("GET /-/objects/{kind}/{name}", p.get)
	mux.HandleFunc("PUT /-/objects/{kind}/{name}", p.update(func(old *object, sent object) {
		old.Spec = sent.Spec
		if sent.Metadata.Finalizers != nil {
			old.Metadata.Finalizers = sent.Metadata.Finalizers
		}
	}))
	mux.HandleFunc("PUT /-/objects/{kind}/{name}/status", p.update(func(old *object, sent object) { old.Status = sent.Status }))
	mux.HandleFunc("DELETE /-/objects/{kind}/{name}", p.remove)
	mux.HandleFunc("POST /usage", p.usage)
	mux.HandleFunc("POST /scaling", p.scaling)
	go func() { _ = http.Serve(l, p.admit(mux)) }()
	go p.expireReplicas()
	return p, nil
}

// admit refuses all calls while the store is down.
func (p *platform) admit(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		down := p.down
		p.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// reply writes a response with the store's era. The caller holds p.mu.
func (p *platform) reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	if p.hasEra {
		w.Header().Set("Store-Era", strconv.FormatUint(p.era, 10))
	}
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

// write stores an object under a new revision. The caller holds p.mu.
func (p *platform) write(kind string, o object) object {
	p.takeCopy()
	p.revision++
	if o.Metadata.Created == 0 {
		o.Metadata.Created = p.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	o.Metadata.Revision = p.revision
	if p.objects[kind] == nil {
		p.objects[kind] = make(map[string]object)
	}
	p.objects[kind][o.Metadata.Name] = o
	p.publish(event{Object: o, kind: kind, revision: p.revision})
	return o
}

// drop deletes an object. The caller holds p.mu.
func (p *platform) drop(kind string, o object) {
	p.takeCopy()
	p.revision++
	o.Metadata.Revision = p.revision
	delete(p.objects[kind], o.Metadata.Name)
	p.publish(event{Object: o, Deleted: true, kind: kind, revision: p.revision})
}

func (p *platform) publish(e event) {
	p.events = append(p.events, e)
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *platform) takeCopy() {
	c := snapshot{at: time.Now(), objects: make(map[string]map[string]object), revision: p.revision}
	for kind, objects := range p.objects {
		c.objects[kind] = make(map[string]object)
		for name, o := range objects {
			c.objects[kind][name] = o
		}
	}
	p.copies = append(p.copies, c)
}

// restore brings the store back from its content at a time, and writes again what the operator and the
// replicas wrote since. The era rises by one.
func (p *platform) restore(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.objects
	i := 0 // the first copy that was taken after the time holds the content at the time
	for i < len(p.copies)-1 && p.copies[i].at.Before(at) {
		i++
	}
	c := p.copies[i]
	p.copies = p.copies[:i]
	p.objects, p.revision, p.events, p.oldest = c.objects, c.revision, nil, c.revision
	p.era++
	close(p.changed)
	p.changed = make(chan struct{})
	for _, kind := range []string{"config", "servers"} {
		for name, o := range now[kind] {
			if old, ok := p.objects[kind][name]; !ok || !bytes.Equal(old.Spec, o.Spec) {
				o.Metadata.Created = 0
				p.write(kind, o)
			}
		}
	}
	p.record.say("the store came back from a copy that is %s old, era %d, revision %d", time.Since(at).Round(time.Millisecond), p.era, p.revision)
}

func (p *platform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.record.add("store", "down", down)
}

// put writes the spec of an object as the operator or a replica does.
func (p *platform) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.objects[kind][name]
	if kind == "servers" {
		p.beats[name] = time.Now()
	}
	if ok && bytes.Equal(o.Spec, b) {
		return
	}
	o.Metadata.Name, o.Spec = name, b
	p.write(kind, o)
}

// removeObject deletes an object as its writer does.
func (p *platform) removeObject(kind, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o, ok := p.objects[kind][name]; ok {
		p.drop(kind, o)
	}
}

// statusOf returns the status of an object.
func (p *platform) statusOf(kind, name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return string(p.objects[kind][name].Status)
}

const (
	heartbeat = 1200 * time.Millisecond
	// expiry is the time of silence after which the entry of a replica is removed.
	expiry = 3 * heartbeat
)

func (p *platform) expireReplicas() {
	for range time.Tick(100 * time.Millisecond) {
		p.mu.Lock()
		for name, o := range p.objects["servers"] {
			if time.Since(p.beats[name]) > expiry {
				p.record.add("entry of a silent replica removed", "replica", name)
				p.drop("servers", o)
			}
		}
		p.mu.Unlock()
	}
}

func (p *platform) list(w http.ResponseWriter, r *http.Request) {
	if from := r.URL.Query().Get("watch"); from != "" {
		p.watch(w, r, from)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := []object{}
	for name, o := range p.objects[r.PathValue("kind")] {
		if name > r.URL.Query().Get("after") {
			entries = append(entries, o)
		}
	}
	slices.SortFunc(entries, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	p.reply(w, http.StatusOK, map[string]any{"entries": entries, "hasMore": false, "at": p.revision})
}

func (p *platform) watch(w http.ResponseWriter, r *http.Request, from string) {
	after, err := strconv.ParseUint(from, 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(min(time.Duration(wait)*time.Millisecond, 30*time.Second))
	p.mu.Lock()
	defer p.mu.Unlock()
	for ended := false; ; {
		if after < p.oldest || after > p.revision {
			p.reply(w, http.StatusGone, nil)
			return
		}
		events := []event{}
		for _, e := range p.events {
			if e.kind == r.PathValue("kind") && e.revision > after {
				events = append(events, e)
			}
		}
		if len(events) > 0 || ended {
			p.reply(w, http.StatusOK, map[string]any{"events": events, "at": p.revision})
			return
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		p.mu.Lock()
	}
}

func (p *platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.objects[r.PathValue("kind")][r.PathValue("name")]
	if !ok {
		p.reply(w, http.StatusNotFound, nil)
		return
	}
	p.reply(w, http.StatusOK, o)
}

func (p *platform) create(w http.ResponseWriter, r *http.Request) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Metadata.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.objects[r.PathValue("kind")][o.Metadata.Name]; ok {
		p.reply(w, http.StatusConflict, old)
		return
	}
	o.Metadata.Created = 0
	p.reply(w, http.StatusOK, p.write(r.PathValue("kind"), o))
}

func (p *platform) update(change func(old *object, sent object)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var sent object
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		kind := r.PathValue("kind")
		p.mu.Lock()
		defer p.mu.Unlock()
		old, ok := p.objects[kind][r.PathValue("name")]
		if !ok {
			p.reply(w, http.StatusNotFound, nil)
			return
		}
		if sent.Metadata.Revision != 0 && sent.Metadata.Revision != old.Metadata.Revision {
			p.reply(w, http.StatusConflict, old)
			return
		}
		next := old
		change(&next, sent)
		if bytes.Equal(next.Spec, old.Spec) && bytes.Equal(next.Status, old.Status) && slices.Equal(next.Metadata.Finalizers, old.Metadata.Finalizers) {
			p.reply(w, http.StatusOK, old)
			return
		}
		if kind == "rollouts" {
			p.record.add("status of an order written", "service", old.Metadata.Name, "status", string(next.Status))
		}
		p.reply(w, http.StatusOK, p.write(kind, next))
	}
}

func (p *platform) remove(w http.ResponseWriter, r *http.Request) {
	kind := r.PathValue("kind")
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.objects[kind][r.PathValue("name")]
	if !ok {
		p.reply(w, http.StatusNotFound, nil)
		return
	}
	if revision := r.URL.Query().Get("revision"); revision != "" && revision != strconv.FormatUint(old.Metadata.Revision, 10) {
		p.reply(w, http.StatusConflict, old)
		return
	}
	p.drop(kind, old)
	p.reply(w, http.StatusOK, old)
}

// accept checks the fencing token of a duty's call. The caller holds p.mu.
func (p *platform) accept(w http.ResponseWriter, r *http.Request, c dutyCall) {
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	c.at, c.holder, c.token = time.Now(), r.Header.Get("Lease-Holder"), token
	if err != nil || c.holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := http.StatusOK
	if token < p.tokens[c.subject] {
		status = http.StatusConflict
	} else {
		p.tokens[c.subject] = token
		p.calls = append(p.calls, c)
	}
	p.record.add("duty", "subject", c.subject, "holder", c.holder, "token", token, "window", c.window, "counts", c.counts, "status", status)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write([]byte("{}"))
}

func (p *platform) usage(w http.ResponseWriter, r *http.Request) {
	var body struct {
		WindowID int64          `json:"windowId"`
		Counts   map[string]int `json:"counts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	counts, _ := json.Marshal(body.Counts) // keys are sorted
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accept(w, r, dutyCall{subject: "usage", window: body.WindowID, counts: string(counts)})
}

func (p *platform) scaling(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		Zone    string `json:"zone"`
		Desired int    `json:"desired"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accept(w, r, dutyCall{subject: "scaling/" + body.Service + "/" + body.Zone, window: int64(body.Desired)})
}

// dutyCalls returns the accepted calls of duties.
func (p *platform) dutyCalls() []dutyCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.calls)
}
