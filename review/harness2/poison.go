package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// A request that crashes each replica that runs it comes again every poisonInterval, at one machine after the
// other. A replica is back after backAfter, as a new lifetime.
const (
	poisonInterval = 2 * time.Second
	poisonComes    = 14
	backAfter      = 3 * time.Second
	poisonPath     = "/ask/poison"
	maxRetries     = 3 // that may reach replicas
)

func poisonConfig() map[string]any {
	route := func(name, prefix, kind string, resumable bool, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": 8000, "targetLatencyMs": 600,
			"priority": 0, "service": "model", "maxAttempts": attempts, "anonymous": false, "resumable": resumable, "targetItlMs": 400,
		}
	}
	return map[string]any{
		"version":  1,
		"routes":   []any{route("ask", "/ask/", "streaming", true, 2), route("draft", "/draft/", "streaming", false, 1)},
		"services": []any{map[string]any{"name": "model", "healthPath": "/healthz", "maxConnections": 400}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "huka", "apiKeys": []any{"key-1"}, "priority": 1}},
	}
}

// playPoison lets a request crash each replica after its first event, and counts the retries that reach
// replicas once it has crashed three.
func playPoison(r *record, trouble bool) (bool, error) {
	f, err := newCaseFleet(3)
	if err != nil {
		return false, err
	}
	f.store.put("config", "main", poisonConfig())
	l := &ledger{}
	var mu sync.Mutex
	count, last := 0, [8]*replica{}
	var launch func(place int) error
	handle := func(place int) func(p *replica, w writerT, q requestT) {
		return func(p *replica, w writerT, q requestT) {
			switch {
			case trouble && q.URL.Path == poisonPath:
				stream(5, 60*time.Millisecond, 40*time.Millisecond, crashBefore(), func() {
					l.mu.Lock()
					l.crashes = append(l.crashes, time.Now())
					l.mu.Unlock()
					p.end()
					time.AfterFunc(3*1200*time.Millisecond, func() { f.store.delete("servers", p.id) })
					time.AfterFunc(backAfter, func() {
						if err := launch(place); err != nil {
							r.note("replica not started: %v", err)
						}
					})
				})(p, w, q)
			case strings.HasPrefix(q.URL.Path, "/ask/"):
				stream(5, 60*time.Millisecond, 40*time.Millisecond, 0, nil)(p, w, q)
			default:
				stream(40, 60*time.Millisecond, 50*time.Millisecond, 0, nil)(p, w, q)
			}
		}
	}
	launch = func(place int) error {
		mu.Lock()
		defer mu.Unlock()
		p := &replica{
			id: fmt.Sprintf("i-%04d", count), service: "model", zone: zones[place%len(zones)], version: "v1", slots: 64,
			heartbeat: 1200 * time.Millisecond, address: f.replicaAddress(count), store: f.store, ledger: l, handle: handle(place),
		}
		count++
		last[place] = p
		return p.start()
	}
	for place := range last {
		if err := launch(place); err != nil {
			return false, err
		}
	}
	if err := f.startAll(true, 15*time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	r.note("all machines are in touch; the request comes every %s", poisonInterval)
	q, poison := newRequesters(), newRequesters()
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() {
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
				q.launch(f.machines[n%len(f.machines)], request{id: fmt.Sprintf("draft-%05d", n), method: "POST", path: "/draft/x", key: "key-1", body: "a draft", deadline: 8 * time.Second})
			}
		}
	})
	for n := range poisonComes {
		poison.launch(f.machines[n%len(f.machines)], request{id: fmt.Sprintf("poison-%03d", n), method: "POST", path: poisonPath, key: "key-1", body: "the same body", deadline: 6 * time.Second})
		time.Sleep(poisonInterval)
	}
	close(stop)
	traffic.Wait()
	drafts, asked := q.all(), poison.all()
	return judgeCrashes(r, l, poisonPath, drafts, asked), nil
}

// crashBefore returns the event before which a replica crashes. With CRASH=first it is the first one, for
// comparison.
func crashBefore() int {
	if os.Getenv("CRASH") == "first" {
		return 1
	}
	return 2
}

// judgeCrashes counts the retries of a request that reach replicas once it has crashed three.
func judgeCrashes(r *record, l *ledger, path string, others, asked []answer) bool {
	l.mu.Lock()
	crashes := append([]time.Time(nil), l.crashes...)
	l.mu.Unlock()
	for i, at := range crashes {
		r.at(at, "crash %d of a replica under the request", i+1)
	}
	late, runs := make(map[string]bool), 0
	for _, a := range l.all() {
		if a.key != path {
			continue
		}
		runs++
		r.at(a.at, "request %s reaches replica %s", a.id, a.replica)
		if len(crashes) >= 3 && a.at.After(crashes[2].Add(contact)) {
			late[a.id] = true
		}
	}
	for _, a := range asked {
		r.at(a.sent, "request %s sent to %s: %s %s", a.id, a.machine, a.result(), a.note)
	}
	r.results("other requests", others)
	r.note("the request reached replicas %d times and crashed %d", runs, len(crashes))
	r.note("retries that reached replicas later than %s after its third crash: %d, at most %d are allowed", contact, len(late), maxRetries)
	return len(late) > maxRetries
}
