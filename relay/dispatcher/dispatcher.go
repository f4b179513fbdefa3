// Package dispatcher carries a call from its arrival to its answer: it finds
// route and organisation, admits the call within its allowance, places it at an
// upstream, judges the answer, repeats or resumes it where that is allowed, and
// answers the caller. It knows no wire format: codecs stand before and behind it.
package dispatcher

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/allotter"
	"sequoiasill.dev/sequoiasill/decide/assigner"
	"sequoiasill.dev/sequoiasill/decide/blamer"
	"sequoiasill.dev/sequoiasill/decide/rationer"
	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/decide/throttler"
)

// Attempt is one send of a call to an upstream.
type Attempt struct {
	Call         *sequoiasill.Call
	Replica      sequoiasill.Replica
	Organisation string
	Left         sequoiasill.Millis // until the caller stops waiting, 0 for no end
	Urgency      int                // 0 is the most urgent
	After        string             // the event after which a stream goes on, empty for its start
	// MaySend is asked right before the first byte is written. If it returns false,
	// nothing is sent.
	MaySend func() bool
}

// Answer is the head of an upstream's answer. Close must be called.
type Answer struct {
	Status    int
	Header    http.Header        // to pass on
	Refused   bool               // the upstream says that it did not run the call
	Elsewhere bool               // another upstream has the address
	Genuine   bool               // it bears the upstream's mark and belongs to the call
	Events    bool               // a stream of events
	Leaving   bool               // the upstream says that it leaves
	Pause     sequoiasill.Millis // for which the upstream wants no call, 0 for none
	Limit     registrar.Limit    // on the calls that the upstream takes from all entries
	Load      registrar.Load
	HasLoad   bool
	Body      io.Reader
	Close     func(whole bool)
}

// Courier sends attempts to upstreams. An error carries a verdict, see Verdict.
type Courier interface {
	Send(ctx context.Context, a Attempt) (*Answer, error)
}

// Reply is the way back to a caller. One of Whole, Refuse and Begin comes first.
type Reply interface {
	// Whole sends an answer.
	Whole(status int, header http.Header, body []byte) error
	// Refuse sends an answer of the system's own.
	Refuse(f *sequoiasill.Failure)
	// Begin sends the head of a stream, Write parts of it, and End its end.
	Begin(status int, header http.Header) error
	Write(b []byte) error
	End() error
	// Cut ends an answer so that it cannot look complete.
	Cut()
}

// Peers tells the other entries of what happens here.
type Peers interface {
	// Began counts a call that began to run.
	Began(organisation string)
	// Condemned tells of a request that crashes upstreams and is refused until a time.
	Condemned(f blamer.Fingerprint, until sequoiasill.Millis)
	// Left tells of an upstream whose present start said that it leaves.
	Left(upstream string, born sequoiasill.Millis)
	Limits
}

// Limits shares out the calls of upstreams that limit how many they take from all entries.
type Limits interface {
	// LimitNamed tells that an answer here was the first to name the limit of an upstream.
	LimitNamed(u throttler.Upstream, perSecond float64)
	// Ask asks the entry that keeps the limit of an upstream whether a call may go there.
	Ask(ctx context.Context, u throttler.Upstream) (throttler.Permit, throttler.Decision)
	// Used tells how the call ended that a permit was given for, and what the answer says
	// of the limit.
	Used(p throttler.Permit, e throttler.End, l registrar.Limit)
}

// Versions divide the calls of services that move to another version.
type Versions interface {
	// Target returns the version that a service moves to and whether a call goes to it.
	// It is empty where the service does not move.
	Target(service, call string) (version string, to bool)
	// Record takes in how a call at an upstream went, with the time to its answer or
	// its first event. A stream that breaks off is told twice.
	Record(service, route, version string, failed bool, took sequoiasill.Millis)
}

// Meter counts what the dispatcher does.
type Meter interface {
	Refused(code sequoiasill.Code)
	Attempted(end string, took sequoiasill.Millis)
	Began(after sequoiasill.Millis)
	Ended(kind sequoiasill.RepeatKind, end string, took sequoiasill.Millis)
	// Repeated counts a wish to send a call once more, allowed or not.
	Repeated(service string, allowed bool)
	// Told counts what upstreams say of themselves, here or to another entry.
	Told(what, source string)
	// Permitted counts an answer to a wish to send a call to an upstream that limits its
	// calls.
	Permitted(granted, free bool)
}

// Options configure a Dispatcher.
type Options struct {
	Zone string
	// AnswerBytes bounds an answer that is not a stream of events.
	AnswerBytes int
	// BufferBytes bounds such answers of all calls at a time together, but for the first
	// SmallAnswer bytes of each.
	BufferBytes int
	SmallAnswer int
	// Refusals is how many upstreams may refuse a call before it is given up.
	Refusals int
	// Denials is how many upstreams that limit their calls may deny a call until it goes to
	// others only.
	Denials int
	// GiveUpPart is the part of a route's aimed latency, in percent, after which an
	// attempt without an answer is given up where the call may be repeated.
	GiveUpPart int
	// RetryAfter is what callers are told where the state of the upstreams tells
	// nothing better.
	RetryAfter sequoiasill.Millis
	// StreamSpan is how long most streams take. A stream that comes when the entry
	// ends sooner is refused, so that it runs elsewhere.
	StreamSpan sequoiasill.Millis
}

// DefaultOptions returns the options that entries use.
func DefaultOptions() Options {
	return Options{AnswerBytes: 4 << 20, BufferBytes: 24 << 20, SmallAnswer: 64 << 10, Refusals: 4, Denials: 3, GiveUpPart: 150, RetryAfter: 250, StreamSpan: 4 * sequoiasill.Second}
}

// Decisions are the state machines that a dispatcher drives.
type Decisions struct {
	Registrar *registrar.Registrar
	Assigner  *assigner.Assigner
	Allotter  *allotter.Allotter
	Rationer  *rationer.Rationer
	Blamer    *blamer.Blamer
}

// Dispatcher serves calls. It is safe for concurrent use.
type Dispatcher struct {
	opts     Options
	courier  Courier
	peers    Peers
	moves    Versions
	meter    Meter
	clock    sequoiasill.Clock
	log      hclog.Logger
	traffic  atomic.Pointer[sequoiasill.Traffic]
	active   atomic.Int64
	buffered atomic.Int64 // bytes of answers that are held
	end      atomic.Int64 // when the entry ends, 0 while it stays

	mu        sync.Mutex // guards what follows
	registrar *registrar.Registrar
	assigner  *assigner.Assigner
	allotter  *allotter.Allotter
	rationer  *rationer.Rationer
	blamer    *blamer.Blamer
	work      map[string]*work // by service
	entries   int              // that share bounds, 0 until it is told
}

// New returns a dispatcher without traffic rules: it refuses calls until it is
// given some.
func New(opts Options, courier Courier, peers Peers, moves Versions, meter Meter, ds Decisions, clock sequoiasill.Clock, log hclog.Logger) *Dispatcher {
	return &Dispatcher{
		opts: opts, courier: courier, peers: peers, moves: moves, meter: meter, clock: clock, log: log.Named("dispatcher"),
		registrar: ds.Registrar, assigner: ds.Assigner, allotter: ds.Allotter, rationer: ds.Rationer, blamer: ds.Blamer, work: make(map[string]*work),
	}
}

// SetTraffic puts traffic rules in force. Older ones than those in force are
// ignored.
func (d *Dispatcher) SetTraffic(t *sequoiasill.Traffic) bool {
	for {
		old := d.traffic.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if d.traffic.CompareAndSwap(old, t) {
			return true
		}
	}
}

// Traffic returns the rules in force, nil for none.
func (d *Dispatcher) Traffic() *sequoiasill.Traffic { return d.traffic.Load() }

// Registrar lets f use the registrar of upstreams.
func (d *Dispatcher) Registrar(f func(r *registrar.Registrar)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.registrar)
}

// SetEntries tells the number of live entries.
func (d *Dispatcher) SetEntries(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n != d.entries {
		d.log.Info("bounds are shared by another number of entries", "entries", n, "before", d.entries)
	}
	d.entries = n
	d.rationer.SetEntries(n)
	d.allotter.SetEntries(n)
}

// OpenRepeats returns the number of repeats that may still come to an upstream.
func (d *Dispatcher) OpenRepeats() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rationer.Open()
}

// SetLimits replaces the bounds of allowances and repeats.
func (d *Dispatcher) SetLimits(allowances allotter.Limits, repeats rationer.Limits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.allotter.SetLimits(allowances)
	d.rationer.SetLimits(repeats)
}

// SetTotals tells the demand at all entries.
func (d *Dispatcher) SetTotals(sum allotter.Sum) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.allotter.SetTotals(sum)
}

// ForgetTotals tells that the demand at the other entries is not known.
func (d *Dispatcher) ForgetTotals() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.allotter.ForgetTotals()
}

// Totals returns the demand at this entry.
func (d *Dispatcher) Totals() allotter.Totals {
	d.mu.Lock()
	defer d.mu.Unlock()
	return allotter.Totals{Tokens: d.allotter.Demand(d.clock.Now()), Spent: d.allotter.Spent()}
}

// SetEnd tells when the entry ends.
func (d *Dispatcher) SetEnd(at sequoiasill.Millis) { d.end.Store(int64(at)) }

// Active returns the number of calls in progress.
func (d *Dispatcher) Active() int { return int(d.active.Load()) }

// Verdict returns the verdict that an error carries; without one the call may
// have run.
func Verdict(err error) sequoiasill.Verdict {
	for err != nil {
		if v, ok := err.(interface{ Ran() sequoiasill.Verdict }); ok {
			return v.Ran()
		}
		u, ok := err.(interface{ Unwrap() error })
		if !ok {
			break
		}
		err = u.Unwrap()
	}
	return sequoiasill.MayHaveRun
}
