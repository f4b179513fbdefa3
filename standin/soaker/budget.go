package soaker

import (
	"fmt"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/auditor"
	"sequoiasill.dev/sequoiasill/decide/rationer"
)

// What is allowed of the other parts of the rule on repeats.
const (
	// mostOverrun is how many calls may run at more upstreams than their route allows.
	mostOverrun = 3
	// limitSlack is by how much the time limit of a send may pass that of its call, and
	// the time from which on another send of a call is a late one.
	limitSlack = 500 * sequoiasill.Millis(1)
	// mostLong is how many sends may have a longer limit, and longPart the part of those
	// that are late or too long that it takes besides.
	mostLong = 20
	longPart = 0.2
	// noLimit stands for a send without a time limit.
	noLimit = sequoiasill.Millis(-1)
)

// budget judges how often and with which time limits calls come to upstreams. Times are
// those of one clock. It is not safe for concurrent use.
type budget struct {
	bound rationer.Limits
	audit *auditor.Auditor
	calls map[string]*charge
	late  int // sends of a call that came later than limitSlack after its first
	long  int // sends with a time limit that is too long
	over  int // calls that ran at more upstreams than they may
}

// charge is what the budget knows of one call.
type charge struct {
	attempts int // upstreams that may run it
	limit    sequoiasill.Millis
	ran      map[string]bool // at upstreams
	arrived  bool
	first    sequoiasill.Millis // when it first came to an upstream
	end      sequoiasill.Millis // of the time limit that it had then
}

func newBudget(bound rationer.Limits) *budget {
	return &budget{bound: bound, audit: auditor.New(), calls: make(map[string]*charge)}
}

// sent notes that a caller sends a call on a route to a service.
func (b *budget) sent(at sequoiasill.Millis, id, service string, attempts int, limit sequoiasill.Millis) {
	b.calls[id] = &charge{attempts: attempts, limit: limit, ran: make(map[string]bool)}
	b.audit.RecordRequest(at, service)
}

// arrived notes that a call comes to an upstream of a service, which runs or refuses it,
// with the time limit that the entry handed on. The limit does not count where the call
// was held up on its way.
func (b *budget) arrived(at sequoiasill.Millis, id, service string, limit sequoiasill.Millis, heldUp bool) {
	b.audit.RecordArrival(at, service, id)
	c := b.calls[id]
	if c == nil {
		return
	}
	if !heldUp {
		b.judgeLimit(at, c, limit)
	}
	if !c.arrived {
		c.arrived, c.first, c.end = true, at, at+limit
	}
}

// judgeLimit counts sends that are late, and those with a time limit that is too long.
func (b *budget) judgeLimit(at sequoiasill.Millis, c *charge, limit sequoiasill.Millis) {
	late := c.arrived && at-c.first > limitSlack
	if late {
		b.late++
	}
	if limit == noLimit || limit > c.limit+limitSlack || late && at+limit > max(c.end, c.first+c.limit)+limitSlack {
		b.long++
	}
}

// began notes that an upstream begins to run a call.
func (b *budget) began(id, upstream string) {
	c := b.calls[id]
	if c == nil || c.ran[upstream] {
		return
	}
	c.ran[upstream] = true
	if len(c.ran) == c.attempts+1 {
		b.over++
	}
}

// findings returns how the rule was broken.
func (b *budget) findings() []string {
	var out []string
	for _, w := range b.audit.WorstWindows(b.bound) {
		if w.Used() > 1 {
			out = append(out, fmt.Sprintf("%d repeats came to %s within %s from %s on, %.1f are allowed for %d requests",
				w.Repeats, w.Service, b.bound.Window, w.Begin.Time().Format("15:04:05.000"), w.Allowed, w.Requests))
		}
	}
	if b.over > mostOverrun {
		out = append(out, fmt.Sprintf("%d calls ran at more upstreams than their routes allow", b.over))
	}
	if b.long > mostLong && float64(b.long) > longPart*float64(b.long+b.late) {
		out = append(out, fmt.Sprintf("%d sends had a longer time limit than was left, of %d late ones", b.long, b.late))
	}
	return out
}
