package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// rejected is the status of requests that a replica rejects without running them.
const rejected = 0

// run is a request that a replica began to run, or that it rejected.
type run struct {
	requestID string
	replica   string
	version   string
	at        time.Time
	status    int
}

// runLog holds all runs.
type runLog struct {
	mu   sync.Mutex
	runs []run
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// replica is a stand-in of a replica of a plain service. It registers itself in the store.
type replica struct {
	id      string
	service string
	zone    string
	version string
	slots   int
	work    time.Duration
	// status returns the status with which a request is answered.
	status func(path string) int
	store  *store
	runs   *runLog
	rec    *recorder

	listener net.Listener
	server   *http.Server
	slot     chan struct{}
	running  atomic.Int64
	waiting  atomic.Int64
	draining atomic.Bool
	sequence atomic.Int64
	born     int64
	stop     chan struct{}
}

// heartbeat is the interval at which replicas write to the store.
const heartbeat = 1200 * time.Millisecond

// start serves on a free port of the address and registers the replica.
func (p *replica) start(ip string) error {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	p.listener, p.slot, p.stop, p.born = l, make(chan struct{}, p.slots), make(chan struct{}), time.Now().UnixMilli()
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve)}
	go func() { _ = p.server.Serve(l) }()
	p.register()
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-p.stop:
				return
			case <-tick.C:
				p.register()
			}
		}
	}()
	return nil
}

func (p *replica) register() {
	state := "ready"
	if p.draining.Load() {
		state = "draining"
	}
	p.store.set("servers", p.id, map[string]any{
		"service": p.service, "address": p.listener.Addr().String(), "zone": p.zone, "version": p.version, "slots": p.slots, "state": state,
		"coldRemainingMs": 0, "sequence": p.sequence.Add(1), "born": p.born,
	})
}

// end stops the replica at once and removes its entry.
func (p *replica) end() {
	close(p.stop)
	_ = p.server.Close()
	p.store.remove("servers", p.id)
	p.rec.printf("replica %s (version %s) stopped", p.id, p.version)
}

func (p *replica) loadReport() string {
	return fmt.Sprintf("%d,%d,%d", p.running.Load(), p.waiting.Load(), p.slots)
}

// serve runs a request. It waits for a slot, and rejects the request if too many wait.
func (p *replica) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Load-Report", p.loadReport())
	if r.URL.Path == "/healthz" {
		h.Set("Instance-Id", p.id)
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	reject := func(status int) {
		h.Set("Not-Executed", "1")
		w.WriteHeader(status)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		reject(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	limit := 10 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	status := p.status(r.URL.Path)
	if status == rejected {
		p.runs.add(run{requestID: id, replica: p.id, version: p.version, at: time.Now(), status: http.StatusServiceUnavailable})
		p.rec.printf("replica %s (version %s) rejects %s %s %s", p.id, p.version, id, r.Method, r.URL.Path)
		reject(http.StatusServiceUnavailable)
		return
	}
	if p.waiting.Add(1) > 24 {
		p.waiting.Add(-1)
		reject(http.StatusServiceUnavailable)
		return
	}
	select {
	case p.slot <- struct{}{}:
		p.waiting.Add(-1)
	case <-ctx.Done():
		p.waiting.Add(-1)
		reject(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-p.slot }()
	p.running.Add(1)
	defer p.running.Add(-1)
	p.runs.add(run{requestID: id, replica: p.id, version: p.version, at: time.Now(), status: status})
	p.rec.printf("replica %s (version %s) runs %s %s %s, answers %d", p.id, p.version, id, r.Method, r.URL.Path, status)
	select {
	case <-time.After(p.work):
	case <-ctx.Done():
		status = http.StatusGatewayTimeout
	}
	if r.Context().Err() != nil {
		p.rec.printf("replica %s drops %s, whose channel was closed", p.id, id)
		return
	}
	answer := "answer to " + id + " of " + p.id + "\n"
	h.Set("Load-Report", p.loadReport())
	h.Set("Signature", fmt.Sprintf("%x.%s.%d", len(answer), id, status))
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, answer)
}
