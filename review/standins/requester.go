package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answer is what a requester got for a request.
type answer struct {
	id     string
	status int // 0 if there was no response
	whole  bool
	err    error
	took   time.Duration
	began  time.Time
}

// requesters send requests to the entries that are ready.
type requesters struct {
	entries []*entry
	record  *record
	clients map[*entry]*http.Client

	mu      sync.Mutex
	sent    map[string]time.Time
	next    int
	answers map[string]map[int]int // number of answers by path and status
}

func newRequesters(entries []*entry, rec *record) *requesters {
	q := &requesters{entries: entries, record: rec, clients: make(map[*entry]*http.Client), sent: make(map[string]time.Time), answers: make(map[string]map[int]int)}
	for _, e := range entries {
		address := net.JoinHostPort(e.ip, portFrontend)
		q.clients[e] = &http.Client{Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
				return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
			},
			MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second, DisableCompression: true,
		}}
	}
	return q
}

// sentAt returns when a request was sent.
func (q *requesters) sentAt(id string) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.sent[id]
}

// pick returns the next entry that is ready, or nil.
func (q *requesters) pick() *entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	for range q.entries {
		q.next++
		if e := q.entries[q.next%len(q.entries)]; e.isUp() {
			return e
		}
	}
	return nil
}

const host = "kiosk.example"

// send sends a request with a body to the path and reads the answer. Each has an ID of its own, and
// nothing is sent twice.
func (q *requesters) send(path, key, body string, deadline time.Duration) answer {
	return q.sendTo(q.pick(), path, key, body, deadline)
}

// sendTo sends a request to an entry, if it is not nil.
func (q *requesters) sendTo(e *entry, path, key, body string, deadline time.Duration) answer {
	id := fmt.Sprintf("%016x", rand.Uint64())
	if e == nil {
		q.record.add("no entry is ready", "request", id, "path", path)
		return answer{id: id}
	}
	began := time.Now()
	q.mu.Lock()
	q.sent[id] = began
	q.mu.Unlock()
	q.record.add("sent", "request", id, "path", path, "entry", e.name)
	a := q.exchange(e, id, path, key, body, deadline)
	a.took, a.began = time.Since(began), began
	q.record.add("answered", "request", id, "path", path, "status", a.status, "whole", a.whole, "took", a.took.Round(time.Millisecond), "error", a.err)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.answers[path] == nil {
		q.answers[path] = make(map[int]int)
	}
	status := a.status
	if !a.whole {
		status = 0
	}
	q.answers[path][status]++
	return a
}

func (q *requesters) exchange(e *entry, id, path, key, body string, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+net.JoinHostPort(e.ip, portFrontend)+path, strings.NewReader(body))
	if err != nil {
		return answer{id: id, err: err}
	}
	req.GetBody = nil // keeps the transport from sending the request twice
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := q.clients[e].Do(req)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return answer{id: id, status: resp.StatusCode, whole: err == nil, err: err}
}

// load sends requests to a path at a rate until stop is closed.
func (q *requesters) load(path, key string, perSecond float64, deadline time.Duration, stop <-chan struct{}) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
			go q.send(path, key, fmt.Sprintf("order %d", n), deadline)
		}
	}
}

// summary returns the answers by path.
func (q *requesters) summary() string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return fmt.Sprint(q.answers)
}
