package soaker

import (
	"fmt"
	"maps"
	"slices"
	"syscall"
	"time"

	"sequoiasill.dev/sequoiasill/standin/store"
)

// fault is a fault or planned work. It returns when it is over.
type fault struct {
	name    string
	planned bool
	play    func(w *World, span time.Duration)
}

// faults are all that may come, each as likely as the others.
var faults = []fault{
	{"stop an entry", true, func(w *World, _ time.Duration) {
		w.withEntry(func(e *entry) { e.restart(e.signal(syscall.SIGTERM), 0) })
	}},
	{"reload an entry", true, func(w *World, _ time.Duration) { w.withEntry(func(e *entry) { e.signal(syscall.SIGHUP) }) }},
	{"change a key", true, (*World).changeKey},
	{"configure in series", true, func(w *World, _ time.Duration) {
		for range 5 {
			w.configure()
			time.Sleep(100 * time.Millisecond)
		}
	}},
	{"replace a replica", true, (*World).replaceReplica},
	{"replace a replica that tells it to its callers only", true, (*World).replaceUntold},
	{"ask for pauses", false, func(w *World, span time.Duration) {
		w.withReplica(func(r *replica) { each([]*replica{r}, span, askForPauses) })
	}},
	{limitReplica, false, func(w *World, span time.Duration) {
		w.withReplica(func(r *replica) { w.limit([]*replica{r}, span) })
	}},
	{"kill an entry", false, func(w *World, _ time.Duration) {
		w.withEntry(func(e *entry) { e.restart(e.signal(syscall.SIGKILL), 300*time.Millisecond) })
	}},
	{killAll, false, (*World).killAll},
	{"pause an entry", false, func(w *World, span time.Duration) {
		w.withEntry(func(e *entry) { e.signal(syscall.SIGSTOP); time.Sleep(span); e.signal(syscall.SIGCONT) })
	}},
	{"crash a replica", false, func(w *World, span time.Duration) {
		w.withReplica(func(r *replica) { w.crash(r, span) })
	}},
	{"send a request that crashes replicas", false, (*World).sendCrashing},
	{"reset a replica's connections", false, func(w *World, _ time.Duration) { w.withReplica(func(r *replica) { r.proxy.reset() }) }},
	{"delay a replica", false, func(w *World, span time.Duration) { w.harmReplica(delay, span) }},
	{"silence a replica", false, func(w *World, span time.Duration) { w.harmReplica(silence, span) }},
	{"cut a replica's answers", false, func(w *World, span time.Duration) { w.harmReplica(oneWay, span) }},
	{"lose answers", false, func(w *World, span time.Duration) {
		w.withReplica(func(r *replica) { r.lose.Store(200); time.Sleep(span); r.lose.Store(0) })
	}},
	{"fail calls", false, func(w *World, span time.Duration) {
		w.withReplica(func(r *replica) { r.fail.Store(400); time.Sleep(span); r.fail.Store(0) })
	}},
	{"store down", false, func(w *World, span time.Duration) { w.harmStore(store.Faults{Refuse: 503}, span) }},
	{"store slow", false, func(w *World, span time.Duration) { w.harmStore(store.Faults{Slow: 200 * time.Millisecond}, span) }},
	{"store loses answers", false, func(w *World, span time.Duration) {
		w.harmStore(store.Faults{Lose: 400, Late: 500 * time.Millisecond}, span)
	}},
	{"store drops its history", false, func(w *World, span time.Duration) {
		w.withOne("store", 0, func() {
			w.store.SetFaults(store.Faults{Deaf: true})
			w.configure()
			time.Sleep(min(span, time.Second))
			w.store.DropHistory()
			w.store.SetFaults(store.Faults{})
		})
	}},
	{"cut an entry from the store", false, func(w *World, span time.Duration) {
		w.withEntry(func(e *entry) {
			e.store.set(silence)
			time.Sleep(span)
			e.store.set(none)
			e.store.reset()
			w.judge.disturb(e)
		})
	}},
	{"reset an entry's connections to the store", false, func(w *World, _ time.Duration) { w.withEntry(func(e *entry) { e.store.reset() }) }},
}

// overlap is the most faults at a time.
const overlap = 3

// harm starts faults at random until the span is over and waits for their ends.
func (w *World) harm(span time.Duration) {
	end := time.Now().Add(span)
	slot := make(chan struct{}, overlap)
	list, longest := w.played()
	for time.Now().Before(end) {
		f := list[w.draw(len(list))]
		lasts := time.Duration(200+w.draw(longest)) * time.Millisecond
		pause := time.Duration(w.draw(900)) * time.Millisecond
		if w.opts.Planned && !f.planned {
			continue
		}
		slot <- struct{}{}
		over := w.judge.event(f.name, f.planned)
		w.log.Info("fault begins", "name", f.name, "lasts", lasts)
		go func() {
			f.play(w, lasts)
			over()
			w.log.Info("fault ends", "name", f.name)
			<-slot
		}()
		time.Sleep(pause)
	}
	for range overlap {
		slot <- struct{}{}
	}
}

// longestFault bounds the span of a fault in milliseconds where there is no storm.
const longestFault = 3000

// played returns the faults to draw from and the longest span of one in milliseconds.
func (w *World) played() (list []fault, longest int) {
	list, longest = faults, longestFault
	if w.opts.Storm {
		list, longest = storms, longestStorm
	}
	if i := slices.IndexFunc(list, func(f fault) bool { return f.name == w.opts.Only }); i >= 0 {
		list = list[i : i+1]
	}
	return list, longest
}

// killAll kills all entries at the same moment and starts them again soon.
func (w *World) killAll(time.Duration) {
	var gone []<-chan struct{}
	for _, e := range w.entries {
		gone = append(gone, e.signal(syscall.SIGKILL))
	}
	time.Sleep(200 * time.Millisecond)
	for i, e := range w.entries {
		w.withOne("entry", e.number, func() { e.restart(gone[i], 0) })
	}
}

// withOne runs f unless another fault has hold of the thing.
func (w *World) withOne(what string, number int, f func()) {
	name := fmt.Sprint(what, number)
	w.mu.Lock()
	if w.busy[name] {
		w.mu.Unlock()
		return
	}
	w.busy[name] = true
	w.mu.Unlock()
	f()
	w.mu.Lock()
	delete(w.busy, name)
	w.mu.Unlock()
}

func (w *World) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.IntN(n)
}

func (w *World) withEntry(f func(e *entry)) {
	e := w.entries[w.draw(len(w.entries))]
	w.withOne("entry", e.number, func() { f(e) })
}

// withReplica runs f on a replica, unless few of its service are left.
func (w *World) withReplica(f func(r *replica)) {
	w.mu.Lock()
	ids := slices.Sorted(maps.Keys(w.replicas))
	if len(ids) == 0 {
		w.mu.Unlock()
		return
	}
	r := w.replicas[ids[w.rand.IntN(len(ids))]]
	few := len(w.ofService(r.service)) < 2
	w.mu.Unlock()
	if !few {
		f(r)
	}
}

// ofService returns the replicas of a service by id. The caller holds the lock.
func (w *World) ofService(service string) []*replica {
	var out []*replica
	for _, id := range slices.Sorted(maps.Keys(w.replicas)) {
		if r := w.replicas[id]; r.service == service {
			out = append(out, r)
		}
	}
	return out
}

// forget takes a replica off those that faults meet. It returns false if it was none.
func (w *World) forget(r *replica) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.replicas[r.id] == r
	delete(w.replicas, r.id)
	return known
}

// crash ends a replica and starts another, which gets its address, after a span.
func (w *World) crash(r *replica, span time.Duration) {
	if !w.forget(r) {
		return
	}
	address := r.address()
	r.close()
	time.Sleep(span)
	w.store.Delete("servers", r.id)
	if err := w.addReplica(r.service, address); err != nil {
		w.judge.broken("replica not started: %v", err)
	}
}

// backSpan is how long a replica is away that a request has crashed.
const backSpan = time.Second

// crashed ends a replica that a request crashes.
func (w *World) crashed(r *replica) { w.crash(r, backSpan) }

func (w *World) harmReplica(t trouble, span time.Duration) {
	w.withReplica(func(r *replica) {
		r.proxy.set(t)
		time.Sleep(span)
		r.proxy.set(none)
		r.proxy.reset()
	})
}

func (w *World) harmStore(f store.Faults, span time.Duration) {
	w.withOne("store", 0, func() {
		w.store.SetFaults(f)
		for end := time.Now().Add(span); time.Now().Before(end); {
			w.judge.storeTroubled()
			time.Sleep(min(time.Until(end), storeSpan.Duration()/2))
		}
		w.store.SetFaults(store.Faults{})
		w.judge.storeTroubled()
	})
}

// sendCrashing sends a request that crashes the replicas that run it again and again,
// each time under another id and at any entry.
func (w *World) sendCrashing(time.Duration) { w.crashWith(once) }

func (w *World) crashWith(k kind) {
	const sends, pause = 20, 300 * time.Millisecond
	w.mu.Lock()
	w.made++
	n := w.made
	w.mu.Unlock()
	for i := range sends {
		if e := w.readyEntry(w.draw(len(w.entries))); e != nil {
			w.sendOnce(e, fmt.Sprintf("crash-%d-%d", n, i), k, kinds[k]+crashName, fmt.Sprintf("crash %d", n))
		}
		time.Sleep(pause)
	}
}

// changeKey adds a key, and drops the one before once callers use the new one.
func (w *World) changeKey(time.Duration) {
	w.withOne("key", 0, func() {
		w.mu.Lock()
		w.made++
		old, next := w.keys[len(w.keys)-1], fmt.Sprintf("key-%d", w.made)
		w.keys = []string{old, next}
		w.mu.Unlock()
		w.configure()
		time.Sleep(300 * time.Millisecond)
		w.mu.Lock()
		w.keys = []string{next}
		w.mu.Unlock()
		w.configure()
		w.judge.revoke(old)
	})
}

// replaceUntold starts a replica, and then ends another, which says that it leaves in its
// answers; its entry in the store is removed without a word before.
func (w *World) replaceUntold(time.Duration) {
	w.withReplica(func(r *replica) {
		if err := w.addReplica(r.service, ""); err != nil {
			w.judge.broken("replica not started: %v", err)
			return
		}
		w.forget(r)
		r.leaving.Store(true)
		time.Sleep(drainSpanOfReplica)
		w.store.Delete("servers", r.id)
		time.Sleep(drainSpanOfReplica / 2)
		r.close()
	})
}

// drainSpanOfReplica is how long a replica serves on after it said that it drains.
const drainSpanOfReplica = 4 * time.Second

// replaceReplica starts a replica, and then drains and ends another.
func (w *World) replaceReplica(time.Duration) {
	w.withReplica(func(r *replica) {
		if err := w.addReplica(r.service, ""); err != nil {
			w.judge.broken("replica not started: %v", err)
			return
		}
		w.forget(r)
		r.drain()
		w.store.Put("servers", r.id, r.entry())
		w.judge.drain(r.id)
		time.Sleep(drainSpanOfReplica)
		w.store.Delete("servers", r.id)
		r.close()
	})
}
