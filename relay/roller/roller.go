// Package roller runs the moves that operators order, in cooperation with the other
// entries. It maintains the orders, splits the calls of each service between the
// versions, evaluates both versions, and records the state of each move. It drives
// shifter and controller.
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
	// evaluateInterval is the interval at which evidence on moves is evaluated and
	// published.
	evaluateInterval = 500 * time.Millisecond
	// recordDelay is the time that a collector waits for each collector ranked before it
	// to record the state of a move.
	recordDelay = 2 * sequoiasill.Second
	// endMargin is reserved before the deadline of an order for deciding and recording its
	// outcome, limited to the order's duration divided by endMarginDivisor.
	endMargin        = 2 * sequoiasill.Second
	endMarginDivisor = 6
	// statusTTL is the lifetime of a move's status in gossip.
	statusTTL = sequoiasill.Hour
)

// DefaultOptions returns the options of moves ordered by operators. A faulty version may receive a limited number of
// calls up to the deadline, so the stages before the handover are cut down to what the limit leaves. Most of it is spent
// in the last stage, at shares where faults that occur under load or begin late are detected within a second. Services
// may have little traffic, and a rarely used route must not end a move.
func DefaultOptions(x mover.Exposure) mover.Options {
	o := mover.DefaultOptions()
	o.Stages = []mover.Stage{{From: 0, Share: 0}, {From: 20, Share: 40}, {From: 400, Share: 60}, {From: 600, Share: 150}, {From: 780, Share: 300}}
	o.Handover = &mover.Handover{Exposure: x, LongShare: 950, MaxTime: 170}
	o.EndAt, o.DecideAt = 995, 1000
	o.MinRequests, o.MinPerRoute, o.MinShare = 40, 0, 50
	return o
}

// Peers exchanges facts with the other entries.
type Peers interface {
	// Publish publishes a fact to all entries. With a ttl of 0 it never expires.
	Publish(key string, version uint64, value []byte, urgent bool, ttl sequoiasill.Millis)
	// SendToCollectors sends a fact to the collectors only.
	SendToCollectors(key string, version uint64, value []byte)
	// Rank returns this entry's rank among the collectors, -1 if it is not a collector.
	Rank() int
}

// Recorder writes the state of a move and the version in use to the operator's order, unless the
// order was replaced or has ended. It returns the resulting order.
type Recorder interface {
	Record(ro sequoiasill.Rollout) (sequoiasill.Rollout, error)
}

// Roller runs the ordered moves until Close. It is safe for concurrent use.
type Roller struct {
	self     string
	peers    func() Peers // returns nil until the other entries are known
	recorder Recorder
	versions func(service string) []string // of its upstreams
	clock    sequoiasill.Clock
	log      hclog.Logger
	shifter  *shifter.Shifter
	control  *controller.Controller
	changed  chan struct{} // the status of a move has changed
	stop     chan struct{}
	done     sync.WaitGroup

	mu     sync.Mutex
	orders map[string]order // by service
}

// New starts a Roller. Self is the name of the instance, session identifies its process, exposure limits what a bad
// version gets, and versions returns the versions of a service's upstreams.
func New(self, session string, exposure mover.Exposure, store controller.Store, recorder Recorder, versions func(service string) []string, peers func() Peers, clock sequoiasill.Clock, log hclog.Logger) *Roller {
	r := &Roller{
		self: self, peers: peers, recorder: recorder, versions: versions, clock: clock, log: log.Named("moves"),
		changed: make(chan struct{}, 1), stop: make(chan struct{}), orders: make(map[string]order),
	}
	r.shifter = shifter.New(self, clock, r, r.log)
	r.control = controller.New(publishingStore{Store: store, roller: r}, r, self+"/"+session, DefaultOptions(exposure), clock, r.log)
	r.done.Add(1)
	go func() {
		defer r.done.Done()
		tick := time.NewTicker(evaluateInterval)
		defer tick.Stop()
		for {
			select {
			case <-r.stop:
				return
			case <-tick.C:
				r.shifter.Evaluate()
				r.record()
			case <-r.changed:
				r.record()
			}
		}
	}()
	return r
}

// Close stops the Roller and its controller.
func (r *Roller) Close() {
	close(r.stop)
	r.done.Wait()
	r.control.Close()
}

// Assign returns which version of a service serves a call. After a rollback no call is assigned
// to the target, and after a completed move every call. If the order names the version in use,
// every call is.
func (r *Roller) Assign(service, call string) sequoiasill.VersionAssignment {
	move, to, _ := r.shifter.Split(service, sequoiasill.RequestID(call))
	a := sequoiasill.VersionAssignment{Target: move.To, ToTarget: to}
	r.mu.Lock()
	defer r.mu.Unlock()
	if o, ok := r.orders[service]; ok && o.Target == move.To {
		a.InUse, a.Rejected = o.InUse, o.Rejected
		a.ToTarget = to || o.Target == o.InUse
	}
	return a
}

// Moving reports whether a move of the service is in progress.
func (r *Roller) Moving(service string) bool {
	status, ordered := r.Moves()[service]
	return ordered && status.End == sequoiasill.MoveOpen
}

// Superseded reports whether an upstream runs a version that its service has moved off.
// The platform stops such upstreams at once, so they must not receive calls.
func (r *Roller) Superseded(n sequoiasill.Replica) bool {
	r.mu.Lock()
	o, ordered := r.orders[n.Service]
	r.mu.Unlock()
	if !ordered || n.Version == o.Target || n.StartedAt >= o.startedAt {
		return false
	}
	return r.Moves()[n.Service].End == sequoiasill.MoveDone
}

// Record records the outcome of a call to an upstream, with the time to its response or
// its first event.
func (r *Roller) Record(service, route, version string, result sequoiasill.VersionResult, took sequoiasill.Millis) {
	r.shifter.Record(service, route, version, result, took.Duration().Microseconds())
}

// RecordDuration records how long a call that an upstream answered took in all.
func (r *Roller) RecordDuration(service, version string, took sequoiasill.Millis) {
	r.shifter.RecordDuration(service, version, took.Duration().Microseconds())
}

// Publish implements shifter.Publisher. Evidence is sent only to the collectors, one of
// which runs the move.
func (r *Roller) Publish(key string, version uint64, value []byte, urgent bool, ttl sequoiasill.Millis) {
	switch p := r.peers(); {
	case p == nil:
	case strings.HasPrefix(key, shifter.EvidencePrefix):
		p.SendToCollectors(key, version, value)
	default:
		p.Publish(key, version, value, urgent, ttl)
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

// rank returns the rank of this entry among the collectors, math.MaxInt if it is none.
func (r *Roller) rank() int {
	if p := r.peers(); p != nil {
		if rank := p.Rank(); rank >= 0 {
			return rank
		}
	}
	return math.MaxInt
}

// record writes the state of the moves to the operators' orders, unless another entry has
// done so.
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
		o.State = report.Status.End
		recorded, err := r.recorder.Record(o.Rollout)
		if err != nil {
			r.log.Warn("state of a move not recorded", "service", o.Service, "version", o.Target, "error", err)
			continue
		}
		r.log.Info("state of a move recorded", "service", o.Service, "version", o.Target, "state", recorded.State)
		r.ApplyOrder(recorded)
	}
}

// due returns the order of a move, and whether its stored state is out of date and this
// entry's delay for recording it has passed.
func (r *Roller) due(report reporter.Report, rank int) (order, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, known := r.orders[report.Move.Service]
	if !known || o.move().Name != report.Move.Name || o.Order != report.Move.Order {
		return o, false
	}
	now := r.clock.Now()
	if o.Recorded && (o.State == report.Status.End || o.State != sequoiasill.MoveOpen) {
		o.unrecordedSince = 0
	} else if o.unrecordedSince == 0 {
		o.unrecordedSince = now
	}
	r.orders[report.Move.Service] = o
	return o, o.unrecordedSince > 0 && now-o.unrecordedSince >= recordDelay*sequoiasill.Millis(rank)
}

// publishingStore wraps a store and publishes each move status that is read or written to
// the other entries.
type publishingStore struct {
	controller.Store

	roller *Roller
}

// Era implements leaseholder.EraStore.
func (t publishingStore) Era() uint64 {
	if s, ok := t.Store.(interface{ Era() uint64 }); ok {
		return s.Era()
	}
	return 0
}

// Get implements controller.Store.
func (t publishingStore) Get(name string) (storer.Object, error) {
	o, err := t.Store.Get(name)
	if err == nil {
		t.roller.publishStatus(name, o.Version, o.Value)
	}
	return o, err
}

// Put implements controller.Store.
func (t publishingStore) Put(name string, value []byte, version uint64) (uint64, error) {
	next, err := t.Store.Put(name, value, version)
	if err == nil {
		t.roller.publishStatus(name, next, value)
	}
	return next, err
}

// publishStatus passes the object on to the shifter and to the other entries if it is the
// status of a move.
func (r *Roller) publishStatus(name string, version uint64, value []byte) {
	move, ok := strings.CutPrefix(name, encoder.StatusPrefix)
	if !ok {
		return
	}
	key := shifter.StatusPrefix + move
	r.HandleFact(gossiper.Fact{Key: key, Version: version, Value: value})
	r.Publish(key, version, value, true, statusTTL)
}
