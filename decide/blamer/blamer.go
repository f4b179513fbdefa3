// Package blamer detects requests that crash upstreams. It counts the upstreams that
// closed the connection while they ran a request and before they started to respond.
// A complete response clears a request. A request with too many such crashes is
// refused for some time and is then on probation: one more crash refuses it for longer.
//
// It decides only clear cases, at once: requests that got no complete response here lately and that no other
// request shared a crash with. Package partblamer decides the others, with the reports of all entries.
//
// Entries report their charges to a few collectors, for those of older builds, which combine them, as a caller
// that sends a request again usually reaches another entry.
//
// A Blamer is a state machine without I/O. It is designed for a load in which one
// request is sent repeatedly and crashes an upstream each time, while upstreams also
// crash for other reasons and lose responses.
package blamer

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/recaller"
)

// Fingerprint identifies a request by its caller, path and body.
type Fingerprint uint64

// Options configure a Blamer.
type Options struct {
	// CrashThreshold is the number of upstreams with a crash charged to a request at which the
	// request is refused. The default is above 2, so that an unrelated request that is in
	// flight during two crashes is not refused.
	CrashThreshold int
	// ChargeLifetime is the lifetime of a charge.
	ChargeLifetime sequoiasill.Millis
	// RefusalDuration is the duration of the first refusal of a request. ProbationDuration
	// is the probation after a refusal, in which one more crash refuses the request for twice as
	// long as before.
	RefusalDuration   sequoiasill.Millis
	ProbationDuration sequoiasill.Millis
	// MaxCharges bounds the charges that are kept and reported; the oldest are dropped.
	MaxCharges int
	// MaxResponses bounds the requests whose last complete response is remembered.
	MaxResponses int
}

// DefaultOptions returns the options that entries use.
func DefaultOptions() Options {
	return Options{CrashThreshold: 3, ChargeLifetime: 30 * sequoiasill.Second, RefusalDuration: 2 * sequoiasill.Minute, ProbationDuration: 10 * sequoiasill.Minute, MaxCharges: 64, MaxResponses: 4096}
}

// Charge records that an upstream may have crashed while it ran a request.
type Charge struct {
	Fingerprint Fingerprint
	Upstream    uint64 // hash of the upstream's name and start time
	At          sequoiasill.Millis
}

// Blamer holds an entry's charges and, at a collector, those of other entries. It is not
// safe for concurrent use.
type Blamer struct {
	opts             Options
	ownCharges       []Charge // oldest first
	truncated        []Charge // of requests whose responses had begun, oldest first
	responses        recaller.Recaller[Fingerprint]
	chargesByProcess map[string][]Charge // of other entries
	refusals         map[Fingerprint]refusal
}

// refusal is the refusal of a request. The request is on probation once it has ended.
type refusal struct {
	until    sequoiasill.Millis
	duration sequoiasill.Millis
}

// New returns a blamer without charges.
func New(opts Options) *Blamer {
	return &Blamer{opts: opts, chargesByProcess: make(map[string][]Charge), refusals: make(map[Fingerprint]refusal), responses: recaller.New[Fingerprint](opts.MaxResponses)}
}

// RecordTruncated records that an upstream may have crashed while it responded to a request. It does not count
// against the request, which shares the crash with others.
func (b *Blamer) RecordTruncated(now sequoiasill.Millis, f Fingerprint, upstream uint64) {
	b.truncated = append(b.truncated, Charge{Fingerprint: f, Upstream: upstream, At: now})
	b.truncated = b.truncated[max(len(b.truncated)-b.opts.MaxCharges, 0):]
}

// RecordCrash charges a request with the crash of an upstream. It reports whether the request
// must be refused from now on.
func (b *Blamer) RecordCrash(now sequoiasill.Millis, f Fingerprint, upstream uint64) bool {
	b.ownCharges = append(b.ownCharges, Charge{Fingerprint: f, Upstream: upstream, At: now})
	b.ownCharges = b.ownCharges[max(len(b.ownCharges)-b.opts.MaxCharges, 0):]
	return b.refuseAtThreshold(now, f)
}

// RecordResponse clears the charges and the probation of a request that got a complete
// response. A refusal that has not ended stays.
func (b *Blamer) RecordResponse(now sequoiasill.Millis, f Fingerprint) {
	b.responses.Put(f, now)
	if r, known := b.refusals[f]; known && r.until <= now {
		delete(b.refusals, f)
	}
	if len(b.ownCharges) == 0 {
		return
	}
	b.ownCharges = slices.DeleteFunc(b.ownCharges, func(c Charge) bool { return c.Fingerprint == f })
}

// Charges removes expired charges and probations and returns this entry's charges, to be
// reported to the collectors.
func (b *Blamer) Charges(now sequoiasill.Millis) []Charge {
	b.ownCharges = slices.DeleteFunc(b.ownCharges, func(c Charge) bool { return now-c.At > b.opts.ChargeLifetime })
	b.deleteExpired(now)
	maps.DeleteFunc(b.refusals, func(_ Fingerprint, r refusal) bool { return now-r.until > b.opts.ProbationDuration })
	return slices.Clone(b.ownCharges)
}

// deleteExpired deletes the charges of processes whose charges have all expired. Those of a process
// that has ended are not replaced by it any more.
func (b *Blamer) deleteExpired(now sequoiasill.Millis) {
	maps.DeleteFunc(b.chargesByProcess, func(_ string, charges []Charge) bool {
		return !slices.ContainsFunc(charges, func(c Charge) bool { return now-c.At <= b.opts.ChargeLifetime })
	})
}

// SetCharges replaces the charges of a process of another entry. It returns the requests that must be
// refused from now on, of which the other entries should be notified.
func (b *Blamer) SetCharges(now sequoiasill.Millis, process string, charges []Charge) []Fingerprint {
	if len(charges) == 0 {
		delete(b.chargesByProcess, process)
		return nil
	}
	b.chargesByProcess[process] = charges
	var newlyRefused []Fingerprint
	for _, c := range charges {
		if b.refuseAtThreshold(now, c.Fingerprint) {
			newlyRefused = append(newlyRefused, c.Fingerprint)
		}
	}
	slices.Sort(newlyRefused)
	return slices.Compact(newlyRefused)
}

// refuseAtThreshold refuses a request that reaches the threshold of crashes and is not
// refused yet. It reports whether it did.
func (b *Blamer) refuseAtThreshold(now sequoiasill.Millis, f Fingerprint) bool {
	if _, refused := b.Refused(now, f); refused {
		return false
	}
	if at, ok := b.responses.Last(f); ok && now-at <= b.opts.ChargeLifetime {
		return false
	}
	upstreams := make(map[uint64]bool)
	for c := range b.liveCharges(now) {
		if c.Fingerprint == f {
			upstreams[c.Upstream] = true
		}
	}
	threshold, duration := b.opts.CrashThreshold, b.opts.RefusalDuration
	if previous, onProbation := b.refusals[f]; onProbation {
		threshold, duration = 1, 2*previous.duration
	}
	if len(upstreams) < threshold || b.isShared(now, f, upstreams) {
		return false
	}
	b.Refuse(now, f, now+duration)
	return true
}

// liveCharges returns the charges that this process knows and that have not expired.
func (b *Blamer) liveCharges(now sequoiasill.Millis) iter.Seq[Charge] {
	return func(yield func(Charge) bool) {
		for _, list := range append(slices.Collect(maps.Values(b.chargesByProcess)), b.ownCharges) {
			for _, c := range list {
				if now-c.At <= b.opts.ChargeLifetime && !yield(c) {
					return
				}
			}
		}
	}
}

// isShared reports whether another request was in progress at an upstream when it crashed under a request.
func (b *Blamer) isShared(now sequoiasill.Millis, f Fingerprint, upstreams map[uint64]bool) bool {
	shares := func(c Charge) bool { return c.Fingerprint != f && upstreams[c.Upstream] }
	for c := range b.liveCharges(now) {
		if shares(c) {
			return true
		}
	}
	return slices.ContainsFunc(b.truncated, shares)
}

// Refuse refuses a request until a time.
func (b *Blamer) Refuse(now sequoiasill.Millis, f Fingerprint, until sequoiasill.Millis) {
	if until > b.refusals[f].until {
		b.refusals[f] = refusal{until: until, duration: until - now}
	}
}

// Refused reports whether a request is refused, and until when.
func (b *Blamer) Refused(now sequoiasill.Millis, f Fingerprint) (until sequoiasill.Millis, refused bool) {
	r, known := b.refusals[f]
	if !known || r.until <= now {
		return 0, false
	}
	return r.until, true
}

// Suspects returns the requests that are refused or on probation, sorted.
func (b *Blamer) Suspects() []Fingerprint {
	return slices.SortedFunc(maps.Keys(b.refusals), cmp.Compare)
}
