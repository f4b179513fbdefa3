// Package quarantiner finds the request that crashes the upstreams that run it.
// Every request in flight at a crash becomes a suspect; suspects are retried
// apart from each other, so that the next crash names the culprit by
// intersection, as in adaptive group testing (Dorfman, 1943). A culprit is
// refused for a while. Entries tell each other of suspects and culprits, and
// place suspects by the same rule.
//
// With S suspects and n upstreams left, one request takes down at most
// 1 + ceil(log S / log n) upstreams: two where S is no more than n, three up to
// its square.
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

// Fingerprint identifies a request's organisation and body.
type Fingerprint uint64

// Options configure a Quarantiner.
type Options struct {
	// Settle is the least time between a crash and its judgement, in which further
	// crashes make it an outage.
	Settle sequoiasill.Millis
	// AwaitReports is how long the reports of all entries are awaited. A crash
	// judged without them condemns only past CertainLevel.
	AwaitReports sequoiasill.Millis
	CertainLevel int
	SuspectSpan  sequoiasill.Millis // a suspicion without a further crash lapses
	RefuseSpan   sequoiasill.Millis // a culprit is refused for so long
}

// DefaultOptions returns the options that the router uses.
func DefaultOptions() Options {
	return Options{
		Settle:       400,
		AwaitReports: 2 * sequoiasill.Second,
		CertainLevel: 4,
		SuspectSpan:  2 * sequoiasill.Minute,
		RefuseSpan:   10 * sequoiasill.Minute,
	}
}

// Event is an input of the quarantiner.
type Event interface{ event() }

// Started tells that a request went to an upstream.
type Started struct {
	Fingerprint Fingerprint
	Upstream    string
}

// Finished tells that a request left an upstream that lives.
type Finished struct {
	Fingerprint Fingerprint
	Upstream    string
	Clean       bool // with a whole answer, which clears a suspicion
}

// Crashed tells that an upstream died without notice. Repeats are ignored.
type Crashed struct{ Upstream string }

// Levels are suspects with the number of crashes in a row that each was in
// flight at.
type Levels map[Fingerprint]int

// Heard tells of an entry's report on a crash. It makes this entry report too.
type Heard struct {
	Upstream string
	Entry    string
	Suspects Levels
}

// Condemned tells of a culprit that another entry found.
type Condemned struct {
	Fingerprint Fingerprint
	Until       sequoiasill.Millis
}

// Entries tells the names of the live entries, this one included.
type Entries struct{ Names []string }

// Tick lets time pass.
type Tick struct{}

func (Started) event()   {}
func (Finished) event()  {}
func (Crashed) event()   {}
func (Heard) event()     {}
func (Condemned) event() {}
func (Entries) event()   {}
func (Tick) event()      {}

// Action is an output of the quarantiner.
type Action interface{ action() }

// Report tells the other entries which requests of this one were in flight at a
// crash, be it none.
type Report struct {
	Upstream string
	Suspects Levels
}

// Condemn tells the other entries of a culprit.
type Condemn struct {
	Fingerprint Fingerprint
	Until       sequoiasill.Millis
}

func (Report) action()  {}
func (Condemn) action() {}

// Quarantiner is the state of one entry. It is not safe for concurrent use.
type Quarantiner struct {
	opts     Options
	self     string
	entries  []string
	inFlight map[string]map[Fingerprint]int // by upstream
	levels   map[Fingerprint]suspicion
	crashes  map[string]*crash // by upstream, the last one
	culprits map[Fingerprint]sequoiasill.Millis
}

type suspicion struct {
	level   int
	changed sequoiasill.Millis
}

// crash is the death of an upstream with its suspects.
type crash struct {
	upstream string
	at       sequoiasill.Millis
	suspects Levels
	reports  map[string]bool // by entry
	judged   bool
	judgedAt sequoiasill.Millis
}

// New returns the quarantiner of the named entry, which suspects nothing.
func New(self string, opts Options) *Quarantiner {
	return &Quarantiner{
		opts:     opts,
		self:     self,
		entries:  []string{self},
		inFlight: make(map[string]map[Fingerprint]int),
		levels:   make(map[Fingerprint]suspicion),
		crashes:  make(map[string]*crash),
		culprits: make(map[Fingerprint]sequoiasill.Millis),
	}
}

// Step feeds one event and returns the actions that follow.
func (q *Quarantiner) Step(now sequoiasill.Millis, ev Event) []Action {
	out := q.judge(now)
	switch ev := ev.(type) {
	case Started:
		if q.inFlight[ev.Upstream] == nil {
			q.inFlight[ev.Upstream] = make(map[Fingerprint]int)
		}
		q.inFlight[ev.Upstream][ev.Fingerprint]++
	case Finished:
		q.finished(ev)
	case Crashed:
		out = append(out, q.report(now, ev.Upstream)...)
	case Heard:
		out = append(out, q.report(now, ev.Upstream)...)
		q.take(now, ev.Upstream, ev.Entry, ev.Suspects)
	case Condemned:
		q.culprits[ev.Fingerprint] = max(q.culprits[ev.Fingerprint], ev.Until)
	case Entries:
		q.entries = ev.Names
	}
	return out
}

// Refused returns until when the request is refused.
func (q *Quarantiner) Refused(now sequoiasill.Millis, f Fingerprint) (until sequoiasill.Millis, refused bool) {
	until = q.culprits[f]
	return until, until > now
}

// recheck is the wait before a crash whose reports are awaited is looked at again.
const recheck sequoiasill.Millis = 20

// Placement tells where a suspect may run.
type Placement struct {
	Wait     sequoiasill.Millis // before another attempt; ask again then
	Upstream string             // where it runs apart from other suspects; empty for anywhere
}

// Place returns the placement of a request among the listed upstreams. All
// entries should name the same ones; those that crashed are left out here.
func (q *Quarantiner) Place(now sequoiasill.Millis, f Fingerprint, upstreams []string) Placement {
	c := q.lastCrashWith(now, f)
	if c == nil {
		return Placement{}
	}
	if !c.judged {
		return Placement{Wait: max(c.at+q.opts.Settle-now, recheck)}
	}
	names := q.byHash(now, c.upstream, upstreams)
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
		// Others were in flight at more crashes, so this one is hardly to blame.
		return Placement{}
	}
	if wait := c.judgedAt + sequoiasill.Millis(rank/len(names))*q.opts.AwaitReports - now; top > 1 && wait > 0 {
		// After a second crash few suspects are left. Those beyond one an upstream run
		// after the others, so that the next crash has one of them only.
		return Placement{Wait: max(wait, recheck)}
	}
	return Placement{Upstream: names[rank%len(names)]}
}

// byHash returns the upstreams that did not crash lately, in an order that
// follows from the crash.
func (q *Quarantiner) byHash(now sequoiasill.Millis, crashed string, upstreams []string) []string {
	var out []string
	for _, u := range upstreams {
		if c, ok := q.crashes[u]; !ok || now-c.at > q.opts.SuspectSpan {
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
		if in && now-c.at < q.opts.SuspectSpan && q.levels[f].level > 0 && (last == nil || c.at > last.at) {
			last = c
		}
	}
	return last
}

func (q *Quarantiner) finished(ev Finished) {
	if m := q.inFlight[ev.Upstream]; m != nil {
		m[ev.Fingerprint]--
		if m[ev.Fingerprint] <= 0 {
			delete(m, ev.Fingerprint)
		}
	}
	if ev.Clean {
		delete(q.levels, ev.Fingerprint)
	}
}

// rebirth is the least time after which a further crash of the same upstream is
// another one.
const rebirth = 5 * sequoiasill.Second

// crash returns the record of an upstream's latest crash.
func (q *Quarantiner) crash(now sequoiasill.Millis, upstream string) *crash {
	c, ok := q.crashes[upstream]
	if !ok || now-c.at > rebirth {
		c = &crash{upstream: upstream, at: now, suspects: make(Levels), reports: make(map[string]bool)}
		q.crashes[upstream] = c
	}
	return c
}

// report makes this entry's report on a crash, once.
func (q *Quarantiner) report(now sequoiasill.Millis, upstream string) []Action {
	c := q.crash(now, upstream)
	if c.reports[q.self] {
		return nil
	}
	suspects := make(Levels)
	for f := range q.inFlight[upstream] {
		suspects[f] = q.levels[f].level + 1
	}
	delete(q.inFlight, upstream)
	q.take(now, upstream, q.self, suspects)
	return []Action{Report{Upstream: upstream, Suspects: suspects}}
}

// take adds an entry's report to a crash.
func (q *Quarantiner) take(now sequoiasill.Millis, upstream, entry string, suspects Levels) {
	c := q.crash(now, upstream)
	c.reports[entry] = true
	for f, level := range suspects {
		c.suspects[f] = max(c.suspects[f], level)
		q.raise(now, f, level)
	}
}

// complete reports whether all live entries reported on the crash.
func (q *Quarantiner) complete(c *crash) bool {
	for _, name := range q.entries {
		if !c.reports[name] {
			return false
		}
	}
	return true
}

func (q *Quarantiner) raise(now sequoiasill.Millis, f Fingerprint, level int) {
	if s := q.levels[f]; level > s.level {
		q.levels[f] = suspicion{level: level, changed: now}
	}
}

// judge looks at crashes that have settled. It condemns the one suspect that was
// in flight at more crashes in a row than all others. Several crashes at once are
// an outage and condemn nobody.
func (q *Quarantiner) judge(now sequoiasill.Millis) []Action {
	var out []Action
	for _, name := range slices.Sorted(maps.Keys(q.crashes)) {
		c := q.crashes[name]
		waited := now - c.at
		complete := q.complete(c)
		if c.judged || waited < q.opts.Settle || !complete && waited < q.opts.AwaitReports {
			continue
		}
		c.judged, c.judgedAt = true, now
		f, level, sole := topSuspect(c)
		certain := complete && level >= 2 || level >= q.opts.CertainLevel
		if sole && certain && !q.outage(c) {
			until := now + q.opts.RefuseSpan
			q.culprits[f] = until
			out = append(out, Condemn{Fingerprint: f, Until: until})
		}
	}
	q.forget(now)
	return out
}

// outage reports whether another upstream crashed at about the same time.
func (q *Quarantiner) outage(c *crash) bool {
	for _, o := range q.crashes {
		if d := o.at - c.at; o != c && d > -q.opts.Settle && d < q.opts.Settle {
			return true
		}
	}
	return false
}

// topSuspect returns a suspect of the highest level, the level, and whether it is
// the only one.
func topSuspect(c *crash) (f Fingerprint, level int, sole bool) {
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

// forget drops what has lapsed.
func (q *Quarantiner) forget(now sequoiasill.Millis) {
	for name, c := range q.crashes {
		if now-c.at > q.opts.SuspectSpan {
			delete(q.crashes, name)
		}
	}
	for f, s := range q.levels {
		if now-s.changed > q.opts.SuspectSpan {
			delete(q.levels, f)
		}
	}
	for f, until := range q.culprits {
		if until <= now {
			delete(q.culprits, f)
		}
	}
}
