package main

import (
	"errors"
	"net"
	"net/http"
	"slices"
	"time"
)

const (
	machines   = 32
	darkTime   = 3500 * time.Millisecond // for_s of node_kill with power
	maxDark    = 5                       // share of node_kill: 0.16 of the machines
	drainBound = 2 * time.Second         // drainMs
	applyBound = 2 * time.Second         // configApplyMs
	oldKey     = "7vq0c2m1t8x5r4z9k6wd"
)

// watchersRoutes are the routes of the case.
var watchersRoutes = []route{
	{name: "lodge-return", prefix: "/lodge/", kind: "unsafe", method: http.MethodPost, perS: 160, deadline: time.Second, attempts: 1},
}

// runWatchers lets the entries that watch the list of replicas lose power, and then those that watch in their
// place, and checks DRAIN and CONFIG at the others.
func runWatchers(e *env) (bool, error) {
	if err := e.startStore(e.rec); err != nil {
		return false, err
	}
	e.store.set("config", "main", config(7, rolloutService, watchersRoutes, siteKey, oldKey))
	ok := func(string) int { return http.StatusOK }
	list, err := e.startReplicas(rolloutService, oldVersion, loopback(oldNetwork, 1), ok)
	if err != nil {
		return false, err
	}
	err = e.startFleet(machines, func(i int) (string, error) {
		l, err := net.Listen("tcp", loopback(storeNetwork, 2+i)+":0")
		if err != nil {
			return "", err
		}
		e.store.serve(l)
		return l.Addr().String(), nil
	})
	if err != nil {
		return false, err
	}
	q, old := newRequesters(siteHost, siteKey, e.edges, e.rec), newRequesters(siteHost, oldKey, e.edges, e.rec)
	stop := make(chan struct{})
	for _, r := range watchersRoutes {
		q.send(r, stop)
		r.perS /= 4
		old.send(r, stop)
	}
	time.Sleep(6 * time.Second)

	disrupted := make(map[string]bool)
	if e.trouble {
		first, err := e.cutPower(disrupted, time.Second)
		if err != nil {
			return false, err
		}
		e.rec.printf("%d machines that watch are dark", first)
		if err := e.awaitWatcher(disrupted, darkTime/2); err != nil {
			return false, err
		}
		second, err := e.cutPower(disrupted, 600*time.Millisecond)
		if err != nil {
			return false, err
		}
		e.rec.printf("%d machines that watch in their place are dark", second)
	}
	leaving := list[0]
	leaving.draining.Store(true)
	leaving.register()
	drained := time.Now()
	e.rec.printf("the store has confirmed that %s drains", leaving.id)
	time.AfterFunc(drainBound+300*time.Millisecond, leaving.end)
	time.Sleep(100 * time.Millisecond)
	e.store.set("config", "main", config(9, rolloutService, watchersRoutes, siteKey))
	withdrawn := time.Now()
	e.rec.printf("the store has confirmed a config without a key")
	time.Sleep(8 * time.Second)
	close(stop)
	q.wait.Wait()
	old.wait.Wait()
	return checkWatchers(e, append(q.all(), old.all()...), disrupted, leaving.id, drained, withdrawn), nil
}

// cutPower kills the machines that watch within a time and starts them again after darkTime.
func (e *env) cutPower(disrupted map[string]bool, within time.Duration) (int, error) {
	var found []*edge
	for end := time.Now().Add(within); time.Now().Before(end) && len(found) < maxDark; time.Sleep(5 * time.Millisecond) {
		for _, address := range e.store.watchers() {
			i := slices.IndexFunc(e.edges, func(x *edge) bool { return x.store == address })
			if i >= 0 && !disrupted[e.edges[i].name] && !slices.Contains(found, e.edges[i]) {
				found = append(found, e.edges[i])
			}
		}
	}
	if len(found) > maxDark {
		return 0, errors.New("more machines watch than may be dark")
	}
	for _, x := range found {
		disrupted[x.name] = true
		x.kill()
		e.rec.printf("%s loses power", x.name)
		time.AfterFunc(darkTime, func() {
			if err := x.start(x.dir, x.seeds); err != nil {
				e.rec.printf("%s does not start: %v", x.name, err)
				return
			}
			e.rec.printf("%s starts again", x.name)
		})
	}
	return len(found), nil
}

// awaitWatcher waits until a machine that was not disrupted watches.
func (e *env) awaitWatcher(disrupted map[string]bool, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, address := range e.store.watchers() {
			if i := slices.IndexFunc(e.edges, func(x *edge) bool { return x.store == address }); i >= 0 && !disrupted[e.edges[i].name] {
				return nil
			}
		}
	}
	return errors.New("no other machine watches")
}

// checkWatchers checks DRAIN and CONFIG at the machines that were not disrupted.
func checkWatchers(e *env, sent []attempt, disrupted map[string]bool, leaving string, drained, withdrawn time.Time) bool {
	byID := make(map[string]attempt)
	for _, a := range sent {
		if !disrupted[a.edge] {
			byID[a.id] = a
		}
	}
	var late, keyed, lost int
	var last time.Duration
	for _, r := range e.runs.all() {
		a, ok := byID[r.requestID]
		if !ok {
			continue
		}
		if r.replica == leaving && r.at.After(drained.Add(drainBound)) {
			late++
			last = r.at.Sub(drained)
			if a.status != http.StatusOK {
				lost++
			}
		}
		if a.key == oldKey && a.sentAt.After(withdrawn.Add(applyBound)) {
			keyed++
		}
	}
	e.rec.printf("at the %d machines without disruption: %d requests reached the leaving replica later than %s (last %d ms) after the confirmation, %d of them without a 200; %d ran with the withdrawn key later than %s",
		len(e.edges)-len(disrupted), late, drainBound, last.Milliseconds(), lost, keyed, applyBound)
	return late > 0 || keyed > 0
}
