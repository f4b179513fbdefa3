package main

import (
	"fmt"
	"sync"
	"time"
)

// A request that crashes each replica that runs it comes forgottenComes times in each of forgottenRounds
// rounds, every forgottenInterval. All machines are killed at once between two rounds and are back after
// restartDelay.
const (
	forgottenRounds   = 3
	forgottenComes    = 4
	forgottenInterval = 4 * time.Second
	restartDelay      = 500 * time.Millisecond
	orderPath         = "/charge/poison"
	otherPath         = "/charge/other"
)

// playForgotten lets a request crash replicas before they answer, and kills all machines after it is refused.
func playForgotten(r *record, trouble bool) (bool, error) {
	f, err := newCaseFleet(3)
	if err != nil {
		return false, err
	}
	f.store.put("config", "main", blindConfig(1, "key-1"))
	l := &ledger{}
	var mu sync.Mutex
	count := 0
	var launch func(place int) error
	handle := func(place int) func(p *replica, w writerT, q requestT) {
		return func(p *replica, w writerT, q requestT) {
			if q.URL.Path != orderPath {
				whole(20*time.Millisecond, 800)(p, w, q)
				return
			}
			time.Sleep(50 * time.Millisecond)
			l.mu.Lock()
			l.crashes = append(l.crashes, time.Now())
			l.mu.Unlock()
			p.end()
			time.AfterFunc(3*p.heartbeat, func() { f.store.delete("servers", p.id) })
			time.AfterFunc(backAfter, func() {
				if err := launch(place); err != nil {
					r.note("replica not started: %v", err)
				}
			})
		}
	}
	launch = func(place int) error {
		mu.Lock()
		defer mu.Unlock()
		p := &replica{
			id: fmt.Sprintf("i-%04d", count), service: "orders", zone: zones[place%len(zones)], version: "v1", slots: 32,
			heartbeat: 1200 * time.Millisecond, address: f.replicaAddress(count), store: f.store, ledger: l, handle: handle(place),
		}
		count++
		return p.start()
	}
	for place := range 8 {
		if err := launch(place); err != nil {
			return false, err
		}
	}
	if err := f.startAll(true, 15*time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	q, poison := newRequesters(), newRequesters()
	n := 0
	for round := range forgottenRounds {
		if round > 0 && trouble {
			if err := f.killAll(r); err != nil {
				return false, err
			}
			time.Sleep(contact + time.Second)
		}
		for range forgottenComes {
			m := f.machines[n%len(f.machines)]
			poison.launch(m, request{id: fmt.Sprintf("poison-%03d", n), method: "POST", path: orderPath, key: "key-1", body: "the same body", deadline: 2 * time.Second})
			q.launch(f.machines[(n+1)%len(f.machines)], request{id: fmt.Sprintf("other-%03d", n), method: "POST", path: otherPath, key: "key-1", body: "a charge", deadline: 2 * time.Second})
			n++
			time.Sleep(forgottenInterval)
		}
	}
	return judgeCrashes(r, l, orderPath, q.all(), poison.all()), nil
}

// killAll kills all machines at once and starts them again.
func (f *fleet) killAll(r *record) error {
	var wg sync.WaitGroup
	for _, m := range f.machines {
		wg.Go(m.kill)
	}
	wg.Wait()
	r.note("all machines are killed")
	time.Sleep(restartDelay)
	return f.startAll(false, 15*time.Second)
}
