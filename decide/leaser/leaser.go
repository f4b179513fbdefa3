// Package leaser decides when this process holds a lease, which is an object in
// the platform's store: a holder, an epoch and a length. A holder stops acting a
// margin before its own clock says that the lease ends. A successor takes over
// only after it has seen the same record for the full length on its own clock, so
// no two clocks are ever compared (Gray and Cheriton, "Leases", 1989). The epoch
// is the fencing number of every order.
//
// A Lease is a state machine without I/O; spec/lease.pml is its model.
package leaser

import "sequoiasill.dev/sequoiasill"

// Record is the value of a lease object.
type Record struct {
	Holder  string // with a part that differs at each start of the process
	Epoch   uint64
	Length  sequoiasill.Millis
	Renewal uint64 // rises with each renewal
}

// Options configure a Lease.
type Options struct {
	Length sequoiasill.Millis
	Margin sequoiasill.Millis // the holder stops acting so long before the end
	// Flight is how long what a holder has sent may still be on its way once nothing more
	// of it is sent: an act must have left so long before the end.
	Flight sequoiasill.Millis
	Look   sequoiasill.Millis // between looks at a lease that another holds
}

// DefaultOptions returns the options that controllers use.
func DefaultOptions() Options {
	return Options{Length: 6 * sequoiasill.Second, Margin: 2 * sequoiasill.Second, Flight: 200, Look: sequoiasill.Second}
}

// Event is an input of the lease.
type Event interface{ event() }

// Read is the result of a ReadRecord. Version 0 stands for no object.
type Read struct {
	Record  Record
	Version uint64
	Failed  bool
}

// Written is the result of a WriteRecord.
type Written struct {
	Version uint64
	Result  Result
}

// Tick lets time pass.
type Tick struct{}

// Release gives the lease up.
type Release struct{}

func (Read) event()    {}
func (Written) event() {}
func (Tick) event()    {}
func (Release) event() {}

// Result is what is known of a write.
type Result int

// The results. Unknown means that the write may take effect, even later.
const (
	OK Result = iota
	Conflict
	Unknown
)

// Action is an output of the lease. One at most is in progress.
type Action interface{ action() }

// ReadRecord reads the lease object.
type ReadRecord struct{}

// WriteRecord writes the lease object if it has the version.
type WriteRecord struct {
	Record  Record
	Version uint64
}

func (ReadRecord) action()  {}
func (WriteRecord) action() {}

// Lease is the state of one lease at one process. It is not safe for concurrent
// use.
type Lease struct {
	opts Options
	self string

	busy    bool
	wroteAt sequoiasill.Millis // when the last write began
	written Record             // by the write in progress
	seen    Record
	version uint64
	since   sequoiasill.Millis // when the present version was first seen
	looked  sequoiasill.Millis
	fresh   bool // the store was read since the last doubt

	epoch uint64
	until sequoiasill.Millis // of the lease held, zero for none
	quit  bool
}

// New returns a lease that self does not hold. Self must differ at each start of
// the process.
func New(self string, opts Options) *Lease { return &Lease{opts: opts, self: self} }

// MayAct reports whether this process may act under the lease now, and its
// epoch. It must be asked before each act.
func (l *Lease) MayAct(now sequoiasill.Millis) (epoch uint64, ok bool) {
	return l.epoch, l.until > 0 && now < l.until-l.opts.Margin && !l.quit
}

// Left returns how long an act that was begun under the lease may still take before it
// must be broken off, so that it does not come after those of a successor where nobody
// checks epochs. It is 0 where the lease is not held.
func (l *Lease) Left(now sequoiasill.Millis) sequoiasill.Millis {
	if l.until == 0 || l.quit {
		return 0
	}
	return max(l.until-l.opts.Flight-now, 0)
}

// Step feeds one event and returns the action that follows, or nil.
func (l *Lease) Step(now sequoiasill.Millis, ev Event) Action {
	switch ev := ev.(type) {
	case Read:
		l.busy = false
		l.read(now, ev)
	case Written:
		l.busy = false
		l.wrote(ev)
	case Release:
		l.quit = true
	}
	if l.busy {
		return nil
	}
	a := l.next(now)
	if a != nil {
		l.busy = true
	}
	return a
}

func (l *Lease) read(now sequoiasill.Millis, ev Read) {
	l.looked = now
	if ev.Failed {
		return
	}
	l.fresh = true
	if ev.Version != l.version || l.since == 0 {
		l.since = now
	}
	l.version = ev.Version
	l.seen = ev.Record
	if ev.Record.Holder == l.self && ev.Record == l.written {
		// A write whose answer was lost took effect.
		l.epoch = ev.Record.Epoch
		l.until = l.wroteAt + ev.Record.Length
	}
	if ev.Record.Holder != l.self {
		l.until = 0
	}
}

func (l *Lease) wrote(ev Written) {
	switch ev.Result {
	case OK:
		l.version = ev.Version
		l.seen = l.written
		l.epoch = l.written.Epoch
		l.until = l.wroteAt + l.written.Length
	case Conflict:
		l.until = 0
		l.fresh = false
	case Unknown:
		// What was held holds on until its end; the record must be read again.
		l.fresh = false
	}
}

// next returns the action that is due.
func (l *Lease) next(now sequoiasill.Millis) Action {
	held := l.until > 0 && now < l.until
	switch {
	case l.quit && held && l.fresh && l.seen.Length > 0:
		// A record of no length can be taken over at once.
		return l.write(now, Record{Holder: l.self, Epoch: l.epoch, Renewal: l.seen.Renewal + 1})
	case l.quit:
		return nil
	case !l.fresh:
		if l.looked == 0 || now-l.looked >= l.opts.Look/4 {
			return ReadRecord{}
		}
	case held && l.seen.Holder == l.self:
		if now >= l.until-l.opts.Length/2-l.opts.Margin/2 {
			return l.write(now, Record{Holder: l.self, Epoch: l.epoch, Length: l.opts.Length, Renewal: l.seen.Renewal + 1})
		}
	case l.free(now):
		return l.write(now, Record{Holder: l.self, Epoch: l.seen.Epoch + 1, Length: l.opts.Length})
	case now-l.looked >= l.opts.Look || l.ripe(now):
		return ReadRecord{}
	}
	return nil
}

// ripe reports whether the record stood for its full length but was not read again
// since.
func (l *Lease) ripe(now sequoiasill.Millis) bool {
	return now-l.since >= l.seen.Length && l.looked-l.since < l.seen.Length
}

// free reports whether the lease can be taken: there is none, or the same record
// stood for its full length since it was first seen here, and was read again
// after that.
func (l *Lease) free(now sequoiasill.Millis) bool {
	if l.version == 0 || l.seen.Length == 0 {
		return true
	}
	return now-l.since >= l.seen.Length && l.looked-l.since >= l.seen.Length
}

func (l *Lease) write(now sequoiasill.Millis, r Record) Action {
	l.written = r
	l.wroteAt = now
	return WriteRecord{Record: r, Version: l.version}
}
