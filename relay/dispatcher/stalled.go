package dispatcher

import (
	"maps"
	"time"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/pathmonitor"
	"sequoiasill.dev/sequoiasill/decide/peerpicker"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

const (
	// stalledTime is how long an attempt must have made no progress to be moved to another entry when
	// this one loses its paths, unless its response is overdue before. Connections may live on while new
	// ones fail.
	stalledTime = 400 * sequoiasill.Millis(1)
	// offerInterval is the interval of offers of a stalled call that no entry accepts.
	offerInterval = 200 * time.Millisecond
	// resumeTime is how long attempts may take to go on once the paths are restored. Packets that were
	// lost are sent again by then.
	resumeTime = 500 * sequoiasill.Millis(1)
)

// PathsLost offers the calls of attempts at a service that do not progress any more to other entries,
// now that this entry reaches no upstream of it. The upstreams may be silent for a moment, so an attempt is
// cancelled only once another entry accepts its call.
func (d *Dispatcher) PathsLost(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for t := range d.tries {
		if t.service == service && d.mayMove(d.clock.Now(), t) {
			d.startOffering(t)
		}
	}
}

// mayMove reports whether the call of an attempt may be retried elsewhere as the attempt does not
// progress. The caller holds the lock.
func (d *Dispatcher) mayMove(now sequoiasill.Millis, t *try) bool {
	return d.tries[t] && !t.last && now-t.lastData >= t.patience && d.checkShutdown(t.job) == nil
}

// startOffering begins to offer the call of a stalled attempt to other entries, unless it is being
// offered or another entry relayed it here. The caller holds the lock.
func (d *Dispatcher) startOffering(t *try) {
	if t.offering || t.relayed {
		return
	}
	t.offering = true
	go d.offer(t)
}

// offer offers the call of a stalled attempt to one entry after the other until one accepts, the
// attempt goes on or the paths are restored.
func (d *Dispatcher) offer(t *try) {
	refused := make(map[string]bool)
	for {
		peer, found, stalled := d.nextOffer(t, refused)
		switch {
		case !stalled:
			return
		case !found:
			time.Sleep(offerInterval)
			clear(refused)
		case d.relays.Offer(peer, RelayedCall{Call: t.call, Service: t.service, TrafficVersion: t.trafficVersion}) && d.moveTo(t, peer):
			return
		default:
			refused[peer.Name] = true
		}
	}
}

// nextOffer returns an entry that has not refused the call, and whether the attempt is still stalled.
func (d *Dispatcher) nextOffer(t *try, refused map[string]bool) (peer peerpicker.Peer, found, stalled bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.paths.State(t.service) != pathmonitor.Unreachable || !d.mayMove(d.clock.Now(), t) {
		t.offering = false
		return peerpicker.Peer{}, false, false
	}
	tried := maps.Clone(t.triedPeers)
	if len(tried) >= d.opts.MaxRelays {
		return peerpicker.Peer{}, false, true
	}
	maps.Copy(tried, refused)
	peer, found = d.relays.Pick(t.service, tried)
	return peer, found, true
}

// moveTo cancels a stalled attempt whose call an entry accepts, if the retry budget allows it.
func (d *Dispatcher) moveTo(t *try, peer peerpicker.Peer) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if !d.mayMove(now, t) || !d.rationer.TakeRepeat(now, t.retryBudget) {
		return false
	}
	t.acceptedBy = &peer
	t.cancel(errAttemptTimeout)
	return true
}

// PathsRestored gives the upstreams of a service that this entry reaches again a fresh start: their
// failed connects were due to the paths. Attempts that do not go on soon are moved to other upstreams.
func (d *Dispatcher) PathsRestored(service string) {
	d.WithRegistrar(func(r *registrar.Registrar) { r.ForgetUnreachable(service) })
	restoredAt := d.clock.Now()
	time.AfterFunc(resumeTime.Duration(), func() { d.moveStalledSince(service, restoredAt) })
}

// moveStalledSince cancels the attempts at a service that have made no progress since a time, if another
// upstream can take their calls.
func (d *Dispatcher) moveStalledSince(service string, since sequoiasill.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if d.paths.State(service) != pathmonitor.Reachable {
		return
	}
	for t := range d.tries {
		if t.service != service || t.lastData >= since || !d.mayMove(now, t) {
			continue
		}
		if d.hasAlternative(now, t.job) && d.rationer.TakeRepeat(now, t.retryBudget) {
			t.cancel(errAttemptTimeout)
		}
	}
}
