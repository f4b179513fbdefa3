package throttler_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/throttler"
)

// The bound on arrivals at an upstream that limits its calls. It applies to windows of
// boundSpan from announcedAt+settleTime on, and to calls of entries that received the limit
// at least gracePeriod ago.
const (
	boundSpan   = 4 * sequoiasill.Second
	settleTime  = 3 * sequoiasill.Second
	gracePeriod = 500 * sequoiasill.Millis(1)
)

// simulation runs entries, upstreams that limit their calls, and a keeper of each limit on a
// virtual clock. Messages between entries are delayed and may be lost.
type simulation struct {
	now          sequoiasill.Millis
	rand         *rand.Rand
	events       events
	entries      []*simEntry
	upstreams    []*simUpstream
	loss         float64
	injectFaults bool
	violations   []string
	nextID       uint64
}

type event struct {
	due  sequoiasill.Millis
	seq  uint64
	call func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].due < e[j].due || e[i].due == e[j].due && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simEntry is a simulated entry.
type simEntry struct {
	sim         *simulation
	name        string
	process     int
	knowsLimit  []bool // by upstream
	deniedUntil []sequoiasill.Millis
	unreported  []bool                // by upstream: the keeper has not acknowledged a report
	sent        []map[string]*sendLog // by upstream and Granter
	throttler   *throttler.Throttler
	disturbedAt sequoiasill.Millis // time of the last restart, or of the last start or end of a pause
	pausedUntil sequoiasill.Millis
}

// sendLog records the calls that an entry sent under one Granter.
type sendLog struct {
	arrivals    []sequoiasill.Millis
	outstanding int
}

// sendsUnder returns the log of the calls that one Granter permitted, "" for calls without a
// permit.
func (entry *simEntry) sendsUnder(u *simUpstream, granter string) *sendLog {
	log := entry.sent[u.number][granter]
	if log == nil {
		log = &sendLog{}
		entry.sent[u.number][granter] = log
	}
	return log
}

// simUpstream is a simulated upstream that limits its calls from limitsFrom on.
type simUpstream struct {
	number             int
	limitsFrom         sequoiasill.Millis
	announcedAt        sequoiasill.Millis // time of the first announcement, 0 before
	disseminated       bool               // the limit is being sent to all entries
	rate               float64
	keeper             int
	announcedTo        map[string]sequoiasill.Millis
	arrivals           []arrival
	pausedUntil        sequoiasill.Millis // reads no calls before
	arrivalsUnderLimit int                // arrivals after announcedAt+settleTime
}

type arrival struct {
	at      sequoiasill.Millis
	entry   *simEntry
	process int // process of the entry that sent the call
	sent    sequoiasill.Millis
}

func (u *simUpstream) id() throttler.Upstream {
	return throttler.Upstream{Name: fmt.Sprint("u", u.number), StartedAt: 1}
}

func (sim *simulation) after(span sequoiasill.Millis, call func()) {
	sim.nextID++
	heap.Push(&sim.events, event{due: sim.now + max(span, 0), seq: sim.nextID, call: call})
}

// deliver sends a message to an entry, unless the message is lost.
func (sim *simulation) deliver(to *simEntry, call func()) {
	if sim.rand.Float64() < sim.loss {
		return
	}
	sim.after(1+sequoiasill.Millis(sim.rand.IntN(4)), func() { sim.whenRunning(to, call) })
}

// whenRunning runs call now, or at the end of the entry's pause.
func (sim *simulation) whenRunning(entry *simEntry, call func()) {
	if entry.pausedUntil > sim.now {
		sim.after(entry.pausedUntil-sim.now, func() { sim.whenRunning(entry, call) })
		return
	}
	call()
}

func (sim *simulation) entryNames() []string {
	var out []string
	for _, entry := range sim.entries {
		out = append(out, entry.name)
	}
	return out
}

func newSimulation(seed uint64, entries, upstreams int, rate float64, faults bool) *simulation {
	sim := &simulation{rand: rand.New(rand.NewPCG(seed, 1)), injectFaults: faults, loss: 0.025}
	for i := range entries {
		sim.entries = append(sim.entries, &simEntry{sim: sim, name: fmt.Sprintf("e%03d", i)})
	}
	for i := range upstreams {
		sim.upstreams = append(sim.upstreams, &simUpstream{
			number: i, limitsFrom: begin + sequoiasill.Millis(sim.rand.IntN(1000)), rate: rate, keeper: sim.rand.IntN(entries),
			announcedTo: make(map[string]sequoiasill.Millis),
		})
	}
	for _, entry := range sim.entries {
		entry.start(0)
	}
	return sim
}

// start starts a new process of the entry, without any state.
func (entry *simEntry) start(now sequoiasill.Millis) {
	n := len(entry.sim.upstreams)
	entry.process++
	entry.knowsLimit, entry.deniedUntil, entry.unreported = make([]bool, n), make([]sequoiasill.Millis, n), make([]bool, n)
	entry.sent = make([]map[string]*sendLog, n)
	for i := range entry.sent {
		entry.sent[i] = make(map[string]*sendLog)
	}
	entry.throttler = throttler.New(now, entry.processID(), entry.sim.rand.Uint64())
	entry.throttler.SetMembers(entry.sim.entryNames(), len(entry.sim.entries))
}

// processID returns the unique name of the entry's process.
func (entry *simEntry) processID() string { return fmt.Sprint(entry.name, "/", entry.process) }

// run simulates calls at a rate over all entries, and faults, until a time.
func (sim *simulation) run(calls float64, until sequoiasill.Millis) {
	sim.now = begin - 6*sequoiasill.Second
	for _, entry := range sim.entries {
		sim.scheduleCalls(entry, calls/float64(len(sim.entries)))
		sim.scheduleTicks(entry)
	}
	if sim.injectFaults {
		sim.after(6*sequoiasill.Second, sim.injectFault)
	}
	for len(sim.events) > 0 && sim.events[0].due <= until {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.due
		e.call()
	}
}

func (sim *simulation) scheduleCalls(entry *simEntry, rate float64) {
	sim.after(sequoiasill.Millis(sim.rand.ExpFloat64()/rate*1000), func() {
		if entry.pausedUntil <= sim.now {
			entry.call()
		}
		sim.scheduleCalls(entry, rate)
	})
}

func (sim *simulation) scheduleTicks(entry *simEntry) {
	sim.after(250, func() {
		sim.whenRunning(entry, func() {
			entry.throttler.Tick(sim.now)
			entry.exchangeReports()
		})
		sim.scheduleTicks(entry)
	})
}

// exchangeReports resends unacknowledged reports and requests missing ones.
func (entry *simEntry) exchangeReports() {
	for _, u := range entry.sim.upstreams {
		if entry.unreported[u.number] {
			entry.sendReport(u)
		}
		if entry.sim.entries[u.keeper] != entry {
			entry.throttler.Drop(u.id())
			continue
		}
		for _, name := range entry.throttler.Missing(entry.sim.now, u.id()) {
			for _, other := range entry.sim.entries {
				if other.name == name {
					entry.sim.deliver(other, func() { other.sendReport(u) })
				}
			}
		}
	}
}

// sendReport marks the limit as known and reports this entry's calls to the keeper.
func (entry *simEntry) sendReport(u *simUpstream) {
	sim, keeper, deliverReport := entry.sim, entry.sim.entries[u.keeper], entry.prepareReport(u, entry.sim.entries[u.keeper])
	entry.knowsLimit[u.number], entry.unreported[u.number] = true, true
	process := entry.process
	sim.deliver(keeper, func() {
		deliverReport()
		sim.deliver(entry, func() {
			if entry.process == process {
				entry.unreported[u.number] = false
			}
		})
	})
}

// prepareReport returns a function that delivers to the keeper a report of the calls sent up
// to now.
func (entry *simEntry) prepareReport(u *simUpstream, keeper *simEntry) func() {
	sim := entry.sim
	sim.nextID++
	r := throttler.Report{Entry: entry.name, Process: entry.processID(), Sequence: sim.nextID}
	for granter, log := range entry.sent[u.number] {
		s := throttler.SentCalls{Granter: granter, Outstanding: log.outstanding}
		for _, at := range log.arrivals {
			if sim.now-at <= throttler.CountWindow {
				s.Ages = append(s.Ages, sim.now-at)
			}
		}
		r.Sends = append(r.Sends, s)
	}
	return func() {
		keeper.throttler.HandleAnnouncement(sim.now, sim.now, u.id(), u.rate)
		keeper.throttler.MergeReport(sim.now, u.id(), r)
	}
}

// call sends a caller's call to a random upstream, with a permit if its limit is known.
func (entry *simEntry) call() {
	sim := entry.sim
	u := sim.upstreams[sim.rand.IntN(len(sim.upstreams))]
	if !entry.knowsLimit[u.number] {
		entry.send(u, "", throttler.Call{})
		return
	}
	if entry.deniedUntil[u.number] > sim.now {
		return
	}
	entry.ask(u)
}

// askTimeout is the time for which an entry waits for the keeper's decision.
const askTimeout = 150 * sequoiasill.Millis(1)

func (entry *simEntry) ask(u *simUpstream) {
	sim := entry.sim
	sim.nextID++
	id, process, answered, used := throttler.Call{Process: entry.processID(), ID: sim.nextID}, entry.process, false, false
	keeper := sim.entries[u.keeper]
	sim.after(askTimeout, func() { answered = true })
	for _, delay := range []sequoiasill.Millis{0, 50, 100} {
		sim.after(delay, func() {
			if answered {
				return
			}
			deliverReport := entry.prepareReport(u, keeper)
			sim.deliver(keeper, func() {
				deliverReport()
				d := keeper.throttler.Ask(sim.now, u.id(), entry.name, id)
				sim.deliver(entry, func() {
					switch {
					case entry.process != process, used:
					case d.Granted && answered:
						sim.deliver(keeper, func() { keeper.throttler.FinishCall(sim.now, u.id(), id, throttler.Unsent) })
					case d.Granted:
						answered, used = true, true
						entry.send(u, d.Granter, id)
					case !answered:
						answered = true
						entry.deniedUntil[u.number] = sim.now + d.Wait
					}
				})
			})
		})
	}
}

// send sends a call to an upstream, which reads it when it is not paused.
func (entry *simEntry) send(u *simUpstream, granter string, id throttler.Call) {
	sim := entry.sim
	log := entry.sendsUnder(u, granter)
	log.outstanding++
	process, keeper, sent := entry.process, sim.entries[u.keeper], sim.now
	sim.after(1+sequoiasill.Millis(sim.rand.IntN(5)), func() {
		sim.after(u.pausedUntil-sim.now, func() {
			limited := sim.now >= u.limitsFrom
			if limited && u.announcedAt == 0 {
				u.announcedAt = sim.now
			}
			u.arrive(sim, arrival{sim.now, entry, process, sent})
			sim.after(20+sequoiasill.Millis(sim.rand.IntN(200)), func() {
				sim.whenRunning(entry, func() { entry.handleResponse(u, keeper, log, process, id, limited) })
			})
		})
	})
}

func (entry *simEntry) handleResponse(u *simUpstream, keeper *simEntry, log *sendLog, process int, id throttler.Call, limited bool) {
	sim := entry.sim
	if entry.process != process {
		return
	}
	log.outstanding--
	log.arrivals = append(log.arrivals, sim.now)
	if _, announced := u.announcedTo[entry.name]; limited && !announced {
		u.announcedTo[entry.name] = sim.now
	}
	if limited && !entry.knowsLimit[u.number] {
		entry.sendReport(u)
		u.disseminate(sim)
	}
	if id.ID > 0 {
		sim.deliver(keeper, func() { keeper.throttler.FinishCall(sim.now, u.id(), id, throttler.Arrived) })
	}
}

// disseminate informs all entries of the limit, once.
func (u *simUpstream) disseminate(sim *simulation) {
	if u.disseminated {
		return
	}
	u.disseminated = true
	for _, entry := range sim.entries {
		sim.after(sequoiasill.Millis(5+sim.rand.IntN(600)), func() { sim.whenRunning(entry, func() { entry.sendReport(u) }) })
	}
}

// arrive checks an arriving call against the bound. A call that was sent before its entry
// received the limit is not checked itself, but counts in the windows of later arrivals.
func (u *simUpstream) arrive(sim *simulation, a arrival) {
	u.arrivals = append(u.arrivals, a)
	if u.announcedAt == 0 || sim.now < u.announcedAt+settleTime {
		return
	}
	u.arrivalsUnderLimit++
	if !u.counts(sim.now, a) || a.sent < u.announcedTo[a.entry.name] {
		return
	}
	n := 0
	for _, a := range u.arrivals {
		if u.counts(sim.now, a) {
			n++
		}
	}
	if allowed := 1.5*boundSpan.Duration().Seconds()*u.rate + 5; float64(n) > allowed {
		sim.violations = append(sim.violations, fmt.Sprintf("%s: %d calls arrived at upstream %d in %s, %.1f are allowed", sim.now, n, u.number, boundSpan, allowed))
	}
}

// counts reports whether an arrival counts against the bound.
func (u *simUpstream) counts(now sequoiasill.Millis, a arrival) bool {
	announcedAt, ok := u.announcedTo[a.entry.name]
	return ok && announcedAt+gracePeriod <= now && a.at > now-boundSpan && a.at > a.entry.disturbedAt && a.process == a.entry.process
}

// injectFault injects a random fault and schedules the next one.
func (sim *simulation) injectFault() {
	u := sim.upstreams[sim.rand.IntN(len(sim.upstreams))]
	entry := sim.entries[sim.rand.IntN(len(sim.entries))]
	if sim.rand.IntN(2) == 0 {
		entry = sim.entries[u.keeper]
	}
	span := sequoiasill.Millis(200 + sim.rand.IntN(6000))
	switch sim.rand.IntN(4) {
	case 0: // the upstream pauses
		u.pausedUntil = max(u.pausedUntil, sim.now+span)
	case 1: // an entry restarts
		entry.start(sim.now)
		sim.disturb(entry)
		for _, u := range sim.upstreams {
			if u.disseminated {
				sim.after(sequoiasill.Millis(100+sim.rand.IntN(1000)), func() { entry.sendReport(u) })
			}
		}
	case 2: // another entry becomes the keeper of the limit
		sim.entries[u.keeper].throttler.Drop(u.id())
		u.keeper = sim.rand.IntN(len(sim.entries))
	case 3: // an entry pauses
		entry.pausedUntil = sim.now + span
		sim.disturb(entry)
		sim.after(span, func() { sim.disturb(entry) })
	}
	sim.after(sequoiasill.Millis(sim.rand.IntN(4000)), sim.injectFault)
}

func (sim *simulation) disturb(entry *simEntry) {
	entry.disturbedAt = sim.now
	for _, u := range sim.upstreams {
		delete(u.announcedTo, entry.name)
	}
}

// sizes are the smallest and the largest supported deployment.
var sizes = map[string]struct {
	entries, upstreams int
	calls              float64 // per second
	seeds              uint64
}{
	"9 entries":   {9, 3, 100, 60},
	"295 entries": {295, 5, 400, 6},
}

// In random simulations no upstream receives more calls than the bound allows, despite
// pauses of entries and upstreams, restarts, and changes of keeper.
func TestEntriesTogetherKeepToLimit(t *testing.T) {
	for name, size := range sizes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range size.seeds {
				rate := []float64{0.3, 1.6, 2.8, 12}[seed%4]
				sim := newSimulation(seed, size.entries, size.upstreams, rate, true)
				sim.run(size.calls, begin+60*sequoiasill.Second)
				for _, b := range sim.violations {
					t.Errorf("seed %d, %g a second: %s", seed, rate, b)
				}
			}
		})
	}
}

// An upstream receives most of the calls that its limit allows while demand exceeds it.
func TestLimitIsUsed(t *testing.T) {
	for name, size := range sizes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, rate := range []float64{0.5, 1.6, 8} {
				const span = 60 * sequoiasill.Second
				sim := newSimulation(1, size.entries, size.upstreams, rate, false)
				sim.run(size.calls, begin+span)
				for _, u := range sim.upstreams {
					if got, want := float64(u.arrivalsUnderLimit), 0.8*rate*(span-settleTime).Duration().Seconds(); got < want {
						t.Errorf("upstream %d got %.0f calls at %g a second, at least %.0f are wanted", u.number, got, rate, want)
					}
				}
			}
		})
	}
}
