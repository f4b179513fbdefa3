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

// replica is an upstream that is reached through a proxy.
type replica struct {
	id                 string
	service            string
	onCrash            func(r *replica) // closes the replica and starts another one
	omittedSignal      string           // signal that it omits from its responses, see Options.OmittedSignal
	checker            *checker
	proxy              *proxy
	server             *http.Server
	inFlight           atomic.Int64
	arrivals           atomic.Int64 // calls that arrived
	lossPer1000        atomic.Int64 // calls per 1000 that are executed but get no response
	errorsPer1000      atomic.Int64 // calls per 1000 that fail
	rejectsPer1000     atomic.Int64 // calls per 1000 that are rejected
	pauseMillis        atomic.Int64 // pause requested with each rejection
	draining           atomic.Bool  // announced in all responses
	unframedPer1000    atomic.Int64 // responses per 1000 that have neither a length nor chunks and end with their connection
	extraLatencyMillis atomic.Int64 // added to the latency of each call
	brittle            brittleness
	limitPer1000s      atomic.Int64 // rate limit across all entries in calls per 1000 seconds; 0 for none

	mu       sync.Mutex
	state    string
	sequence int // of its writes to the store
}

// maxCallsInFlight is the number of calls that a replica executes concurrently. It rejects
// further ones.
const maxCallsInFlight = 24

// Services that replicas belong to.
const (
	plainService  = "plain"
	streamService = "model"
)

// newReplica starts a replica behind a proxy that listens on an address, or on any if it is
// empty.
func newReplica(id, service, address string, paths *partitions, checker *checker, onCrash func(r *replica)) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if address == "" {
		address = "127.0.0.1:0"
	}
	p, err := newProxy(address, l.Addr().String(), paths)
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	r := &replica{id: id, service: service, onCrash: onCrash, checker: checker, proxy: p, state: "ready"}
	r.unframedPer1000.Store(usualUnframedPer1000)
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() {
		// Serve returns when the replica is closed.
		_ = r.server.Serve(l)
	}()
	return r, nil
}

func (r *replica) address() string { return r.proxy.listener.Addr().String() }

// close closes the replica and its connections abruptly, as a crash does.
func (r *replica) close() {
	r.proxy.close()
	_ = r.server.Close()
}

// die closes the replica and its connections as the kernel does when a process ends: without a reset.
func (r *replica) die() {
	// An error means that the listener is closed already.
	_ = r.proxy.listener.Close()
	_ = r.server.Close()
}

// storeRecord returns the record that the replica writes to the store.
func (r *replica) storeRecord() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	return map[string]any{
		"service": r.service, "address": r.address(), "zone": "a", "version": "v1", "slots": maxCallsInFlight, "state": r.state, "sequence": r.sequence,
	}
}

func (r *replica) startDraining() {
	r.draining.Store(true)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = "draining"
}

// setSignal sets a header of a response, unless the replica omits this signal.
func (r *replica) setSignal(w http.ResponseWriter, signal, name, value string) {
	if r.omittedSignal != signal {
		w.Header().Set(name, value)
	}
}

// deliveryCheckDelay is the time after which an undelivered response can be detected.
const deliveryCheckDelay = 20 * time.Millisecond

// reject rejects a call and requests a pause if one is set. The pause is recorded only if
// the entry can receive it: the entry still waits for the response, and the response is
// neither stalled nor dropped.
func (r *replica) reject(w http.ResponseWriter, req *http.Request, id string) {
	w.Header().Set("Not-Executed", "1")
	pause := sequoiasill.Millis(r.pauseMillis.Load())
	if pause > 0 {
		r.setSignal(w, OmitPause, "Retry-After", strconv.FormatFloat(pause.Duration().Seconds(), 'f', -1, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
	if pause == 0 {
		return
	}
	at := nowMillis()
	if err := http.NewResponseController(w).Flush(); err != nil {
		return
	}
	time.Sleep(deliveryCheckDelay)
	if req.Context().Err() == nil && r.proxy.deliversResponses(req.RemoteAddr) {
		r.checker.recordPause(at, id, link{r.proxy.sender(req.RemoteAddr), r.id}, pause)
	}
}

// setLoadReport tells the load in a response, with the given number of calls in flight.
func setLoadReport(w http.ResponseWriter, inFlight int64) {
	waiting := min(max(inFlight-maxCallsInFlight, 0), waitingCalls)
	w.Header().Set("Load-Report", fmt.Sprintf("%d,%d,%d", min(inFlight, maxCallsInFlight), waiting, maxCallsInFlight))
}

// perSecond converts calls per 1000 seconds to calls per second.
func perSecond(limit int64) float64 { return float64(limit) / 1000 }

// setLimit sets the rate limit that the replica announces in its responses, 0 for none.
func (r *replica) setLimit(limit int64) {
	r.limitPer1000s.Store(limit)
	r.checker.recordLimit(r.id, perSecond(limit))
}

// usualUnframedPer1000 is the number of responses per 1000 that have neither a length nor chunks
// unless a fault raises it.
const usualUnframedPer1000 = 50

// crashPath is the last path element of requests that crash the replicas that execute them.
const crashPath = "crash"

// crash crashes the replica and aborts the other calls in flight there.
func (r *replica) crash(req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		r.checker.addViolation("request that crashes replicas not read: %v", err)
		return
	}
	r.checker.recordCrash(req.Header.Get("Request-Id"), string(body))
	go r.onCrash(r)
	panic(http.ErrAbortHandler)
}

// eventCount returns the number of events in a call's stream, derived from its request ID.
func eventCount(id string) int { return 2 + int(hash(id)%20) }

func hash(id string) uint32 {
	h := fnv.New32a()
	// Write of a hash never returns an error.
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// healthPath is the path of health checks.
const healthPath = "/healthz"

// heldUpTime is how long after a network fault calls may still arrive late because of it.
const heldUpTime = 3 * time.Second

// attemptTimeout returns the timeout that the entry sent with a call.
func attemptTimeout(req *http.Request) sequoiasill.Millis {
	millis, err := strconv.ParseInt(req.Header.Get("Deadline-Ms"), 10, 64)
	if err != nil {
		return noTimeout
	}
	return sequoiasill.Millis(millis)
}

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == healthPath {
		return
	}
	r.arrivals.Add(1)
	id := req.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	r.checker.recordArrival(id, r.service, attemptTimeout(req), r.proxy.faultyWithin(heldUpTime) || r.proxy.senderHeldWithin(req.RemoteAddr, heldUpTime))
	draining := r.draining.Load()
	if draining {
		r.setSignal(w, OmitDraining, "Server-Leaving", "1")
	}
	if req.Header.Get("Expect-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	limit := r.limitPer1000s.Load()
	if limit > 0 {
		r.setSignal(w, OmitRateLimit, "Server-Limit", strconv.FormatFloat(perSecond(limit), 'f', -1, 64))
	}
	r.checker.recordDelivery(id, link{r.proxy.sender(req.RemoteAddr), r.id}, draining, limit > 0)
	deadly := deadlyPartOf(req.Header.Get(headerPrompt))
	if deadly != "" {
		r.checker.recordPartArrival(id, deadly)
	}
	brittle, maxCalls := r.brittle.state()
	if brittle {
		r.setSignal(w, OmitBrittleness, "Server-Brittle", strconv.Itoa(withstoodRejections))
	}
	running := r.inFlight.Add(1)
	if brittle {
		setLoadReport(w, running)
	}
	if running > maxCalls || rand.Int64N(1000) < r.rejectsPer1000.Load() {
		r.inFlight.Add(-1)
		r.brittle.recordRejection()
		r.reject(w, req, id)
		return
	}
	defer r.inFlight.Add(-1)
	r.checker.recordExecution(id, r.id, req.Header.Get("Tenant"))
	defer r.checker.recordFinish(id)
	if strings.HasSuffix(req.URL.Path, "/"+crashPath) {
		r.crash(req)
		return
	}
	time.Sleep(rand.N(20*time.Millisecond) + time.Duration(r.extraLatencyMillis.Load())*time.Millisecond)
	if isLate(id) && strings.HasPrefix(req.URL.Path, routePaths[runOnce]) {
		time.Sleep(rand.N(maxLateWork))
	}
	if brittle {
		setLoadReport(w, r.inFlight.Load())
	}
	if deadly != "" {
		r.crashUnderPart(deadly)
	}
	switch draw := rand.Int64N(1000); {
	case draw < r.lossPer1000.Load():
		panic(http.ErrAbortHandler)
	case draw < r.lossPer1000.Load()+r.errorsPer1000.Load():
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Signature", "s")
	if rand.Int64N(1000) < r.unframedPer1000.Load() {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if req.URL.Path != routePaths[onceStream]+id && req.URL.Path != routePaths[resumableStream]+id {
		_, _ = fmt.Fprintf(w, "answer to %s", id)
		return
	}
	firstEvent := 0
	if lastEvent := req.Header.Get("Last-Event-Id"); lastEvent != "" {
		n, err := strconv.Atoi(lastEvent)
		if err != nil {
			r.checker.addViolation("call %s goes on after event %q", id, lastEvent)
			return
		}
		firstEvent = n + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := firstEvent; i < eventCount(id); i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, id); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		time.Sleep(rand.N(30 * time.Millisecond))
	}
}
