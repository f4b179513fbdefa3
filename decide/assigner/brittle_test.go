package assigner_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/assigner"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// brittleWorld plays entries that send calls to the upstreams of one service, which fall over when
// they have to reject too many in a second.
type brittleWorld struct {
	rand      *rand.Rand
	told      bool // the upstreams say that they are brittle
	events    eventQueue
	now       sequoiasill.Millis
	entries   []*brittleEntry
	upstreams []*brittleUpstream
	falls     int
	served    int
	refused   int
}

type brittleEntry struct {
	registrar *registrar.Registrar
	assigner  *assigner.Assigner
}

type brittleUpstream struct {
	name       string
	running    int
	waiting    []func()
	queueCap   int
	rejections []sequoiasill.Millis // in the last second
	downUntil  sequoiasill.Millis
}

// Figures of the played service.
const (
	brittleSlots    = 12
	queueBefore     = 12  // calls that an upstream lets wait, and after it has become brittle
	queueAfter      = 3   //
	withstood       = 8.0 // rejections in a second
	linkDelay       = 2 * sequoiasill.Millis(1)
	fallTime        = 4 * sequoiasill.Second
	meanServiceTime = 300.0
	noticeTime      = 3 * sequoiasill.Second // between the first notice and the shorter queues
	brittleTime     = 20 * sequoiasill.Second
	maxTries        = 2
	comeBackTime    = 250.0
)

type event struct {
	at sequoiasill.Millis
	n  int
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (w *brittleWorld) after(d sequoiasill.Millis, do func()) {
	heap.Push(&w.events, event{at: w.now + d, n: w.rand.Int(), do: do})
}

func newBrittleWorld(seed uint64, entries, upstreams int, told bool) *brittleWorld {
	w := &brittleWorld{rand: rand.New(rand.NewPCG(seed, 0)), told: told, now: 1000}
	for i := range upstreams {
		w.upstreams = append(w.upstreams, &brittleUpstream{name: fmt.Sprint("u", i), queueCap: queueBefore})
	}
	for i := range entries {
		e := &brittleEntry{registrar: registrar.New(registrar.DefaultOptions(), seed+uint64(i)), assigner: assigner.New(assigner.DefaultOptions(), seed+uint64(i))}
		e.registrar.SetEntries(entries)
		for _, u := range w.upstreams {
			e.registrar.Announce(w.now, sequoiasill.Replica{Name: u.name, Service: "model", Slots: brittleSlots, Revision: 1})
		}
		w.entries = append(w.entries, e)
	}
	return w
}

// call sends a call from an entry to an upstream, and on to another one after a rejection.
func (w *brittleWorld) call(e *brittleEntry, tried map[string]bool) {
	choice, ok := e.assigner.Choose(assigner.Request{Engine: true, Tried: tried, Prompt: sequoiasill.Prompt{Tokens: 1000}}, e.registrar.Candidates(w.now, "model"))
	if !ok || len(tried) >= maxTries {
		w.refused++
		if w.rand.Float64() < 0.5 {
			w.after(sequoiasill.Millis(comeBackTime*(0.8+0.4*w.rand.Float64())), func() { w.call(w.entries[w.rand.IntN(len(w.entries))], map[string]bool{}) })
		}
		return
	}
	tried[choice.Replica.Name] = true
	e.registrar.CallSent(choice.Replica.Name, 0)
	for _, u := range w.upstreams {
		if u.name == choice.Replica.Name {
			w.after(linkDelay, func() { w.arrive(e, u, tried) })
		}
	}
}

func (w *brittleWorld) arrive(e *brittleEntry, u *brittleUpstream, tried map[string]bool) {
	switch {
	case u.downUntil > w.now:
		w.after(linkDelay, func() {
			e.registrar.CallEnded(w.now, u.name, 0, registrar.Unreachable)
			w.call(e, tried)
		})
	case u.running < brittleSlots:
		w.start(e, u)
	case len(u.waiting) < u.queueCap:
		u.waiting = append(u.waiting, func() { w.start(e, u) })
	default:
		w.reject(u)
		load := u.load()
		w.after(linkDelay, func() {
			w.respond(e, u, load)
			e.registrar.CallEnded(w.now, u.name, 0, registrar.Refused)
			w.call(e, tried)
		})
	}
}

func (w *brittleWorld) reject(u *brittleUpstream) {
	u.rejections = slices.DeleteFunc(u.rejections, func(at sequoiasill.Millis) bool { return at <= w.now-sequoiasill.Second })
	u.rejections = append(u.rejections, w.now)
	if float64(len(u.rejections)) > withstood && u.queueCap == queueAfter {
		w.falls++
		u.downUntil, u.rejections = w.now+fallTime, nil
	}
}

func (u *brittleUpstream) load() registrar.Load {
	return registrar.Load{Running: u.running, Waiting: len(u.waiting), Slots: brittleSlots}
}

// start runs a call. Its response begins at once and tells the load.
func (w *brittleWorld) start(e *brittleEntry, u *brittleUpstream) {
	u.running++
	load := u.load()
	w.after(linkDelay, func() { w.respond(e, u, load) })
	w.after(sequoiasill.Millis(meanServiceTime*w.rand.ExpFloat64()), func() {
		u.running--
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			next()
		}
		w.served++
		e.registrar.CallEnded(w.now, u.name, 0, registrar.Succeeded)
	})
}

func (w *brittleWorld) respond(e *brittleEntry, u *brittleUpstream, load registrar.Load) {
	e.registrar.RecordLoad(w.now, u.name, load)
	if !w.told {
		return
	}
	n := sequoiasill.Replica{Name: u.name, Service: "model"}
	if e.registrar.BrittleAnnounced(w.now, n, registrar.Brittleness{FromUpstream: true, Rejections: withstood}) {
		for _, other := range w.entries {
			w.after(50*linkDelay, func() { other.registrar.BrittleGossiped(w.now, "model", withstood) })
		}
	}
}

// arrivals sends calls at a rate in calls per millisecond, as a fraction of what the upstreams serve.
func (w *brittleWorld) arrivals(load func(at sequoiasill.Millis) float64, end sequoiasill.Millis) {
	rate := load(w.now) * float64(len(w.upstreams)*brittleSlots) / meanServiceTime
	w.after(sequoiasill.Millis(max(w.rand.ExpFloat64()/rate, 0)+0.5), func() {
		if w.now < end {
			w.call(w.entries[w.rand.IntN(len(w.entries))], map[string]bool{})
			w.arrivals(load, end)
		}
	})
}

func (w *brittleWorld) run(load func(at sequoiasill.Millis) float64) {
	start := w.now
	w.arrivals(load, start+brittleTime)
	w.after(noticeTime, func() {
		for _, u := range w.upstreams {
			u.queueCap = queueAfter
		}
	})
	for len(w.events) > 0 && w.now < start+brittleTime {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

// Upstreams that withstand few rejections must not fall over because their room shrinks, callers come
// back at the same time, or more calls arrive than they can serve.
func TestBrittleUpstreamsStayUp(t *testing.T) {
	loads := map[string]func(at sequoiasill.Millis) float64{
		"usual load":      func(sequoiasill.Millis) float64 { return 0.6 },
		"too many calls":  func(sequoiasill.Millis) float64 { return 1.6 },
		"a herd's return": func(at sequoiasill.Millis) float64 { return map[bool]float64{true: 3, false: 0.4}[at%5000 < 1500] },
	}
	sizes := map[string]struct{ entries, upstreams, seeds int }{"9 entries": {9, 9, 10}, "61 entries": {61, 30, 3}}
	for loadName, load := range loads {
		for sizeName, size := range sizes {
			t.Run(loadName+", "+sizeName, func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(size.seeds) {
					w := newBrittleWorld(seed, size.entries, size.upstreams, true)
					w.run(load)
					t.Logf("seed %d: %d falls, %d served", seed, w.falls, w.served)
					if most := 2 + size.upstreams/10; w.falls > most {
						t.Errorf("seed %d: upstreams fell over %d times, at most %d are allowed", seed, w.falls, most)
					}
				}
			})
		}
	}
}

// The histories are such that upstreams fall over if entries ignore that they are brittle.
func TestIgnoredBrittlenessIsFound(t *testing.T) {
	w := newBrittleWorld(0, 9, 9, false)
	w.run(func(sequoiasill.Millis) float64 { return 1.6 })
	if w.falls <= 2 {
		t.Errorf("upstreams fell over %d times, more than 2 are wanted", w.falls)
	}
}
