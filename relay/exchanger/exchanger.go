// Package exchanger shares state between entries: the current configuration version,
// upstream announcements and removals, demand for quotas, and usage counts. Updates
// spread by gossip, so that an entry without access to the platform's store still
// receives them. Data that grows with the number of entries goes only to a few
// collectors, which aggregate it and publish the sum.
package exchanger

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/allotter"
	"sequoiasill.dev/sequoiasill/decide/blamer"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/decide/tallier"
	"sequoiasill.dev/sequoiasill/decide/throttler"
	"sequoiasill.dev/sequoiasill/entry/messenger"
)

// Keys of gossip facts. A key that ends in a slash is a prefix.
const (
	keyConfig      = "config"   // configuration version, with an address to pull it from
	keyReplica     = "replica/" // + upstream: its announcement, empty once it was removed
	keyState       = "state/"   // + entry: its State, sent to collectors and the lease holder only
	keyDemand      = "demand/"  // + collector: the total demand that it computed
	keyHolder      = "holder"   // name of the lease holder
	keyUnavailable = "away/"    // + entry: non-empty if the store is unavailable to it
	keyHeartbeat   = "watched/" // + entry that watches the store: the store answered it just now
	keyDraining    = "leaving/" // + upstream: the version encodes the start time of the incarnation that is draining
	keyQuarantine  = "culprit/" // + hexadecimal fingerprint: a request that crashes upstreams
)

const (
	// maxCollectors is the number of entries that aggregate the reports of all entries.
	// One suffices; the others are for redundancy.
	maxCollectors = 3
	// defaultReportInterval is the minimum interval between an entry's reports to the
	// collectors unless the options set one. reportIntervalPerEntry lengthens the interval with the number of entries,
	// so that a collector receives about 120 messages per second regardless of it. When a
	// process is killed, the counts since its last report are lost.
	defaultReportInterval  = 250 * sequoiasill.Millis(1)
	reportIntervalPerEntry = 8 * sequoiasill.Millis(1)
	// surgeRatio is the relative change of an organisation's demand that is published
	// urgently. minSurgeTokens is the demand, in tokens per second, below which it is not.
	surgeRatio     = 0.4
	minSurgeTokens = 2000
	// surgeChecks is how often a collector checks for a surge in a report interval, in which each entry
	// reports once. minSurgeCheckInterval bounds the cost in small clusters.
	surgeChecks           = 4
	minSurgeCheckInterval = 100 * sequoiasill.Millis(1)
	// sumStaleAfter is the age of a collector's total after which the next collector
	// publishes one and entries prefer a more recent one.
	sumStaleAfter = 1500 * sequoiasill.Millis(1)
	// sumTTL is how long a total is used if there is no more recent one.
	sumTTL = 4 * sequoiasill.Second
	// silenceTimeout is how long an entry may go without a report before it is treated as
	// lost.
	silenceTimeout = 2 * sequoiasill.Second
	// lostEntryTTL is how long the share of a lost entry stays reserved for it, and how long
	// entries keep their shares when no total arrives. An entry that is merely partitioned
	// from the others continues to serve with its last share.
	lostEntryTTL = 15 * sequoiasill.Second
	// sumDelayIntervals is the approximate age, in report intervals, of an entry's own
	// demand within the totals that it receives.
	sumDelayIntervals = 2
	// holderTTL is how long an entry receives usage reports after it last renewed its
	// announcement as lease holder.
	holderTTL = 6 * sequoiasill.Second
	// extraWatchers is the number of entries that watch the store in addition to one per
	// zone, because the store may refuse some entries, starting with those that read last.
	extraWatchers = 2
	// unavailableTTL is how long an entry that reported the store as unavailable is excluded from
	// the watchers.
	unavailableTTL = 30 * sequoiasill.Second
	// usageRecordTTL is how long the recorded usage of a window is gossiped. Its report is late
	// well before that.
	usageRecordTTL = 2 * sequoiasill.Minute
	// joinTime is the time after the first other entry was discovered in which its facts arrive.
	// discoveryTime is how long a starting entry waits for others.
	joinTime      = 300 * sequoiasill.Millis(1)
	discoveryTime = 1200 * sequoiasill.Millis(1)
	// replicaTTL is how long a fact about an upstream is gossiped.
	replicaTTL = 2 * sequoiasill.Minute
	// pullTimeout is the timeout of one attempt to pull the configuration, from the store or
	// another entry.
	pullTimeout = 800 * time.Millisecond
	// maxPullHeaderBytes bounds the header of a request for the configuration. The server adds 4 KB.
	maxPullHeaderBytes = 4 << 10
	pullInterval       = 250 * time.Millisecond
	// maxConfigBytes is the maximum size of a configuration; the store limits values to one
	// megabyte.
	maxConfigBytes = 4 << 20
)

// Configs holds the current configuration as the operator wrote it.
type Configs interface {
	Current() (raw []byte, version uint64)
	Accept(raw []byte, source string)
}

// Origin reads the configuration from the store, to which the operator wrote it.
type Origin interface {
	Fetch(ctx context.Context) ([]byte, error)
}

// Store is this entry's connection to the store.
type Store interface {
	// Ping makes a small call, and returns an error if the store does not answer it.
	Ping(ctx context.Context) error
	// IsFollowed reports whether this entry follows all kinds of objects without a gap.
	IsFollowed() bool
	// Relist lists all objects again that this entry follows.
	Relist()
}

// Replicas receives updates about upstreams from other entries.
type Replicas interface {
	Announce(r sequoiasill.Replica, source string)
	Remove(name string, revision uint64, source string)
	// RecordDraining handles the announcement that the upstream incarnation that started at the
	// given time is draining.
	RecordDraining(name string, startedAt sequoiasill.Millis, source string)
}

// Calls provides this entry's demand, the suspected crashes of upstreams under its calls,
// and the upstream limits that it knows, and receives those of the other entries.
type Calls interface {
	Totals() allotter.Totals
	EngineLoads() map[string]float64
	SetEntries(n int)
	SetTotals(sum allotter.Sum)
	ClearTotals()
	Charges() []blamer.Charge
	MergeCharges(process string, charges []blamer.Charge) map[blamer.Fingerprint]sequoiasill.Millis
	Quarantine(f blamer.Fingerprint, until sequoiasill.Millis)
	KnownLimit(u throttler.Upstream) registrar.KnownLimit
	RecordLimit(u throttler.Upstream, perSecond float64, source string)
	RecordLimitLifted(u throttler.Upstream, source string)
	RecordBrittle(service string, rejections float64)
	// RecordPace records the usual pace of an upstream incarnation that another entry announced.
	RecordPace(upstream string, startedAt sequoiasill.Millis, usual float64)
}

// Moves receives facts about version moves.
type Moves interface {
	HandleFact(f gossiper.Fact)
}

// Handlers provide this entry's state and receive that of other entries.
type Handlers struct {
	Configs  Configs
	Origin   Origin
	Store    Store
	Replicas Replicas
	Calls    Calls
	Moves    Moves
	Screener Screener
	Requests Screener // of whole requests
	// Evacuations may be nil.
	Evacuations Evacuations
}

// Options configure an Exchanger.
type Options struct {
	Name    string // name of the instance
	Session string // different at each start of the process
	Zone    string
	Address string // IP and port at which other entries reach this one, over UDP and TCP
	Seeds   map[string]string
	// MinEntries is the minimum number of entries among which limits are divided, even if
	// fewer are known.
	MinEntries int
	// MinReportInterval is the minimum interval between an entry's reports to the collectors, 0 for
	// the default.
	MinReportInterval sequoiasill.Millis
}

// Exchanger shares state with other entries until Close. It is safe for concurrent use.
type Exchanger struct {
	opts        Options
	configs     Configs
	replicas    Replicas
	calls       Calls
	origin      Origin
	store       Store
	moves       Moves
	screener    Screener
	requests    Screener
	evacuations Evacuations // nil if they are not used
	clock       sequoiasill.Clock
	bootClock   sequoiasill.Clock // advances while the instance is suspended
	limits      *limits
	count       entryCount
	log         hclog.Logger
	gossip      *messenger.Messenger
	server      *http.Server
	client      *http.Client
	wake        chan struct{}
	reported    chan struct{} // an entry reported to this collector
	summed      chan struct{} // a total arrived
	stop        chan struct{}
	once        sync.Once

	mu            sync.Mutex
	tallier       *tallier.Tallier
	demands       map[string]receivedDemand // on a collector, by entry
	sums          map[string]receivedDemand // totals, by collector
	targetVersion uint64                    // newest announced configuration version
	targetAddress string                    // address of the entry that announced it
	stateVersion  uint64                    // version of the last state sent
	recentDemands []Demand                  // own demand in the last reports, oldest first

	spent      map[string]float64 // by all entries that report to this collector, per organisation
	ownSpent   map[string]float64 // part of it that this entry spent
	lastPushed map[string]float64 // tokens last published as urgent

	surgeCheckedAt sequoiasill.Millis // when this collector last checked for a surge

	awayMu           sync.Mutex      // held while changes are published, so that their order stays
	storeUnavailable bool            // the store is unavailable to this entry
	overdueWatches   map[string]bool // kinds of which the store owes this entry the answer to a watch

	vigil vigil

	unreachableMu sync.Mutex
	unreachable   []string // services whose upstreams this entry does not reach

	crashesMu sync.Mutex // held while changes of quarantines are taken and published, so that their order stays

	compressMu        sync.Mutex
	compressed        []byte // gzipped configuration of compressedVersion
	compressedVersion uint64

	lastSumAt sequoiasill.Millis // when a total was last available

	startedAt sequoiasill.Millis
	joinedAt  sequoiasill.Millis // when another entry was first known, 0 before
	caughtUp  bool
}

// receivedDemand is a demand, of an entry or in total, with the time of its arrival.
type receivedDemand struct {
	process    string // process ID, different at each start
	demand     Demand
	receivedAt sequoiasill.Millis
	shares     map[string]float64 // last share of the total tokens, by organisation, before the entry was lost
}

// New returns an Exchanger that gossips over conn and serves the configuration on l
// until Close. The boot clock must advance while the instance is suspended.
func New(opts Options, conn net.PacketConn, l net.Listener, t *tallier.Tallier, h Handlers, clock, boot sequoiasill.Clock, seed uint64, log hclog.Logger) *Exchanger {
	if opts.MinReportInterval == 0 {
		opts.MinReportInterval = defaultReportInterval
	}
	e := &Exchanger{
		opts: opts, configs: h.Configs, replicas: h.Replicas, calls: h.Calls, origin: h.Origin, store: h.Store, moves: h.Moves, screener: h.Screener, requests: h.Requests, evacuations: h.Evacuations, clock: clock, log: log.Named("exchanger"),
		client: &http.Client{Timeout: pullTimeout}, wake: make(chan struct{}, 1), reported: make(chan struct{}, 1), summed: make(chan struct{}, 1), stop: make(chan struct{}),
		startedAt: clock.Now(), bootClock: boot, limits: newLimits(opts.Name, opts.Name+"/"+opts.Session, boot.Now(), seed),
		tallier: t, demands: make(map[string]receivedDemand), sums: make(map[string]receivedDemand), overdueWatches: make(map[string]bool), spent: make(map[string]float64),
		vigil: vigil{heardAt: make(map[string]sequoiasill.Millis)},
	}
	self := gossiper.Member{
		Name: opts.Name, Address: opts.Address, Zone: opts.Zone, Incarnation: uint64(clock.Now()), Session: uint64(clock.Now()),
	}
	e.gossip = messenger.New(gossiper.New(self, gossipOptions(), seed), conn, nil, clock, messenger.Handler{
		MemberChanged: func(gossiper.Member) {}, FactReceived: e.handleFact,
	}, log)
	e.SetSeeds(opts.Seeds)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configPath, e.serveConfig)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: pullTimeout, MaxHeaderBytes: maxPullHeaderBytes}
	go func() {
		if err := e.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("HTTP server for other entries stopped", "error", err)
		}
	}()
	go e.loop()
	go func() {
		tick := time.NewTicker(vigilInterval)
		defer tick.Stop()
		for {
			select {
			case <-e.stop:
				return
			case <-tick.C:
				e.keepVigil()
			}
		}
	}()
	return e
}

// gossipOptions returns the default options with shorter intervals: a fact must reach
// all entries well within the time limit for applying a configuration everywhere.
func gossipOptions() gossiper.Options {
	o := gossiper.DefaultOptions()
	o.Period = 500
	o.AckTimeout = 150
	o.CompareInterval = 3 * sequoiasill.Second
	o.SeedInterval = sequoiasill.Second
	o.HeartbeatPrefix = keyHeartbeat
	return o
}

// Close stops gossip and the HTTP server.
func (e *Exchanger) Close() {
	e.once.Do(func() {
		close(e.stop)
		e.gossip.Close()
		// Other entries retry interrupted pulls elsewhere.
		_ = e.server.Close()
	})
}

// SetSeeds sets the addresses of other entries by name. Some may be outdated.
func (e *Exchanger) SetSeeds(addresses map[string]string) {
	e.count.setSeeds(len(addresses))
	e.gossip.SetSeeds(addresses)
}

// Leave sends last reports and announces that this entry is leaving the cluster.
func (e *Exchanger) Leave() {
	e.reportState()
	e.screener.Flush()
	e.requests.Flush()
	e.exchangeAllCrashes()
	e.gossip.Leave()
}

// Entries returns the number of live entries, this one included.
func (e *Exchanger) Entries() int { return len(e.gossip.Members()) }

func (e *Exchanger) loop() {
	tick := time.NewTimer(e.reportInterval())
	defer tick.Stop()
	pull := time.NewTicker(pullInterval)
	defer pull.Stop()
	limitCheck := time.NewTicker(limitCheckInterval)
	defer limitCheck.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-tick.C:
			e.reportState()
			e.updateTotals()
			tick.Reset(e.reportInterval())
		case <-e.reported:
			e.publishSurge()
		case <-e.summed:
			e.updateTotals()
		case <-e.wake:
			e.pull()
		case <-pull.C:
			e.pull()
		case <-limitCheck.C:
			e.checkLimits()
			e.renewUnreachable()
			e.exchangeAllCrashes()
		case <-e.screener.Changed():
			e.exchangeCrashes(e.screener, partKeys)
		case <-e.requests.Changed():
			e.exchangeCrashes(e.requests, requestKeys)
		}
	}
}

// signal wakes the receiver of a channel unless it is about to be woken anyway.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (e *Exchanger) reportInterval() time.Duration {
	return max(e.opts.MinReportInterval, reportIntervalPerEntry*sequoiasill.Millis(e.Entries())).Duration()
}
