// Package accountant reports the usage of each time window to the platform, under
// a lease. The counts of a window are recorded in the store by a conditional write
// before they are sent, so that successive lease holders send the same counts.
package accountant

import (
	"encoding/json"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/control/leaseholder"
	"sequoiasill.dev/sequoiasill/decide/tallier"
)

// Cloud accepts usage reports. Sending a report again with the same counts has no
// effect.
type Cloud interface {
	ReportUsage(epoch uint64, window int64, calls map[string]int) error
}

// Counter returns the usage of a window as far as this entry knows it.
type Counter interface {
	Total(window int64) tallier.Counts
}

// Witness remembers the last recorded counts at other entries. It makes up for a store that comes
// back from a copy that lacks the record: a report must not be sent with other counts.
type Witness interface {
	AnnounceRecord(window int64, calls map[string]int)
	// KnownRecord returns the newest announced record, if any.
	KnownRecord() (window int64, calls map[string]int, ok bool)
}

// Options configure an Accountant.
type Options struct {
	Window sequoiasill.Millis
	// Settle is the wait after a window's end for the counts of other entries.
	Settle sequoiasill.Millis
	// Delay is the time after a window's end until which its report is accepted; later
	// reports are not sent.
	Delay sequoiasill.Millis
}

// recordName is the name of the object with the recorded counts.
const recordName = "usage"

// Accountant reports usage and caches the last recorded counts. It is not safe for
// concurrent use.
type Accountant struct {
	opts    Options
	store   leaseholder.Store
	cloud   Cloud
	counter Counter
	witness Witness
	log     hclog.Logger

	epoch   uint64
	loaded  bool
	version uint64
	last    record
	sent    bool
}

// record is the usage of the last recorded window.
type record struct {
	Window int64
	Calls  map[string]int
}

type wireRecord struct {
	Window int64          `json:"window"`
	Calls  map[string]int `json:"calls"`
}

// New returns an accountant that has not loaded the recorded counts yet.
func New(opts Options, store leaseholder.Store, cloud Cloud, counter Counter, witness Witness, log hclog.Logger) *Accountant {
	return &Accountant{opts: opts, store: store, cloud: cloud, counter: counter, witness: witness, log: log.Named("accountant")}
}

// Act performs one step under the lease epoch: it records and sends the report that is
// due now, or resends one that failed. Now is in true time, as in tallier. MayAct is
// checked before each write and each call to the platform.
func (a *Accountant) Act(now sequoiasill.Millis, epoch uint64, mayAct func() bool) error {
	if epoch != a.epoch {
		a.epoch, a.loaded = epoch, false
	}
	if !a.loaded {
		if err := a.load(now); err != nil {
			return err
		}
	}
	if !a.sent && a.last.Window > 0 && now < a.end(a.last.Window)+a.opts.Delay {
		return a.send(mayAct)
	}
	w, ok := a.due(now)
	if !ok {
		return nil
	}
	if err := a.writeRecord(record{Window: w, Calls: a.counter.Total(w)}, mayAct); err != nil {
		return err
	}
	return a.send(mayAct)
}

func (a *Accountant) end(window int64) sequoiasill.Millis {
	return sequoiasill.Millis(window+1) * a.opts.Window
}

func (a *Accountant) newestSettled(now sequoiasill.Millis) int64 {
	return int64((now-a.opts.Settle)/a.opts.Window) - 1
}

// due returns the first window after the last recorded one that has settled and whose
// report is not late. Windows without calls need no report.
func (a *Accountant) due(now sequoiasill.Millis) (int64, bool) {
	newest := a.newestSettled(now)
	oldest := int64((now-a.opts.Delay)/a.opts.Window) - 1
	for w := max(a.last.Window+1, oldest+1); w <= newest; w++ {
		if len(a.counter.Total(w)) > 0 {
			return w, true
		}
	}
	return 0, false
}

// load reads the counts that the previous lease holder recorded. Their report may not
// have been sent.
func (a *Accountant) load(now sequoiasill.Millis) error {
	value, version, err := a.store.Read(recordName)
	if err != nil {
		return errors.Annotate(err, "read usage record")
	}
	a.version, a.last, a.sent = version, record{}, false
	if version > 0 {
		a.last, err = a.decode(value, now)
		if err != nil {
			// Another holder may have reported each window that has settled.
			a.last, a.sent = record{Window: a.newestSettled(now)}, true
			a.log.Warn("stored usage record cannot be used and will be replaced", "version", version, "reportsAfter", a.last.Window, "error", err)
		}
	}
	if window, calls, ok := a.witness.KnownRecord(); ok && window > a.last.Window {
		a.log.Warn("stored usage record is older than the announced one", "stored", a.last.Window, "announced", window)
		a.last = record{Window: window, Calls: calls}
	}
	a.loaded = true
	return nil
}

// maxClockLead is how far the clock of the holder that wrote a record may have been ahead.
const maxClockLead = sequoiasill.Minute

// decode decodes a stored record. One that another writer left could otherwise stop the reports for
// as long as it is there.
func (a *Accountant) decode(value []byte, now sequoiasill.Millis) (record, error) {
	var w wireRecord
	if err := json.Unmarshal(value, &w); err != nil {
		return record{}, errors.Annotate(err, "decode usage record")
	}
	if w.Window < 0 || w.Window > int64((now+maxClockLead)/a.opts.Window) {
		return record{}, errors.Errorf("its window is %d", w.Window)
	}
	return record(w), nil
}

// writeRecord records the counts of a window. After a failed write, whose outcome is
// unknown, the record is loaded again.
func (a *Accountant) writeRecord(r record, mayAct func() bool) error {
	value, err := json.Marshal(wireRecord(r))
	if err != nil {
		return errors.Annotate(err, "encode usage record")
	}
	if !mayAct() {
		return errors.New("lease has expired")
	}
	version, err := a.store.Write(recordName, value, a.version)
	if err != nil {
		a.loaded = false
		return errors.Annotate(err, "write usage record")
	}
	a.version, a.last, a.sent = version, r, false
	a.witness.AnnounceRecord(r.Window, r.Calls)
	return nil
}

func (a *Accountant) send(mayAct func() bool) error {
	if !mayAct() {
		return errors.New("lease has expired")
	}
	if err := a.cloud.ReportUsage(a.epoch, a.last.Window, a.last.Calls); err != nil {
		return errors.Annotatef(err, "report usage of window %d", a.last.Window)
	}
	a.sent = true
	a.log.Info("usage reported", "window", a.last.Window, "calls", a.last.Calls, "epoch", a.epoch)
	return nil
}
