package dispatcher

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/blamer"
	"sequoiasill.dev/sequoiasill/decide/partblamer"
)

// fingerprint identifies a call by its organisation, method, host, target and body. The
// request ID is not included, as it differs when a caller sends the call again.
func fingerprint(call *sequoiasill.Call, account *sequoiasill.Account) blamer.Fingerprint {
	h := xxhash.New()
	name := ""
	if account != nil {
		name = account.Name
	}
	// Writes to a Digest never fail.
	for _, s := range []string{name, call.Method, call.Host, call.Target} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(call.Body)
	return blamer.Fingerprint(h.Sum64())
}

// checkQuarantine returns a Failure if the call is quarantined because it crashes upstreams.
func (d *Dispatcher) checkQuarantine(j *job) *sequoiasill.Failure {
	d.mu.Lock()
	now := d.clock.Now()
	until, refused := d.blamer.Refused(now, j.fingerprint)
	d.mu.Unlock()
	if !refused {
		return nil
	}
	return sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeQuarantined, http.StatusServiceUnavailable,
		"upstreams crashed under this request").WithRetryAfter(until - now)
}

// screen returns a Failure if a part of the call's prompt is quarantined because it crashes
// upstreams.
func (d *Dispatcher) screen(j *job) *sequoiasill.Failure {
	if len(j.parts) == 0 || j.testsPart {
		return nil
	}
	decision, retryAfter := d.screener.Screen(j.parts)
	if decision.Refused {
		return sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeQuarantined, http.StatusServiceUnavailable,
			"upstreams crashed under prompts with %s", decision.Signature).WithRetryAfter(retryAfter)
	}
	if j.testsPart = decision.Signature != nil; j.testsPart {
		d.log.Info("testing quarantined parts", "request", j.call.ID, "parts", decision.Signature.String())
	}
	return nil
}

// recordCrash records that the upstream may have crashed under the call: it closed the
// connection, or stopped acknowledging data, before its response or the first event of its
// stream. It quarantines the request if there were too many such cases.
func (t *try) recordCrash() {
	r := t.choice.Replica
	incarnation := xxhash.Sum64String(r.Name) ^ uint64(r.StartedAt)
	t.d.mu.Lock()
	now := t.d.clock.Now()
	quarantined := t.d.blamer.RecordCrash(now, t.fingerprint, incarnation)
	until, _ := t.d.blamer.Refused(now, t.fingerprint)
	t.d.mu.Unlock()
	t.d.meter.CrashCharged()
	t.d.log.Info("crash charged", "request", t.call.ID, "upstream", r.Name, "startedAt", r.StartedAt, "fingerprint", uint64(t.fingerprint),
		"parts", t.call.Prompt.SharedPartIDs())
	t.d.screener.RecordCrash(partblamer.Crash{Request: uint64(t.fingerprint), Upstream: incarnation, Parts: t.parts})
	if !quarantined {
		return
	}
	t.d.log.Warn("request crashes upstreams", "request", t.call.ID, "upstream", r.Name, "fingerprint", uint64(t.fingerprint),
		"refused", until-now, "source", "own")
	t.d.peers.AnnounceQuarantine(t.fingerprint, until)
}

// clearSuspicion records that an upstream responded to the call without crashing.
func (t *try) clearSuspicion() {
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	t.d.blamer.RecordResponse(t.d.clock.Now(), t.fingerprint)
}

// Charges returns the suspected crashes of upstreams under calls of this entry.
func (d *Dispatcher) Charges() []blamer.Charge {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.blamer.Charges(d.clock.Now())
}

// MergeCharges merges the suspected crashes that a process of another entry reports. It returns the requests
// that are quarantined as a result, with the time until which they are refused.
func (d *Dispatcher) MergeCharges(process string, charges []blamer.Charge) map[blamer.Fingerprint]sequoiasill.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	quarantined := d.blamer.SetCharges(now, process, charges)
	if len(quarantined) == 0 {
		return nil
	}
	out := make(map[blamer.Fingerprint]sequoiasill.Millis, len(quarantined))
	for _, f := range quarantined {
		out[f], _ = d.blamer.Refused(now, f)
		d.log.Warn("request crashes upstreams", "fingerprint", uint64(f), "refused", out[f]-now, "source", "charges of all entries")
	}
	return out
}

// Quarantine quarantines a request that another entry identified as crashing upstreams.
func (d *Dispatcher) Quarantine(f blamer.Fingerprint, until sequoiasill.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.blamer.Refuse(now, f, until)
	d.log.Info("request crashes upstreams", "fingerprint", uint64(f), "refused", until-now, "source", "gossip")
}
