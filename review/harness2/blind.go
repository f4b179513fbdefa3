package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	blindMachines = 32
	// darkPercent is the percentage of the machines that lose power at most, and darkFor for how long.
	darkPercent = 16
	darkFor     = 3500 * time.Millisecond
	// leavesAfter is how long after the loss of power a replica reports that it drains, and revokedAfter how
	// long after it a key is taken away.
	leavesAfter  = 150 * time.Millisecond
	revokedAfter = 250 * time.Millisecond
	// linger is how much longer than drainMs the leaving replica serves.
	linger    = time.Second
	blindWork = 100 * time.Millisecond
)

func blindConfig(version int, keys ...any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "charge", "host": host, "pathPrefix": "/charge/", "routeKind": "unsafe", "timeoutMs": 2000, "targetLatencyMs": 300,
			"priority": 0, "service": "orders", "maxAttempts": 1, "anonymous": false,
		}},
		"services": []any{map[string]any{"name": "orders", "healthPath": "/healthz", "maxConnections": 800}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "huka", "apiKeys": keys, "priority": 1}},
	}
}

// playBlind lets the machines that read the store lose power, and a replica leave meanwhile.
func playBlind(r *record, trouble bool) (bool, error) {
	f, err := newCaseFleet(blindMachines)
	if err != nil {
		return false, err
	}
	f.store.put("config", "main", blindConfig(1, "key-1", "key-2"))
	l := &ledger{}
	var replicas []*replica
	for i := range 6 {
		p := &replica{
			id: fmt.Sprintf("i-%04d", i), service: "orders", zone: zones[i%len(zones)], version: "v1", slots: 32, heartbeat: 1200 * time.Millisecond,
			address: f.replicaAddress(i), store: f.store, ledger: l, handle: whole(blindWork, 800),
		}
		if err := p.start(); err != nil {
			return false, err
		}
		replicas = append(replicas, p)
	}
	if err := f.startAll(true, 30*time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact + 2*time.Second)
	victims := f.readers(3*time.Second, darkPercent*blindMachines/100)
	isVictim := make(map[*machine]bool)
	for _, m := range victims {
		isVictim[m] = true
		r.note("%s is one of the last machines that read the list of replicas", m.name)
	}
	var others []*machine
	for _, m := range f.machines {
		if !isVictim[m] {
			others = append(others, m)
		}
	}
	q := newRequesters()
	stop, traffic := blindTraffic(q, others)
	time.Sleep(2 * time.Second)
	lost := time.Now()
	if trouble {
		var wg sync.WaitGroup
		for _, m := range victims {
			wg.Go(m.kill)
		}
		wg.Wait()
		r.note("%d of %d machines lose power for %s", len(victims), len(f.machines), darkFor)
	}
	time.Sleep(time.Until(lost.Add(leavesAfter)))
	leaving := replicas[0]
	drained := leaving.drain()
	r.note("the store confirms that replica %s drains", leaving.id)
	time.Sleep(time.Until(lost.Add(revokedAfter)))
	revoked := f.store.put("config", "main", blindConfig(2, "key-1"))
	r.note("the store confirms the config without key-2")
	time.Sleep(time.Until(drained.Add(drain + linger)))
	ended := time.Now()
	leaving.end()
	f.store.delete("servers", leaving.id)
	r.note("replica %s exits", leaving.id)
	time.Sleep(time.Until(lost.Add(darkFor)))
	if trouble {
		for _, m := range victims {
			if err := m.start(false); err != nil {
				return false, err
			}
		}
		r.note("the machines are back")
	}
	time.Sleep(3 * time.Second)
	close(stop)
	traffic.Wait()
	return judgeBlind(r, l, q.all(), leaving.id, drained, revoked, ended), nil
}

// readers returns the machines that read the list of replicas last, at most a number of them.
func (f *fleet) readers(during time.Duration, most int) []*machine {
	seen := make(map[string]bool)
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, name := range f.store.watchers("servers") {
			seen[name] = true
		}
	}
	var out []*machine
	for _, m := range f.machines {
		if seen[m.name] && len(out) < most {
			out = append(out, m)
		}
	}
	return out
}

// blindTraffic sends requests to some machines until stop is closed.
func blindTraffic(q *requesters, machines []*machine) (stop chan struct{}, wg *sync.WaitGroup) {
	stop, wg = make(chan struct{}), &sync.WaitGroup{}
	wg.Go(func() {
		tick := time.NewTicker(5 * time.Millisecond)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
				key := "key-1"
				if n%10 == 0 {
					key = "key-2"
				}
				q.launch(machines[n%len(machines)], request{id: fmt.Sprintf("%s-%05d", key, n), method: "POST", path: "/charge/x", key: key, body: "charge", deadline: 2 * time.Second})
			}
		}
	})
	return stop, wg
}

func judgeBlind(r *record, l *ledger, answers []answer, leaving string, drained, revoked, ended time.Time) bool {
	byID := make(map[string]answer)
	for _, a := range answers {
		byID[a.id] = a
	}
	late, stale, lost := 0, 0, 0
	for _, x := range l.all() {
		a := byID[x.id]
		if x.replica == leaving && x.at.After(drained.Add(drain)) {
			late++
			r.at(x.at, "request %s of %s reaches replica %s, %d ms after the confirmation that it drains: %s %s", x.id, a.machine, x.replica, x.at.Sub(drained).Milliseconds(), a.result(), a.note)
			if !a.signed || !a.whole {
				lost++
			}
		}
		if a.key == "key-2" && a.sent.After(revoked.Add(apply)) {
			stale++
			r.at(x.at, "request %s of %s runs, sent %d ms after the confirmation of the config without its key", x.id, a.machine, a.sent.Sub(revoked).Milliseconds())
		}
	}
	r.results("requests", answers)
	r.note("requests that reached the leaving replica later than %s after the confirmation: %d; of these, without an answer of the replica: %d", drain, late, lost)
	r.note("requests with the key that was taken away, sent later than %s after the confirmation and run: %d", apply, stale)
	return late > 0
}
