package assigner_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/assigner"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// Figures of the played service, after a measured one: 1,100 calls a second, a third of the upstreams
// needs 2.4 times as long, and each needs 2.5 times its usual time for 15 % of the time.
const (
	paceEntries, paceUpstreams, paceSlots = 58, 71, 16
	paceNew                               = 3   // upstreams that are added after half of the time
	paceRate                              = 1.1 // calls per millisecond
	paceFast, paceSlow, paceBusy          = 0.7, 1.7, 2.5
	paceBusyTime                          = 300 * sequoiasill.Millis(1)
	paceBusyShare                         = 0.15
	paceWork                              = 250.0 // milliseconds at a pace of 1 without other calls
	paceTarget                            = 500 * sequoiasill.Millis(1)
	paceTime                              = 12 * sequoiasill.Second
	paceGossipTime                        = 3 * sequoiasill.Second
	paceIdleTime                          = 1500 * sequoiasill.Millis(1) // after which an idle connection is closed
)

// paceWorld plays entries that send calls to upstreams of two speeds. Entries learn of an upstream
// only from its responses to them and from gossip.
type paceWorld struct {
	brittleWorld
	report    func(u int, pace float64) float64 // what an upstream reports, 0 for no pace
	connects  bool                              // entries prefer upstreams to which they hold a connection
	idle      map[*brittleEntry]map[string]sequoiasill.Millis
	opened    int
	upstreams []*paceUpstream
	calls     int
	inTime    int
	longest   int // most calls at one upstream at a time
}

type paceUpstream struct {
	replica   sequoiasill.Replica
	usual     float64
	busyUntil sequoiasill.Millis
	running   int
	waiting   []func()
}

func newPaceWorld(seed uint64, report func(u int, pace float64) float64) *paceWorld {
	w := &paceWorld{brittleWorld: brittleWorld{rand: rand.New(rand.NewPCG(seed, 0)), now: 1000}, report: report, idle: make(map[*brittleEntry]map[string]sequoiasill.Millis)}
	for i := range paceEntries {
		e := &brittleEntry{registrar: registrar.New(registrar.DefaultOptions(), seed+uint64(i)), assigner: assigner.New(assigner.DefaultOptions(), seed+uint64(i))}
		w.entries = append(w.entries, e)
		w.idle[e] = make(map[string]sequoiasill.Millis)
	}
	w.announce(paceUpstreams)
	w.after(paceTime/2, func() { w.announce(paceNew) })
	return w
}

// announce adds upstreams, of which a third is slow.
func (w *paceWorld) announce(n int) {
	for range n {
		i := len(w.upstreams)
		u := &paceUpstream{replica: sequoiasill.Replica{Name: fmt.Sprint("u", i), Service: "model", Slots: paceSlots, Revision: 1}, usual: paceFast}
		if i%3 == 0 {
			u.usual = paceSlow
		}
		w.upstreams = append(w.upstreams, u)
		w.becomeBusy(u)
		for _, e := range w.entries {
			e.registrar.Announce(w.now, u.replica)
		}
	}
}

func (w *paceWorld) becomeBusy(u *paceUpstream) {
	w.after(sequoiasill.Millis(w.rand.ExpFloat64()*float64(paceBusyTime)*(1/paceBusyShare-1)), func() {
		u.busyUntil = w.now + paceBusyTime
		w.after(paceBusyTime, func() { w.becomeBusy(u) })
	})
}

func (w *paceWorld) call(e *brittleEntry) {
	candidates := e.registrar.Candidates(w.now, "model")
	for i := range candidates {
		candidates[i].Connected = w.connects && w.idle[e][candidates[i].Replica.Name] > w.now
	}
	choice, ok := e.assigner.Choose(assigner.Request{Engine: true, Prompt: sequoiasill.Prompt{Tokens: 3000}}, candidates)
	if !ok {
		return
	}
	if w.idle[e][choice.Replica.Name] <= w.now {
		w.opened++
	}
	w.idle[e][choice.Replica.Name] = 0
	var i int
	_, _ = fmt.Sscanf(choice.Replica.Name, "u%d", &i)
	u, sent := w.upstreams[i], w.now
	e.registrar.CallSent(u.replica.Name, choice.Prefill)
	w.after(linkDelay, func() {
		start := func() { w.start(e, i, sent, choice.Prefill) }
		if u.running < paceSlots {
			start()
		} else {
			u.waiting = append(u.waiting, start)
		}
		w.longest = max(w.longest, u.running+len(u.waiting))
	})
}

func (w *paceWorld) start(e *brittleEntry, i int, sent sequoiasill.Millis, prefill int) {
	u := w.upstreams[i]
	u.running++
	pace := u.usual
	if w.now < u.busyUntil {
		pace *= paceBusy
	}
	load := registrar.Load{Running: u.running, Waiting: len(u.waiting), Slots: paceSlots, Pace: w.report(i, pace)}
	w.after(linkDelay, func() { w.hear(e, u, load) })
	took := paceWork * pace * (0.5 + w.rand.Float64()) * (1 + float64(u.running)/paceSlots)
	w.after(sequoiasill.Millis(took), func() {
		u.running--
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			next()
		}
		e.registrar.CallEnded(w.now, u.replica.Name, prefill, registrar.Succeeded)
		w.idle[e][u.replica.Name] = w.now + paceIdleTime
		w.calls++
		if w.now-sent <= paceTarget {
			w.inTime++
		}
	})
}

func (w *paceWorld) hear(e *brittleEntry, u *paceUpstream, load registrar.Load) {
	e.registrar.RecordLoad(w.now, u.replica.Name, load)
	if usual, tell := e.registrar.RecordPace(w.now, u.replica, load.Pace); tell {
		for _, other := range w.entries {
			w.after(sequoiasill.Millis(w.rand.Float64()*float64(paceGossipTime)), func() {
				other.registrar.PaceGossiped(w.now, u.replica.Name, u.replica.StartedAt, usual)
			})
		}
	}
}

// run plays the world and returns the share of calls answered within the target.
func (w *paceWorld) run() float64 {
	var arrive func()
	arrive = func() {
		w.call(w.entries[w.rand.IntN(len(w.entries))])
		w.after(1, arrive)
		if w.rand.Float64() < paceRate-1 {
			w.call(w.entries[w.rand.IntN(len(w.entries))])
		}
	}
	w.after(1, arrive)
	for w.now < paceTime {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	return float64(w.inTime) / float64(w.calls)
}

// Guards against upstreams of different speeds that are balanced as equals, and against a herd at those
// that look fast, also where reports are wrong or incomplete.
func TestLoadFollowsPace(t *testing.T) {
	known := func(_ int, pace float64) float64 { return pace }
	tests := map[string]struct {
		report          func(u int, pace float64) float64
		connects        bool
		atLeast, atMost float64 // share of calls answered within the target
		longest         int     // most calls at one upstream at a time
		mostOpened      float64 // share of calls for which a connection was opened
	}{
		"paces ignored":                        {func(int, float64) float64 { return 0 }, false, 0, 0.76, 70, 1},
		"paces ignored, connections preferred": {func(int, float64) float64 { return 0 }, true, 0, 0.76, 70, 0.88},
		"paces known":                          {known, false, 0.85, 1, 36, 0.45},
		"paces known, connections preferred":   {known, true, 0.85, 1, 36, 0.3},
		"half of the upstreams report none":    {func(u int, pace float64) float64 { return float64(u%2) * pace }, false, 0.77, 1, 38, 1},
		"three slow upstreams report that they are fast": {func(u int, pace float64) float64 {
			if u%3 == 0 && u < 9 {
				return 0.01
			}
			return pace
		}, false, 0.83, 1, 60, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				w := newPaceWorld(seed, tc.report)
				w.connects = tc.connects
				got := w.run()
				opened := float64(w.opened) / float64(w.calls)
				t.Logf("seed %d: %.3f of %d calls within the target, at most %d calls at an upstream, connections opened for %.2f", seed, got, w.calls, w.longest, opened)
				if opened > tc.mostOpened {
					t.Errorf("seed %d: connections opened for %.2f of the calls, want at most %.2f", seed, opened, tc.mostOpened)
				}
				if got < tc.atLeast || got > tc.atMost || w.longest > tc.longest {
					t.Errorf("seed %d: %.3f within the target, want %.2f to %.2f; %d calls at an upstream, want at most %d", seed, got, tc.atLeast, tc.atMost, w.longest, tc.longest)
				}
			}
		})
	}
}
