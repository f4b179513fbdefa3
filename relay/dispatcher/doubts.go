package dispatcher

import (
	"time"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/pathmonitor"
)

const (
	// doubtCheckInterval is the interval of checks whether doubts about paths were settled, and
	// maxDoubt the time after which a failure in doubt is attributed to the paths.
	doubtCheckInterval = 50 * time.Millisecond
	maxDoubt           = 2 * sequoiasill.Second
)

// doubt is a failure that is due to an upstream or to the paths of this entry.
type doubt struct {
	what   string
	at     sequoiasill.Millis
	lost   bool // this entry has reached no upstream of the service since
	record func()
}

// whenReached calls record once a failure that happens now is known not to be due to the paths of this
// entry: an upstream of the service was reached over a new connection after it, or no other entry reaches
// one either. Otherwise record is never called. Further failures may keep the paths in doubt all the while.
func (d *Dispatcher) whenReached(service, what string, record func()) {
	now := d.clock.Now()
	if d.paths.ReachedSince(service, now) {
		record()
		return
	}
	d.doubtMu.Lock()
	defer d.doubtMu.Unlock()
	d.doubtCount.Add(1)
	d.doubts[service] = append(d.doubts[service], doubt{what: what, at: now, record: record})
	if len(d.doubts[service]) == 1 {
		d.checkDoubtsLater(service)
	}
}

func (d *Dispatcher) checkDoubtsLater(service string) {
	time.AfterFunc(doubtCheckInterval, func() { d.checkDoubts(service) })
}

// checkDoubts settles the doubts about failures of a service as far as they can be, and checks the others
// later.
func (d *Dispatcher) checkDoubts(service string) {
	lost := d.paths.State(service) == pathmonitor.Unreachable
	lostByAll := lost && d.relays.NoneReaches(service)
	now := d.clock.Now()
	d.doubtMu.Lock()
	var open, ended []doubt
	for _, x := range d.doubts[service] {
		x.lost = x.lost || lost
		switch {
		case lostByAll, !x.lost && d.paths.ReachedSince(service, x.at):
			ended = append(ended, x)
		case now-x.at >= maxDoubt:
			x.record = func() {
				d.log.Info("failure attributed to the paths of this entry", "service", service, "what", x.what)
			}
			ended = append(ended, x)
		default:
			open = append(open, x)
		}
	}
	d.doubts[service] = open
	if len(open) > 0 {
		d.checkDoubtsLater(service)
	}
	d.doubtMu.Unlock()
	for _, x := range ended {
		x.record()
		d.doubtCount.Add(-1)
	}
}

// AwaitDoubts waits until all failures are attributed, to upstreams or to the paths of this entry, but
// not beyond a time.
func (d *Dispatcher) AwaitDoubts(until sequoiasill.Millis) {
	for d.doubtCount.Load() > 0 && d.clock.Now() < until {
		time.Sleep(doubtCheckInterval)
	}
}
