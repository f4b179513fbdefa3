package admitter_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/admitter"
	"sequoiasill.dev/sequoiasill/decide/assigner"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// world plays entries that send calls to the upstreams of one service, a millisecond at a time.
type world struct {
	engine, controlled             bool // upstreams serve urgent calls first; entries ask their admitters
	entries, upstreams, slots, cap int
	classes                        []class
	load                           func(at sequoiasill.Millis) float64 // factor of the classes' rates

	rand   *rand.Rand
	now    sequoiasill.Millis
	events map[sequoiasill.Millis][]func()
	all    []*entry
	queues []*upstream
}

// class is the calls of one route, and what they get.
type class struct {
	priority    int
	target      sequoiasill.Millis
	perSecond   float64
	hold        float64 // mean milliseconds in a slot
	calls       int
	served      int
	inTime      int                // of them: begun, and at plain upstreams ended, within the target latency
	rejected    int                // given up after rejections by upstreams
	lastRefusal sequoiasill.Millis // by an admitter, 0 for none
}

func (c class) share(n int) float64 { return float64(n) / float64(max(c.calls, 1)) }

type entry struct {
	registrar *registrar.Registrar
	assigner  *assigner.Assigner
	admitter  *admitter.Admitter
}

type upstream struct {
	running int
	waiting []*call
}

type call struct {
	*class

	entry           *entry
	arrived, sentAt sequoiasill.Millis
	tried           map[string]bool
	returned        bool
}

const (
	linkDelay   = 2 * sequoiasill.Millis(1)
	maxTries    = 4
	callTimeout = 4 * sequoiasill.Second
)

func (w *world) after(d sequoiasill.Millis, f func()) {
	w.events[w.now+d] = append(w.events[w.now+d], f)
}

// play returns what the classes get.
func (w world) play(controlled bool, seed uint64, end sequoiasill.Millis) []class {
	w.controlled, w.classes = controlled, slices.Clone(w.classes)
	w.rand, w.events, w.now = rand.New(rand.NewPCG(seed, 0)), make(map[sequoiasill.Millis][]func()), 1
	w.queues = make([]*upstream, w.upstreams)
	for i := range uint64(w.entries) {
		e := &entry{registrar.New(registrar.DefaultOptions(), seed+i), assigner.New(assigner.DefaultOptions(), seed+i), admitter.New(admitter.DefaultOptions(), seed+i)}
		for n := range w.queues {
			w.queues[n] = &upstream{}
			e.registrar.Announce(w.now, sequoiasill.Replica{Name: strconv.Itoa(n), Service: "s", Slots: w.slots, Revision: 1})
		}
		e.admitter.SetTraffic(traffic(w.engine, w.classes))
		w.all = append(w.all, e)
	}
	for ; w.now < end; w.now++ {
		for i := range w.classes {
			c := &w.classes[i]
			for n := c.perSecond / 1000 * w.load(w.now); w.rand.Float64() < n; n-- {
				c.calls++
				w.arrive(&call{class: c, arrived: w.now})
			}
		}
		for len(w.events[w.now]) > 0 {
			due := w.events[w.now]
			delete(w.events, w.now)
			for _, f := range due {
				f()
			}
		}
	}
	return w.classes
}

func traffic(engine bool, classes []class) *sequoiasill.Traffic {
	t := &sequoiasill.Traffic{Services: []sequoiasill.TrafficService{{Name: "s"}}}
	if engine {
		t.Services[0].Engine = &sequoiasill.EngineLimits{}
	}
	for _, c := range classes {
		t.Routes = append(t.Routes, sequoiasill.TrafficRoute{Priority: c.priority, Targets: []sequoiasill.WeightedService{{Service: "s", Weight: 1}}})
	}
	return t
}

// arrive brings a call to an entry. If it is refused, its caller comes back once.
func (w *world) arrive(c *call) {
	c.entry, c.tried = w.all[w.rand.IntN(len(w.all))], make(map[string]bool)
	d := c.entry.admitter.Decide(w.now, admitter.Request{Service: "s", Priority: c.priority, TargetLatency: c.target, Timeout: callTimeout, Remaining: c.arrived + callTimeout - w.now})
	if !d.Refused || !w.controlled {
		w.send(c)
		return
	}
	c.lastRefusal = w.now
	w.comeBack(c, d.RetryAfter)
}

func (w *world) comeBack(c *call, retryAfter sequoiasill.Millis) {
	if !c.returned {
		c.returned = true
		w.after(retryAfter, func() { w.arrive(c) })
	}
}

func (w *world) send(c *call) {
	choice, ok := c.entry.assigner.Choose(assigner.Request{Engine: w.engine, Tried: c.tried}, c.entry.registrar.Candidates(w.now, "s"))
	if !ok || len(c.tried) >= maxTries {
		if c.returned {
			c.rejected++
		}
		w.comeBack(c, 250)
		return
	}
	name := choice.Replica.Name
	c.tried[name], c.sentAt = true, w.now
	c.entry.registrar.CallSent(name, 0)
	n, _ := strconv.Atoi(name)
	w.after(linkDelay, func() { w.receive(w.queues[n], name, c) })
}

// receive starts a call at an upstream, lets it wait, or rejects it.
func (w *world) receive(u *upstream, name string, c *call) {
	switch {
	case u.running < w.slots:
		w.run(u, name, c)
	case len(u.waiting) < w.cap:
		at := len(u.waiting)
		for w.engine && at > 0 && u.waiting[at-1].priority > c.priority {
			at--
		}
		u.waiting = slices.Insert(u.waiting, at, c)
	default:
		l := w.report(u)
		w.after(linkDelay, func() {
			c.entry.registrar.RecordLoad(w.now, name, l)
			c.entry.registrar.CallEnded(w.now, name, 0, registrar.Refused)
			c.entry.admitter.RecordRejected(w.now, "s", l, true)
			w.send(c)
		})
	}
}

func (w *world) report(u *upstream) registrar.Load {
	return registrar.Load{Running: u.running, Waiting: len(u.waiting), Slots: w.slots}
}

// run runs a call. The responses of engines begin at once and report the load, others at the end.
func (w *world) run(u *upstream, name string, c *call) {
	u.running++
	startedAt, hold, l := w.now, sequoiasill.Millis(c.hold*(0.5+w.rand.Float64())), w.report(u)
	respond := func() {
		c.entry.registrar.RecordLoad(w.now, name, l)
		c.entry.admitter.RecordLoad(w.now, "s", l)
	}
	if w.engine {
		w.after(linkDelay, respond)
	}
	w.after(hold, func() {
		if u.running--; len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			w.run(u, name, next)
		}
		if !w.engine {
			startedAt, l = w.now, w.report(u)
			respond()
		}
		c.served++
		if startedAt+linkDelay-c.arrived <= c.target {
			c.inTime++
		}
		c.entry.registrar.CallEnded(w.now, name, 0, registrar.Succeeded)
		c.entry.admitter.RecordEnd(w.now, "s", w.now-c.sentAt, l)
	})
}

// engines and plain are played deployments, with the rates of their usual load.
var (
	engines = world{engine: true, entries: 76, upstreams: 57, slots: 12, cap: 25, classes: []class{
		{priority: 0, target: 1000, perSecond: 120, hold: 1900}, {priority: 2, target: 2000, perSecond: 1900, hold: 150},
	}}
	plain = world{entries: 58, upstreams: 2, slots: 6, cap: 24, classes: []class{{target: 150, perSecond: 364, hold: 36}}}
)

// between returns a load that changes after a time, and ends.
func between(first float64, until sequoiasill.Millis, then float64, end sequoiasill.Millis) func(sequoiasill.Millis) float64 {
	return func(at sequoiasill.Millis) float64 {
		switch {
		case at < until:
			return first
		case at < end:
			return then
		}
		return 0
	}
}

// Urgent calls must not be rejected because less urgent ones fill the queues, upstreams must not
// idle meanwhile, and refusals must end with the overload.
func TestUrgentCallsAreServedUnderOverload(t *testing.T) {
	const overloadEnd = 4 * sequoiasill.Second
	tests := map[string]struct {
		load                  float64            // of the usual, which takes three quarters of the slots
		leastLost             float64            // share of the urgent calls that are rejected without the admitter
		leastWork, leastWorth float64            // done with the admitter, of that without
		drained               sequoiasill.Millis // after the overload; at twice the load, long urgent calls still wait
	}{
		"slight overload": {1.5, 0, 0.9, 0.93, 2 * sequoiasill.Second},
		"heavy overload":  {2, 0.1, 0.95, 1, 2500},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := engines
			w.load = between(tc.load, overloadEnd, 0.1, 8000)
			before, after := w.play(false, 0, 12000), w.play(true, 0, 12000)
			var works, worths [2]float64
			for i, got := range [][]class{before, after} {
				u, o := got[0], got[1]
				t.Logf("admitter %t: urgent served %.3f, in time %.3f, rejected %.3f; others %.3f, %.3f, %.3f, last refusal at %s", i == 1,
					u.share(u.served), u.share(u.inTime), u.share(u.rejected), o.share(o.served), o.share(o.inTime), o.share(o.rejected), o.lastRefusal)
				works[i] = u.perSecond*u.hold*u.share(u.served) + o.perSecond*o.hold*o.share(o.served)
				worths[i] = 12*u.perSecond*u.share(u.served) + 0.33*o.perSecond*o.share(o.served)
			}
			work, worth := works[1]/works[0], worths[1]/worths[0]
			t.Logf("slot time used %.3f, worth served %.3f of that without", work, worth)
			u, o := after[0], after[1]
			if lost := before[0].share(before[0].rejected); lost < tc.leastLost {
				t.Errorf("without the admitter, %.3f of the urgent calls are rejected: no overload", lost)
			}
			if u.share(u.rejected) >= 0.02 || u.share(u.inTime) < 0.95 || u.lastRefusal > 0 {
				t.Errorf("urgent calls: %.3f rejected, %.3f in time, last refusal at %s", u.share(u.rejected), u.share(u.inTime), u.lastRefusal)
			}
			if work < tc.leastWork || worth < tc.leastWorth {
				t.Errorf("slot time %.3f and worth %.3f of that without, want %.2f and %.2f", work, worth, tc.leastWork, tc.leastWorth)
			}
			if o.lastRefusal > overloadEnd+tc.drained {
				t.Errorf("a call is refused %s after the overload", o.lastRefusal-overloadEnd)
			}
		})
	}
}

// Calls to plain upstreams must not miss their target latency by waiting in queues.
func TestCallsToPlainUpstreamsMeetTheirTarget(t *testing.T) {
	w := plain
	w.load = between(1, 6000, 0.1, 9000)
	before, after := w.play(false, 0, 10000)[0], w.play(true, 0, 10000)[0]
	for _, c := range []class{before, after} {
		t.Logf("served %.3f, in time %.3f, rejected %.3f, last refusal at %s", c.share(c.served), c.share(c.inTime), c.share(c.rejected), c.lastRefusal)
	}
	if before.share(before.inTime) > 0.5 || after.share(after.inTime) < 0.65 || after.share(after.served) < before.share(before.served)-0.06 {
		t.Error("the admitter does not bring the calls to their target")
	}
	if after.lastRefusal > 8000 {
		t.Errorf("a call is refused at %s, two seconds after the overload", after.lastRefusal)
	}
}

// At the usual load, which leaves slots idle, nothing may be refused.
func TestUsualLoadIsAdmitted(t *testing.T) {
	for name, w := range map[string]world{"engines": engines, "plain": plain} {
		w.load = between(map[bool]float64{true: 1, false: 0.6}[w.engine], 4000, 0, 0)
		for seed := range uint64(2) {
			for _, c := range w.play(true, seed, 8000) {
				if c.lastRefusal > 0 || c.served != c.calls {
					t.Errorf("%s, seed %d: priority %d: %d of %d calls are served, last refusal at %s", name, seed, c.priority, c.served, c.calls, c.lastRefusal)
				}
			}
		}
	}
}
