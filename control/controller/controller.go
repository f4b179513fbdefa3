// Package controller runs version moves. Every entry instance has a controller;
// a lease for each move decides which of them acts, and any of them can be
// replaced at any time.
package controller

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/config/encoder"
	"sequoiasill.dev/sequoiasill/config/reporter"
	"sequoiasill.dev/sequoiasill/control/holder"
	"sequoiasill.dev/sequoiasill/decide/leaser"
	"sequoiasill.dev/sequoiasill/decide/mover"
	"sequoiasill.dev/sequoiasill/platform/storer"
)

// Store is the part of the object API that moves need.
type Store interface {
	Get(name string) (storer.Object, error)
	Put(name string, value []byte, version uint64) (uint64, error)
}

// Observer asks an entry what is known of all declared moves.
type Observer interface {
	Observe() ([]reporter.Report, error)
}

// candidates is how many controllers compete for the lease of a move: those whose
// entries come first in its order. The others leave the store alone.
const candidates = 3

// lookEvery is the interval at which moves are looked at.
const lookEvery = 500 * time.Millisecond

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
	ended    chan struct{}
	runs     map[string]*run
}

// New returns a controller that runs until Close. Self names it and must differ
// at each start of the process.
func New(store Store, observer Observer, self string, opts mover.Options, clock sequoiasill.Clock, log hclog.Logger) *Controller {
	c := &Controller{
		store: store, observer: observer, clock: clock, self: self, opts: opts, log: log.Named("controller"),
		stop: make(chan struct{}), ended: make(chan struct{}), runs: make(map[string]*run),
	}
	go func() {
		defer close(c.ended)
		tick := time.NewTicker(lookEvery)
		defer tick.Stop()
		for {
			c.look()
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

// Close gives all leases up and stops.
func (c *Controller) Close() {
	c.once.Do(func() { close(c.stop) })
	<-c.ended
}

// run is a move that this controller competes for or runs.
type run struct {
	move    sequoiasill.Move
	lease   *holder.Holder
	epoch   uint64
	mover   *mover.Mover
	status  sequoiasill.MoveStatus
	version uint64 // of the status object
	seen    map[string]map[string]mover.Sample
}

// look asks the entry and takes each move a step further.
func (c *Controller) look() {
	reports, err := c.observer.Observe()
	if err != nil {
		c.log.Warn("no evidence", "error", err)
		return
	}
	c.follow(reports)
	for _, report := range reports {
		if r, ok := c.runs[report.Move.Name]; ok {
			c.step(r, report)
		}
	}
}

// follow begins new moves and forgets those that are no longer this controller's.
func (c *Controller) follow(reports []reporter.Report) {
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
			lease: holder.New(leases{c.store}, "move-"+name, c.self, leaser.DefaultOptions(), c.clock, c.log),
		}
	}
}

// read returns the recorded status of a move and the version of its object, which
// is 0 where there is none yet.
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

// step takes a move further if this controller holds its lease.
func (c *Controller) step(r *run, report reporter.Report) {
	epoch, ok := r.lease.MayAct()
	if !ok {
		r.mover = nil
		return
	}
	if (r.mover == nil || r.epoch != epoch) && !c.begin(r, epoch) {
		return
	}
	if r.status.End != sequoiasill.MoveOpen {
		return
	}
	ev := mover.Event(mover.Evidence{Routes: r.since(report.Entries)})
	if report.Braked != "" {
		ev = mover.Braked{Reason: report.Braked}
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

// begin takes a move over where its status stands. It returns false if that could
// not be read.
func (c *Controller) begin(r *run, epoch uint64) bool {
	status, version, err := c.read(r.move.Name)
	if err != nil {
		c.log.Warn("status not read", "move", r.move.Name, "error", err)
		return false
	}
	r.epoch, r.status, r.version = epoch, status, version
	r.mover = mover.New(r.move, r.status.Share, c.opts)
	r.seen = nil
	c.log.Info("move taken on", "move", r.move.Name, "share", r.status.Share, "epoch", epoch)
	return true
}

// since returns the evidence that is new; all of it to a controller that has just
// taken the move on. An entry whose counts fell has started anew.
func (r *run) since(entries map[string]map[string]mover.Sample) map[string]mover.Sample {
	out := make(map[string]mover.Sample)
	for entry, routes := range entries {
		for route, now := range routes {
			before := r.seen[entry][route]
			if now.Old.Requests < before.Old.Requests || now.New.Requests < before.New.Requests {
				before = mover.Sample{}
			}
			s := out[route]
			s.Old = s.Old.Add(now.Old.Sub(before.Old))
			s.New = s.New.Add(now.New.Sub(before.New))
			out[route] = s
		}
	}
	r.seen = entries
	return out
}

// write records a status by a conditional write. A conflict means that another
// wrote first: an operator, or a controller with a later epoch.
func (c *Controller) write(r *run, s sequoiasill.MoveStatus) {
	s.Epoch = r.epoch
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
		c.log.Info("move", "name", s.Move, "share", s.Share, "end", s.End, "reason", s.Reason, "epoch", s.Epoch)
		return
	}
	if errors.Is(err, storer.ErrRefused) {
		return
	}
	// Look what stands now; after a lost answer that may be this very status.
	if status, version, err := c.read(s.Move); err == nil {
		r.status, r.version = status, version
	}
}

// leases keeps lease objects among the other objects of the store.
type leases struct{ store Store }

// Read implements holder.Store.
func (l leases) Read(name string) ([]byte, uint64, error) {
	o, err := l.store.Get(name)
	if errors.Is(err, storer.ErrNotFound) {
		return nil, 0, nil
	}
	return o.Value, o.Version, err
}

// Write implements holder.Store.
func (l leases) Write(name string, value []byte, version uint64) (uint64, error) {
	next, err := l.store.Put(name, value, version)
	if errors.Is(err, storer.ErrConflict) {
		return 0, errors.Annotate(holder.ErrConflict, err.Error())
	}
	return next, err
}
