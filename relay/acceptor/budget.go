package acceptor

import (
	"net/http"
	"sync"

	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/reserver"
)

const (
	// connectionBytes is what a connection holds before its first byte: the buffers of the server, the
	// stacks of its goroutines and its state. 13 KB were measured for one with a part of a request.
	connectionBytes = 16 << 10
	// headerByteCost and headerLineCost are what a header holds for each byte and line: the buffers of the
	// server, the parsed map (91 bytes a line were measured for short ones) and the copy of it that is sent to
	// an upstream.
	headerByteCost = 3
	headerLineCost = 256
	// closedLogInterval bounds the log lines on closed connections; the next line has their number.
	closedLogInterval = sequoiasill.Second
)

// headerCost returns the memory that a header takes, in bytes.
func headerCost(bytes, lines int) int64 {
	return int64(bytes)*headerByteCost + int64(lines)*headerLineCost
}

// BudgetMeter counts what the budget closes and refuses.
type BudgetMeter interface {
	CallerInputClosed(reason string)
}

// Reasons of refusals for want of memory or connections, beside those of the reserver.
const (
	reasonRefused = "refused"         // no connection could be closed for the request
	reasonHead    = "head too large"  // beyond the limits of a header
	reasonFraming = "framing too big" // far more bytes than the largest body in chunks needs
)

// Budget is the memory for callers' input on all connections and for copies of their calls. It is safe for
// concurrent use.
type Budget struct {
	clock sequoiasill.Clock
	meter BudgetMeter
	log   hclog.Logger

	mu       sync.Mutex
	reserver *reserver.Reserver
	limit    int64
	conns    map[reserver.ID]*callerConn
	last     reserver.ID
	loggedAt sequoiasill.Millis
	unlogged int // closed or refused since loggedAt
}

// NewBudget returns a budget with the given options.
func NewBudget(opts reserver.Options, clock sequoiasill.Clock, m BudgetMeter, log hclog.Logger) *Budget {
	return &Budget{
		clock: clock, meter: m, log: log.Named("budget"), reserver: reserver.New(opts), limit: opts.Bytes, conns: make(map[reserver.ID]*callerConn),
	}
}

// Totals returns what callers hold.
func (b *Budget) Totals() reserver.Totals {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserver.Totals()
}

// open adds a connection. It returns false if there is no room for it.
func (b *Budget) open(c *callerConn) bool {
	b.mu.Lock()
	b.last++
	closings, ok := b.reserver.Open(b.clock.Now(), b.last, connectionBytes)
	victims := b.remove(closings)
	if ok {
		c.input = &Input{budget: b, id: b.last}
		b.conns[b.last] = c
	} else {
		b.report(reasonRefused, c, 0, 0)
	}
	b.mu.Unlock()
	closeAll(victims)
	return ok
}

// Hold reserves memory for a copy of a call. If it returns true, release must be called.
func (b *Budget) Hold(bytes int64) (release func(), ok bool) {
	b.mu.Lock()
	b.last++
	id := b.last
	closings, ok := b.reserver.Hold(b.clock.Now(), id, bytes)
	victims := b.remove(closings)
	if !ok {
		b.report(reasonRefused, nil, 0, 0)
	}
	b.mu.Unlock()
	closeAll(victims)
	if !ok {
		return nil, false
	}
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.reserver.Close(id)
	}, true
}

// remove removes the connections that are to be closed, and returns them. The caller holds the lock.
func (b *Budget) remove(closings []reserver.Closing) []*callerConn {
	var out []*callerConn
	for _, closing := range closings {
		c := b.conns[closing.ID]
		delete(b.conns, closing.ID)
		b.report(string(closing.Reason), c, closing.Share, closing.SinceLatest)
		out = append(out, c)
	}
	return out
}

// closeAll closes connections. The caller does not hold the lock of the budget, as the connections hold
// theirs while they use it.
func closeAll(conns []*callerConn) {
	for _, c := range conns {
		c.closeFor(causeBudget)
	}
}

// report counts a connection that is closed or refused, and logs it unless one was logged just now. The
// caller holds the lock.
func (b *Budget) report(reason string, c *callerConn, share int64, sinceLatest sequoiasill.Millis) {
	b.meter.CallerInputClosed(reason)
	b.unlogged++
	now := b.clock.Now()
	if b.loggedAt > 0 && now-b.loggedAt < closedLogInterval {
		return
	}
	t := b.reserver.Totals()
	remote := ""
	if c != nil {
		remote = remoteOf(c.Conn)
	}
	b.log.Warn("callers' input closed or refused", "reason", reason, "remote", remote, "share", share, "sinceProgress", sinceLatest,
		"held", t.Held, "closing", t.Closing, "largest", t.Largest, "limit", b.limit, "connections", t.Connections, "count", b.unlogged)
	b.loggedAt, b.unlogged = now, 0
}

// Input is the part of the budget that a connection holds.
type Input struct {
	budget *Budget
	id     reserver.ID

	mu   sync.Mutex
	head int64 // of the pending request
	body int64
}

// InputOf returns the part of the budget that the connection of a request holds, nil if it has none. The
// methods of a nil Input reserve nothing.
func InputOf(req *http.Request) *Input {
	if c, ok := req.Context().Value(connKey{}).(*callerConn); ok {
		return c.input
	}
	return nil
}

// Reserve reserves bytes for the body. It returns false if there is no room for them, or the connection
// was closed.
func (i *Input) Reserve(bytes int64) bool {
	if i == nil {
		return true
	}
	if !i.reserve(bytes) {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.body += bytes
	return true
}

func (i *Input) reserve(bytes int64) bool {
	b := i.budget
	b.mu.Lock()
	closings, ok := b.reserver.Reserve(b.clock.Now(), i.id, bytes)
	victims := b.remove(closings)
	if c := b.conns[i.id]; !ok && c != nil {
		b.report(reasonRefused, c, bytes, 0)
	}
	b.mu.Unlock()
	closeAll(victims)
	return ok
}

// reserveHead reserves memory for what the header of the pending request takes in all.
func (i *Input) reserveHead(total int64) bool {
	i.mu.Lock()
	more := total - i.head
	i.mu.Unlock()
	if more <= 0 {
		return true
	}
	if !i.reserve(more) {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.head = total
	return true
}

// Release releases bytes of the body.
func (i *Input) Release(bytes int64) {
	if i == nil {
		return
	}
	i.mu.Lock()
	i.body -= bytes
	i.mu.Unlock()
	i.release(bytes)
}

func (i *Input) release(bytes int64) {
	i.budget.mu.Lock()
	defer i.budget.mu.Unlock()
	i.budget.reserver.Release(i.id, bytes)
}

// Run records that the request was read whole and that its call may begin. From then on the connection is
// not closed for its memory. It returns false if it was closed before.
func (i *Input) Run() bool {
	return i == nil || i.setPhase(reserver.Running)
}

func (i *Input) setPhase(p reserver.Phase) bool {
	b := i.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserver.SetPhase(b.clock.Now(), i.id, p)
}

// endRequest releases what the request held that was answered.
func (i *Input) endRequest() {
	i.mu.Lock()
	bytes := i.head + i.body
	i.head, i.body = 0, 0
	i.mu.Unlock()
	i.release(bytes)
	i.setPhase(reserver.Idle)
}

// received records bytes that were read.
func (i *Input) received(n int) {
	b := i.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserver.Received(b.clock.Now(), i.id, int64(n))
}

// close releases all that the connection holds.
func (i *Input) close() {
	b := i.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, i.id)
	b.reserver.Close(i.id)
}

// reportLimit counts a request beyond a fixed limit.
func (i *Input) reportLimit(reason string, c *callerConn, bytes int) {
	b := i.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.report(reason, c, int64(bytes), 0)
}
