package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const host = "kiosk.example"

// request is what a requester sends.
type request struct {
	id       string
	method   string
	path     string
	key      string
	body     string
	deadline time.Duration
	header   map[string]string
}

// answer is what a requester gets.
type answer struct {
	request
	machine string
	sent    time.Time
	took    time.Duration
	status  int    // 0 without an answer
	body    string // of the events or the whole
	whole   bool   // the answer was complete
	signed  bool
	note    string
}

// requesters send requests to the machines over kept connections.
type requesters struct {
	client *http.Client

	mu      sync.Mutex
	answers []answer
	wg      sync.WaitGroup
}

func newRequesters() *requesters {
	return &requesters{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second, DisableCompression: true}}}
}

// send sends a request to a machine, as one requester attempt.
func (q *requesters) send(m *machine, r request) answer {
	a := answer{request: r, machine: m.name, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+m.address(portFrontend)+r.path, strings.NewReader(r.body))
	if err != nil {
		a.note = err.Error()
		return a
	}
	req.GetBody = nil // no request is sent twice by the transport
	if r.body == "" {
		req.Body, req.ContentLength = nil, 0
	}
	req.Host = host
	req.Header.Set("Request-Id", r.id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	if r.key != "" {
		req.Header.Set("Authorization", "Bearer "+r.key)
	}
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	resp, err := q.client.Do(req)
	if err != nil {
		a.took, a.note = time.Since(a.sent), "no answer: "+short(err.Error())
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	var b bytes.Buffer
	_, err = io.Copy(&b, resp.Body)
	a.took, a.status, a.body, a.whole, a.signed = time.Since(a.sent), resp.StatusCode, b.String(), err == nil, resp.Header.Get("Signature") != ""
	switch {
	case err != nil:
		a.note = "cut: " + short(err.Error())
	case !a.signed:
		a.note = short(strings.TrimSpace(a.body))
	}
	return a
}

func short(s string) string { return s[:min(len(s), 160)] }

// launch sends a request in the background.
func (q *requesters) launch(m *machine, r request) {
	q.wg.Go(func() {
		a := q.send(m, r)
		q.mu.Lock()
		defer q.mu.Unlock()
		q.answers = append(q.answers, a)
	})
}

// all returns the answers, once all requests have ended.
func (q *requesters) all() []answer {
	q.wg.Wait()
	q.mu.Lock()
	defer q.mu.Unlock()
	return append([]answer(nil), q.answers...)
}

func (a answer) result() string {
	switch {
	case a.status == 0:
		return "no answer"
	case !a.whole:
		return fmt.Sprintf("%d, cut", a.status)
	case a.signed:
		return fmt.Sprintf("%d of a replica", a.status)
	}
	return fmt.Sprintf("%d of the system", a.status)
}
