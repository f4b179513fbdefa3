// Package dispatcher serves a call from its arrival to its response. It looks up the route and
// the organisation, charges the organisation's quota, chooses an upstream, evaluates the
// response, retries the call or resumes its stream where that is allowed, and replies to the
// caller. It is independent of wire formats: adapters on both sides encode and decode
// messages.
package dispatcher

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/singleflight"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/admitter"
	"sequoiasill.dev/sequoiasill/decide/allotter"
	"sequoiasill.dev/sequoiasill/decide/assigner"
	"sequoiasill.dev/sequoiasill/decide/blamer"
	"sequoiasill.dev/sequoiasill/decide/partblamer"
	"sequoiasill.dev/sequoiasill/decide/pathmonitor"
	"sequoiasill.dev/sequoiasill/decide/rationer"
	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/decide/throttler"
)

// Attempt is one send of a call to one upstream.
type Attempt struct {
	Call         *sequoiasill.Call
	Replica      sequoiasill.Replica
	Organisation string
	Remaining    sequoiasill.Millis // time until the caller stops waiting, 0 for no limit
	Priority     int                // 0 is the highest priority
	ResumeAfter  string             // ID of the event to resume a stream after, empty for the start
	// MaySend is called immediately before the first byte is written. If it returns false,
	// nothing is sent.
	MaySend func() bool
}

// Response is the response of an upstream: its header and a reader for its body. Close must be
// called.
type Response struct {
	Status      int
	Header      http.Header // header fields to forward to the caller
	Refused     bool        // the upstream states that it did not run the call
	Misdirected bool        // the address now belongs to another upstream
	Authentic   bool        // authenticated as the upstream's response to this call
	EventStream bool        // the body is an event stream
	// UntilClose is set if the body has no framing and ends when the upstream closes the connection.
	// Outlived then reports whether the upstream still ran afterwards; nil means that it did.
	UntilClose    bool
	Outlived      func(ctx context.Context) error
	Draining      bool                  // the upstream is draining
	Pause         sequoiasill.Millis    // pause that the upstream requests, 0 for none
	Limit         registrar.Limit       // rate limit that the upstream applies to the calls of all entries
	Brittle       registrar.Brittleness // whether the upstream withstands few rejected calls
	ColdFor       sequoiasill.Millis    // time for which the upstream stays cold, 0 if it is not
	Load          registrar.Load
	HasLoad       bool
	NewConnection bool       // the request was the first one on its connection
	Runs          func() int // upstreams that may have run a relayed call up to now, nil if it was not relayed
	Body          io.Reader
	Close         func(whole bool)
}

// Transport sends attempts to upstreams. Its errors carry a verdict, see Verdict.
type Transport interface {
	Send(ctx context.Context, a Attempt) (*Response, error)
	// Outlived reports whether an upstream still runs after it ended a response or a connection. It returns nil if
	// so, and an error that wraps syscall.ECONNREFUSED if its host answers that it does not.
	Outlived(ctx context.Context, r sequoiasill.Replica) error
}

// ResponseWriter writes the response to a caller. The first call is one of SendWhole, Refuse
// and Begin.
type ResponseWriter interface {
	// SendWhole sends a complete response.
	SendWhole(status int, header http.Header, body []byte) error
	// Refuse sends an error that originates in this system.
	Refuse(f *sequoiasill.Failure)
	// Begin sends the header of a stream. Write sends parts of its body, and End completes it.
	Begin(status int, header http.Header) error
	Write(b []byte) error
	End() error
	// Abort aborts a response so that the caller can detect that it is incomplete.
	Abort()
}

// Peers propagates local events to the other entries.
type Peers interface {
	// CountUsage counts a call that started to run towards the usage of its organisation.
	CountUsage(organisation string)
	// AnnounceQuarantine announces a quarantined request, which crashes upstreams and is
	// refused until the given time.
	AnnounceQuarantine(f blamer.Fingerprint, until sequoiasill.Millis)
	// AnnounceBrittle announces that the upstreams of a service are brittle, and how many rejected
	// calls in a second each withstands.
	AnnounceBrittle(service string, rejections float64)
	// AnnouncePace announces the time that work usually takes at an upstream incarnation, as a factor.
	AnnouncePace(upstream string, startedAt sequoiasill.Millis, usual float64)
	// AnnounceDraining announces that an upstream incarnation is draining.
	AnnounceDraining(upstream string, startedAt sequoiasill.Millis)
	Limits
}

// Limits distributes the calls that rate-limited upstreams accept among all entries.
type Limits interface {
	// AnnounceLimit announces the rate limit of an upstream that a response to this entry was the
	// first to carry.
	AnnounceLimit(u throttler.Upstream, perSecond float64)
	// RequestPermit requests a permit for one call from the entry that keeps the upstream's
	// rate limit.
	RequestPermit(ctx context.Context, u throttler.Upstream) (throttler.Permit, throttler.Decision)
	// ReportOutcome reports how the call of a permit ended, and the rate limit in the upstream's
	// response.
	ReportOutcome(p throttler.Permit, e throttler.Outcome, l registrar.Limit)
}

// Screener keeps calls from upstreams that a part of their prompt would crash. It is not used for
// calls without shared parts.
type Screener interface {
	// Screen decides whether a call with the given parts may be sent, with the delay before a
	// retry if it may not.
	Screen(parts []partblamer.Part) (d partblamer.Decision, retryAfter sequoiasill.Millis)
	// RecordCrash records that an upstream crashed under a call: before it began to respond, or at any time for
	// whole requests.
	RecordCrash(c partblamer.Crash)
	// RecordServed records that an upstream began to respond to a call with the given parts, or responded in
	// full to a whole request.
	RecordServed(parts []partblamer.Part)
}

// RequestScreener keeps requests from upstreams that they would crash. A request is its own only part.
type RequestScreener interface {
	Screener
	// RecordAlive records that an upstream incarnation responds to a call that was sent at a time.
	RecordAlive(upstream uint64, sentAt sequoiasill.Millis)
}

// Screeners keep calls from upstreams that would crash under them.
type Screeners struct {
	Parts    Screener
	Requests RequestScreener
}

// Paths watches the paths of this entry to the upstreams of each service.
type Paths interface {
	State(service string) pathmonitor.State
	// ReachedSince reports whether an upstream of a service responded on a connection that was opened
	// at or after a time.
	ReachedSince(service string, at sequoiasill.Millis) bool
	// RequestSent records that a request was sent, and RequestEnded that it got a response or that
	// none is awaited any more.
	RequestSent(service string)
	RequestEnded(service string)
	// Responded records a response. openedAt is the earliest time at which its connection may have
	// been opened, 0 if it was open before the request.
	Responded(service string, openedAt sequoiasill.Millis)
	// Failed records a connect that failed, or a connection that ended without a response.
	Failed(service string)
}

// Moves assigns calls to the versions of a service during a move.
type Moves interface {
	// Assign returns which version of a service serves a call.
	Assign(service, call string) sequoiasill.VersionAssignment
	// Record adds the result of a call at an upstream, with the time to its response or to its
	// first event. A stream that is interrupted is recorded twice.
	Record(service, route, version string, result sequoiasill.VersionResult, took sequoiasill.Millis)
	// RecordDuration adds how long a call took that an upstream answered in full.
	RecordDuration(service, version string, took sequoiasill.Millis)
}

// Meter counts events in the dispatcher.
type Meter interface {
	Refused(code sequoiasill.Code)
	// AdmissionRefused counts a call that was refused as the upstreams of its service are saturated, by
	// the rank of its priority there. AdmissionPressure publishes the waiting calls per slot.
	AdmissionRefused(service string, rank int)
	AdmissionPressure(service string, read func() float64)
	Attempted(end string, took sequoiasill.Millis)
	// UnframedEnded counts an attempt whose response has no framing and ends with its connection.
	UnframedEnded(end string)
	FirstEvent(after sequoiasill.Millis)
	CallEnded(kind sequoiasill.CallKind, end string, took sequoiasill.Millis)
	// CallerEnded counts a call whose response was not delivered as a whole, by cause.
	CallerEnded(cause string)
	// RetryRequested counts a requested retry, allowed or denied.
	RetryRequested(service string, allowed bool)
	// UpstreamSignal counts the signals of upstreams by kind, and by whether they arrived here
	// or at another entry.
	UpstreamSignal(what, source string)
	// PermitDecided counts the decisions on permits for calls to rate-limited upstreams.
	PermitDecided(granted, lifted bool)
	// ChosenByConnection counts a choice of an upstream that an idle connection to it decided.
	ChosenByConnection()
	// CrashCharged counts a call that is charged with the crash of its upstream.
	CrashCharged()
	// ShutdownEnded counts a call that the shutdown refused or ended, by how.
	ShutdownEnded(how string)
}

// Options configure a Dispatcher.
type Options struct {
	Zone string
	// MaxResponseBytes limits the size of a response that is not an event stream.
	MaxResponseBytes int
	// MaxBufferedBytes limits the total size of such responses over all calls in progress. The
	// first SmallResponseBytes bytes of each are always allowed.
	MaxBufferedBytes   int
	SmallResponseBytes int
	// MaxRefusals is the number of refusals by upstreams after which a call is not retried.
	MaxRefusals int
	// MaxBrittleRefusals is the same for upstreams that withstand few rejected calls.
	MaxBrittleRefusals int
	// MaxDenials is the number of denied permits after which a call is sent only to upstreams
	// without a rate limit.
	MaxDenials int
	// MaxRelays is the number of other entries to which one call is offered. MaxRelayedCalls bounds
	// the calls that this entry serves for others at a time.
	MaxRelays       int
	MaxRelayedCalls int
	// AttemptTimeoutPercent is the attempt timeout as a percentage of the route's target
	// latency. An attempt without a response is cancelled after it if the call may be retried.
	AttemptTimeoutPercent int
	// RetryAfter is the delay before a retry that is returned to callers if the state of the
	// upstreams does not yield a better one.
	RetryAfter sequoiasill.Millis
	// TypicalStreamDuration and TypicalCallDuration are the durations that most streams and other calls
	// stay below. While the entry shuts down they decide what is still served on routes of which nothing
	// better is known.
	TypicalStreamDuration sequoiasill.Millis
	TypicalCallDuration   sequoiasill.Millis
}

// DefaultOptions returns the options that entries use.
func DefaultOptions() Options {
	return Options{MaxResponseBytes: 4 << 20, MaxBufferedBytes: 24 << 20, SmallResponseBytes: 64 << 10, MaxRefusals: 4, MaxBrittleRefusals: 2, MaxDenials: 3, MaxRelays: 3, MaxRelayedCalls: 256, AttemptTimeoutPercent: 150, RetryAfter: 250, TypicalStreamDuration: 4 * sequoiasill.Second, TypicalCallDuration: 2 * sequoiasill.Second}
}

// StateMachines are the state machines that a dispatcher drives.
type StateMachines struct {
	Registrar *registrar.Registrar
	Assigner  *assigner.Assigner
	Allotter  *allotter.Allotter
	Admitter  *admitter.Admitter
	Rationer  *rationer.Rationer
	Blamer    *blamer.Blamer
}

// Dispatcher serves calls. It is safe for concurrent use.
type Dispatcher struct {
	opts          Options
	transport     Transport
	peers         Peers
	moves         Moves
	screener      Screener
	requests      RequestScreener
	endChecks     singleflight.Group // by upstream incarnation
	paths         Paths
	relays        Relays
	meter         Meter
	clock         sequoiasill.Clock
	log           hclog.Logger
	traffic       atomic.Pointer[sequoiasill.Traffic]
	active        atomic.Int64
	relayedCalls  atomic.Int64                  // calls in progress that other entries relayed
	doubtCount    atomic.Int64                  // failures that are not attributed yet
	bufferedBytes atomic.Int64                  // bytes of responses that are held in memory
	shutdown      atomic.Pointer[ShutdownTimes] // nil until the shutdown starts
	callsEnd      context.Context               // cancelled when the shutdown ends calls
	endCalls      context.CancelFunc
	streamsEnd    context.Context // cancelled when it ends streams
	endStreams    context.CancelFunc
	durations     *durations

	doubtMu sync.Mutex
	doubts  map[string][]doubt // failures that are not attributed yet, by service

	mu          sync.Mutex // guards the fields below
	registrar   *registrar.Registrar
	assigner    *assigner.Assigner
	allotter    *allotter.Allotter
	admitter    *admitter.Admitter
	rationer    *rationer.Rationer
	blamer      *blamer.Blamer
	engineLoads map[string]*engineLoad // by service
	breaks      map[string][]pathBreak // connections that broke recently, by service
	tries       map[*try]bool          // attempts in progress over this entry's own paths
	entries     int                    // number of entries that share the quotas and retry budgets, 0 until known
}

// New returns a dispatcher without traffic rules, which refuses calls until SetTraffic
// provides them.
func New(opts Options, transport Transport, peers Peers, moves Moves, screeners Screeners, paths Paths, relays Relays, meter Meter, ds StateMachines, clock sequoiasill.Clock, log hclog.Logger) *Dispatcher {
	callsEnd, endCalls := context.WithCancel(context.Background())
	streamsEnd, endStreams := context.WithCancel(context.Background())
	return &Dispatcher{
		callsEnd: callsEnd, endCalls: endCalls, streamsEnd: streamsEnd, endStreams: endStreams, durations: newDurations(),
		opts: opts, transport: transport, peers: peers, moves: moves, screener: screeners.Parts, requests: screeners.Requests, paths: paths, relays: relays, meter: meter, clock: clock, log: log.Named("dispatcher"),
		registrar: ds.Registrar, assigner: ds.Assigner, allotter: ds.Allotter, admitter: ds.Admitter, rationer: ds.Rationer, blamer: ds.Blamer, engineLoads: make(map[string]*engineLoad), tries: make(map[*try]bool), doubts: make(map[string][]doubt), breaks: make(map[string][]pathBreak),
	}
}

// SetTraffic replaces the traffic rules and reports whether it did. A version that is not
// newer than the current one is ignored.
func (d *Dispatcher) SetTraffic(t *sequoiasill.Traffic) bool {
	for {
		old := d.traffic.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if d.traffic.CompareAndSwap(old, t) {
			d.durations.keepRoutes(t.Routes)
			d.setAdmissionTraffic()
			d.applyColdRates()
			return true
		}
	}
}

// Traffic returns the current traffic rules, or nil if there are none.
func (d *Dispatcher) Traffic() *sequoiasill.Traffic { return d.traffic.Load() }

// CallerLimits returns the configured limits of callers, which are 0 where none is configured.
func (d *Dispatcher) CallerLimits() sequoiasill.CallerLimits {
	if t := d.traffic.Load(); t != nil {
		return t.Limits
	}
	return sequoiasill.CallerLimits{}
}

// WithRegistrar calls f with the registrar of upstreams while it holds the dispatcher's lock.
func (d *Dispatcher) WithRegistrar(f func(r *registrar.Registrar)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.registrar)
}

// SetEntries sets the number of live entries, which share the quotas and retry budgets.
func (d *Dispatcher) SetEntries(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n != d.entries {
		d.log.Info("bounds are shared by another number of entries", "entries", n, "before", d.entries)
	}
	d.entries = n
	d.rationer.SetEntries(n)
	d.registrar.SetEntries(n)
	d.allotter.SetEntries(n)
}

// OutstandingRepeats returns the number of retries that may still reach an upstream.
func (d *Dispatcher) OutstandingRepeats() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rationer.Outstanding()
}

// SetLimits replaces the limits of quotas and of retry budgets.
func (d *Dispatcher) SetLimits(quotas allotter.Limits, retries rationer.Limits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.allotter.SetLimits(quotas)
	d.rationer.SetLimits(retries)
}

// SetTotals sets the total demand of all entries.
func (d *Dispatcher) SetTotals(sum allotter.Sum) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.allotter.SetTotals(sum)
}

// ClearTotals marks the demand of the other entries as unknown.
func (d *Dispatcher) ClearTotals() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.allotter.ClearTotals()
}

// Totals returns the demand of this entry.
func (d *Dispatcher) Totals() allotter.Totals {
	d.mu.Lock()
	defer d.mu.Unlock()
	return allotter.Totals{Demand: d.allotter.Demand(d.clock.Now()), Spent: d.allotter.Spent()}
}

// Active returns the number of calls in progress.
func (d *Dispatcher) Active() int { return int(d.active.Load()) }

// Verdict returns the verdict that err carries. Without one, the call may have run.
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
