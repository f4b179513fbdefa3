// Package roller carries out operators' orders to move services to other versions,
// together with the other entries: it keeps the orders, splits the calls of each
// service, judges both versions, and records how the moves stand. It drives the
// product's shifter and controller.
package roller

import (
	"math"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/config/encoder"
	"sequoiasill.dev/sequoiasill/config/reporter"
	"sequoiasill.dev/sequoiasill/control/controller"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/mover"
	"sequoiasill.dev/sequoiasill/entry/shifter"
	"sequoiasill.dev/sequoiasill/platform/storer"
)

const (
	// lookEvery is the interval at which evidence on moves is judged and told.
	lookEvery = 500 * time.Millisecond
	// recordPatience is how long an entry waits for each one before it among the
	// collectors to record how a move stands.
	recordPatience = 2 * sequoiasill.Second
	// endSpan is kept before the deadline of an order for its end to be decided and
	// recorded, at most a part of shortOrder of the order's time.
	endSpan    = 2 * sequoiasill.Second
	shortOrder = 6
	// statusSpan is how long the status of a move stays in the gossip.
	statusSpan = sequoiasill.Hour
)

// DefaultOptions returns the options of moves on orders. A bad version may get a tenth
// of the calls up to the deadline, so the shares before the last stage add up to 9 in
// 100 of them, most of it where badness that shows under load is seen within a second.
// Services may have little traffic, and a route that is hardly used must not end a move. At
// the end most calls have left the old version, whose upstreams are stopped then without a
// drain.
func DefaultOptions() mover.Options {
	o := mover.DefaultOptions()
	o.Stages = []mover.Stage{{From: 0, Share: 0}, {From: 20, Share: 50}, {From: 450, Share: 100}, {From: 600, Share: 250}, {From: 800, Share: 950}, {From: 880, Share: 980}}
	o.EndAt = 960
	o.MinRequests, o.MinPerRoute = 40, 0
	return o
}

// Peers share facts with the other entries.
type Peers interface {
	// Publish spreads a fact to all. A span of 0 keeps it for good.
	Publish(key string, version uint64, value []byte, urgent bool, span sequoiasill.Millis)
	// TellCollectors sends a fact to the collectors only.
	TellCollectors(key string, version uint64, value []byte)
	// Rank returns this entry's place among the collectors, -1 if it is none of them.
	Rank() int
}

// Recorder writes how a move stands where the operator reads it, unless the order was
// replaced or has an end. It returns the order as it stands then.
type Recorder interface {
	Record(service, target string, end sequoiasill.MoveEnd) (sequoiasill.Rollout, error)
}

// Roller carries out orders until Close. It is safe for concurrent use.
type Roller struct {
	self     string
	peers    func() Peers // nil before other entries are known
	recorder Recorder
	clock    sequoiasill.Clock
	log      hclog.Logger
	shifter  *shifter.Shifter
	control  *controller.Controller
	stop     chan struct{}
	ended    sync.WaitGroup

	mu     sync.Mutex
	orders map[string]order // by service
}

// New carries out orders until Close. Self names the instance, session its process.
func New(self, session string, store controller.Store, recorder Recorder, peers func() Peers, clock sequoiasill.Clock, log hclog.Logger) *Roller {
	r := &Roller{
		self: self, peers: peers, recorder: recorder, clock: clock, log: log.Named("moves"),
		stop: make(chan struct{}), orders: make(map[string]order),
	}
	r.shifter = shifter.New(self, clock, r, r.log)
	r.control = controller.New(telling{Store: store, roller: r}, r, self+"/"+session, DefaultOptions(), clock, r.log)
	r.ended.Add(1)
	go func() {
		defer r.ended.Done()
		tick := time.NewTicker(lookEvery)
		defer tick.Stop()
		for {
			select {
			case <-r.stop:
				return
			case <-tick.C:
				r.shifter.Look()
				r.record()
			}
		}
	}()
	return r
}

// Close stops.
func (r *Roller) Close() {
	close(r.stop)
	r.ended.Wait()
	r.control.Close()
}

// Target returns the version that a service moves to and whether a call goes to it. It
// is empty where the service does not move.
func (r *Roller) Target(service, call string) (version string, to bool) {
	move, to, _ := r.shifter.Split(service, sequoiasill.RequestID(call))
	return move.To, to
}

// Moving reports whether a service is being moved: an order has no end yet.
func (r *Roller) Moving(service string) bool {
	status, ordered := r.Moves()[service]
	return ordered && status.End == sequoiasill.MoveOpen
}

// Superseded reports whether an upstream is of a version that its service has moved from.
// The platform stops such upstreams at once, so they carry nothing any longer.
func (r *Roller) Superseded(n sequoiasill.Replica) bool {
	r.mu.Lock()
	o, ordered := r.orders[n.Service]
	r.mu.Unlock()
	if !ordered || n.Version == o.Target || n.Born >= o.began {
		return false
	}
	return r.Moves()[n.Service].End == sequoiasill.MoveDone
}

// Record takes in how a call at an upstream went, with the time to its answer or its
// first event.
func (r *Roller) Record(service, route, version string, failed bool, took sequoiasill.Millis) {
	r.shifter.Record(service, route, version, failed, took.Duration().Microseconds())
}

// Publish implements shifter.Publisher. Evidence goes to the collectors, one of whom
// runs the move.
func (r *Roller) Publish(key string, version uint64, value []byte, urgent bool, span sequoiasill.Millis) {
	switch p := r.peers(); {
	case p == nil:
	case strings.HasPrefix(key, shifter.EvidencePrefix):
		p.TellCollectors(key, version, value)
	default:
		p.Publish(key, version, value, urgent, span)
	}
}

// Observe implements controller.Observer.
func (r *Roller) Observe() ([]reporter.Report, error) {
	reports := r.shifter.Reports()
	rank := r.rank()
	for i := range reports {
		reports[i].Rank = rank
	}
	return reports, nil
}

// rank returns the place of this entry among those that run moves.
func (r *Roller) rank() int {
	if p := r.peers(); p != nil {
		if rank := p.Rank(); rank >= 0 {
			return rank
		}
	}
	return math.MaxInt
}

// record writes how the moves stand to the operators' orders, where another entry
// has not done so.
func (r *Roller) record() {
	rank := r.rank()
	if rank == math.MaxInt {
		return
	}
	for _, report := range r.shifter.Reports() {
		o, due := r.due(report, rank)
		if !due {
			continue
		}
		now, err := r.recorder.Record(o.Service, o.Target, report.Status.End)
		if err != nil {
			r.log.Warn("state of a move not recorded", "service", o.Service, "version", o.Target, "error", err)
			continue
		}
		r.log.Info("state of a move recorded", "service", o.Service, "version", o.Target, "state", now.State)
		r.Take(now)
	}
}

// due returns the order of a move whose recorded state is not that of the move, and
// whether it is this entry's turn to record it.
func (r *Roller) due(report reporter.Report, rank int) (order, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, known := r.orders[report.Move.Service]
	if !known || o.move().Name != report.Move.Name {
		return o, false
	}
	now := r.clock.Now()
	started := report.Status.Share > 0 || report.Status.End != sequoiasill.MoveOpen
	if !started || o.Started && (o.State == report.Status.End || o.State != sequoiasill.MoveOpen) {
		o.differed = 0
	} else if o.differed == 0 {
		o.differed = now
	}
	r.orders[report.Move.Service] = o
	return o, o.differed > 0 && now-o.differed >= recordPatience*sequoiasill.Millis(rank)
}

// telling is a store that tells the other entries of the statuses of moves that are
// read or written.
type telling struct {
	controller.Store

	roller *Roller
}

// Get implements controller.Store.
func (t telling) Get(name string) (storer.Object, error) {
	o, err := t.Store.Get(name)
	if err == nil {
		t.roller.tell(name, o.Version, o.Value)
	}
	return o, err
}

// Put implements controller.Store.
func (t telling) Put(name string, value []byte, version uint64) (uint64, error) {
	next, err := t.Store.Put(name, value, version)
	if err == nil {
		t.roller.tell(name, next, value)
	}
	return next, err
}

// tell spreads the status of a move, if the object is one.
func (r *Roller) tell(name string, version uint64, value []byte) {
	move, ok := strings.CutPrefix(name, encoder.StatusPrefix)
	if !ok {
		return
	}
	key := shifter.StatusPrefix + move
	r.shifter.Learn(gossiper.Fact{Key: key, Value: value})
	r.Publish(key, version, value, true, statusSpan)
}
