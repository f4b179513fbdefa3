package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// crashing is how a request crashes the replicas that run it.
type crashing struct {
	after time.Duration // from the start of the run
	route int           // of rolloutRoutes
}

var (
	crashAtOnce = crashing{after: 5 * time.Millisecond, route: 0}
	crashSlow   = crashing{after: 400 * time.Millisecond, route: 1}
)

const (
	crashTime    = 60 * time.Second // for which the request comes again
	crashPause   = time.Second      // between two of its retries
	backTime     = 3 * time.Second  // until a crashed replica is back
	contactTime  = 3 * time.Second  // contactMs
	crashesFirst = 3                // crashes after which the request is to be kept back
	crashRetries = 3                // that may reach a replica after that
)

// runCrash lets one request crash each replica that runs it, and checks BUDGET.
func runCrash(e *env, c crashing) (bool, error) {
	if err := e.startStore(e.rec); err != nil {
		return false, err
	}
	e.store.set("config", "main", config(rolloutService, rolloutRoutes))
	var mu sync.Mutex
	var crashes []time.Time
	started := 0
	poison := rolloutRoutes[c.route]
	poison.prefix, poison.same = poison.prefix+"dead/", true
	var start func(zone string) error
	start = func(zone string) error {
		mu.Lock()
		started++
		id := fmt.Sprintf("i-%d", started)
		mu.Unlock()
		p := &replica{
			id: id, service: rolloutService, zone: zone, version: oldVersion, slots: 6, work: 30 * time.Millisecond,
			status: func(string) int { return http.StatusOK }, store: e.store, runs: e.runs, rec: e.rec,
			crash: func(path, _ string) (time.Duration, bool) {
				return c.after, e.trouble && strings.HasPrefix(path, poison.prefix)
			},
			back: func(p *replica) {
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				time.AfterFunc(backTime, func() { _ = start(p.zone) })
			},
		}
		e.rec.printf("replica %s starts in %s", id, zone)
		return p.start(loopback(oldNetwork, 1))
	}
	for _, zone := range zones {
		if err := start(zone); err != nil {
			return false, err
		}
	}
	if err := e.startEdges(e.store.address); err != nil {
		return false, err
	}
	q := newRequesters(siteHost, siteKey, e.edges, e.rec)
	stop := make(chan struct{})
	for _, r := range rolloutRoutes {
		q.send(r, stop)
	}
	time.Sleep(5 * time.Second)
	end := time.Now().Add(crashTime)
	sentBy := make(map[string]time.Time)
	for n := 0; time.Now().Before(end); n++ {
		// The caller of the request repeats it with a new id, at any machine.
		id, at := q.send1(poison, e.edges[n%len(e.edges)])
		sentBy[id] = at
		time.Sleep(time.Until(at.Add(crashPause)))
	}
	close(stop)
	q.wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	e.rec.printf("%d crashes", len(crashes))
	if len(crashes) < crashesFirst {
		return false, nil
	}
	limit := crashes[crashesFirst-1].Add(contactTime)
	reached := make(map[string]bool)
	for _, r := range e.runs.all() {
		if at, ok := sentBy[r.requestID]; ok && at.After(limit) {
			reached[r.requestID] = true
		}
	}
	e.rec.printf("%d retries that were sent more than %s after the third crash reached a replica; allowed %d", len(reached), contactTime, crashRetries)
	return len(reached) > crashRetries, nil
}
