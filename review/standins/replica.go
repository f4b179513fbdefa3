package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a replica began to run.
type run struct {
	at        time.Time
	id        string
	replica   string
	version   string
	bad       bool
	sentAt    time.Time // when the requester sent it, zero if it is not known
	crashed   bool
	requester string // the path, which the stand-ins use to tell requests apart
}

// runs collects the runs of all replicas.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// behaviour is how a replica serves requests.
type behaviour struct {
	work     time.Duration // median per request, or between the events of a stream
	first    time.Duration // until the first event of a stream
	silence  *silence      // nil for none
	slots    int           // 0 for the default
	spread   float64       // of the work: the standard deviation of its logarithm
	badShare float64       // of the requests that get a 500
	badPath  string        // of these requests, empty for all
	poison   string        // path of the request that crashes the replica
	events   int           // of a stream, 0 for a plain response
	// eventsBeforeCrash is the number of events that a poisoned stream sends before the crash.
	eventsBeforeCrash int
}

// draw returns the time that a request takes.
func (b behaviour) draw() time.Duration {
	return time.Duration(float64(b.work) * math.Exp(b.spread*rand.NormFloat64()))
}

// silence keeps replicas from answering for a moment, as if their processes stood still. New connections
// are accepted by the kernel.
type silence struct {
	mu    sync.Mutex
	until time.Time
}

func (s *silence) begin(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Now().Add(d)
}

// wait returns once there is no silence.
func (s *silence) wait() {
	for s != nil {
		s.mu.Lock()
		left := time.Until(s.until)
		s.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// replica is a stand-in of a replica.
type replica struct {
	id, service, zone, version string
	address                    string
	born                       int64
	behaviour                  behaviour
	platform                   *platform
	runs                       *runs
	record                     *record
	sentAt                     func(id string) time.Time

	server *http.Server
	slots  chan struct{}
	active atomic.Int64

	mu       sync.Mutex
	state    string
	sequence int
	stop     chan struct{}
	stopped  bool
}

// defaultSlots is the number of requests that a replica serves at a time.
const defaultSlots = 6

// startReplica starts a replica on a free loopback port, which registers itself.
func startReplica(p *platform, rs *runs, rec *record, sentAt func(string) time.Time, service, zone, version string, b behaviour) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, version: version, address: l.Addr().String(), born: time.Now().UnixMilli(),
		behaviour: b, platform: p, runs: rs, record: rec, sentAt: sentAt, slots: make(chan struct{}, cmp.Or(b.slots, defaultSlots)), state: "ready", stop: make(chan struct{}),
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = r.server.Serve(l) }()
	rec.add("replica started", "replica", r.id, "service", service, "version", version, "address", r.address)
	r.beat()
	go func() {
		for {
			select {
			case <-r.stop:
				return
			case <-time.After(heartbeat):
				r.beat()
			}
		}
	}()
	return r, nil
}

// beat writes the replica's entry.
func (r *replica) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return
	}
	r.platform.put("servers", r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": cap(r.slots), "state": r.state,
		"coldRemainingMs": 0, "sequence": 1, "born": r.born,
	})
}

// end stops the replica at once: its listener and its connections close.
func (r *replica) end() {
	r.mu.Lock()
	if r.stopped {
		r.mu.Unlock()
		return
	}
	r.stopped = true
	close(r.stop)
	r.mu.Unlock()
	_ = r.server.Close()
}

// leave drains the replica: it reports that it is draining, serves on for the time and exits.
func (r *replica) leave(drain time.Duration) {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.beat()
	r.record.add("replica drains", "replica", r.id, "version", r.version)
	time.Sleep(drain)
	r.end()
	r.platform.removeObject("servers", r.id)
	r.record.add("replica left", "replica", r.id)
}

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	r.behaviour.silence.wait()
	h := w.Header()
	id := req.Header.Get("Request-Id")
	h.Set("Keep-Alive", "timeout=10")
	if req.URL.Path == "/healthz" {
		h.Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	h.Set("Request-Id", id)
	switch expected := req.Header.Get("Expect-Instance"); {
	case expected != "" && expected != r.id:
		h.Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.Minute
	if ms, err := strconv.Atoi(req.Header.Get("Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(req.Context(), deadline)
	defer cancel()
	select {
	case r.slots <- struct{}{}:
	case <-ctx.Done():
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.active.Add(1)
	defer func() { r.active.Add(-1); <-r.slots }()
	x := run{at: time.Now(), id: id, replica: r.id, version: r.version, sentAt: r.sentAt(id), requester: req.URL.Path}
	x.bad = (r.behaviour.badPath == "" || r.behaviour.badPath == req.URL.Path) && rand.Float64() < r.behaviour.badShare
	x.crashed = r.behaviour.poison != "" && req.URL.Path == r.behaviour.poison
	r.runs.add(x)
	r.record.add("run", "request", id, "replica", r.id, "version", r.version, "path", req.URL.Path, "bytes", len(body), "bad", x.bad, "crash", x.crashed)
	h.Set("Load-Report", fmt.Sprintf("%d,0,%d", r.active.Load(), cap(r.slots)))
	if x.crashed && (r.behaviour.events == 0 || r.behaviour.eventsBeforeCrash == 0) {
		r.crash()
		panic(http.ErrAbortHandler)
	}
	if r.behaviour.events > 0 {
		r.stream(ctx, w, id, req.Header.Get("Last-Event-Id"), x.crashed)
		return
	}
	select {
	case <-time.After(r.behaviour.draw()):
	case <-ctx.Done():
		return
	}
	h.Set("Signature", "stand-in."+id)
	if x.bad {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed\n")
		return
	}
	_, _ = io.WriteString(w, "done "+id+"\n")
}

// stream sends an event stream, and crashes the replica in the middle of it if poisoned.
func (r *replica) stream(ctx context.Context, w http.ResponseWriter, id, lastEvent string, poisoned bool) {
	w.Header().Set("Signature", "stand-in."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(lastEvent)
	for i := last; i < r.behaviour.events; i++ {
		if poisoned && i == r.behaviour.eventsBeforeCrash {
			r.crash()
			panic(http.ErrAbortHandler)
		}
		pause := r.behaviour.work
		if i == last {
			pause = max(r.behaviour.first, pause)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		r.behaviour.silence.wait()
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i+1, i+1, id)
		_ = http.NewResponseController(w).Flush()
	}
}

// crash ends the replica as a crash of its process does.
func (r *replica) crash() {
	r.record.add("replica crashed", "replica", r.id)
	r.end()
}
