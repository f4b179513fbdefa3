// Package limiter decides which queued request of a pool starts next, and rejects
// requests that could not finish before their deadline. Within a class it divides slots
// between organisations by start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM
// 1996). Quick requests have priority over long ones and a reserve of slots.
//
// A Limiter is a state machine without I/O: it consumes events and returns actions.
package limiter

import (
	"container/heap"

	"sequoiasill.dev/sequoiasill"
)

// Item is a request with the attributes that the limiter uses.
type Item struct {
	ID           sequoiasill.RequestID
	Organisation string
	Weight       int
	Class        sequoiasill.Class
	Cost         int                // tokens
	Service      sequoiasill.Millis // expected service time
	Deadline     sequoiasill.Millis
	Accepted     bool // by another entry before; it starts at once, even beyond the slots
}

// Options configure a Limiter.
type Options struct {
	// QuickReserve is the percentage of slots that long requests may not use.
	QuickReserve int
	// LongFloor is the percentage of slots that long requests get ahead of waiting quick
	// ones, once one of them has waited for LongMaxWait.
	LongFloor   int
	LongMaxWait sequoiasill.Millis
	// Margin is the percentage that is added to the estimated wait before it is compared
	// with the deadline.
	Margin int
}

// DefaultOptions returns the options that the router uses.
func DefaultOptions() Options {
	return Options{QuickReserve: 25, LongFloor: 25, LongMaxWait: 2 * sequoiasill.Second, Margin: 50}
}

// Event is an input of the limiter.
type Event interface{ event() }

// Arrived reports a request that is ready to start.
type Arrived struct{ Item Item }

// Ended reports that a started request released its slot.
type Ended struct{ ID sequoiasill.RequestID }

// Withdrawn reports that the caller of a waiting request disconnected.
type Withdrawn struct{ ID sequoiasill.RequestID }

// SlotsChanged sets the number of requests that may run at once.
type SlotsChanged struct{ Slots int }

func (Arrived) event()      {}
func (Ended) event()        {}
func (Withdrawn) event()    {}
func (SlotsChanged) event() {}

// Action is an output of the limiter.
type Action interface{ action() }

// Start starts a request.
type Start struct{ ID sequoiasill.RequestID }

// Refuse rejects a request for good: it has not run and never will.
type Refuse struct {
	ID         sequoiasill.RequestID
	RetryAfter sequoiasill.Millis
}

func (Start) action()  {}
func (Refuse) action() {}

// Limiter is the state of one pool. It is not safe for concurrent use.
type Limiter struct {
	opts           Options
	slots          int
	classes        [2]*class
	running        map[sequoiasill.RequestID]Item
	slotsUsed      [2]int // by class
	serviceRunning [2]float64
}

// New returns a Limiter without slots.
func New(opts Options) *Limiter {
	return &Limiter{
		opts:    opts,
		classes: [2]*class{newClass(), newClass()},
		running: make(map[sequoiasill.RequestID]Item),
	}
}

// Step processes one event and returns the resulting actions, in order.
func (l *Limiter) Step(now sequoiasill.Millis, ev Event) []Action {
	switch ev := ev.(type) {
	case Arrived:
		if ev.Item.Accepted {
			l.start(ev.Item)
			return []Action{Start{ID: ev.Item.ID}}
		}
		if refusal, refused := l.admit(now, ev.Item); refused {
			return []Action{refusal}
		}
		l.classes[ev.Item.Class].push(ev.Item, now)
	case Ended:
		l.end(ev.ID)
	case Withdrawn:
		for _, c := range l.classes {
			c.remove(ev.ID)
		}
	case SlotsChanged:
		l.slots = ev.Slots
	}
	return l.dispatch(now)
}

// Running returns the number of slots in use.
func (l *Limiter) Running() int {
	return l.slotsUsed[sequoiasill.Quick] + l.slotsUsed[sequoiasill.Long]
}

// Waiting returns the queue length of the class.
func (l *Limiter) Waiting(c sequoiasill.Class) int { return len(l.classes[c].queue) }

// Demand returns the number of running and waiting requests.
func (l *Limiter) Demand() int {
	return l.Running() + l.Waiting(sequoiasill.Quick) + l.Waiting(sequoiasill.Long)
}

// admit rejects a request that is expected to finish after its deadline, and every
// request while there are no slots.
func (l *Limiter) admit(now sequoiasill.Millis, it Item) (Refuse, bool) {
	wait := l.estimate(it)
	finishAt := now + wait + it.Service
	if l.slots > 0 && finishAt <= it.Deadline {
		return Refuse{}, false
	}
	retryAfter := min(max(finishAt-it.Deadline, sequoiasill.Second), sequoiasill.Minute)
	if l.slots == 0 {
		retryAfter = sequoiasill.Second
	}
	return Refuse{ID: it.ID, RetryAfter: retryAfter}, true
}

// estimate returns the expected wait of a request that arrives now, including the
// margin. It counts the service time ahead of the request: that of its class up to its
// place in the queue, and for a long request that of all waiting quick ones too.
func (l *Limiter) estimate(it Item) sequoiasill.Millis {
	c := l.classes[it.Class]
	ahead := c.serviceAhead(it)
	free := l.slotLimit(it.Class) - l.slotsUsed[it.Class]
	if it.Class == sequoiasill.Long {
		ahead += l.classes[sequoiasill.Quick].backlog
	}
	if free > 0 && ahead == 0 && l.Running() < l.slots {
		return 0
	}
	slots := max(l.slotLimit(it.Class), 1)
	remaining := l.remaining(it.Class)
	wait := (ahead + remaining) / sequoiasill.Millis(slots)
	return wait * sequoiasill.Millis(100+l.opts.Margin) / 100
}

// remaining returns the expected remaining service time of the running requests of a
// class, taken as half of their total.
func (l *Limiter) remaining(c sequoiasill.Class) sequoiasill.Millis {
	return sequoiasill.Millis(l.serviceRunning[c] / 2)
}

// slotLimit returns the number of slots that the class may use.
func (l *Limiter) slotLimit(c sequoiasill.Class) int {
	if c == sequoiasill.Quick || l.slots < 2 {
		return l.slots
	}
	reserve := max((l.slots*l.opts.QuickReserve+99)/100, 1)
	return max(l.slots-reserve, 1)
}

func (l *Limiter) end(id sequoiasill.RequestID) {
	it, ok := l.running[id]
	if !ok {
		return
	}
	delete(l.running, id)
	l.slotsUsed[it.Class]--
	l.serviceRunning[it.Class] -= float64(it.Service)
}

func (l *Limiter) start(it Item) {
	l.running[it.ID] = it
	l.slotsUsed[it.Class]++
	l.serviceRunning[it.Class] += float64(it.Service)
}

// dispatch starts waiting requests while slots are free.
func (l *Limiter) dispatch(now sequoiasill.Millis) []Action {
	var out []Action
	for l.Running() < l.slots {
		c, ok := l.next(now)
		if !ok {
			return out
		}
		it := l.classes[c].pop()
		l.start(it)
		out = append(out, Start{ID: it.ID})
	}
	return out
}

// next returns the class to start a request of next.
func (l *Limiter) next(now sequoiasill.Millis) (sequoiasill.Class, bool) {
	long := l.classes[sequoiasill.Long]
	longFits := len(long.queue) > 0 && l.slotsUsed[sequoiasill.Long] < l.slotLimit(sequoiasill.Long)
	floor := max(l.slots*l.opts.LongFloor/100, 1)
	if longFits && l.slotsUsed[sequoiasill.Long] < floor && long.longestWait(now) >= l.opts.LongMaxWait {
		return sequoiasill.Long, true
	}
	if len(l.classes[sequoiasill.Quick].queue) > 0 {
		return sequoiasill.Quick, true
	}
	return sequoiasill.Long, longFits
}

// queuedItem is a waiting item with its fair queueing tags.
type queuedItem struct {
	item       Item
	start      float64 // virtual start tag
	enqueuedAt sequoiasill.Millis
	index      int
	seq        int
}

// class is the queue of one class.
type class struct {
	queue       queue
	byID        map[sequoiasill.RequestID]*queuedItem
	lastFinish  map[string]float64 // virtual finish tag of the last item, by organisation
	virtualTime float64
	backlog     sequoiasill.Millis // total service time of the waiting items
	byArrival   []*queuedItem      // in order of arrival; removed items have index -1
	seq         int
}

func newClass() *class {
	return &class{byID: make(map[sequoiasill.RequestID]*queuedItem), lastFinish: make(map[string]float64)}
}

func (c *class) tags(it Item) (start, finish float64) {
	start = max(c.virtualTime, c.lastFinish[it.Organisation])
	return start, start + float64(max(it.Cost, 1))/float64(max(it.Weight, 1))
}

func (c *class) push(it Item, now sequoiasill.Millis) {
	start, finish := c.tags(it)
	c.lastFinish[it.Organisation] = finish
	c.seq++
	w := &queuedItem{item: it, start: start, enqueuedAt: now, seq: c.seq}
	heap.Push(&c.queue, w)
	c.byID[it.ID] = w
	c.byArrival = append(c.byArrival, w)
	c.backlog += it.Service
}

func (c *class) pop() Item {
	w := heap.Pop(&c.queue).(*queuedItem)
	c.virtualTime = max(c.virtualTime, w.start)
	c.markRemoved(w)
	if len(c.queue) == 0 {
		clear(c.lastFinish)
		c.virtualTime = 0
	}
	return w.item
}

func (c *class) remove(id sequoiasill.RequestID) {
	if w, ok := c.byID[id]; ok {
		heap.Remove(&c.queue, w.index)
		c.markRemoved(w)
	}
}

func (c *class) markRemoved(w *queuedItem) {
	delete(c.byID, w.item.ID)
	c.backlog -= w.item.Service
	w.index = -1
}

// serviceAhead returns the service time of the waiting items that would start before a
// new one.
func (c *class) serviceAhead(it Item) sequoiasill.Millis {
	start, _ := c.tags(it)
	var sum sequoiasill.Millis
	for _, w := range c.queue {
		if w.start <= start {
			sum += w.item.Service
		}
	}
	return sum
}

// longestWait returns the wait of the oldest waiting item.
func (c *class) longestWait(now sequoiasill.Millis) sequoiasill.Millis {
	for len(c.byArrival) > 0 && c.byArrival[0].index < 0 {
		c.byArrival = c.byArrival[1:]
	}
	if len(c.byArrival) == 0 {
		return 0
	}
	return now - c.byArrival[0].enqueuedAt
}

// queue is a heap by start tag, then by arrival.
type queue []*queuedItem

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].start != q[j].start {
		return q[i].start < q[j].start
	}
	return q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *queue) Push(x any) {
	w := x.(*queuedItem)
	w.index = len(*q)
	*q = append(*q, w)
}
func (q *queue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return w
}
