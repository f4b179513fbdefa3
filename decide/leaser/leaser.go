// Package leaser implements leader leases on an object in the platform's store. The
// object records the holder, the epoch and the length of the lease. A holder stops
// acting a safety margin before the lease expires by its own clock. A successor takes
// over only after it has observed the same record for the full length by its own
// clock, so clocks of different processes are never compared (Gray and Cheriton,
// "Leases", 1989). The epoch is the fencing token of every command that the holder sends.
//
// The store may come back from a copy that is some seconds old, as counted by its era. Writes
// since then are lost, and a lease with them: it ends at once for a holder that learns of the
// new era, and nobody takes it before a holder that has not learned of it must have stopped.
// The first epoch of an era exceeds all that may have been used before.
//
// A Lease is a state machine without I/O; spec/lease.pml is its model.
package leaser

import "sequoiasill.dev/sequoiasill"

// Record is the value of the lease object.
type Record struct {
	Holder  string // unique to each start of the process
	Epoch   uint64
	Length  sequoiasill.Millis
	Renewal uint64 // incremented by each renewal
	Era     uint64 // of the store when it was written, 0 if the store has none
}

const (
	// epochsPerEra is added to the epoch for each era since the record was written. It exceeds the
	// number of holders that a lease can have in the time that a copy lags behind.
	epochsPerEra = 64
	// eraCycle bounds the eras that count for the first epoch of a lease without a record, so that
	// epochs stay small.
	eraCycle = 1024
)

// Options configure a Lease.
type Options struct {
	Length sequoiasill.Millis
	Margin sequoiasill.Millis // the holder stops acting this long before expiry
	// MaxMessageDelay is the longest delay of a message in flight. The last byte of a request
	// must be sent at least this long before the lease expires.
	MaxMessageDelay sequoiasill.Millis
	PollInterval    sequoiasill.Millis // poll interval while another process holds the lease
	// WaitsAtStart makes a process wait for the length of the lease before it takes one without a
	// record: the record may be missing because the store came back from a copy, and its holder
	// may still act.
	WaitsAtStart bool
}

// DefaultOptions returns the options that controllers use.
func DefaultOptions() Options {
	return Options{Length: 6 * sequoiasill.Second, Margin: 2 * sequoiasill.Second, MaxMessageDelay: 200, PollInterval: sequoiasill.Second}
}

// Event is an input of the state machine.
type Event interface{ event() }

// ReadDone is the result of a ReadRecord. Version 0 means that the object does not exist.
type ReadDone struct {
	Record  Record
	Version uint64
	Failed  bool
}

// WriteDone is the result of a WriteRecord.
type WriteDone struct {
	Version uint64
	Result  Result
}

// Tick reports that time has passed.
type Tick struct{}

// Release gives up the lease.
type Release struct{}

func (ReadDone) event()  {}
func (WriteDone) event() {}
func (Tick) event()      {}
func (Release) event()   {}

// Result is the outcome of a write.
type Result int

// The results. Unknown means that the write may have taken effect or may do so later.
const (
	OK Result = iota
	Conflict
	Unknown
)

// Action is an output of the state machine. At most one is in progress.
type Action interface{ action() }

// ReadRecord reads the lease object.
type ReadRecord struct{}

// WriteRecord writes the lease object if its current version is Version.
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

	busy           bool
	writeStartedAt sequoiasill.Millis // when the last write was started
	pendingRecord  Record             // of the write in progress or the last one
	lastRecord     Record
	version        uint64
	versionSeenAt  sequoiasill.Millis // when the current version was first seen
	firstReadAt    sequoiasill.Millis
	lastReadAt     sequoiasill.Millis
	fresh          bool // the record was read since the last conflict or unknown write

	epoch     uint64
	expiresAt sequoiasill.Millis // 0 if the lease is not held
	released  bool

	era          uint64
	eraChangedAt sequoiasill.Millis // when this process learned of the era, 0 if it knew no earlier one
	maxEpoch     uint64             // highest epoch that was read or written
	minEpoch     uint64             // lower bound on the next epoch
}

// New returns a lease that self does not hold yet. Self must be unique to each start
// of the process.
func New(self string, opts Options) *Lease { return &Lease{opts: opts, self: self} }

// SetEra sets the store's era before the first read.
func (l *Lease) SetEra(era uint64) { l.era = era }

// ChangeEra ends the lease because the store came back from a copy, and makes this process wait
// until a holder that has not learned of it has stopped.
func (l *Lease) ChangeEra(now sequoiasill.Millis, era uint64) {
	l.era, l.eraChangedAt = era, now
	l.minEpoch = max(l.minEpoch, l.maxEpoch) + epochsPerEra
	l.expiresAt, l.pendingRecord = 0, Record{}
	l.fresh, l.lastReadAt = false, 0
}

// MayAct reports whether this process may act under the lease at now, and the
// lease's epoch. Callers must check it before each action.
func (l *Lease) MayAct(now sequoiasill.Millis) (epoch uint64, ok bool) {
	return l.epoch, l.expiresAt > 0 && now < l.expiresAt-l.opts.Margin && !l.released
}

// Remaining returns the time after which an action that was started under the lease must
// be cancelled. Without this limit it could reach a platform that does not check epochs
// after an action of a successor. Remaining is 0 if the lease is not held.
func (l *Lease) Remaining(now sequoiasill.Millis) sequoiasill.Millis {
	if l.expiresAt == 0 || l.released {
		return 0
	}
	return max(l.expiresAt-l.opts.MaxMessageDelay-now, 0)
}

// Step handles one event and returns the next action, or nil.
func (l *Lease) Step(now sequoiasill.Millis, ev Event) Action {
	switch ev := ev.(type) {
	case ReadDone:
		l.busy = false
		l.handleRead(now, ev)
	case WriteDone:
		l.busy = false
		l.handleWritten(ev)
	case Release:
		l.released = true
	}
	if l.busy {
		return nil
	}
	a := l.nextAction(now)
	if a != nil {
		l.busy = true
	}
	return a
}

func (l *Lease) handleRead(now sequoiasill.Millis, ev ReadDone) {
	l.lastReadAt = now
	if ev.Failed {
		return
	}
	l.fresh = true
	if l.firstReadAt == 0 {
		l.firstReadAt = now
	}
	if ev.Version != l.version || l.versionSeenAt == 0 {
		l.versionSeenAt = now
	}
	l.version = ev.Version
	l.lastRecord = ev.Record
	l.maxEpoch = max(l.maxEpoch, ev.Record.Epoch)
	if ev.Record.Holder == l.self && ev.Record == l.pendingRecord {
		// A write whose response was lost has taken effect.
		l.epoch = ev.Record.Epoch
		l.expiresAt = l.writeStartedAt + ev.Record.Length
	}
	if ev.Record.Holder != l.self {
		l.expiresAt = 0
	}
}

func (l *Lease) handleWritten(ev WriteDone) {
	if l.eraChangedAt > 0 && l.writeStartedAt <= l.eraChangedAt {
		// The write was based on a record of the era before.
		l.fresh = false
		return
	}
	switch ev.Result {
	case OK:
		l.maxEpoch = max(l.maxEpoch, l.pendingRecord.Epoch)
		l.version = ev.Version
		l.lastRecord = l.pendingRecord
		l.epoch = l.pendingRecord.Epoch
		l.expiresAt = l.writeStartedAt + l.pendingRecord.Length
	case Conflict:
		l.expiresAt = 0
		l.fresh = false
	case Unknown:
		// A lease that is held stays valid until it expires; the record must be read again.
		l.fresh = false
	}
}

// nextAction returns the action that is due, or nil.
func (l *Lease) nextAction(now sequoiasill.Millis) Action {
	held := l.expiresAt > 0 && now < l.expiresAt
	switch {
	case l.released && held && l.fresh && l.lastRecord.Length > 0:
		// A record with length 0 can be taken over immediately.
		return l.startWrite(now, Record{Holder: l.self, Epoch: l.epoch, Renewal: l.lastRecord.Renewal + 1})
	case l.released:
		return nil
	case !l.fresh:
		if l.lastReadAt == 0 || now-l.lastReadAt >= l.opts.PollInterval/4 {
			return ReadRecord{}
		}
	case held && l.lastRecord.Holder == l.self:
		if now >= l.expiresAt-l.opts.Length/2-l.opts.Margin/2 {
			return l.startWrite(now, Record{Holder: l.self, Epoch: l.epoch, Length: l.opts.Length, Renewal: l.lastRecord.Renewal + 1})
		}
	case l.acquirable(now):
		return l.startWrite(now, Record{Holder: l.self, Epoch: l.nextEpoch(), Length: l.opts.Length})
	case now-l.lastReadAt >= l.opts.PollInterval || l.needsConfirmingRead(now):
		return ReadRecord{}
	}
	return nil
}

// needsConfirmingRead reports whether the full length has passed since the record was
// first seen, without a later read that confirms that the record is unchanged.
func (l *Lease) needsConfirmingRead(now sequoiasill.Millis) bool {
	return now-l.versionSeenAt >= l.lastRecord.Length && l.lastReadAt-l.versionSeenAt < l.lastRecord.Length
}

// acquirable reports whether this process may take the lease: there is no record, it
// was released, or a read has confirmed that the record did not change for its full
// length since it was first seen here.
func (l *Lease) acquirable(now sequoiasill.Millis) bool {
	if l.eraChangedAt > 0 && now < l.eraChangedAt+l.opts.Length {
		return false
	}
	if l.version == 0 || l.lastRecord.Length == 0 {
		return !l.opts.WaitsAtStart || now-l.firstReadAt >= l.opts.Length
	}
	return now-l.versionSeenAt >= l.lastRecord.Length && l.lastReadAt-l.versionSeenAt >= l.lastRecord.Length
}

// nextEpoch returns the epoch of a new holder. Records that were lost in a return from a copy may
// have had higher epochs than the current one.
func (l *Lease) nextEpoch() uint64 {
	if l.version == 0 {
		return max(l.era%eraCycle*epochsPerEra+1, l.minEpoch)
	}
	epoch := l.lastRecord.Epoch + 1
	if l.era > l.lastRecord.Era {
		epoch += epochsPerEra * (l.era - l.lastRecord.Era)
	}
	return max(epoch, l.minEpoch)
}

func (l *Lease) startWrite(now sequoiasill.Millis, r Record) Action {
	r.Era = l.era
	l.pendingRecord = r
	l.writeStartedAt = now
	return WriteRecord{Record: r, Version: l.version}
}
