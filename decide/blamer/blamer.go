// Package blamer finds requests that crash the upstreams that run them, by
// counting the upstreams that broke off under each before it began to answer. A
// whole answer clears a request. One under which a few upstreams broke off is
// refused for a while, and then tried again: another break refuses it for longer.
//
// Entries tell a few collectors of what they charge requests with, which add it
// up: a caller that sends a request again mostly reaches another entry.
//
// A Blamer is a state machine without I/O. It answers the load in which one
// request is sent again and again and takes down an upstream each time, among
// upstreams that also crash by themselves and lose answers.
package blamer

import (
	"cmp"
	"maps"
	"slices"

	"sequoiasill.dev/sequoiasill"
)

// Fingerprint identifies a request by its caller, path and body.
type Fingerprint uint64

// Options configure a Blamer.
type Options struct {
	// Crashes is the number of upstreams that broke off under a request from which on
	// it is refused. An innocent request that is in flight at two crashes is not.
	Crashes int
	// ChargeSpan is how long a charge stands without a further one.
	ChargeSpan sequoiasill.Millis
	// RefuseSpan is how long a request is refused at first, and RecallSpan how long after
	// its refusal one more break refuses it again, for twice as long.
	RefuseSpan sequoiasill.Millis
	RecallSpan sequoiasill.Millis
	// MostCharges bounds the charges that are kept and told; the latest stay.
	MostCharges int
}

// DefaultOptions returns the options that entries use.
func DefaultOptions() Options {
	return Options{Crashes: 3, ChargeSpan: 30 * sequoiasill.Second, RefuseSpan: 2 * sequoiasill.Minute, RecallSpan: 10 * sequoiasill.Minute, MostCharges: 64}
}

// Charge says that an upstream broke off under a request.
type Charge struct {
	Fingerprint Fingerprint
	Upstream    uint64 // hash of the name and start of the upstream
	At          sequoiasill.Millis
}

// Blamer holds an entry's charges and, at a collector, those of the others. It is
// not safe for concurrent use.
type Blamer struct {
	opts    Options
	own     []Charge            // the latest last
	others  map[string][]Charge // by entry
	refused map[Fingerprint]refusal
}

// refusal is that of a request, in force or recalled.
type refusal struct {
	until sequoiasill.Millis
	span  sequoiasill.Millis
}

// New returns a blamer that charges nothing.
func New(opts Options) *Blamer {
	return &Blamer{opts: opts, others: make(map[string][]Charge), refused: make(map[Fingerprint]refusal)}
}

// Broke charges a request with an upstream that broke off under it. It returns
// whether the request is to be refused from now on.
func (b *Blamer) Broke(now sequoiasill.Millis, f Fingerprint, upstream uint64) bool {
	b.own = append(b.own, Charge{Fingerprint: f, Upstream: upstream, At: now})
	b.own = b.own[max(len(b.own)-b.opts.MostCharges, 0):]
	return b.judge(now, f)
}

// Answered clears a request that got a whole answer. A refusal in force stays.
func (b *Blamer) Answered(now sequoiasill.Millis, f Fingerprint) {
	if r, known := b.refused[f]; known && r.until <= now {
		delete(b.refused, f)
	}
	if len(b.own) == 0 {
		return
	}
	b.own = slices.DeleteFunc(b.own, func(c Charge) bool { return c.Fingerprint == f })
}

// Charges returns what this entry charges requests with, to be told.
func (b *Blamer) Charges(now sequoiasill.Millis) []Charge {
	b.own = slices.DeleteFunc(b.own, func(c Charge) bool { return now-c.At > b.opts.ChargeSpan })
	maps.DeleteFunc(b.refused, func(_ Fingerprint, r refusal) bool { return now-r.until > b.opts.RecallSpan })
	return slices.Clone(b.own)
}

// Heard takes in all charges of another entry, in place of those that it told
// before. It returns the requests that are to be refused from now on, which the
// other entries should be told of.
func (b *Blamer) Heard(now sequoiasill.Millis, entry string, charges []Charge) []Fingerprint {
	if len(charges) == 0 {
		delete(b.others, entry)
		return nil
	}
	b.others[entry] = charges
	var found []Fingerprint
	for _, c := range charges {
		if b.judge(now, c.Fingerprint) {
			found = append(found, c.Fingerprint)
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// judge reports whether a request is newly found to crash upstreams.
func (b *Blamer) judge(now sequoiasill.Millis, f Fingerprint) bool {
	if _, refused := b.Refused(now, f); refused {
		return false
	}
	upstreams := make(map[uint64]bool)
	for _, list := range append(slices.Collect(maps.Values(b.others)), b.own) {
		for _, c := range list {
			if c.Fingerprint == f && now-c.At <= b.opts.ChargeSpan {
				upstreams[c.Upstream] = true
			}
		}
	}
	crashes, span := b.opts.Crashes, b.opts.RefuseSpan
	if before, recalled := b.refused[f]; recalled {
		crashes, span = 1, 2*before.span
	}
	if len(upstreams) < crashes {
		return false
	}
	b.Refuse(now, f, now+span)
	return true
}

// Refuse refuses a request until a time.
func (b *Blamer) Refuse(now sequoiasill.Millis, f Fingerprint, until sequoiasill.Millis) {
	if until > b.refused[f].until {
		b.refused[f] = refusal{until: until, span: until - now}
	}
}

// Refused returns until when a request is refused, if it is.
func (b *Blamer) Refused(now sequoiasill.Millis, f Fingerprint) (until sequoiasill.Millis, refused bool) {
	r, known := b.refused[f]
	if !known || r.until <= now {
		return 0, false
	}
	return r.until, true
}

// Culprits returns the requests that are refused or recalled, sorted.
func (b *Blamer) Culprits() []Fingerprint {
	return slices.SortedFunc(maps.Keys(b.refused), cmp.Compare)
}
