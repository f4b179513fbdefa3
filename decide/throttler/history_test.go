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

// simulation runs entries, upstreams that limit their calls, and an owner of each limit on a
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
	w           *simulation
	name        string
	process     int
	knowsLimit  []bool // by upstream
	deniedUntil []sequoiasill.Millis
	unreported  []bool                // by upstream: the owner has not acknowledged a report
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
func (p *simEntry) sendsUnder(u *simUpstream, granter string) *sendLog {
	t := p.sent[u.number][granter]
	if t == nil {
		t = &sendLog{}
		p.sent[u.number][granter] = t
	}
	return t
}

// simUpstream is a simulated upstream that limits its calls from limitsFrom on.
type simUpstream struct {
	number             int
	limitsFrom         sequoiasill.Millis
	announcedAt        sequoiasill.Millis // time of the first announcement, 0 before
	disseminated       bool               // the limit is being sent to all entries
	rate               float64
	owner              int
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
	return throttler.Upstream{Name: fmt.Sprint("u", u.number), Born: 1}
}

func (w *simulation) after(span sequoiasill.Millis, call func()) {
	w.nextID++
	heap.Push(&w.events, event{due: w.now + max(span, 0), seq: w.nextID, call: call})
}

// deliver sends a message to an entry, unless the message is lost.
func (w *simulation) deliver(to *simEntry, call func()) {
	if w.rand.Float64() < w.loss {
		return
	}
	w.after(1+sequoiasill.Millis(w.rand.IntN(4)), func() { w.whenRunning(to, call) })
}

// whenRunning runs call now, or at the end of the entry's pause.
func (w *simulation) whenRunning(p *simEntry, call func()) {
	if p.pausedUntil > w.now {
		w.after(p.pausedUntil-w.now, func() { w.whenRunning(p, call) })
		return
	}
	call()
}

func (w *simulation) entryNames() []string {
	var out []string
	for _, p := range w.entries {
		out = append(out, p.name)
	}
	return out
}

func newSimulation(seed uint64, entries, upstreams int, rate float64, faults bool) *simulation {
	w := &simulation{rand: rand.New(rand.NewPCG(seed, 1)), injectFaults: faults, loss: 0.025}
	for i := range entries {
		w.entries = append(w.entries, &simEntry{w: w, name: fmt.Sprintf("e%03d", i)})
	}
	for i := range upstreams {
		w.upstreams = append(w.upstreams, &simUpstream{
			number: i, limitsFrom: begin + sequoiasill.Millis(w.rand.IntN(1000)), rate: rate, owner: w.rand.IntN(entries),
			announcedTo: make(map[string]sequoiasill.Millis),
		})
	}
	for _, p := range w.entries {
		p.start(0)
	}
	return w
}

// start starts a new process of the entry, without any state.
func (p *simEntry) start(now sequoiasill.Millis) {
	n := len(p.w.upstreams)
	p.process++
	p.knowsLimit, p.deniedUntil, p.unreported = make([]bool, n), make([]sequoiasill.Millis, n), make([]bool, n)
	p.sent = make([]map[string]*sendLog, n)
	for i := range p.sent {
		p.sent[i] = make(map[string]*sendLog)
	}
	p.throttler = throttler.New(now, p.processID(), p.w.rand.Uint64())
	p.throttler.SetMembers(p.w.entryNames(), len(p.w.entries))
}

// processID returns the unique name of the entry's process.
func (p *simEntry) processID() string { return fmt.Sprint(p.name, "/", p.process) }

// run simulates calls at a rate over all entries, and faults, until a time.
func (w *simulation) run(calls float64, until sequoiasill.Millis) {
	w.now = begin - 6*sequoiasill.Second
	for _, p := range w.entries {
		w.scheduleCalls(p, calls/float64(len(w.entries)))
		w.scheduleTicks(p)
	}
	if w.injectFaults {
		w.after(6*sequoiasill.Second, w.injectFault)
	}
	for len(w.events) > 0 && w.events[0].due <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.due
		e.call()
	}
}

func (w *simulation) scheduleCalls(p *simEntry, rate float64) {
	w.after(sequoiasill.Millis(w.rand.ExpFloat64()/rate*1000), func() {
		if p.pausedUntil <= w.now {
			p.call()
		}
		w.scheduleCalls(p, rate)
	})
}

func (w *simulation) scheduleTicks(p *simEntry) {
	w.after(250, func() {
		w.whenRunning(p, func() {
			p.throttler.Tick(w.now)
			p.exchangeReports()
		})
		w.scheduleTicks(p)
	})
}

// exchangeReports resends unacknowledged reports and requests missing ones.
func (p *simEntry) exchangeReports() {
	for _, u := range p.w.upstreams {
		if p.unreported[u.number] {
			p.sendReport(u)
		}
		if p.w.entries[u.owner] != p {
			p.throttler.Drop(u.id())
			continue
		}
		for _, name := range p.throttler.Missing(p.w.now, u.id()) {
			for _, other := range p.w.entries {
				if other.name == name {
					p.w.deliver(other, func() { other.sendReport(u) })
				}
			}
		}
	}
}

// sendReport marks the limit as known and reports this entry's calls to the owner.
func (p *simEntry) sendReport(u *simUpstream) {
	w, owner, deliverReport := p.w, p.w.entries[u.owner], p.prepareReport(u, p.w.entries[u.owner])
	p.knowsLimit[u.number], p.unreported[u.number] = true, true
	process := p.process
	w.deliver(owner, func() {
		deliverReport()
		w.deliver(p, func() {
			if p.process == process {
				p.unreported[u.number] = false
			}
		})
	})
}

// prepareReport returns a function that delivers to the owner a report of the calls sent up
// to now.
func (p *simEntry) prepareReport(u *simUpstream, owner *simEntry) func() {
	w := p.w
	w.nextID++
	r := throttler.Report{Entry: p.name, Process: p.processID(), Number: w.nextID}
	for granter, t := range p.sent[u.number] {
		s := throttler.Sends{Granter: granter, Open: t.outstanding}
		for _, at := range t.arrivals {
			if w.now-at <= throttler.CountSpan {
				s.Ages = append(s.Ages, w.now-at)
			}
		}
		r.Sends = append(r.Sends, s)
	}
	return func() {
		owner.throttler.Named(w.now, w.now, u.id(), u.rate)
		owner.throttler.Reported(w.now, u.id(), r)
	}
}

// call sends a caller's call to a random upstream, with a permit if its limit is known.
func (p *simEntry) call() {
	w := p.w
	u := w.upstreams[w.rand.IntN(len(w.upstreams))]
	if !p.knowsLimit[u.number] {
		p.send(u, "", throttler.Call{})
		return
	}
	if p.deniedUntil[u.number] > w.now {
		return
	}
	p.ask(u)
}

// askTimeout is the time for which an entry waits for the owner's decision.
const askTimeout = 150 * sequoiasill.Millis(1)

func (p *simEntry) ask(u *simUpstream) {
	w := p.w
	w.nextID++
	id, process, answered, used := throttler.Call{Process: p.processID(), ID: w.nextID}, p.process, false, false
	owner := w.entries[u.owner]
	w.after(askTimeout, func() { answered = true })
	for _, delay := range []sequoiasill.Millis{0, 50, 100} {
		w.after(delay, func() {
			if answered {
				return
			}
			deliverReport := p.prepareReport(u, owner)
			w.deliver(owner, func() {
				deliverReport()
				d := owner.throttler.Ask(w.now, u.id(), p.name, id)
				w.deliver(p, func() {
					switch {
					case p.process != process, used:
					case d.Granted && answered:
						w.deliver(owner, func() { owner.throttler.Ended(w.now, u.id(), id, throttler.Unsent) })
					case d.Granted:
						answered, used = true, true
						p.send(u, d.Granter, id)
					case !answered:
						answered = true
						p.deniedUntil[u.number] = w.now + d.Wait
					}
				})
			})
		})
	}
}

// send sends a call to an upstream, which reads it when it is not paused.
func (p *simEntry) send(u *simUpstream, granter string, id throttler.Call) {
	w := p.w
	t := p.sendsUnder(u, granter)
	t.outstanding++
	process, owner, sent := p.process, w.entries[u.owner], w.now
	w.after(1+sequoiasill.Millis(w.rand.IntN(5)), func() {
		w.after(u.pausedUntil-w.now, func() {
			limited := w.now >= u.limitsFrom
			if limited && u.announcedAt == 0 {
				u.announcedAt = w.now
			}
			u.arrive(w, arrival{w.now, p, process, sent})
			w.after(20+sequoiasill.Millis(w.rand.IntN(200)), func() {
				w.whenRunning(p, func() { p.handleAnswer(u, owner, t, process, id, limited) })
			})
		})
	})
}

func (p *simEntry) handleAnswer(u *simUpstream, owner *simEntry, t *sendLog, process int, id throttler.Call, limited bool) {
	w := p.w
	if p.process != process {
		return
	}
	t.outstanding--
	t.arrivals = append(t.arrivals, w.now)
	if _, announced := u.announcedTo[p.name]; limited && !announced {
		u.announcedTo[p.name] = w.now
	}
	if limited && !p.knowsLimit[u.number] {
		p.sendReport(u)
		u.disseminate(w)
	}
	if id.ID > 0 {
		w.deliver(owner, func() { owner.throttler.Ended(w.now, u.id(), id, throttler.Came) })
	}
}

// disseminate informs all entries of the limit, once.
func (u *simUpstream) disseminate(w *simulation) {
	if u.disseminated {
		return
	}
	u.disseminated = true
	for _, p := range w.entries {
		w.after(sequoiasill.Millis(5+w.rand.IntN(600)), func() { w.whenRunning(p, func() { p.sendReport(u) }) })
	}
}

// arrive checks an arriving call against the bound. A call that was sent before its entry
// received the limit is not checked itself, but counts in the windows of later arrivals.
func (u *simUpstream) arrive(w *simulation, a arrival) {
	u.arrivals = append(u.arrivals, a)
	if u.announcedAt == 0 || w.now < u.announcedAt+settleTime {
		return
	}
	u.arrivalsUnderLimit++
	if !u.counts(w.now, a) || a.sent < u.announcedTo[a.entry.name] {
		return
	}
	n := 0
	for _, a := range u.arrivals {
		if u.counts(w.now, a) {
			n++
		}
	}
	if allowed := 1.5*boundSpan.Duration().Seconds()*u.rate + 5; float64(n) > allowed {
		w.violations = append(w.violations, fmt.Sprintf("%s: %d calls came to upstream %d in %s, %.1f are allowed", w.now, n, u.number, boundSpan, allowed))
	}
}

// counts reports whether an arrival counts against the bound.
func (u *simUpstream) counts(now sequoiasill.Millis, a arrival) bool {
	announcedAt, ok := u.announcedTo[a.entry.name]
	return ok && announcedAt+gracePeriod <= now && a.at > now-boundSpan && a.at > a.entry.disturbedAt && a.process == a.entry.process
}

// injectFault injects a random fault and schedules the next one.
func (w *simulation) injectFault() {
	u := w.upstreams[w.rand.IntN(len(w.upstreams))]
	p := w.entries[w.rand.IntN(len(w.entries))]
	if w.rand.IntN(2) == 0 {
		p = w.entries[u.owner]
	}
	span := sequoiasill.Millis(200 + w.rand.IntN(6000))
	switch w.rand.IntN(4) {
	case 0: // the upstream pauses
		u.pausedUntil = max(u.pausedUntil, w.now+span)
	case 1: // an entry restarts
		p.start(w.now)
		w.disturb(p)
		for _, u := range w.upstreams {
			if u.disseminated {
				w.after(sequoiasill.Millis(100+w.rand.IntN(1000)), func() { p.sendReport(u) })
			}
		}
	case 2: // ownership of the limit passes to another entry
		w.entries[u.owner].throttler.Drop(u.id())
		u.owner = w.rand.IntN(len(w.entries))
	case 3: // an entry pauses
		p.pausedUntil = w.now + span
		w.disturb(p)
		w.after(span, func() { w.disturb(p) })
	}
	w.after(sequoiasill.Millis(w.rand.IntN(4000)), w.injectFault)
}

func (w *simulation) disturb(p *simEntry) {
	p.disturbedAt = w.now
	for _, u := range w.upstreams {
		delete(u.announcedTo, p.name)
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
// pauses of entries and upstreams, restarts, and changes of ownership.
func TestEntriesTogetherKeepToLimit(t *testing.T) {
	for name, size := range sizes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range size.seeds {
				rate := []float64{0.3, 1.6, 2.8, 12}[seed%4]
				w := newSimulation(seed, size.entries, size.upstreams, rate, true)
				w.run(size.calls, begin+60*sequoiasill.Second)
				for _, b := range w.violations {
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
				w := newSimulation(1, size.entries, size.upstreams, rate, false)
				w.run(size.calls, begin+span)
				for _, u := range w.upstreams {
					if got, want := float64(u.arrivalsUnderLimit), 0.8*rate*(span-settleTime).Duration().Seconds(); got < want {
						t.Errorf("upstream %d got %.0f calls at %g a second, at least %.0f are wanted", u.number, got, rate, want)
					}
				}
			}
		})
	}
}
