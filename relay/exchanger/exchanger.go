// Package exchanger shares between entries what each must know of the others: the
// configuration in force, upstreams that come and go, the demand for allowances,
// and counts of usage. News spreads by gossip, so an entry that the platform's
// store shuts out still learns it. What grows with the number of entries goes to a
// few collectors only, which sum it up and spread the sum.
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

// Keys of facts.
const (
	keyConfig  = "config"   // version of the configuration, with an address to pull it from
	keyReplica = "replica/" // and a name: what an upstream announced, empty for one that is gone
	keyState   = "state/"   // and an entry: its State, to collectors only
	keyDemand  = "demand/"  // and a collector: the demand of all entries that it knows of
	keyHolder  = "holder"   // name of the entry that holds the duties
	keyAway    = "away/"    // and an entry: whether the store does not answer it
	keyLeaving = "leaving/" // and a name: the version is the start that said that it leaves
	keyCulprit = "culprit/" // and a fingerprint in hexadecimal: a request that crashes upstreams
)

const (
	// collectors is how many entries sum up what all entries tell; any one of them
	// suffices.
	collectors = 3
	// tellLeast is the interval at which an entry tells the collectors of itself where
	// there are few, and tellEach what each entry adds to it, so that a collector gets
	// about 120 messages a second however many there are. The counts of a killed
	// process are off by what it did since.
	tellLeast = 250 * sequoiasill.Millis(1)
	tellEach  = 8 * sequoiasill.Millis(1)
	// surge is the part by which an organisation's demand changes that is pushed to
	// all entries at once, and surgeLeast the tokens a second below which it is not.
	surge      = 0.4
	surgeLeast = 2000
	// staleSum is the age from which on the next collector tells the sum, and entries go
	// by a fresher one.
	staleSum = 1500 * sequoiasill.Millis(1)
	// demandSpan is how long a sum is of use where none is fresher.
	demandSpan = 4 * sequoiasill.Second
	// silentSpan is how long an entry may tell nothing until it counts as lost.
	silentSpan = 2 * sequoiasill.Second
	// lostSpan is how long the part of an entry that is lost is left to it, and parts
	// are kept where no sum comes: one that is only cut off from the others serves on
	// with the share that it had.
	lostSpan = 15 * sequoiasill.Second
	// sumDelay is about how old the demand of an entry is in the sums that come back
	// to it, in its intervals of telling.
	sumDelay = 2
	// holderSpan is how long an entry is told of usage after it last held the duties.
	holderSpan = 6 * sequoiasill.Second
	// spareWatchers is how many entries watch the store beside one in each zone: the
	// store may turn away some entries, those that read last first.
	spareWatchers = 2
	// awaySpan is how long an entry that told that the store does not answer it is
	// passed over.
	awaySpan = 30 * sequoiasill.Second
	// replicaSpan is how long news of an upstream stays in the gossip.
	replicaSpan = 2 * sequoiasill.Minute
	// pullTimeout bounds a pull of the configuration from another entry.
	pullTimeout = 800 * time.Millisecond
	pullEvery   = 250 * time.Millisecond
	// maxConfigBytes bounds a configuration; the store's values are a megabyte at most.
	maxConfigBytes = 4 << 20
)

// Configs hold the configuration in force as the operator wrote it.
type Configs interface {
	Current() (raw []byte, version uint64)
	Accept(raw []byte, source string)
}

// Origin reads the configuration from where the operator wrote it.
type Origin interface {
	Fetch(ctx context.Context) ([]byte, error)
}

// Replicas take in news of upstreams from other entries.
type Replicas interface {
	Announce(r sequoiasill.Replica, source string)
	Remove(name string, revision uint64, source string)
	// Left takes in that the start of an upstream said that it leaves.
	Left(name string, born sequoiasill.Millis, source string)
}

// Calls tell the demand at this entry and which requests upstreams broke off under,
// and take in those of the others.
type Calls interface {
	Totals() allotter.Totals
	Work() map[string]float64
	SetEntries(n int)
	SetTotals(sum allotter.Sum)
	ForgetTotals()
	Charges() []blamer.Charge
	Charged(entry string, charges []blamer.Charge) map[blamer.Fingerprint]sequoiasill.Millis
	Refuse(f blamer.Fingerprint, until sequoiasill.Millis)
	KnownLimit(u throttler.Upstream) registrar.KnownLimit
	LimitHeard(u throttler.Upstream, perSecond float64, source string)
	LimitLifted(u throttler.Upstream, source string)
}

// Moves take in facts that concern version moves.
type Moves interface {
	Learn(f gossiper.Fact)
}

// Handlers are told what other entries know, and tell what this one knows.
type Handlers struct {
	Configs  Configs
	Origin   Origin
	Replicas Replicas
	Calls    Calls
	Moves    Moves
}

// Options configure an Exchanger.
type Options struct {
	Name    string // of the instance
	Session string // differs at each start of the process
	Zone    string
	Address string // IP and port for other entries, UDP and TCP
	Seeds   map[string]string
	// Fewest is the least number of entries that bounds are shared by, as long as
	// fewer are known.
	Fewest int
}

// Exchanger shares facts until Close. It is safe for concurrent use.
type Exchanger struct {
	opts     Options
	configs  Configs
	replicas Replicas
	calls    Calls
	origin   Origin
	moves    Moves
	clock    sequoiasill.Clock
	boot     sequoiasill.Clock // counts on while the instance is suspended
	limits   *limits
	log      hclog.Logger
	gossip   *messenger.Messenger
	server   *http.Server
	client   *http.Client
	wake     chan struct{}
	stop     chan struct{}
	once     sync.Once

	mu      sync.Mutex
	tallier *tallier.Tallier
	demands map[string]told // by entry, at a collector
	sums    map[string]told // by collector
	target  uint64          // version of the configuration to pull
	source  string          // address that had it
	version uint64          // of the last state told
	recent  []Demand        // own demands as told, the latest last
	away    bool            // the store does not answer this entry

	spent    map[string]float64 // by all entries that told this collector, by organisation
	ownSpent map[string]float64 // by this one, of that
	pushed   map[string]float64 // demand that was last pushed

	packMu        sync.Mutex
	packed        []byte // compressed configuration of a version
	packedVersion uint64

	summedAt sequoiasill.Millis // when a sum was last fresh
}

// told is a demand with the time at which it came.
type told struct {
	source string // process, which differs at each start
	demand Demand
	at     sequoiasill.Millis
	parts  map[string]float64 // of the tokens of all, while the entry was not lost
}

// New shares facts over conn and l until Close. Boot counts on while the instance is
// suspended.
func New(opts Options, conn net.PacketConn, l net.Listener, t *tallier.Tallier, h Handlers, clock, boot sequoiasill.Clock, seed uint64, log hclog.Logger) *Exchanger {
	e := &Exchanger{
		opts: opts, configs: h.Configs, replicas: h.Replicas, calls: h.Calls, origin: h.Origin, moves: h.Moves, clock: clock, log: log.Named("exchanger"),
		client: &http.Client{Timeout: pullTimeout}, wake: make(chan struct{}, 1), stop: make(chan struct{}),
		boot: boot, limits: newLimits(opts.Name, opts.Name+"/"+opts.Session, boot.Now(), seed),
		tallier: t, demands: make(map[string]told), sums: make(map[string]told), spent: make(map[string]float64),
	}
	self := gossiper.Member{
		Name: opts.Name, Address: opts.Address, Zone: opts.Zone, Incarnation: uint64(clock.Now()), Session: uint64(clock.Now()),
	}
	e.gossip = messenger.New(gossiper.New(self, gossipOptions(), seed), conn, nil, clock, messenger.Handler{
		Changed: func(gossiper.Member) {}, Learned: e.learn,
	}, log)
	e.gossip.Seeds(opts.Seeds)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configPath, e.serveConfig)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: pullTimeout}
	go func() {
		if err := e.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("serving other entries ended", "error", err)
		}
	}()
	go e.loop()
	return e
}

// gossipOptions are those of the product with a shorter period: a fact must reach
// all entries well within the time in which a configuration has to be in force.
func gossipOptions() gossiper.Options {
	o := gossiper.DefaultOptions()
	o.Period = 500
	o.AckWait = 150
	o.CompareEvery = 3 * sequoiasill.Second
	o.SeedEvery = sequoiasill.Second
	return o
}

// Close stops sharing.
func (e *Exchanger) Close() {
	e.once.Do(func() {
		close(e.stop)
		e.gossip.Close()
		// Pulls of other entries are tried again elsewhere.
		_ = e.server.Close()
	})
}

// Seeds tells addresses of other entries by name, stale at times.
func (e *Exchanger) Seeds(addresses map[string]string) { e.gossip.Seeds(addresses) }

// Leave tells the others that this entry leaves.
func (e *Exchanger) Leave() {
	e.tell()
	e.gossip.Leave()
}

// Entries returns the number of live entries, this one included.
func (e *Exchanger) Entries() int { return len(e.gossip.Members()) }

func (e *Exchanger) loop() {
	tick := time.NewTimer(e.tellEvery())
	defer tick.Stop()
	pull := time.NewTicker(pullEvery)
	defer pull.Stop()
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-tick.C:
			e.tell()
			e.balance()
			tick.Reset(e.tellEvery())
		case <-e.wake:
			e.pull()
		case <-pull.C:
			e.pull()
		case <-look.C:
			e.lookAtLimits()
		}
	}
}

func (e *Exchanger) tellEvery() time.Duration {
	return max(tellLeast, tellEach*sequoiasill.Millis(e.Entries())).Duration()
}
