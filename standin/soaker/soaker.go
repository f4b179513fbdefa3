// Package soaker runs soak tests. It starts real entry processes on the loopback
// network together with callers, upstreams and a stand-in for the platform's store,
// injects faults from outside the processes and checks the system's guarantees.
// The callers, upstreams and faults are drawn from a seed. It signals only processes
// that it started, by process ID.
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

// host is the host name of all routes.
const host = "kiosk.example"

// Options configures a run.
type Options struct {
	Seed          uint64
	Duration      time.Duration // duration of traffic with faults
	Entries       int
	Replicas      int // replicas of the plain service
	Engines       int // replicas of the streaming service
	Callers       int
	Rate          float64         // calls per second of all callers together
	PlannedOnly   bool            // inject only planned work, no faults
	Storm         bool            // inject faults that cause many retries
	Silent        bool            // inject only planned work and silences of sound upstreams
	OnlyFault     string          // name of the only fault to inject; empty for all
	ExceptFaults  []string        // names of faults not to inject
	RetryLimits   rationer.Limits // limits on retries, also written to the entries' settings
	BrittleSlots  int             // calls that a brittle replica takes at a time; 0 for those of a sound one
	OmittedSignal string          // signal that upstreams or the store omit from their responses, so that no entry respects it: OmitDraining, OmitPause, OmitRateLimit, OmitBrittleness, OmitEra or OmitDeadlyPart
	Binary        string          // path of the entry's program
	Production    string          // path of the older program that an upgrade replaces; empty for no upgrade
	Dir           string          // directory for settings and logs
}

// fenced reports whether the platform rejects calls that carry a stale lease epoch.
func (o Options) fenced() bool { return o.Seed%2 == 0 }

// Signals that upstreams or the store can be made to omit. The checker must then report the entries
// as ignoring them.
const (
	OmitDraining    = "leaving"
	OmitPause       = "pause"
	OmitRateLimit   = "limit"
	OmitBrittleness = "brittle"
	OmitEra         = "era" // of the store, from its responses
	// OmitDeadlyPart hides the parts that crash upstreams among those of which no two are alike.
	OmitDeadlyPart = "part"
)

// settleTime is how long traffic continues without faults at the end of a run.
const settleTime = 5 * time.Second

// Harness holds the processes, stand-ins and state of one run.
type Harness struct {
	opts        Options
	secondOctet uint64 // second octet of the entries' IP addresses
	checker     *checker
	store       *store.Store
	entries     []*entry
	rand        *rand.Rand
	faultLog    hclog.Logger
	paths       *partitions

	mu              sync.Mutex
	replicas        map[string]*replica
	replicasCreated int
	configVersion   int
	variant         configVariant
	config          any                 // as the operator last wrote it
	registered      map[string]*replica // whose records the store holds, by ID
	apiKeys         []string
	lastNumber      int             // of API keys and of requests that crash replicas
	deadlyPart      string          // ID of the part of prompts that crashes replicas; empty for none
	ready           map[int]bool    // by entry number, at the last poll
	inUse           map[string]bool // entries, keys and stores that a fault is using
}

// networkCount is the number of loopback networks available to concurrent runs.
const networkCount = 200

// Run runs one seed and returns the violations found.
func Run(o Options) ([]string, Counts, error) {
	h := &Harness{
		opts: o, variant: usualConfig, checker: newChecker(o.RetryLimits), rand: rand.New(rand.NewPCG(o.Seed, 1)),
		replicas: make(map[string]*replica), registered: make(map[string]*replica), apiKeys: []string{"key-0"}, ready: make(map[int]bool), inUse: make(map[string]bool),
	}
	h.paths = newPartitions(h.senderOf)
	reservation, err := h.reserveNetwork()
	if err != nil {
		return nil, Counts{}, err
	}
	defer func() { _ = reservation.Close() }()
	log, err := os.Create(filepath.Join(o.Dir, "faults.log"))
	if err != nil {
		return nil, Counts{}, err
	}
	defer func() { _ = log.Close() }()
	h.faultLog = hclog.New(&hclog.LoggerOptions{Output: log, JSONFormat: true})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Counts{}, err
	}
	h.store = store.New(l, o.Seed, hclog.NewNullLogger())
	h.store.SetFenced(o.fenced())
	h.store.SetEra(1)
	if o.OmittedSignal == OmitEra {
		h.store.OmitEra()
	}
	defer h.store.Close()
	h.writeConfig()
	for service, n := range map[string]int{plainService: o.Replicas, streamService: o.Engines} {
		for range n {
			if err := h.addReplica(service, ""); err != nil {
				return nil, Counts{}, err
			}
		}
	}
	defer h.closeReplicas()
	if err := h.startEntries(l.Addr().String()); err != nil {
		return nil, Counts{}, err
	}
	defer h.stopEntries()
	h.runWorkload()
	h.checkDuties()
	violations, counts := h.checker.results()
	return violations, counts, nil
}

// reserveNetwork reserves a loopback network that no other run uses, by listening on one of
// its addresses. Entries that an aborted run left behind use their network too.
func (h *Harness) reserveNetwork() (net.Listener, error) {
	var err error
	for i := range uint64(networkCount) {
		h.secondOctet = 20 + (h.opts.Seed+i)%networkCount
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.%d.1.250:%d", h.secondOctet, peerPort)); err != nil {
			continue
		}
		if err = h.checkEntryAddresses(); err == nil {
			return l, nil
		}
		// The listener is of no use.
		_ = l.Close()
	}
	return nil, fmt.Errorf("other runs have all networks: %w", err)
}

// checkEntryAddresses returns an error if a process listens where an entry of this run will.
func (h *Harness) checkEntryAddresses() error {
	for n := range h.opts.Entries {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", h.entryIP(n), frontendPort))
		if err != nil {
			return err
		}
		if err := l.Close(); err != nil {
			return err
		}
	}
	return nil
}

func (h *Harness) startEntries(storeAddress string) error {
	for i := range h.opts.Entries {
		p, err := newProxy("127.0.0.1:0", storeAddress, nil)
		if err != nil {
			return err
		}
		e, err := newEntry(h, i, p)
		if err != nil {
			return err
		}
		h.entries = append(h.entries, e)
	}
	for _, e := range h.entries {
		if err := e.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, e := range h.entries {
		for !e.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %d is not ready; see %s", e.number, filepath.Join(h.opts.Dir, "*.log"))
			}
			time.Sleep(20 * time.Millisecond)
		}
		h.ready[e.number] = true
	}
	return nil
}

func (h *Harness) stopEntries() {
	var exited []<-chan struct{}
	for _, e := range h.entries {
		e.signal(syscall.SIGCONT)
		exited = append(exited, e.signal(syscall.SIGKILL))
	}
	for i, e := range h.entries {
		<-exited[i]
		e.store.close()
	}
}

func (h *Harness) closeReplicas() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.replicas {
		r.close()
	}
}

// runWorkload runs the callers and injects faults.
func (h *Harness) runWorkload() {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range h.opts.Callers {
		c := &caller{
			harness: h, name: fmt.Sprintf("c%d", i), rand: rand.New(rand.NewPCG(h.opts.Seed, uint64(i)+100)),
			meanInterval: time.Duration(float64(h.opts.Callers) / h.opts.Rate * float64(time.Second)),
		}
		callers.Add(1)
		go func() {
			defer callers.Done()
			c.sendCalls(ctx)
		}()
	}
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	go func() {
		for ctx.Err() == nil {
			<-ticker.C
			h.pollReadiness()
		}
	}()
	var upgrade sync.WaitGroup
	if h.opts.Production != "" {
		upgrade.Go(func() { h.upgrade(h.opts.Duration) })
	}
	h.injectFaults(h.opts.Duration)
	upgrade.Wait()
	time.Sleep(settleTime)
	cancel()
	callers.Wait()
}

// pollReadiness polls the readiness endpoint of each entry, as the platform does.
func (h *Harness) pollReadiness() {
	for _, e := range h.entries {
		ready := e.isReady()
		h.mu.Lock()
		h.ready[e.number] = ready
		h.mu.Unlock()
	}
}

// readyEntry returns the first entry, starting at number from, that was ready at the last
// poll, or nil if none was.
func (h *Harness) readyEntry(from int) *entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.entries {
		e := h.entries[(from+i)%len(h.entries)]
		if h.ready[e.number] {
			return e
		}
	}
	return nil
}

// currentKey returns the current API key.
func (h *Harness) currentKey() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.apiKeys[len(h.apiKeys)-1]
}

// writeConfig writes a new version of the configuration with the current API keys.
func (h *Harness) writeConfig() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configVersion += 1 + h.rand.IntN(3)
	routes := []any{}
	for k, path := range routePaths {
		name := map[callKind]string{runOnce: "unsafe", repeatable: "safe", onceStream: "streaming", resumableStream: "streaming"}[k]
		routes = append(routes, map[string]any{
			"name": path, "host": host, "pathPrefix": path, "routeKind": name, "resumable": k == resumableStream, "timeoutMs": int64(h.variant.routeTimeout),
			"targetLatencyMs": 200, "service": k.service(), "maxAttempts": k.maxUpstreams(),
		})
	}
	h.config = map[string]any{
		"version": h.configVersion, "routes": append(routes, extraRoutes(h.variant.extraRoutes)...), "services": []any{
			map[string]any{"name": plainService, "healthPath": healthPath}, map[string]any{"name": streamService, "healthPath": healthPath},
		},
		"limits":  map[string]any{"maxBodyBytes": 1 << 20, "idleTimeoutMs": int64(h.variant.idleTimeout)},
		"tenants": []any{map[string]any{"name": "small", "apiKeys": h.apiKeys}},
	}
	h.store.Put("config", "main", h.config)
}

// addReplica starts a replica of a service. The address is that of an earlier replica, or
// empty for any.
func (h *Harness) addReplica(service, address string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replicasCreated++
	r, err := newReplica(fmt.Sprintf("i-%d", h.replicasCreated), service, address, h.paths, h.checker, h.handleCrash)
	if err != nil {
		return err
	}
	r.omittedSignal = h.opts.OmittedSignal
	h.replicas[r.id], h.registered[r.id] = r, r
	h.store.Put("servers", r.id, r.storeRecord())
	return nil
}

// deregister deletes a replica's record from the store.
func (h *Harness) deregister(r *replica) {
	h.mu.Lock()
	delete(h.registered, r.id)
	h.mu.Unlock()
	h.store.Delete("servers", r.id)
}

// checkDuties checks the usage reports that the platform received: one count per window, one
// lease holder per epoch, and no overlap between holders.
func (h *Harness) checkDuties() {
	counts := make(map[int64]string)
	holders := make(map[uint64]string)
	var calls []dutyCall
	for _, u := range h.store.Usage() {
		calls = append(calls, dutyCall{at: sequoiasill.Millis(u.At.UnixMilli()), holder: u.Holder, epoch: u.Epoch})
		current := fmt.Sprint(u.Counts)
		if previous, ok := counts[u.Window]; ok && previous != current {
			h.checker.addViolation("usage of window %d was told as %s and as %s", u.Window, previous, current)
		}
		counts[u.Window] = current
		if previous, ok := holders[u.Epoch]; ok && previous != u.Holder {
			h.checker.addViolation("epoch %d was used by %s and %s", u.Epoch, previous, u.Holder)
		}
		holders[u.Epoch] = u.Holder
	}
	for _, violation := range checkHolders(calls, h.checker.recoveries) {
		h.checker.addViolation("%s", violation)
	}
}
