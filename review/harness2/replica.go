package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that reached a replica.
type arrival struct {
	id      string
	replica string
	key     string // the caller's path
	at      time.Time
	ran     bool
}

// ledger holds what all replicas saw.
type ledger struct {
	mu       sync.Mutex
	arrivals []arrival
	crashes  []time.Time // of replicas under the request that crashes them
}

func (l *ledger) add(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

func (l *ledger) all() []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]arrival(nil), l.arrivals...)
}

// replica is one lifetime of a stand-in of a replica.
type replica struct {
	id, service, zone, version, address string
	slots                               int
	heartbeat                           time.Duration
	born                                time.Time
	handle                              func(p *replica, w http.ResponseWriter, r *http.Request) // runs a request
	before                              func()                                                   // called before anything is answered, if it is set
	store                               *store
	ledger                              *ledger

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	state    string
	sequence int
	running  int
	ended    bool
	stop     chan struct{}
}

// start listens, registers in the store and keeps the entry alive.
func (p *replica) start() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.address = l.Addr().String()
	p.listener, p.conns, p.state, p.born, p.stop = l, make(map[net.Conn]bool), "ready", time.Now(), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: time.Minute, IdleTimeout: 20 * time.Second, ConnState: func(c net.Conn, s http.ConnState) {
		p.mu.Lock()
		defer p.mu.Unlock()
		switch {
		case s == http.StateClosed || s == http.StateHijacked:
			delete(p.conns, c)
		case s == http.StateNew && p.ended:
			_ = c.Close()
		case s == http.StateNew:
			p.conns[c] = true
		}
	}}
	go func() { _ = server.Serve(l) }()
	p.report()
	go func() {
		tick := time.NewTicker(p.heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-p.stop:
				return
			case <-tick.C:
				p.report()
			}
		}
	}()
	return nil
}

// report writes the replica's entry, and returns the time of the confirmation.
func (p *replica) report() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return time.Time{}
	}
	p.sequence++
	return p.store.put("servers", p.id, map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": p.version, "slots": p.slots,
		"state": p.state, "coldRemainingMs": 0, "sequence": p.sequence, "born": p.born.UnixMilli(),
	})
}

// drain reports that the replica leaves, and returns the time of the store's confirmation.
func (p *replica) drain() time.Time {
	p.mu.Lock()
	p.state = "draining"
	p.mu.Unlock()
	return p.report()
}

// end closes the listener and all connections, as the kernel does when a process ends.
func (p *replica) end() {
	p.mu.Lock()
	if p.ended {
		p.mu.Unlock()
		return
	}
	p.ended = true
	close(p.stop)
	conns := p.conns
	p.conns = make(map[net.Conn]bool)
	p.mu.Unlock()
	_ = p.listener.Close()
	for c := range conns {
		_ = c.Close()
	}
}

func (p *replica) load() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", p.running, p.slots)
}

// enter takes a slot.
func (p *replica) enter() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running >= p.slots || p.ended {
		return false
	}
	p.running++
	return true
}

func (p *replica) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

func (p *replica) serve(w http.ResponseWriter, r *http.Request) {
	if p.before != nil {
		p.before()
	}
	h := w.Header()
	h.Set("Keep-Alive", "timeout=20")
	h.Set("Load-Report", p.load())
	if r.URL.Path == "/healthz" {
		h.Set("Instance-Id", p.id)
		p.mu.Lock()
		ready := p.state == "ready"
		p.mu.Unlock()
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != p.id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := arrival{id: id, replica: p.id, key: r.URL.Path, at: time.Now(), ran: p.enter()}
	p.ledger.add(a)
	if !a.ran {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer p.leave()
	p.handle(p, w, r)
}

// whole answers with a complete body after some work.
func whole(work time.Duration, size int) func(p *replica, w http.ResponseWriter, r *http.Request) {
	return func(p *replica, w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			return
		}
		w.Header().Set("Signature", "s."+p.id+"."+r.Header.Get("Request-Id"))
		w.Header().Set("Content-Length", strconv.Itoa(size))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(make([]byte, size))
	}
}

// stream answers with events. It returns before event number crashAt, if that is not 0, after it has called
// crash.
func stream(events int, first, gap time.Duration, crashAt int, crash func()) func(p *replica, w http.ResponseWriter, r *http.Request) {
	return func(p *replica, w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		wait := first
		for i := last + 1; i <= events; i++ {
			select {
			case <-time.After(wait):
			case <-r.Context().Done():
				return
			}
			wait = gap
			if crashAt > 0 && i-last == crashAt {
				crash()
				panic(http.ErrAbortHandler)
			}
			if i == last+1 {
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("Signature", "s."+p.id+"."+r.Header.Get("Request-Id"))
				w.WriteHeader(http.StatusOK)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// writerT and requestT shorten the signatures of handlers.
type (
	writerT  = http.ResponseWriter
	requestT = *http.Request
)
