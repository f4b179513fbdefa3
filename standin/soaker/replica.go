package soaker

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sequoiasill.dev/sequoiasill"
)

// replica is an upstream behind a proxy.
type replica struct {
	id      string
	service string
	crashed func(r *replica) // ends it and starts another
	mute    string           // what it only pretends to say, see Options
	judge   *judge
	proxy   *proxy
	server  *http.Server
	active  atomic.Int64
	lose    atomic.Int64 // calls in a thousand that run and are not answered
	fail    atomic.Int64 // and that end with an error
	shed    atomic.Int64 // and that are refused
	pause   atomic.Int64 // milliseconds that it wants no call for after a refusal
	leaving atomic.Bool  // it says so in all its answers
	slow    atomic.Int64 // milliseconds that each call takes beyond its time
	limit   atomic.Int64 // calls that it takes in a thousand seconds from all entries, 0 for any number

	mu    sync.Mutex
	state string
}

// slots is how many calls a replica runs at once; more are refused.
const slots = 24

// Services that replicas belong to.
const (
	plain = "plain"
	model = "model"
)

// newReplica starts a replica behind a proxy at an address, empty for any.
func newReplica(id, service, address string, j *judge, crashed func(r *replica)) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if address == "" {
		address = "127.0.0.1:0"
	}
	p, err := newProxy(address, l.Addr().String())
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	r := &replica{id: id, service: service, crashed: crashed, judge: j, proxy: p, state: "ready"}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() {
		// It ends when the replica is closed.
		_ = r.server.Serve(l)
	}()
	return r, nil
}

func (r *replica) address() string { return r.proxy.listener.Addr().String() }

// close ends the replica as a crash does.
func (r *replica) close() {
	r.proxy.close()
	_ = r.server.Close()
}

// entry returns what the replica writes to the store.
func (r *replica) entry() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]any{
		"service": r.service, "address": r.address(), "zone": "a", "version": "v1", "slots": slots, "state": r.state, "sequence": 1,
	}
}

func (r *replica) drain() {
	r.leaving.Store(true)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = "draining"
}

// tell sets a header of an answer, unless the replica only pretends to say so.
func (r *replica) tell(w http.ResponseWriter, what, name, value string) {
	if r.mute != what {
		w.Header().Set(name, value)
	}
}

// hearSpan is how long it takes until it shows that an answer does not come to the entry.
const hearSpan = 20 * time.Millisecond

// refuse turns a call away, and asks for a pause where it wants one. A pause counts if the
// entry can hear of it: it still waits for the answer, which is not held up or dropped.
func (r *replica) refuse(w http.ResponseWriter, req *http.Request, id string) {
	w.Header().Set("Not-Executed", "1")
	span := sequoiasill.Millis(r.pause.Load())
	if span > 0 {
		r.tell(w, MutePause, "Retry-After", strconv.FormatFloat(span.Duration().Seconds(), 'f', -1, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
	if span == 0 {
		return
	}
	at := now()
	if err := http.NewResponseController(w).Flush(); err != nil {
		return
	}
	time.Sleep(hearSpan)
	if req.Context().Err() == nil && r.proxy.passes(req.RemoteAddr) {
		r.judge.askPause(at, id, r.id, span)
	}
}

// perSecond returns a number of calls in a thousand seconds as one a second.
func perSecond(limit int64) float64 { return float64(limit) / 1000 }

// setLimit lets the replica name a limit in its answers, 0 for none.
func (r *replica) setLimit(limit int64) {
	r.limit.Store(limit)
	r.judge.limit(r.id, perSecond(limit))
}

// crashName ends the path of requests that crash the replicas that run them.
const crashName = "crash"

// crash ends the replica, and with it the other calls there.
func (r *replica) crash(req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		r.judge.broken("request that crashes replicas not read: %v", err)
		return
	}
	r.judge.crash(string(body))
	go r.crashed(r)
	panic(http.ErrAbortHandler)
}

// pieces returns the number of events of a call's stream.
func pieces(id string) int {
	h := fnv.New32a()
	// A hash takes every write.
	_, _ = h.Write([]byte(id))
	return 2 + int(h.Sum32()%20)
}

// contactSpan is how long after a trouble calls may still be late because of it.
const contactSpan = 3 * time.Second

// timeLimit returns the time that an entry gives a replica for a call.
func timeLimit(req *http.Request) sequoiasill.Millis {
	millis, err := strconv.ParseInt(req.Header.Get("Deadline-Ms"), 10, 64)
	if err != nil {
		return noLimit
	}
	return sequoiasill.Millis(millis)
}

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	r.judge.arrive(id, r.service, timeLimit(req), r.proxy.heldUp(contactSpan))
	leaves := r.leaving.Load()
	if leaves {
		r.tell(w, MuteLeaving, "Server-Leaving", "1")
	}
	if req.Header.Get("Expect-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	limit := r.limit.Load()
	if limit > 0 {
		r.tell(w, MuteLimit, "Server-Limit", strconv.FormatFloat(perSecond(limit), 'f', -1, 64))
	}
	r.judge.reach(id, r.id, leaves, limit > 0)
	if r.active.Add(1) > slots || rand.Int64N(1000) < r.shed.Load() {
		r.active.Add(-1)
		r.refuse(w, req, id)
		return
	}
	defer r.active.Add(-1)
	r.judge.run(id, r.id, req.Header.Get("Tenant"))
	if strings.HasSuffix(req.URL.Path, "/"+crashName) {
		r.crash(req)
		return
	}
	time.Sleep(rand.N(20*time.Millisecond) + time.Duration(r.slow.Load())*time.Millisecond)
	switch draw := rand.Int64N(1000); {
	case draw < r.lose.Load():
		panic(http.ErrAbortHandler)
	case draw < r.lose.Load()+r.fail.Load():
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Signature", "s")
	if req.URL.Path != kinds[long]+id && req.URL.Path != kinds[resumable]+id {
		_, _ = fmt.Fprintf(w, "answer to %s", id)
		return
	}
	first := 0
	if after := req.Header.Get("Last-Event-Id"); after != "" {
		n, err := strconv.Atoi(after)
		if err != nil {
			r.judge.broken("call %s goes on after event %q", id, after)
			return
		}
		first = n + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i < pieces(id); i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, id); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		time.Sleep(rand.N(30 * time.Millisecond))
	}
}
