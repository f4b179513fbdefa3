package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/rationer"
)

// callKind is the kind of a call. Each kind has a route of its own.
type callKind int

const (
	runOnce         callKind = iota // must not be executed more than once
	repeatable                      // safe to retry
	onceStream                      // a stream that must not be executed more than once
	resumableStream                 // a stream that can be resumed on another upstream
)

// routePaths maps each kind to the path prefix of its route.
var routePaths = map[callKind]string{runOnce: "/once/", repeatable: "/read/", onceStream: "/long/", resumableStream: "/resume/"}

// service returns the service that executes calls of kind k.
func (k callKind) service() string {
	if k == onceStream || k == resumableStream {
		return streamService
	}
	return plainService
}

// maxUpstreams returns the number of upstreams that may execute a call of kind k.
func (k callKind) maxUpstreams() int {
	if k == repeatable || k == resumableStream {
		return 2
	}
	return 1
}

// callRecord records what the caller and the upstreams observed of a call.
type callRecord struct {
	kind             callKind
	entry            int    // number of the entry that the call was sent to
	sender           int    // number of the entry that sent it to an upstream last
	entryBuild       string // builds of these entries at that time
	senderBuild      string
	drainingUpstream string // upstream whose response announced draining; empty if none did
	limitingUpstream string // upstream whose response announced a rate limit; empty if none did
	key              string
	sent             time.Time
	executions       int
	finishes         int  // executions that have ended
	endedWithStop    bool // the end of a planned stop allowed no other end of the call
	status           int  // status code that the caller received; 0 for none
	writtenAt        time.Time
	end              string // way in which it ended without a response; empty if it got one
	endedAfter       time.Duration
	undisturbed      bool // no unplanned fault affected the call, which failed without a response
	old              bool // it was sent in full long before its end
	err              error
}

// checker checks the system's guarantees against what callers and upstreams observe.
type checker struct {
	mu            sync.Mutex
	calls         map[string]*callRecord
	builds        builds
	retries       *retryChecker
	signals       *signalChecker
	limits        *limitChecker
	prompts       *promptChecker
	partitions    *partitionChecker
	recoveries    recoveries // of the entries' connections to the platform
	violations    []string
	revokedAt     map[string]time.Time    // time at which the store held a configuration without the API key
	stops         map[int]plannedStop     // last planned stop, by entry
	drainingSince map[string]time.Time    // time from which the store showed the upstream as draining
	crashes       map[string]*crashRecord // by the body of the request that crashes upstreams
	activeFaults  int                     // unplanned faults that are active
	lastFaultEnd  time.Time               // of unplanned faults
	counts        Counts
	latencies     []time.Duration // of good calls to the plain service
	// shortestTimeout is the shortest timeout after which a configuration let an entry end a call.
	shortestTimeout time.Duration
}

func newChecker(retryLimits rationer.Limits) *checker {
	return &checker{
		calls: make(map[string]*callRecord), builds: make(builds), retries: newRetryChecker(retryLimits), signals: newSignalChecker(drainTimeout), limits: newLimitChecker(), prompts: newPromptChecker(), partitions: newPartitionChecker(), recoveries: recoveries{entries: make(map[string][]sequoiasill.Millis)}, revokedAt: make(map[string]time.Time), drainingSince: make(map[string]time.Time), stops: make(map[int]plannedStop), crashes: make(map[string]*crashRecord),
		counts: Counts{Faults: make(map[string]int), Lost: make(map[string]int)}, shortestTimeout: callerTimeout,
	}
}

func (c *checker) addViolationLocked(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// addViolation records a violated guarantee.
func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(format, args...)
}

// addCallViolation records a guarantee that is violated for a call.
func (c *checker) addCallViolation(id, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked("call %s "+format+"%s", append(append([]any{id}, args...), c.calls[id].describe())...)
}

// recordFault counts the start of a fault or of planned work. An unplanned fault is active
// until the returned function is called.
func (c *checker) recordFault(name string, planned bool) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Faults[name]++
	if planned {
		return func() {}
	}
	c.activeFaults++
	return sync.OnceFunc(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.activeFaults--
		c.lastFaultEnd = time.Now()
	})
}

// faultEffectTime is how long the effects of an unplanned fault may last after its end.
const faultEffectTime = 4 * time.Second

// undisturbedSince reports whether no unplanned fault was active, or had lasting effects, since
// a time. The caller must hold c.mu.
func (c *checker) undisturbedSince(since time.Time) bool {
	return c.activeFaults == 0 && c.lastFaultEnd.Add(faultEffectTime).Before(since)
}

// recordSend records that a caller sends a call to an entry.
func (c *checker) recordSend(id string, k callKind, key string, entry int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[id] = &callRecord{kind: k, key: key, entry: entry, sender: entry, entryBuild: c.builds[entry], senderBuild: c.builds[entry], sent: time.Now()}
	c.counts.Calls++
	c.retries.recordSend(nowMillis(), id, k.service(), k.maxUpstreams(), sequoiasill.MillisOf(callerTimeout))
}

func nowMillis() sequoiasill.Millis { return sequoiasill.Millis(time.Now().UnixMilli()) }

// recordArrival records that a call with a timeout arrives at an upstream of a service. heldUp
// says that the network may have delayed it.
func (c *checker) recordArrival(id, service string, timeout sequoiasill.Millis, heldUp bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retries.recordArrival(nowMillis(), id, service, timeout, heldUp)
}

// recordDelivery records that a call arrives at the upstream that it is addressed to, by which entry
// it was sent there, and whether the response announces draining or a rate limit. If the sender is
// unknown, it is taken to be the entry that the caller sent the call to.
func (c *checker) recordDelivery(id string, ln link, draining, limited bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.calls[id]
	if !ok {
		return
	}
	if ln.entry < 0 {
		ln.entry = r.entry
	}
	r.sender, r.senderBuild = ln.entry, c.builds[ln.entry]
	c.signals.recordArrival(nowMillis(), sequoiasill.Millis(r.sent.UnixMilli()), ln)
	c.limits.recordArrival(nowMillis(), sequoiasill.Millis(r.sent.UnixMilli()), ln)
	r.drainingUpstream, r.limitingUpstream = "", ""
	if draining {
		r.drainingUpstream = ln.upstream
	}
	if limited {
		r.limitingUpstream = ln.upstream
	}
}

// recordLimit records that an upstream announces a rate limit in its responses from now on, 0
// for none.
func (c *checker) recordLimit(upstream string, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rate == 0 {
		c.limits.recordLimitRemoved(upstream)
		return
	}
	c.limits.recordLimit(nowMillis(), upstream, rate)
}

// recordPause records that an upstream rejected a call and requested a pause from the entry that sent
// it, or if that is unknown, from the one that the caller sent the call to. The call may have been
// sent by another entry since.
func (c *checker) recordPause(at sequoiasill.Millis, id string, ln link, duration sequoiasill.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.calls[id]
	if !ok {
		return
	}
	if ln.entry < 0 {
		ln.entry = r.entry
	}
	c.signals.recordPause(at, ln, duration)
}

// recordStart records that an entry is started with a build.
func (c *checker) recordStart(e *entry, build string) {
	c.mu.Lock()
	if build != "" {
		c.builds[e.number] = build
	}
	c.mu.Unlock()
	c.recordDisruption(e)
}

// recordDisruption records that an entry is started, stopped, paused or resumed, or that its
// connection to the store is restored.
func (c *checker) recordDisruption(e *entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.signals.recordDisruption(nowMillis(), e.number)
	c.limits.recordDisruption(nowMillis(), e.number)
	c.prompts.recordDisruption(nowMillis(), e.number)
	c.partitions.recordDisruption(nowMillis(), e.number)
	c.recoveries.entries[e.name()] = append(c.recoveries.entries[e.name()], nowMillis())
}

// recordStoreFault records that a fault of the store is active or ends.
func (c *checker) recordStoreFault() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recoveries.store = append(c.recoveries.store, nowMillis())
}

const (
	// maxRevocationDelay is the time until every entry must reject a revoked key: the bound on
	// applying a configuration plus the delay that an unstable store adds.
	maxRevocationDelay = 7 * time.Second
	// maxDrainDelay is the time after which a draining upstream must receive no calls.
	maxDrainDelay = 7 * time.Second
)

// recordExecution records that an upstream starts to execute a call.
func (c *checker) recordExecution(id, upstream, organisation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.calls[id]
	if !ok {
		c.addViolationLocked("%s runs call %s, which nobody sent", upstream, id)
		return
	}
	r.executions++
	c.retries.recordExecution(id, upstream)
	if r.executions > 1 && (r.kind == runOnce || r.kind == onceStream) {
		c.addViolationLocked("call %s ran %d times%s", id, r.executions, r.describe())
	}
	if r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable {
		c.addViolationLocked("call %s runs at %s after it was refused with %d%s", id, upstream, r.status, r.describe())
	}
	if organisation != "small" {
		c.addViolationLocked("call %s runs for organisation %q", id, organisation)
	}
	if at, ok := c.revokedAt[r.key]; ok && r.sent.After(at.Add(maxRevocationDelay)) {
		c.addViolationLocked("call %s runs with a key that was dropped %s before it was sent%s", id, r.sent.Sub(at), r.describe())
	}
	if at, ok := c.drainingSince[upstream]; ok && time.Since(at) > maxDrainDelay {
		c.addViolationLocked("call %s runs at %s, which drains since %s%s", id, upstream, time.Since(at), r.describe())
	}
}

// recordResult records the result that a caller received. err is nil for a complete response.
func (c *checker) recordResult(id string, status int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.calls[id]
	// The execution may be observed later, so results checks the end.
	c.recordEnd(r, status, err)
	if err != nil {
		c.counts.NoResponse++
		return
	}
	r.status = status
	if r.drainingUpstream != "" && status != http.StatusServiceUnavailable {
		c.signals.recordDrainingResponse(nowMillis(), link{r.sender, r.drainingUpstream})
	}
	if r.limitingUpstream != "" && status != http.StatusServiceUnavailable {
		c.limits.recordLimitResponse(nowMillis(), link{r.sender, r.limitingUpstream})
	}
	switch status {
	case http.StatusOK:
		c.counts.Succeeded++
		if r.kind.service() == plainService && !isLate(id) {
			c.latencies = append(c.latencies, time.Since(r.sent))
		}
		if r.executions == 0 {
			c.addViolationLocked("call %s got a success that no upstream gave%s", id, r.describe())
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.counts.Refused++
		if r.executions > 0 && (r.kind == runOnce || r.kind == onceStream) {
			c.addViolationLocked("call %s was refused with %d and has run%s", id, status, r.describe())
		}
	default:
		c.counts.Failed++
	}
}

// checkLateResult checks the result of a call whose request was completed late and has been whole for some
// time. Without an answer it is lost, whether or not it was passed on.
func (c *checker) checkLateResult(id string, whole time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.calls[id]; r.err != nil && r.undisturbed && whole > lossSlack {
		c.addViolationLocked("call %s was whole for %s and ended without an answer under planned work only: %v%s", id, whole, r.err, r.describe())
	}
}

// checkStop checks the time that an entry took to stop, unless a fault prolonged it. The platform
// kills the process after the grace period.
func (c *checker) checkStop(e *entry, began time.Time) {
	took := time.Since(began)
	c.mu.Lock()
	defer c.mu.Unlock()
	if took > e.grace() && c.undisturbedSince(began) {
		c.addViolationLocked("entry %d took %s to stop, %s are allowed", e.number, took, e.grace())
	}
}

// recordPartCrash records that a part of a prompt crashes an upstream.
func (c *checker) recordPartCrash(part string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prompts.recordCrash(nowMillis(), part)
}

// recordPartArrival records that a call with a part that crashes upstreams arrives at one.
func (c *checker) recordPartArrival(id, part string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.calls[id]; ok {
		c.prompts.recordArrival(nowMillis(), part, r.entry, r.senderBuild)
	}
}

// observeSound starts the observation of a sound call. The returned function ends it. The call is
// recorded only if no other fault affected it and the same part crashed upstreams all the while.
func (c *checker) observeSound(id string, deadlyPart func() string) (end func()) {
	part := deadlyPart()
	return func() {
		same := deadlyPart() == part
		c.mu.Lock()
		defer c.mu.Unlock()
		r := c.calls[id]
		alone := c.undisturbedSince(r.sent)
		if part != "" {
			alone = c.activeFaults == 1 && c.lastFaultEnd.Add(faultEffectTime).Before(r.sent)
		}
		if same && alone {
			c.prompts.recordSound(sequoiasill.Millis(r.sent.UnixMilli()), part, r.status == http.StatusOK)
		}
	}
}

// recordPartition records that entries were partitioned from all replicas.
func (c *checker) recordPartition(p partitionPeriod) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitions.periods = append(c.partitions.periods, p)
}

func (c *checker) recordKeyRevocation(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revokedAt[key] = time.Now()
}

func (c *checker) recordDraining(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainingSince[upstream] = time.Now()
}

// results returns the violations and the counts of the run.
func (c *checker) results() ([]string, Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.calls {
		c.partitions.calls = append(c.partitions.calls, partitionCall{sent: sequoiasill.Millis(r.sent.UnixMilli()), entry: r.entry, served: r.status == http.StatusOK && r.err == nil})
	}
	lost := c.lostCalls()
	slices.Sort(c.latencies)
	c.counts.MedianLatency, c.counts.HighLatency = percentile(c.latencies, 50), percentile(c.latencies, 99)
	stranded := c.partitions.results()
	c.counts.PartitionedServed, c.counts.PartitionedCalls = c.partitions.served, c.partitions.counted
	c.counts.Retries, c.counts.WorstWindows = c.retries.auditor.Repeats(), c.retries.auditor.WorstWindows(c.retries.limits)
	c.counts.RateLimited, c.counts.MaxRateLimitUse = c.limits.checkedCalls, c.limits.maxUse
	return slices.Concat(c.violations, lost, c.retries.violations(), c.signals.violations, c.limits.violations, c.prompts.results(), stranded), c.counts
}
