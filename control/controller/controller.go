// Package controller runs version moves. Every entry instance has a controller. A
// lease for each move elects the one that runs it, and any controller can take over
// at any time.
package controller

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/config/encoder"
	"sequoiasill.dev/sequoiasill/config/reporter"
	"sequoiasill.dev/sequoiasill/control/leaseholder"
	"sequoiasill.dev/sequoiasill/decide/leaser"
	"sequoiasill.dev/sequoiasill/decide/mover"
	"sequoiasill.dev/sequoiasill/platform/storer"
)

// Store is the part of the object store API that moves need.
type Store interface {
	Get(name string) (storer.Object, error)
	Put(name string, value []byte, version uint64) (uint64, error)
}

// Observer returns the evidence that an entry has on all declared moves.
type Observer interface {
	Observe() ([]reporter.Report, error)
}

// candidates is the number of controllers that compete for the lease of a move: those
// with the lowest ranks. The others do not access the store.
const candidates = 3

// evaluateInterval is the interval at which moves are evaluated.
const evaluateInterval = 500 * time.Millisecond

// Controller runs moves until Close.
type Controller struct {
	store    Store
	observer Observer
	clock    sequoiasill.Clock
	self     string
	opts     mover.Options
	log      hclog.Logger
	stop     chan struct{}
	once     sync.Once
	done     chan struct{}
	runs     map[string]*run
}

// New starts a controller that runs until Close. Self is its name, which must differ
// at each start of the process.
func New(store Store, observer Observer, self string, opts mover.Options, clock sequoiasill.Clock, log hclog.Logger) *Controller {
	c := &Controller{
		store: store, observer: observer, clock: clock, self: self, opts: opts, log: log.Named("controller"),
		stop: make(chan struct{}), done: make(chan struct{}), runs: make(map[string]*run),
	}
	go func() {
		defer close(c.done)
		tick := time.NewTicker(evaluateInterval)
		defer tick.Stop()
		for {
			c.evaluate()
			select {
			case <-c.stop:
				for _, r := range c.runs {
					r.lease.Close()
				}
				return
			case <-tick.C:
			}
		}
	}()
	return c
}

// Close releases all leases and stops the controller.
func (c *Controller) Close() {
	c.once.Do(func() { close(c.stop) })
	<-c.done
}

// run is a move that this controller competes for or runs.
type run struct {
	move    sequoiasill.Move
	lease   *leaseholder.Holder
	epoch   uint64
	mover   *mover.Mover
	status  sequoiasill.MoveStatus
	version uint64                             // of the status object
	seen    map[string]map[string]mover.Sample // evidence evaluated so far, by entry and route
}

// evaluate gets the entry's evidence and performs one step of each move.
func (c *Controller) evaluate() {
	reports, err := c.observer.Observe()
	if err != nil {
		c.log.Warn("no evidence", "error", err)
		return
	}
	c.updateRuns(reports)
	for _, report := range reports {
		if r, ok := c.runs[report.Move.Name]; ok {
			c.step(r, report)
		}
	}
}

// updateRuns competes for the leases of new moves and drops moves for which this
// controller is no longer a candidate.
func (c *Controller) updateRuns(reports []reporter.Report) {
	wanted := make(map[string]sequoiasill.Move)
	for _, r := range reports {
		if r.Rank < candidates && r.Status.End == sequoiasill.MoveOpen {
			wanted[r.Move.Name] = r.Move
		}
	}
	for name, r := range c.runs {
		if m, ok := wanted[name]; !ok || m != r.move {
			r.lease.Close()
			delete(c.runs, name)
		}
	}
	for name, m := range wanted {
		if _, ok := c.runs[name]; ok {
			continue
		}
		c.runs[name] = &run{
			move:  m,
			lease: leaseholder.New(leaseStore{c.store}, "move-"+name, c.self, leaser.DefaultOptions(), c.clock, c.log),
		}
	}
}

// read returns the stored status of a move and the version of its object, which is 0
// if there is none yet.
func (c *Controller) read(name string) (sequoiasill.MoveStatus, uint64, error) {
	o, err := c.store.Get(encoder.StatusPrefix + name)
	if errors.Is(err, storer.ErrNotFound) {
		return sequoiasill.MoveStatus{Move: name}, 0, nil
	}
	if err != nil {
		return sequoiasill.MoveStatus{}, 0, err
	}
	status, err := encoder.DecodeStatus(o.Value)
	return status, o.Version, err
}

// step performs one step of a move if this controller holds its lease.
func (c *Controller) step(r *run, report reporter.Report) {
	epoch, ok := r.lease.MayAct()
	if !ok {
		r.mover = nil
		return
	}
	if (r.mover == nil || r.epoch != epoch) && !c.startRun(r, epoch) {
		return
	}
	if r.status.End != sequoiasill.MoveOpen {
		return
	}
	ev := mover.Event(mover.Evidence{Routes: r.newEvidence(report.Entries), DrainTime: report.DrainTime})
	if report.BrakeReason != "" {
		ev = mover.EntryStopped{Reason: report.BrakeReason}
	}
	switch a := r.mover.Step(c.clock.Now(), ev).(type) {
	case mover.SetShare:
		c.write(r, sequoiasill.MoveStatus{Move: r.move.Name, Share: a.Share})
	case mover.Finish:
		c.write(r, sequoiasill.MoveStatus{Move: r.move.Name, Share: r.mover.Share(), End: a.End, Reason: a.Reason})
	default:
		if r.status.Share != r.mover.Share() {
			c.write(r, sequoiasill.MoveStatus{Move: r.move.Name, Share: r.mover.Share()})
		}
	}
}

// startRun takes over a move from its stored status. It returns false if the status
// cannot be read.
func (c *Controller) startRun(r *run, epoch uint64) bool {
	status, version, err := c.read(r.move.Name)
	if err != nil {
		c.log.Warn("cannot read move status", "move", r.move.Name, "error", err)
		return false
	}
	if !status.BelongsTo(r.move, version) {
		status = sequoiasill.MoveStatus{Move: r.move.Name}
	}
	r.epoch, r.status, r.version = epoch, status, version
	r.mover = mover.New(r.move, r.status.Share, c.opts)
	r.seen = nil
	c.log.Info("move taken on", "move", r.move.Name, "share", r.status.Share, "epoch", epoch)
	return true
}

// newEvidence returns the evidence since the last call, or all of it if the controller
// has just taken over the move. Decreasing counts mean that the entry has restarted.
func (r *run) newEvidence(entries map[string]map[string]mover.Sample) map[string]mover.Sample {
	out := make(map[string]mover.Sample)
	for entry, routes := range entries {
		for route, now := range routes {
			last := r.seen[entry][route]
			if now.Old.Requests < last.Old.Requests || now.New.Requests < last.New.Requests {
				last = mover.Sample{}
			}
			s := out[route]
			s.Old = s.Old.Add(now.Old.Sub(last.Old))
			s.New = s.New.Add(now.New.Sub(last.New))
			out[route] = s
		}
	}
	r.seen = entries
	return out
}

// write stores a status by a conditional write. A conflict means that an operator, or a
// controller with a later epoch, has written first.
func (c *Controller) write(r *run, s sequoiasill.MoveStatus) {
	s.Epoch, s.Order = r.epoch, r.move.Order
	s.Changed = c.clock.Now()
	value, err := encoder.EncodeStatus(s)
	if err != nil {
		c.log.Error("status not encoded", "error", err)
		return
	}
	if _, ok := r.lease.MayAct(); !ok {
		return
	}
	version, err := c.store.Put(encoder.StatusPrefix+s.Move, value, r.version)
	if err == nil {
		r.version, r.status = version, s
		total := r.mover.Total()
		c.log.Info("move", "name", s.Move, "share", s.Share, "end", s.End, "reason", s.Reason, "epoch", s.Epoch,
			"oldRequests", total.Old.Requests, "oldErrors", total.Old.Errors, "oldSlow", total.Old.Slow, "oldDeclined", total.Old.Declined, "oldRejected", total.Old.Rejected,
			"newRequests", total.New.Requests, "newErrors", total.New.Errors, "newSlow", total.New.Slow, "newDeclined", total.New.Declined, "newRejected", total.New.Rejected)
		return
	}
	if errors.Is(err, storer.ErrRefused) {
		return
	}
	// Read the current status; if the response was lost, it may be the one just written.
	if status, version, err := c.read(s.Move); err == nil {
		r.version = version
		if status.BelongsTo(r.move, version) {
			r.status = status
		}
	}
}

// leaseStore stores lease objects in the object store.
type leaseStore struct{ store Store }

// Era implements leaseholder.EraStore.
func (l leaseStore) Era() uint64 {
	if s, ok := l.store.(interface{ Era() uint64 }); ok {
		return s.Era()
	}
	return 0
}

// Read implements leaseholder.Store.
func (l leaseStore) Read(name string) ([]byte, uint64, error) {
	o, err := l.store.Get(name)
	if errors.Is(err, storer.ErrNotFound) {
		return nil, 0, nil
	}
	return o.Value, o.Version, err
}

// Write implements leaseholder.Store.
func (l leaseStore) Write(name string, value []byte, version uint64) (uint64, error) {
	next, err := l.store.Put(name, value, version)
	if errors.Is(err, storer.ErrConflict) {
		return 0, errors.Annotate(leaseholder.ErrConflict, err.Error())
	}
	return next, err
}
