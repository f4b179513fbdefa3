// Package quarantiner identifies a poison request: one that crashes the upstreams that
// run it. Every request in flight at a crash becomes a suspect. Suspects are retried
// apart from each other, so that the next crash identifies the poison request by
// intersection, as in adaptive group testing (Dorfman, 1943). Such a request is then
// rejected for a while. Entries exchange suspects and quarantined requests, and place
// suspects by the same rule.
//
// With S suspects and n upstreams left, one request crashes at most 1 + ceil(log S /
// log n) upstreams: two if S is at most n, three up to its square.
//
// A Quarantiner is a state machine without I/O.
package quarantiner

import (
	"maps"
	"slices"
	"sort"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/picker"
)

// Fingerprint identifies a request by its organisation and body.
type Fingerprint uint64

// Options configure a Quarantiner.
type Options struct {
	// SettleTime is the minimum time between a crash and the decision on it. Further crashes
	// within it are treated as an outage.
	SettleTime sequoiasill.Millis
	// AwaitReports is how long the reports of all entries are awaited. A decision without
	// all of them quarantines a request only at CertainLevel or above.
	AwaitReports  sequoiasill.Millis
	CertainLevel  int
	SuspicionTTL  sequoiasill.Millis // a suspicion expires without a further crash
	QuarantineTTL sequoiasill.Millis // how long a poison request is rejected
}

// DefaultOptions returns the options that the router uses.
func DefaultOptions() Options {
	return Options{
		SettleTime:    400,
		AwaitReports:  2 * sequoiasill.Second,
		CertainLevel:  4,
		SuspicionTTL:  2 * sequoiasill.Minute,
		QuarantineTTL: 10 * sequoiasill.Minute,
	}
}

// Event is an input of the quarantiner.
type Event interface{ event() }

// Started reports that a request was sent to an upstream.
type Started struct {
	Fingerprint Fingerprint
	Upstream    string
}

// Finished reports that a request ended at an upstream that is alive.
type Finished struct {
	Fingerprint Fingerprint
	Upstream    string
	Clean       bool // with a complete response, which clears any suspicion
}

// Crashed reports that an upstream crashed, without an announced shutdown. Duplicates are
// ignored.
type Crashed struct{ Upstream string }

// Levels maps each suspect to the number of consecutive crashes at which it was in
// flight.
type Levels map[Fingerprint]int

// ReportReceived delivers another entry's report on a crash. In response this entry makes its
// own report.
type ReportReceived struct {
	Upstream string
	Entry    string
	Suspects Levels
}

// QuarantineReceived delivers a poison request that another entry identified.
type QuarantineReceived struct {
	Fingerprint Fingerprint
	Until       sequoiasill.Millis
}

// Entries lists the names of the live entries, including this one.
type Entries struct{ Names []string }

// Tick makes decisions that are due.
type Tick struct{}

func (Started) event()            {}
func (Finished) event()           {}
func (Crashed) event()            {}
func (ReportReceived) event()     {}
func (QuarantineReceived) event() {}
func (Entries) event()            {}
func (Tick) event()               {}

// Action is an output of the quarantiner.
type Action interface{ action() }

// Report sends the other entries the requests of this entry that were in flight at a
// crash, even if there were none.
type Report struct {
	Upstream string
	Suspects Levels
}

// Quarantine sends the other entries a poison request.
type Quarantine struct {
	Fingerprint Fingerprint
	Until       sequoiasill.Millis
}

func (Report) action()     {}
func (Quarantine) action() {}

// Quarantiner is the state of one entry. It is not safe for concurrent use.
type Quarantiner struct {
	opts        Options
	self        string
	entries     []string
	inFlight    map[string]map[Fingerprint]int // by upstream
	suspicions  map[Fingerprint]suspicion
	crashes     map[string]*crash // latest crash by upstream
	quarantined map[Fingerprint]sequoiasill.Millis
}

type suspicion struct {
	level    int
	raisedAt sequoiasill.Millis
}

// crash is a crash of an upstream with its suspects.
type crash struct {
	upstream   string
	at         sequoiasill.Millis
	suspects   Levels
	reportedBy map[string]bool // by entry
	decided    bool
	decidedAt  sequoiasill.Millis
}

// New returns the Quarantiner of the named entry, without suspects.
func New(self string, opts Options) *Quarantiner {
	return &Quarantiner{
		opts:        opts,
		self:        self,
		entries:     []string{self},
		inFlight:    make(map[string]map[Fingerprint]int),
		suspicions:  make(map[Fingerprint]suspicion),
		crashes:     make(map[string]*crash),
		quarantined: make(map[Fingerprint]sequoiasill.Millis),
	}
}

// Step processes one event and returns the resulting actions.
func (q *Quarantiner) Step(now sequoiasill.Millis, ev Event) []Action {
	out := q.decide(now)
	switch ev := ev.(type) {
	case Started:
		if q.inFlight[ev.Upstream] == nil {
			q.inFlight[ev.Upstream] = make(map[Fingerprint]int)
		}
		q.inFlight[ev.Upstream][ev.Fingerprint]++
	case Finished:
		q.recordFinish(ev)
	case Crashed:
		out = append(out, q.report(now, ev.Upstream)...)
	case ReportReceived:
		out = append(out, q.report(now, ev.Upstream)...)
		q.addReport(now, ev.Upstream, ev.Entry, ev.Suspects)
	case QuarantineReceived:
		q.quarantined[ev.Fingerprint] = max(q.quarantined[ev.Fingerprint], ev.Until)
	case Entries:
		q.entries = ev.Names
	}
	return out
}

// Quarantined reports whether the request is quarantined, and until when.
func (q *Quarantiner) Quarantined(now sequoiasill.Millis, f Fingerprint) (until sequoiasill.Millis, quarantined bool) {
	until = q.quarantined[f]
	return until, until > now
}

// recheckInterval is the delay before a crash that still lacks reports is checked
// again.
const recheckInterval sequoiasill.Millis = 20

// Placement is where and when a suspect may run.
type Placement struct {
	Wait     sequoiasill.Millis // delay before Place is to be called again
	Upstream string             // where it runs apart from other suspects; empty for any
}

// Place returns the placement of a request among the listed upstreams. All entries
// should pass the same list; upstreams that crashed recently are excluded here.
func (q *Quarantiner) Place(now sequoiasill.Millis, f Fingerprint, upstreams []string) Placement {
	c := q.lastCrashWith(now, f)
	if c == nil {
		return Placement{}
	}
	if !c.decided {
		return Placement{Wait: max(c.at+q.opts.SettleTime-now, recheckInterval)}
	}
	names := q.placementOrder(now, c.upstream, upstreams)
	if len(names) == 0 {
		return Placement{}
	}
	top := topLevel(c)
	var rank int
	for g, level := range c.suspects {
		if level == top && g < f {
			rank++
		}
	}
	if c.suspects[f] < top {
		// Other suspects were in flight at more crashes, so this one is probably harmless.
		return Placement{}
	}
	if wait := c.decidedAt + sequoiasill.Millis(rank/len(names))*q.opts.AwaitReports - now; top > 1 && wait > 0 {
		// After a second crash few suspects are left. If there are more suspects than
		// upstreams, the surplus runs after the others, so that the next crash has only one
		// of them in flight.
		return Placement{Wait: max(wait, recheckInterval)}
	}
	return Placement{Upstream: names[rank%len(names)]}
}

// placementOrder returns the upstreams that did not crash recently, in a hash order
// that depends on the crash.
func (q *Quarantiner) placementOrder(now sequoiasill.Millis, crashed string, upstreams []string) []string {
	var out []string
	for _, u := range upstreams {
		if c, ok := q.crashes[u]; !ok || now-c.at > q.opts.SuspicionTTL {
			out = append(out, u)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		return picker.Rendezvous(crashed, 0, out[i]) > picker.Rendezvous(crashed, 0, out[j])
	})
	return out
}

func topLevel(c *crash) int {
	top := 0
	for _, level := range c.suspects {
		top = max(top, level)
	}
	return top
}

func (q *Quarantiner) lastCrashWith(now sequoiasill.Millis, f Fingerprint) *crash {
	var last *crash
	for _, c := range q.crashes {
		_, in := c.suspects[f]
		if in && now-c.at < q.opts.SuspicionTTL && q.suspicions[f].level > 0 && (last == nil || c.at > last.at) {
			last = c
		}
	}
	return last
}

func (q *Quarantiner) recordFinish(ev Finished) {
	if m := q.inFlight[ev.Upstream]; m != nil {
		m[ev.Fingerprint]--
		if m[ev.Fingerprint] <= 0 {
			delete(m, ev.Fingerprint)
		}
	}
	if ev.Clean {
		delete(q.suspicions, ev.Fingerprint)
	}
}

// crashSpan is the time during which further reports of a crash of the same upstream
// refer to the same crash.
const crashSpan = 5 * sequoiasill.Second

// latestCrash returns the record of an upstream's latest crash and creates it if
// needed.
func (q *Quarantiner) latestCrash(now sequoiasill.Millis, upstream string) *crash {
	c, ok := q.crashes[upstream]
	if !ok || now-c.at > crashSpan {
		c = &crash{upstream: upstream, at: now, suspects: make(Levels), reportedBy: make(map[string]bool)}
		q.crashes[upstream] = c
	}
	return c
}

// report makes this entry's report on a crash, once per crash.
func (q *Quarantiner) report(now sequoiasill.Millis, upstream string) []Action {
	c := q.latestCrash(now, upstream)
	if c.reportedBy[q.self] {
		return nil
	}
	suspects := make(Levels)
	for f := range q.inFlight[upstream] {
		suspects[f] = q.suspicions[f].level + 1
	}
	delete(q.inFlight, upstream)
	q.addReport(now, upstream, q.self, suspects)
	return []Action{Report{Upstream: upstream, Suspects: suspects}}
}

// addReport adds an entry's report to a crash.
func (q *Quarantiner) addReport(now sequoiasill.Millis, upstream, entry string, suspects Levels) {
	c := q.latestCrash(now, upstream)
	c.reportedBy[entry] = true
	for f, level := range suspects {
		c.suspects[f] = max(c.suspects[f], level)
		q.raiseLevel(now, f, level)
	}
}

// allReported reports whether all live entries reported on the crash.
func (q *Quarantiner) allReported(c *crash) bool {
	for _, name := range q.entries {
		if !c.reportedBy[name] {
			return false
		}
	}
	return true
}

func (q *Quarantiner) raiseLevel(now sequoiasill.Millis, f Fingerprint, level int) {
	if s := q.suspicions[f]; level > s.level {
		q.suspicions[f] = suspicion{level: level, raisedAt: now}
	}
}

// decide evaluates the crashes whose settling time has passed. It quarantines a suspect
// that alone was in flight at more consecutive crashes than all others. Several crashes
// at once are an outage, after which no request is quarantined.
func (q *Quarantiner) decide(now sequoiasill.Millis) []Action {
	var out []Action
	for _, name := range slices.Sorted(maps.Keys(q.crashes)) {
		c := q.crashes[name]
		waited := now - c.at
		allReported := q.allReported(c)
		if c.decided || waited < q.opts.SettleTime || !allReported && waited < q.opts.AwaitReports {
			continue
		}
		c.decided, c.decidedAt = true, now
		f, level, unique := topSuspect(c)
		certain := allReported && level >= 2 || level >= q.opts.CertainLevel
		if unique && certain && !q.isOutage(c) {
			until := now + q.opts.QuarantineTTL
			q.quarantined[f] = until
			out = append(out, Quarantine{Fingerprint: f, Until: until})
		}
	}
	q.expire(now)
	return out
}

// isOutage reports whether another upstream crashed at about the same time.
func (q *Quarantiner) isOutage(c *crash) bool {
	for _, o := range q.crashes {
		if d := o.at - c.at; o != c && d > -q.opts.SettleTime && d < q.opts.SettleTime {
			return true
		}
	}
	return false
}

// topSuspect returns a suspect of the highest level, that level, and whether it is the
// only one.
func topSuspect(c *crash) (f Fingerprint, level int, unique bool) {
	level = topLevel(c)
	count := 0
	for g, l := range c.suspects {
		if l == level {
			f = g
			count++
		}
	}
	return f, level, count == 1
}

// expire removes expired crashes, suspicions and quarantines.
func (q *Quarantiner) expire(now sequoiasill.Millis) {
	for name, c := range q.crashes {
		if now-c.at > q.opts.SuspicionTTL {
			delete(q.crashes, name)
		}
	}
	for f, s := range q.suspicions {
		if now-s.raisedAt > q.opts.SuspicionTTL {
			delete(q.suspicions, f)
		}
	}
	for f, until := range q.quarantined {
		if until <= now {
			delete(q.quarantined, f)
		}
	}
}
