// Package partblamer identifies parts of prompts that crash the upstreams that begin to respond
// to them. Such a part may come in requests that have nothing else in common, so package
// blamer, which counts crashes by request, does not find it.
//
// Every call that ends with its upstream before the first event of its response is recorded
// with the shared parts of its prompt. Crashes also end unrelated calls, and calls with a
// deadly part share their other parts with sound ones. What sets the deadly part apart is that
// no call with it is ever served. Entries report their crashes to a few collectors. A collector
// announces the parts that it suspects, entries reply when they last served them, and parts that
// took part in enough crashes since then are quarantined by all entries.
//
// With RequestOptions it identifies single requests instead, which are then their only part. A crash ends
// all calls in progress at its upstream, so that callers who send the same request at the same time are
// suspected together with the one that caused it: what sets that one apart is that it crashes every
// upstream that runs it.
//
// A Blamer is a state machine without I/O. It is designed for a load in which a few percent of
// the calls of one kind crash an upstream each, at any entry, while other upstreams crash for
// other reasons.
package partblamer

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/recaller"
)

// Part identifies a part of a prompt.
type Part uint64

// PartsOf returns the sorted shared parts of a prompt.
func PartsOf(p sequoiasill.Prompt) []Part {
	var out []Part
	for _, part := range p.SharedParts() {
		out = append(out, Part(part.ID))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// RequestPart returns the part that stands for a whole request.
func RequestPart(request uint64) []Part { return []Part{Part(request)} }

// Crash is a call that ended with its upstream: before the first event of its response, or at any time for a
// Blamer of requests.
type Crash struct {
	Request  uint64 // identifies the request: organisation, path and body
	Upstream uint64 // identifies the incarnation of the upstream
	At       sequoiasill.Millis
	Parts    []Part // sorted
}

// Report is what an entry tells the collectors.
type Report struct {
	Crashes []Crash
	// Served holds the times at which suspected parts were last served.
	Served map[Part]sequoiasill.Millis
}

// Signature is a sorted set of parts. Calls that hold all of them are refused while it is
// quarantined.
type Signature []Part

// String returns the parts in hexadecimal, separated by commas.
func (s Signature) String() string {
	ids := make([]string, len(s))
	for i, p := range s {
		ids[i] = strconv.FormatUint(uint64(p), 16)
	}
	return strings.Join(ids, ",")
}

// matches reports whether sorted parts contain the signature.
func (s Signature) matches(parts []Part) bool {
	for _, p := range s {
		if _, ok := slices.BinarySearch(parts, p); !ok {
			return false
		}
	}
	return len(s) > 0
}

// Options configure a Blamer.
type Options struct {
	// SuspicionThreshold is the number of upstreams that crashed under a part, since it was last
	// served, from which on it is suspected.
	SuspicionThreshold int
	// CrashThreshold is the number of such crashes at which a part that was never served is
	// quarantined, and KnownCrashThreshold at which one that was served before is, if it was not
	// served for MinSilence.
	CrashThreshold      int
	KnownCrashThreshold int
	MinSilence          sequoiasill.Millis
	// MinRequests is the number of different requests that such crashes must come from.
	MinRequests int
	// OutageWindow is the time within which crashes of several upstreams count as one, as they
	// may have a common cause.
	OutageWindow sequoiasill.Millis
	// ReplyTime is the time for which a part must have been suspected, so that entries that
	// served it can reply.
	ReplyTime sequoiasill.Millis
	// CrashLifetime is the lifetime of recorded crashes, and MaxCrashes their maximum number.
	CrashLifetime sequoiasill.Millis
	MaxCrashes    int
	// MaxSuspects bounds the parts that a collector suspects at a time. Entries forget suspects
	// after SuspectLifetime; collectors announce them again before that.
	MaxSuspects     int
	SuspectLifetime sequoiasill.Millis
	// MinReportInterval is the minimum interval between reports, and ReportInterval the one at
	// which an unchanged report is repeated.
	MinReportInterval sequoiasill.Millis
	ReportInterval    sequoiasill.Millis
	// QuarantineDuration is the duration of a quarantine after the last crash.
	QuarantineDuration sequoiasill.Millis
	// ProbeDelay is the time from the start of a quarantine until one call is let through to
	// test whether the part still crashes upstreams. It is multiplied by ProbeDelayFactor for
	// each further test.
	ProbeDelay       sequoiasill.Millis
	ProbeDelayFactor sequoiasill.Millis
	// MaxServedParts bounds the parts whose last service is remembered.
	MaxServedParts int
	// ByUpstream states that calls with different parts that end with the same upstream are suspected of the
	// same crash. Otherwise only the parts of one call are.
	ByUpstream bool
}

// DefaultOptions returns the options that entries use.
func DefaultOptions() Options {
	return Options{
		SuspicionThreshold: 2, CrashThreshold: 3, KnownCrashThreshold: 5, MinSilence: 2 * sequoiasill.Second, MinRequests: 2,
		OutageWindow: 100, ReplyTime: 500, CrashLifetime: 5 * sequoiasill.Minute, MaxCrashes: 64, MaxSuspects: 32, SuspectLifetime: sequoiasill.Minute, MinReportInterval: 50, ReportInterval: 2 * sequoiasill.Second,
		QuarantineDuration: 15 * sequoiasill.Minute, ProbeDelay: 30 * sequoiasill.Second, ProbeDelayFactor: 5, MaxServedParts: 4096,
	}
}

// RequestOptions returns the options of a Blamer that identifies requests.
func RequestOptions() Options {
	o := DefaultOptions()
	o.MinRequests, o.MaxCrashes, o.ByUpstream = 1, 128, true
	return o
}

// Blamer holds the crashes and quarantines that an entry knows and, on a collector, the reports
// of other entries. It is not safe for concurrent use.
type Blamer struct {
	opts         Options
	crashes      []Crash // of this entry, oldest first
	served       recaller.Recaller[Part]
	suspects     map[string]suspectList // by collector
	quarantines  map[string]*quarantine
	reportIsDue  bool
	lastReportAt sequoiasill.Millis
	probing      bool
	changes      []Change

	reports        map[string]Report           // of other entries, by process
	suspectedSince map[Part]sequoiasill.Millis // on a collector
	announced      []Part                      // suspects that this collector announced
	announcedAt    sequoiasill.Millis
}

// suspectList holds the parts that a collector suspects.
type suspectList struct {
	parts      []Part
	receivedAt sequoiasill.Millis
}

// quarantine is the quarantine of a signature.
type quarantine struct {
	signature Signature
	since     sequoiasill.Millis
	until     sequoiasill.Millis
	nextProbe sequoiasill.Millis
}

// Change is a change of the quarantines or of a collector's suspects that the other entries must
// be told.
type Change struct {
	Signature   Signature // nil for a change of the suspects
	Quarantined bool      // otherwise the quarantine was lifted
	Extended    bool      // it was quarantined before
	Since       sequoiasill.Millis
	Until       sequoiasill.Millis
	Suspects    []Part
}

// New returns a blamer without crashes.
func New(opts Options) *Blamer {
	return &Blamer{
		opts: opts, served: recaller.New[Part](opts.MaxServedParts), suspects: make(map[string]suspectList), quarantines: make(map[string]*quarantine),
		reports: make(map[string]Report), suspectedSince: make(map[Part]sequoiasill.Millis),
	}
}

// RecordCrash records a crash under a call of this entry.
func (b *Blamer) RecordCrash(now sequoiasill.Millis, c Crash) {
	if len(c.Parts) == 0 {
		return
	}
	b.addCrash(c)
	b.reportIsDue = true
	for _, q := range b.quarantines {
		if q.signature.matches(c.Parts) {
			q.until = now + b.opts.QuarantineDuration
			extension := q.change()
			extension.Extended = true
			b.changes = append(b.changes, extension)
		}
	}
}

// maxCallsPerUpstream is the number of calls with the same request that are recorded for the crash of one
// upstream. A second one shows that the request was in progress more often than another one.
const maxCallsPerUpstream = 2

// addCrash adds a crash and, if there are too many, drops one: a crash of a request that took part in no other
// if crashes are attributed by upstream, and the oldest one otherwise.
func (b *Blamer) addCrash(c Crash) {
	if b.opts.ByUpstream && b.callsAt(c) >= maxCallsPerUpstream {
		return
	}
	b.crashes = append(b.crashes, c)
	if len(b.crashes) <= b.opts.MaxCrashes {
		return
	}
	dropped := 0
	if b.opts.ByUpstream {
		dropped = max(slices.IndexFunc(b.crashes, b.isOnly), 0)
	}
	b.crashes = slices.Delete(b.crashes, dropped, dropped+1)
}

// callsAt returns the number of recorded calls with the request of a crash that ended with the same upstream.
func (b *Blamer) callsAt(c Crash) int {
	n := 0
	for _, other := range b.crashes {
		if other.Request == c.Request && other.Upstream == c.Upstream {
			n++
		}
	}
	return n
}

// isOnly reports whether the request of a crash took part in no crash of another upstream.
func (b *Blamer) isOnly(c Crash) bool {
	return !slices.ContainsFunc(b.crashes, func(other Crash) bool { return other.Request == c.Request && other.Upstream != c.Upstream })
}

// RecordAlive records that an upstream incarnation responds, to a call that was sent at a time: it has not
// crashed before.
func (b *Blamer) RecordAlive(upstream uint64, sentAt sequoiasill.Millis) {
	before := len(b.crashes)
	b.crashes = slices.DeleteFunc(b.crashes, func(c Crash) bool { return c.Upstream == upstream && c.At < sentAt })
	b.reportIsDue = b.reportIsDue || len(b.crashes) < before
}

// RecordServed records that an upstream began to respond to a call with the given parts or, for a Blamer of
// requests, responded in full. It lifts the quarantines that the call disproves.
func (b *Blamer) RecordServed(now sequoiasill.Millis, parts []Part) {
	for _, p := range parts {
		if b.isSuspected(p) && !b.servedSinceReport(p) {
			b.reportIsDue = true
		}
		b.served.Put(p, now)
	}
	for key, q := range b.quarantines {
		if q.signature.matches(parts) {
			delete(b.quarantines, key)
			b.changes = append(b.changes, Change{Signature: q.signature})
		}
	}
}

// isSuspected reports whether a collector suspects a part.
func (b *Blamer) isSuspected(p Part) bool {
	for _, list := range b.suspects {
		if slices.Contains(list.parts, p) {
			return true
		}
	}
	return false
}

// servedSinceReport reports whether a part has been served here since the last report.
func (b *Blamer) servedSinceReport(p Part) bool {
	at, known := b.served.Last(p)
	return known && at > b.lastReportAt
}

// ReportIsDue reports whether there is something new to report.
func (b *Blamer) ReportIsDue() bool { return b.reportIsDue || len(b.changes) > 0 }

// Report returns what the collectors must be told, and whether it is due.
func (b *Blamer) Report(now sequoiasill.Millis) (Report, bool) {
	b.deleteExpired(now)
	r := Report{Crashes: slices.Clone(b.crashes), Served: b.servedSuspects()}
	nothing := len(r.Crashes) == 0 && len(r.Served) == 0
	sinceLast := now - b.lastReportAt
	if sinceLast < b.opts.MinReportInterval || !b.reportIsDue && (nothing || sinceLast < b.opts.ReportInterval) {
		return Report{}, false
	}
	b.reportIsDue, b.lastReportAt = false, now
	return r, true
}

// Flush makes a report of all crashes due at once.
func (b *Blamer) Flush() {
	b.lastReportAt = 0
	b.reportIsDue = b.reportIsDue || len(b.crashes) > 0
}

func (b *Blamer) servedSuspects() map[Part]sequoiasill.Millis {
	out := make(map[Part]sequoiasill.Millis)
	for _, list := range b.suspects {
		for _, p := range list.parts {
			if at, ok := b.served.Last(p); ok {
				out[p] = at
			}
		}
	}
	return out
}

// deleteExpired deletes expired crashes, suspects and quarantines, and crashes of calls whose
// parts have all been served here since.
func (b *Blamer) deleteExpired(now sequoiasill.Millis) {
	before := len(b.crashes)
	b.crashes = slices.DeleteFunc(b.crashes, func(c Crash) bool {
		return now-c.At > b.opts.CrashLifetime || b.allServedSince(c)
	})
	b.reportIsDue = b.reportIsDue || len(b.crashes) < before
	maps.DeleteFunc(b.suspects, func(_ string, list suspectList) bool { return now-list.receivedAt > b.opts.SuspectLifetime })
	for key, q := range b.quarantines {
		if q.until <= now {
			delete(b.quarantines, key)
		}
	}
}

func (b *Blamer) allServedSince(c Crash) bool {
	for _, p := range c.Parts {
		if at, ok := b.served.Last(p); !ok || at <= c.At {
			return false
		}
	}
	return true
}

// SetSuspects replaces the parts that a collector suspects.
func (b *Blamer) SetSuspects(now sequoiasill.Millis, collector string, parts []Part) {
	if len(parts) == 0 {
		delete(b.suspects, collector)
		return
	}
	for _, p := range parts {
		if _, ok := b.served.Last(p); ok && !slices.Contains(b.suspects[collector].parts, p) {
			b.reportIsDue = true
		}
	}
	b.suspects[collector] = suspectList{parts: parts, receivedAt: now}
}

// Quarantine quarantines a signature that another entry identified. It reports whether it was
// known.
func (b *Blamer) Quarantine(s Signature, since, until sequoiasill.Millis) (known bool) {
	key := s.String()
	if q, known := b.quarantines[key]; known {
		q.until = max(q.until, until)
		return true
	}
	b.quarantines[key] = b.newQuarantine(s, since, until)
	return false
}

// Lift ends a quarantine that a call at another entry disproved. It reports whether it was known.
func (b *Blamer) Lift(now sequoiasill.Millis, s Signature) (known bool) {
	_, known = b.quarantines[s.String()]
	delete(b.quarantines, s.String())
	for _, p := range s {
		b.served.Put(p, now)
	}
	return known
}

// SetProbing sets whether this entry is the one that lets calls through to test quarantines.
func (b *Blamer) SetProbing(probing bool) { b.probing = probing }

// Decision says whether a call may be sent to an upstream.
type Decision struct {
	Refused   bool
	Signature Signature          // for which it is refused, or which it tests
	NextProbe sequoiasill.Millis // time at which the quarantine is tested next
}

// Screen decides whether a call with the given parts may be sent. If it is let through to test
// a quarantine, Signature is set.
func (b *Blamer) Screen(now sequoiasill.Millis, parts []Part) Decision {
	var tested Signature
	for _, q := range b.quarantines {
		if q.until <= now || !q.signature.matches(parts) {
			continue
		}
		if !b.probing || now < q.nextProbe {
			return Decision{Refused: true, Signature: q.signature, NextProbe: b.nextProbe(now, q)}
		}
		q.nextProbe = b.nextProbe(now, q)
		tested = q.signature
	}
	return Decision{Signature: tested}
}

// nextProbe returns the time of the first test of a quarantine after now.
func (b *Blamer) nextProbe(now sequoiasill.Millis, q *quarantine) sequoiasill.Millis {
	delay := b.opts.ProbeDelay
	for q.since+delay <= now {
		delay *= b.opts.ProbeDelayFactor
	}
	return q.since + delay
}

// Quarantined returns the quarantined signatures, sorted.
func (b *Blamer) Quarantined(now sequoiasill.Millis) []Signature {
	var out []Signature
	for _, q := range b.quarantines {
		if q.until > now {
			out = append(out, q.signature)
		}
	}
	slices.SortFunc(out, slices.Compare[Signature])
	return out
}

// Restore quarantines signatures that were stored by an earlier process, except those whose parts
// were all served since this one started.
func (b *Blamer) Restore(now sequoiasill.Millis, stored []Signature) {
	for _, s := range stored {
		if _, known := b.quarantines[s.String()]; known || b.allServed(s) {
			continue
		}
		q := b.newQuarantine(s, now, now+b.opts.QuarantineDuration)
		b.quarantines[s.String()] = q
		b.changes = append(b.changes, q.change())
	}
}

func (b *Blamer) allServed(parts []Part) bool {
	return !slices.ContainsFunc(parts, func(p Part) bool {
		_, ok := b.served.Last(p)
		return !ok
	})
}

// TakeChanges returns the changes since the last call.
func (b *Blamer) TakeChanges() []Change {
	out := b.changes
	b.changes = nil
	return out
}

// Idle reports whether there is nothing to report, to decide or to test.
func (b *Blamer) Idle() bool {
	return len(b.crashes) == 0 && len(b.suspects) == 0 && len(b.reports) == 0 && len(b.quarantines) == 0 && len(b.changes) == 0 && len(b.announced) == 0 && !b.reportIsDue
}

func (b *Blamer) newQuarantine(s Signature, since, until sequoiasill.Millis) *quarantine {
	return &quarantine{signature: s, since: since, until: until, nextProbe: since + b.opts.ProbeDelay}
}

func (q *quarantine) change() Change {
	return Change{Signature: q.signature, Quarantined: true, Since: q.since, Until: q.until}
}
