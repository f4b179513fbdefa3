package soaker

import (
	"sync"
	"syscall"
	"time"
)

// longestStorm bounds the span of a storm in milliseconds. It is longer than a window of
// the bound on repeats.
const longestStorm = 12_000

const freezeService = "freeze a service"

// storms are the faults under which many calls are wanted to be sent again, and those
// that change who shares the bound.
var storms = []fault{
	{"freeze some of a service", false, func(w *World, span time.Duration) { w.trouble(w.some(), freeze, span) }},
	{freezeService, false, func(w *World, span time.Duration) { w.trouble(w.all(), freeze, span) }},
	{"fail calls of a service", false, func(w *World, span time.Duration) {
		each(w.all(), span, func(r *replica, on bool) { r.fail.Store(whileOn(450, on)) })
	}},
	{"lose answers of a service", false, func(w *World, span time.Duration) {
		each(w.all(), span, func(r *replica, on bool) { r.lose.Store(whileOn(400, on)) })
	}},
	{"refuse calls of a service", false, func(w *World, span time.Duration) {
		each(w.all(), span, func(r *replica, on bool) { r.shed.Store(whileOn(700, on)) })
	}},
	{"limit a service", false, func(w *World, span time.Duration) { w.limit(w.all(), span) }},
	{"ask for pauses of a service", false, func(w *World, span time.Duration) { each(w.all(), span, askForPauses) }},
	{"slow a service down", false, func(w *World, span time.Duration) {
		each(w.all(), span, func(r *replica, on bool) { r.slow.Store(whileOn(800, on)) })
	}},
	{"send a request that may repeat and crashes replicas", false, func(w *World, _ time.Duration) { w.crashWith(read) }},
	{"send a stream that crashes replicas", false, func(w *World, _ time.Duration) { w.crashWith(resumable) }},
	{"cut the answers of a service", false, func(w *World, span time.Duration) { w.trouble(w.all(), oneWay, span) }},
	{"silence some of a service", false, func(w *World, span time.Duration) { w.trouble(w.some(), silence, span) }},
	{"reset the connections of a service", false, func(w *World, _ time.Duration) {
		for _, r := range w.all() {
			r.proxy.reset()
		}
	}},
	{killAll, false, (*World).killAll},
	{"pause some entries", false, (*World).pauseSome},
	{"kill some entries", false, (*World).killSome},
	{"stop an entry", true, func(w *World, _ time.Duration) {
		w.withEntry(func(e *entry) { e.restart(e.signal(syscall.SIGTERM), 0) })
	}},
}

// askForPauses makes a replica refuse part of its calls and ask for a pause each time.
func askForPauses(r *replica, on bool) {
	r.shed.Store(whileOn(300, on))
	r.pause.Store(whileOn(1800, on))
}

const (
	limitReplica = "limit a replica"
	// leastLimit and mostLimit bound the limits that replicas name, in calls in a thousand
	// seconds.
	leastLimit = 400
	mostLimit  = 12_000
)

// limit lets replicas name limits for a span and the time from which on they are judged.
// Half of them name another one in the middle.
func (w *World) limit(replicas []*replica, span time.Duration) {
	span += limitGrace.Duration()
	for range 2 {
		each(replicas, span/2, func(r *replica, on bool) {
			if on && (r.limit.Load() == 0 || w.draw(2) == 0) {
				r.setLimit(leastLimit + int64(w.draw(mostLimit-leastLimit)))
			}
		})
	}
	for _, r := range replicas {
		r.setLimit(0)
	}
}

// whileOn returns the strength of a fault while it is on, and 0 else.
func whileOn(strength int64, on bool) int64 {
	if on {
		return strength
	}
	return 0
}

// each switches a fault of replicas on for a span.
func each(replicas []*replica, span time.Duration, set func(r *replica, on bool)) {
	for _, r := range replicas {
		set(r, true)
	}
	time.Sleep(span)
	for _, r := range replicas {
		set(r, false)
	}
}

// trouble harms the ways to replicas for a span. What is sent to one that stands still
// comes to it at the end.
func (w *World) trouble(replicas []*replica, t trouble, span time.Duration) {
	each(replicas, span, func(r *replica, on bool) {
		if on {
			r.proxy.set(t)
			return
		}
		r.proxy.set(none)
	})
}

// all returns the replicas of one service.
func (w *World) all() []*replica {
	service := []string{plain, model}[w.draw(2)]
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ofService(service)
}

// some returns some replicas of one service, up to half of them.
func (w *World) some() []*replica {
	all := w.all()
	return all[:min(1+w.draw(max(len(all)/2, 1)), len(all))]
}

// someEntries runs f on entries of which no other fault has hold, up to two thirds of all.
func (w *World) someEntries(f func(e *entry)) {
	var done sync.WaitGroup
	first, n := w.draw(len(w.entries)), 1+w.draw(max(len(w.entries)*2/3, 1))
	for i := range n {
		e := w.entries[(first+i)%len(w.entries)]
		done.Go(func() { w.withOne("entry", e.number, func() { f(e) }) })
	}
	done.Wait()
}

func (w *World) pauseSome(span time.Duration) {
	w.someEntries(func(e *entry) { e.signal(syscall.SIGSTOP); time.Sleep(span); e.signal(syscall.SIGCONT) })
}

func (w *World) killSome(time.Duration) {
	w.someEntries(func(e *entry) { e.restart(e.signal(syscall.SIGKILL), 300*time.Millisecond) })
}
