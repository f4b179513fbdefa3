package dispatcher

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/blamer"
)

// fingerprint identifies a call by its caller, path and body: a call that comes
// again has another id.
func fingerprint(call *sequoiasill.Call, account *sequoiasill.Account) blamer.Fingerprint {
	h := xxhash.New()
	name := ""
	if account != nil {
		name = account.Name
	}
	// A Digest takes every write.
	for _, s := range []string{name, call.Method, call.Host, call.Target} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(call.Body)
	return blamer.Fingerprint(h.Sum64())
}

// refusedAsCulprit returns a Failure if the call crashes the upstreams that run it.
func (d *Dispatcher) refusedAsCulprit(j *job) *sequoiasill.Failure {
	d.mu.Lock()
	now := d.clock.Now()
	until, refused := d.blamer.Refused(now, j.print)
	d.mu.Unlock()
	if !refused {
		return nil
	}
	return sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeQuarantined, http.StatusServiceUnavailable,
		"upstreams crashed under this request").WithRetryAfter(until - now)
}

// charge charges the call with an upstream that broke off before it began to answer.
func (t *try) charge() {
	r := t.choice.Replica
	h := xxhash.Sum64String(r.Name) ^ uint64(r.Born)
	t.d.mu.Lock()
	now := t.d.clock.Now()
	found := t.d.blamer.Broke(now, t.print, h)
	until, _ := t.d.blamer.Refused(now, t.print)
	t.d.mu.Unlock()
	if !found {
		return
	}
	t.d.log.Warn("request crashes upstreams", "request", t.call.ID, "upstream", r.Name, "fingerprint", uint64(t.print),
		"refused", until-now, "source", "own")
	t.d.peers.Condemned(t.print, until)
}

// answered clears the call.
func (t *try) answered() {
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	t.d.blamer.Answered(t.d.clock.Now(), t.print)
}

// Charges returns the upstreams that broke off under calls here.
func (d *Dispatcher) Charges() []blamer.Charge {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.blamer.Charges(d.clock.Now())
}

// Charged takes in the charges of another entry. It returns the requests that are
// found to crash upstreams, with the time until which they are refused.
func (d *Dispatcher) Charged(entry string, charges []blamer.Charge) map[blamer.Fingerprint]sequoiasill.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	found := d.blamer.Heard(now, entry, charges)
	if len(found) == 0 {
		return nil
	}
	out := make(map[blamer.Fingerprint]sequoiasill.Millis, len(found))
	for _, f := range found {
		out[f], _ = d.blamer.Refused(now, f)
		d.log.Warn("request crashes upstreams", "fingerprint", uint64(f), "refused", out[f]-now, "source", "charges of all entries")
	}
	return out
}

// Refuse refuses a request that another entry found to crash upstreams.
func (d *Dispatcher) Refuse(f blamer.Fingerprint, until sequoiasill.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.blamer.Refuse(now, f, until)
	d.log.Info("request crashes upstreams", "fingerprint", uint64(f), "refused", until-now, "source", "gossip")
}
