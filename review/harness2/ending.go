package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// All replicas fall silent for silence, silenceAfter after each SIGTERM.
const (
	silence      = 1200 * time.Millisecond
	silenceAfter = 500 * time.Millisecond
	// sentBefore is how long the machine gets requests before its SIGTERM, and sentAfter how long after it.
	sentBefore   = 5 * time.Second
	sentAfter    = time.Second
	grace        = 8 * time.Second // graceS
	endingEvents = 20
	endingGap    = 20 * time.Millisecond
	// endingLinger is the time from the last event of a stream to its end.
	endingLinger = 400 * time.Millisecond
)

// quiet holds up what replicas send.
type quiet struct {
	mu    sync.Mutex
	until time.Time
}

func (q *quiet) start(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.until = time.Now().Add(d)
}

// wait returns when the replicas are not silent.
func (q *quiet) wait() {
	q.mu.Lock()
	until := q.until
	q.mu.Unlock()
	time.Sleep(time.Until(until))
}

// sleep waits for a time and for the end of the silence.
func (q *quiet) sleep(d time.Duration) {
	time.Sleep(d)
	q.wait()
}

// unframed answers with a stream that has no length and ends with its channel.
func unframed(s *quiet) func(p *replica, w http.ResponseWriter, r *http.Request) {
	return func(p *replica, w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		s.sleep(60 * time.Millisecond)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		id := r.Header.Get("Request-Id")
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\nSignature: s.%s.%s\r\nConnection: close\r\n\r\n", id, p.id, id)
		for i := last + 1; i <= endingEvents; i++ {
			if _, err := fmt.Fprintf(c, "id: %d\ndata: piece %d\n\n", i, i); err != nil {
				return
			}
			s.sleep(endingGap)
		}
		s.sleep(endingLinger)
	}
}

// playEnding stops the machines in turn, and lets sound replicas fall silent for a moment meanwhile.
func playEnding(r *record, trouble bool) (bool, error) {
	f, err := newCaseFleet(3)
	if err != nil {
		return false, err
	}
	f.store.put("config", "main", poisonConfig())
	l, s := &ledger{}, &quiet{}
	for i := range 4 {
		p := &replica{
			id: fmt.Sprintf("i-%04d", i), service: "model", zone: zones[i%len(zones)], version: "v1", slots: 64, heartbeat: 1200 * time.Millisecond,
			address: f.replicaAddress(i), store: f.store, ledger: l, handle: unframed(s), before: s.wait,
		}
		if err := p.start(); err != nil {
			return false, err
		}
	}
	if err := f.startAll(true, 15*time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	q := newRequesters()
	stopped := make(map[string]time.Time)
	for i, m := range f.machines {
		stop, traffic := endingTraffic(q, m, i)
		time.Sleep(sentBefore)
		stopped[m.name] = time.Now()
		if err := m.terminate(); err != nil {
			return false, err
		}
		r.note("%s gets SIGTERM", m.name)
		time.AfterFunc(sentAfter, func() { close(stop) })
		time.Sleep(silenceAfter)
		if trouble {
			s.start(silence)
			r.note("the replicas fall silent for %s", silence)
		}
		m.wait()
		r.note("%s has ended", m.name)
		traffic.Wait()
		if err := m.start(false); err != nil {
			return false, err
		}
		if err := f.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	return judgeEnding(r, q.all(), stopped), nil
}

// endingTraffic sends streams to one machine until stop is closed.
func endingTraffic(q *requesters, m *machine, round int) (stop chan struct{}, wg *sync.WaitGroup) {
	stop, wg = make(chan struct{}), &sync.WaitGroup{}
	wg.Go(func() {
		tick := time.NewTicker(30 * time.Millisecond)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
				q.launch(m, request{id: fmt.Sprintf("ask-%d-%05d", round, n), method: "POST", path: "/ask/x", key: "key-1", body: "a question", deadline: 8 * time.Second})
			}
		}
	})
	return stop, wg
}

func judgeEnding(r *record, answers []answer, stopped map[string]time.Time) bool {
	lost, whole := 0, 0
	for _, a := range answers {
		ended, at := a.sent.Add(a.took), stopped[a.machine]
		if a.status == 0 || a.whole || ended.Before(at) || ended.After(at.Add(grace*5/6)) || a.took >= a.deadline {
			continue // answered, never begun, or excused
		}
		lost++
		if strings.Contains(a.body, fmt.Sprintf("id: %d\n", endingEvents)) {
			whole++
		}
		r.at(a.sent, "request %s ends %d ms after the SIGTERM of %s: %s, %d of %d events, %s", a.id, ended.Sub(at).Milliseconds(), a.machine, a.result(), strings.Count(a.body, "data: "), endingEvents, a.note)
	}
	r.results("requests", answers)
	r.note("streams cut in a planned stop: %d; of these, with all events but without their end: %d", lost, whole)
	return lost > 0
}
