package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/auditor"
	"sequoiasill.dev/sequoiasill/decide/rationer"
)

// kind is a kind of call.
type kind int

const (
	once      kind = iota // may run once
	read                  // may run any number of times
	long                  // a stream that may run once
	resumable             // a stream that may go on elsewhere
)

// kinds are all kinds with the paths of their routes.
var kinds = map[kind]string{once: "/once/", read: "/read/", long: "/long/", resumable: "/resume/"}

// service returns the service that runs calls of a kind.
func (k kind) service() string {
	if k == long || k == resumable {
		return model
	}
	return plain
}

// attempts returns how many upstreams may run a call of a kind.
func (k kind) attempts() int {
	if k == read || k == resumable {
		return 2
	}
	return 1
}

// record is what callers and upstreams saw of a call.
type record struct {
	kind   kind
	entry  int    // that the call is sent to
	leaver string // upstream that said with the answer that it leaves, empty for none
	named  string // upstream that named a limit with the answer, empty for none
	key    string
	sent   time.Time
	runs   int
	status int  // that the caller got, 0 for none
	calm   bool // no unplanned fault from its sending until it ended without an answer
	lost   error
}

// judge checks the promises from what callers and upstreams see.
type judge struct {
	mu        sync.Mutex
	calls     map[string]*record
	budget    *budget
	heeding   *heeding
	limits    *limits
	heals     heals // of the ways to the platform
	faults    []string
	revoked   map[string]time.Time // keys, by when the store had the configuration without them
	leaving   map[string]time.Time // upstreams, by when the store showed that they drain
	crashes   map[string]*crashes  // by the body of the request under which upstreams crash
	active    int                  // unplanned faults in progress
	lastFault time.Time            // end of the last one
	counts    Counts
}

// Counts are what happened in a run.
type Counts struct {
	Calls, Good, Refused, Failed, Cut int
	Events                            map[string]int // by kind of fault or planned work
	Repeats                           int
	Fullest                           []auditor.Window // of the bound on repeats, by service
	Limited                           int              // calls that came to upstreams whose limit held
	FullestLimit                      float64          // part of what is allowed that came in the fullest window
}

func newJudge(repeats rationer.Limits) *judge {
	return &judge{
		calls: make(map[string]*record), budget: newBudget(repeats), heeding: newHeeding(drainBound), limits: newLimits(), heals: heals{entries: make(map[string][]sequoiasill.Millis)}, revoked: make(map[string]time.Time), leaving: make(map[string]time.Time), crashes: make(map[string]*crashes),
		counts: Counts{Events: make(map[string]int)},
	}
}

func (j *judge) fail(format string, args ...any) {
	j.faults = append(j.faults, fmt.Sprintf(format, args...))
}

// broken adds a promise that was broken.
func (j *judge) broken(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fail(format, args...)
}

// event counts a fault or planned work. An unplanned one is active until the
// returned function is called.
func (j *judge) event(name string, planned bool) (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts.Events[name]++
	if planned {
		return func() {}
	}
	j.active++
	return sync.OnceFunc(func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.active--
		j.lastFault = time.Now()
	})
}

// calmSpan is how long after an unplanned fault its effects may still be seen.
const calmSpan = 4 * time.Second

// calm reports whether there was no unplanned fault since a time.
func (j *judge) calm(since time.Time) bool {
	return j.active == 0 && j.lastFault.Add(calmSpan).Before(since)
}

// send notes that a caller sends a call to an entry.
func (j *judge) send(id string, k kind, key string, entry int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls[id] = &record{kind: k, key: key, entry: entry, sent: time.Now()}
	j.counts.Calls++
	j.budget.sent(now(), id, k.service(), k.attempts(), sequoiasill.MillisOf(callerSpan))
}

func now() sequoiasill.Millis { return sequoiasill.Millis(time.Now().UnixMilli()) }

// arrive notes that a call comes to an upstream of a service with a time limit, held up
// on its way or not.
func (j *judge) arrive(id, service string, limit sequoiasill.Millis, heldUp bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.budget.arrived(now(), id, service, limit, heldUp)
}

// reach notes that a call comes to the upstream that it was meant for, which says with the
// answer that it leaves, or not, and names a limit or none.
func (j *judge) reach(id, upstream string, leaves, limited bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r, ok := j.calls[id]
	if !ok {
		return
	}
	j.heeding.arrived(now(), sequoiasill.Millis(r.sent.UnixMilli()), way{r.entry, upstream})
	j.limits.arrived(now(), sequoiasill.Millis(r.sent.UnixMilli()), way{r.entry, upstream})
	r.leaver, r.named = "", ""
	if leaves {
		r.leaver = upstream
	}
	if limited {
		r.named = upstream
	}
}

// limit notes that an upstream names a limit in its answers from now on, 0 for none.
func (j *judge) limit(upstream string, rate float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if rate == 0 {
		j.limits.lifted(upstream)
		return
	}
	j.limits.named(now(), upstream, rate)
}

// askPause notes that an upstream refused a call at a time and asked its entry for a pause.
func (j *judge) askPause(at sequoiasill.Millis, id, upstream string, span sequoiasill.Millis) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r, ok := j.calls[id]; ok {
		j.heeding.asked(at, way{r.entry, upstream}, span)
	}
}

// disturb notes that an entry is restarted, stands still or goes on.
func (j *judge) disturb(e *entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.heeding.disturb(now(), e.number)
	j.limits.disturb(now(), e.number)
	j.heals.entries[e.name()] = append(j.heals.entries[e.name()], now())
}

// storeTroubled notes that a trouble of the platform is in progress, or ends.
func (j *judge) storeTroubled() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.heals.store = append(j.heals.store, now())
}

const (
	// revokeSpan is the time within which a dropped key is refused everywhere: the
	// bound on a configuration, and what an unstable store adds to it.
	revokeSpan = 7 * time.Second
	// drainSpan is the time within which an upstream that drains gets no further call.
	drainSpan = 7 * time.Second
)

// run notes that an upstream begins to run a call.
func (j *judge) run(id, upstream, organisation string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r, ok := j.calls[id]
	if !ok {
		j.fail("%s runs call %s, which nobody sent", upstream, id)
		return
	}
	r.runs++
	j.budget.began(id, upstream)
	if r.runs > 1 && (r.kind == once || r.kind == long) {
		j.fail("call %s ran %d times", id, r.runs)
	}
	if r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable {
		j.fail("call %s runs at %s after it was refused with %d", id, upstream, r.status)
	}
	if organisation != "small" {
		j.fail("call %s runs for organisation %q", id, organisation)
	}
	if at, ok := j.revoked[r.key]; ok && r.sent.After(at.Add(revokeSpan)) {
		j.fail("call %s runs with a key that was dropped %s before it was sent", id, r.sent.Sub(at))
	}
	if at, ok := j.leaving[upstream]; ok && time.Since(at) > drainSpan {
		j.fail("call %s runs at %s, which drains since %s", id, upstream, time.Since(at))
	}
}

// answered notes what a caller got. An answer that ends whole has no err.
func (j *judge) answered(id string, status int, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.calls[id]
	if err != nil {
		// Whether it ran may be seen later; results looks. A call that reached its time
		// limit may be cut.
		j.counts.Cut++
		r.calm, r.lost = j.calm(r.sent) && time.Since(r.sent) < callerSpan, err
		return
	}
	r.status = status
	if r.leaver != "" && status != http.StatusServiceUnavailable {
		j.heeding.passedOn(now(), way{r.entry, r.leaver})
	}
	if r.named != "" && status != http.StatusServiceUnavailable {
		j.limits.passedOn(now(), way{r.entry, r.named})
	}
	switch status {
	case http.StatusOK:
		j.counts.Good++
		if r.runs == 0 {
			j.fail("call %s got a success that no upstream gave", id)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		j.counts.Refused++
		if r.runs > 0 && (r.kind == once || r.kind == long) {
			j.fail("call %s was refused with %d and has run", id, status)
		}
	default:
		j.counts.Failed++
	}
}

const (
	// crashSpan is the time from the third crash under a request within which all
	// entries refuse it, and mostCrashes how often it may still reach an upstream later.
	crashSpan   = 3 * time.Second
	mostCrashes = 3
	killAll     = "kill all entries"
)

// crashes are those under one request.
type crashes struct {
	count int
	third time.Time
	late  int // later than crashSpan after the third
}

// crash notes that an upstream crashes under a request. Entries that are all killed
// know nothing of it any more.
func (j *judge) crash(body string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := j.crashes[body]
	if c == nil {
		c = &crashes{}
		j.crashes[body] = c
	}
	c.count++
	if c.count == 3 {
		c.third = time.Now()
	}
	if c.count > 3 && time.Since(c.third) > crashSpan {
		c.late++
	}
	if most := mostCrashes * (1 + j.counts.Events[killAll]); c.late > most {
		j.fail("%s reached an upstream %d times later than %s after its third crash", body, c.late, crashSpan)
	}
}

func (j *judge) revoke(key string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.revoked[key] = time.Now()
}

func (j *judge) drain(upstream string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leaving[upstream] = time.Now()
}

// results looks at the calls without an answer, of which none may have run under
// planned work only, and returns the promises that were broken and the counts.
func (j *judge) results() ([]string, Counts) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, r := range j.calls {
		if r.lost != nil && r.calm && r.runs > 0 {
			j.fail("call %s ran and ended without an answer under planned work only: %v", id, r.lost)
		}
	}
	j.counts.Repeats, j.counts.Fullest = j.budget.audit.Repeats(), j.budget.audit.WorstWindows(j.budget.bound)
	j.counts.Limited, j.counts.FullestLimit = j.limits.counted, j.limits.fullest
	return slices.Concat(j.faults, j.budget.findings(), j.heeding.broken, j.limits.broken), j.counts
}
