// Package soaker runs the real entries as processes on the loopback network, with
// callers, upstreams and a stand-in of the platform's store, injects faults from
// outside them and checks the promises meanwhile. All of it follows from a seed.
// It ends only processes that it started, by their ids.
package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/rationer"
	"sequoiasill.dev/sequoiasill/standin/store"
)

// host is the host of all routes.
const host = "kiosk.example"

// Options configure a run.
type Options struct {
	Seed     uint64
	Span     time.Duration // of traffic with faults
	Entries  int
	Replicas int // of a plain service
	Engines  int // replicas of a service of streams
	Callers  int
	Rate     float64         // calls a second of all callers
	Planned  bool            // planned work only
	Storm    bool            // faults under which calls are wanted to be sent again
	Only     string          // name of the only fault to play, empty for all
	Repeats  rationer.Limits // on repeats, as the settings of the entries name it
	Mute     string          // what upstreams only pretend to say, so that no entry heeds it: MuteLeaving, MutePause, MuteLimit
	Binary   string          // of the entry
	Dir      string          // for settings and logs
}

// fenced reports whether the platform refuses calls of duties with an old epoch.
func (o Options) fenced() bool { return o.Seed%2 == 0 }

// What upstreams can only pretend to say. The judge has to find it.
const (
	MuteLeaving = "leaving"
	MutePause   = "pause"
	MuteLimit   = "limit"
)

// settleSpan is how long traffic goes on without faults at the end.
const settleSpan = 5 * time.Second

// World is a run.
type World struct {
	opts    Options
	network uint64 // second byte of the entries' IP numbers
	judge   *judge
	store   *store.Store
	entries []*entry
	rand    *rand.Rand
	log     hclog.Logger // of the faults

	mu       sync.Mutex
	replicas map[string]*replica
	born     int
	version  int
	keys     []string
	made     int
	ready    map[int]bool
	busy     map[string]bool // what a fault has hold of
}

// networks is the number of loopback networks that runs side by side may take.
const networks = 200

// Run plays one seed and returns the promises that were broken.
func Run(o Options) ([]string, Counts, error) {
	w := &World{
		opts: o, judge: newJudge(o.Repeats), rand: rand.New(rand.NewPCG(o.Seed, 1)),
		replicas: make(map[string]*replica), keys: []string{"key-0"}, ready: make(map[int]bool), busy: make(map[string]bool),
	}
	claim, err := w.claim()
	if err != nil {
		return nil, Counts{}, err
	}
	defer func() { _ = claim.Close() }()
	log, err := os.Create(filepath.Join(o.Dir, "faults.log"))
	if err != nil {
		return nil, Counts{}, err
	}
	defer func() { _ = log.Close() }()
	w.log = hclog.New(&hclog.LoggerOptions{Output: log, JSONFormat: true})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Counts{}, err
	}
	w.store = store.New(l, o.Seed, hclog.NewNullLogger())
	w.store.SetFenced(o.fenced())
	defer w.store.Close()
	w.configure()
	for service, n := range map[string]int{plain: o.Replicas, model: o.Engines} {
		for range n {
			if err := w.addReplica(service, ""); err != nil {
				return nil, Counts{}, err
			}
		}
	}
	defer w.closeReplicas()
	if err := w.startEntries(l.Addr().String()); err != nil {
		return nil, Counts{}, err
	}
	defer w.stopEntries()
	w.play()
	w.checkDuties()
	broken, counts := w.judge.results()
	return broken, counts, nil
}

// claim takes a loopback network that no other run has.
func (w *World) claim() (net.Listener, error) {
	var err error
	for i := range uint64(networks) {
		w.network = 20 + (w.opts.Seed+i)%networks
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.%d.1.250:%d", w.network, portPeers)); err == nil {
			return l, nil
		}
	}
	return nil, fmt.Errorf("other runs have all networks: %w", err)
}

func (w *World) startEntries(storeAddress string) error {
	for i := range w.opts.Entries {
		p, err := newProxy("127.0.0.1:0", storeAddress)
		if err != nil {
			return err
		}
		w.entries = append(w.entries, &entry{world: w, number: i, store: p})
	}
	for _, e := range w.entries {
		if err := e.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, e := range w.entries {
		for !e.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %d is not ready; see %s", e.number, filepath.Join(w.opts.Dir, "*.log"))
			}
			time.Sleep(20 * time.Millisecond)
		}
		w.ready[e.number] = true
	}
	return nil
}

func (w *World) stopEntries() {
	var gone []<-chan struct{}
	for _, e := range w.entries {
		e.signal(syscall.SIGCONT)
		gone = append(gone, e.signal(syscall.SIGKILL))
	}
	for i, e := range w.entries {
		<-gone[i]
		e.store.close()
	}
}

func (w *World) closeReplicas() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.replicas {
		r.close()
	}
}

// play runs traffic and faults.
func (w *World) play() {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range w.opts.Callers {
		c := &caller{
			world: w, name: fmt.Sprintf("c%d", i), rand: rand.New(rand.NewPCG(w.opts.Seed, uint64(i)+100)),
			pace: time.Duration(float64(w.opts.Callers) / w.opts.Rate * float64(time.Second)),
		}
		callers.Add(1)
		go func() {
			defer callers.Done()
			c.loop(ctx)
		}()
	}
	look := time.NewTicker(200 * time.Millisecond)
	defer look.Stop()
	go func() {
		for ctx.Err() == nil {
			<-look.C
			w.look()
		}
	}()
	w.harm(w.opts.Span)
	time.Sleep(settleSpan)
	cancel()
	callers.Wait()
}

// look asks each entry whether it is ready, as the platform does.
func (w *World) look() {
	for _, e := range w.entries {
		ready := e.isReady()
		w.mu.Lock()
		w.ready[e.number] = ready
		w.mu.Unlock()
	}
}

// readyEntry returns the first entry from a number on that said it is ready, nil
// for none.
func (w *World) readyEntry(from int) *entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.entries {
		e := w.entries[(from+i)%len(w.entries)]
		if w.ready[e.number] {
			return e
		}
	}
	return nil
}

// key returns the key that is in force.
func (w *World) key() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys[len(w.keys)-1]
}

// configure writes a version of the configuration with the present keys.
func (w *World) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + w.rand.IntN(3)
	routes := []any{}
	for k, path := range kinds {
		name := map[kind]string{once: "unsafe", read: "safe", long: "streaming", resumable: "streaming"}[k]
		routes = append(routes, map[string]any{
			"name": path, "host": host, "pathPrefix": path, "routeKind": name, "resumable": k == resumable, "timeoutMs": 3000,
			"targetLatencyMs": 200, "service": k.service(), "maxAttempts": k.attempts(),
		})
	}
	w.store.Put("config", "main", map[string]any{
		"version": w.version, "routes": routes, "services": []any{
			map[string]any{"name": plain, "healthPath": "/healthz"}, map[string]any{"name": model, "healthPath": "/healthz"},
		},
		"limits":  map[string]any{"maxBodyBytes": 1 << 20, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "small", "apiKeys": w.keys}},
	})
}

// addReplica starts a replica of a service, at an address that another had or at any.
func (w *World) addReplica(service, address string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born++
	r, err := newReplica(fmt.Sprintf("i-%d", w.born), service, address, w.judge, w.crashed)
	if err != nil {
		return err
	}
	r.mute = w.opts.Mute
	w.replicas[r.id] = r
	w.store.Put("servers", r.id, r.entry())
	return nil
}

// checkDuties looks at what the platform got: one count for a window, one holder for an
// epoch, and holders one after the other.
func (w *World) checkDuties() {
	counts := make(map[int64]string)
	holders := make(map[uint64]string)
	var calls []dutyCall
	for _, u := range w.store.Usage() {
		calls = append(calls, dutyCall{at: sequoiasill.Millis(u.At.UnixMilli()), holder: u.Holder, epoch: u.Epoch})
		told := fmt.Sprint(u.Counts)
		if before, ok := counts[u.Window]; ok && before != told {
			w.judge.broken("usage of window %d was told as %s and as %s", u.Window, before, told)
		}
		counts[u.Window] = told
		if before, ok := holders[u.Epoch]; ok && before != u.Holder {
			w.judge.broken("epoch %d was used by %s and %s", u.Epoch, before, u.Holder)
		}
		holders[u.Epoch] = u.Holder
	}
	for _, b := range judgeTurns(calls, w.judge.heals) {
		w.judge.broken("%s", b)
	}
}
