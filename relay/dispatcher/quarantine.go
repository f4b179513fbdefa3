package dispatcher

import (
	"context"
	"net/http"
	"strconv"
	"syscall"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/blamer"
	"sequoiasill.dev/sequoiasill/decide/classifier"
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
	return crashesUpstreams(until - now)
}

func crashesUpstreams(retryAfter sequoiasill.Millis) *sequoiasill.Failure {
	return sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeQuarantined, http.StatusServiceUnavailable,
		"upstreams crashed under this request").WithRetryAfter(retryAfter)
}

// screen returns a Failure if the request or a part of its prompt is quarantined because it crashes upstreams.
func (d *Dispatcher) screen(j *job) *sequoiasill.Failure {
	if len(j.parts) > 0 && !j.testsPart {
		decision, retryAfter := d.screener.Screen(j.parts)
		if decision.Refused {
			return sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeQuarantined, http.StatusServiceUnavailable,
				"upstreams crashed under prompts with %s", decision.Signature).WithRetryAfter(retryAfter)
		}
		if j.testsPart = decision.Signature != nil; j.testsPart {
			d.log.Info("testing quarantined parts", "request", j.call.ID, "parts", decision.Signature.String())
		}
	}
	if j.testsRequest {
		return nil
	}
	decision, retryAfter := d.requests.Screen(j.requestPart())
	if decision.Refused {
		return crashesUpstreams(retryAfter)
	}
	if j.testsRequest = decision.Signature != nil; j.testsRequest {
		d.log.Info("testing quarantined request", "request", j.call.ID, "fingerprint", uint64(j.fingerprint))
	}
	return nil
}

// requestPart returns the part that stands for the whole request.
func (j *job) requestPart() []partblamer.Part { return partblamer.RequestPart(uint64(j.fingerprint)) }

// incarnation identifies the process of the upstream.
func (t *try) incarnation() uint64 {
	return xxhash.Sum64String(t.choice.Replica.Name) ^ uint64(t.choice.Replica.StartedAt)
}

// suspectCrash charges the call with the crash of its upstream, at once if the upstream closed the connection
// without a response. An upstream that had begun to respond may have ended only that response.
func (t *try) suspectCrash(e classifier.End, confirm bool) {
	at := t.d.clock.Now()
	begun := e.Kind == classifier.Truncated
	if !confirm {
		t.attribute(at, e.ClosedByUpstream, func() { t.recordCrash(begun) })
	}
	t.whenEnded(func(refusesConnections bool) {
		t.attribute(at, refusesConnections, func() {
			if confirm {
				t.recordCrash(begun)
			}
			t.d.requests.RecordCrash(partblamer.Crash{Request: uint64(t.fingerprint), Upstream: t.incarnation(), At: at, Parts: t.requestPart()})
		})
	})
}

// attribute calls record at once if the upstream was reached, and otherwise once the failure at a time is known
// not to be due to the paths of this entry.
func (t *try) attribute(at sequoiasill.Millis, reached bool, record func()) {
	if reached {
		record()
		return
	}
	t.d.whenReached(t.service, "crash", func() {
		if t.d.brokeTogether(t.service, at) {
			t.d.log.Info("failure attributed to the paths of this entry", "service", t.service, "what", "connections that broke together")
			return
		}
		record()
	})
}

// whenEnded calls record once the upstream is known to have ended, with whether its host refuses connections. It
// never does if the upstream lives on or has announced its end.
func (t *try) whenEnded(record func(refusesConnections bool)) {
	t.d.doubtCount.Add(1)
	replica := t.choice.Replica
	go func() {
		defer t.d.doubtCount.Add(-1)
		// The calls that end with an upstream share one check.
		_, err, _ := t.d.endChecks.Do(strconv.FormatUint(t.incarnation(), 16), func() (any, error) {
			return nil, t.d.transport.Outlived(context.Background(), replica)
		})
		if err == nil {
			return
		}
		t.d.mu.Lock()
		leaving := t.d.registrar.IsLeaving(replica)
		t.d.mu.Unlock()
		if leaving {
			t.d.log.Info("upstream ended as announced", "request", t.call.ID, "upstream", replica.Name)
			return
		}
		record(errors.Is(err, syscall.ECONNREFUSED))
	}()
}

// recordCrash charges the call with the crash of its upstream. Unless the response had begun, it also charges
// the parts of the prompt, and quarantines the request if there were too many crashes and no other request shares
// them.
func (t *try) recordCrash(begun bool) {
	r, incarnation := t.choice.Replica, t.incarnation()
	t.d.meter.CrashCharged()
	t.d.log.Info("crash charged", "request", t.call.ID, "upstream", r.Name, "startedAt", r.StartedAt, "fingerprint", uint64(t.fingerprint),
		"parts", t.call.Prompt.SharedPartIDs(), "begun", begun)
	t.d.mu.Lock()
	now := t.d.clock.Now()
	if begun {
		t.d.blamer.RecordTruncated(now, t.fingerprint, incarnation)
		t.d.mu.Unlock()
		return
	}
	quarantined := t.d.blamer.RecordCrash(now, t.fingerprint, incarnation)
	until, _ := t.d.blamer.Refused(now, t.fingerprint)
	t.d.mu.Unlock()
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
