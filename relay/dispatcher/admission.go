package dispatcher

import (
	"net/http"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/admitter"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// setAdmissionTraffic gives the admission the routes of the traffic rules in force.
func (d *Dispatcher) setAdmissionTraffic() {
	d.mu.Lock()
	t := d.traffic.Load()
	d.admitter.SetTraffic(t)
	d.mu.Unlock()
	for _, s := range t.Services {
		d.meter.AdmissionPressure(s.Name, func() float64 { return d.pressure(s.Name) })
	}
}

// pressure returns the waiting calls per slot of a service.
func (d *Dispatcher) pressure(service string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.admitter.Pressure(d.clock.Now(), service)
}

// charge charges the organisation's quota, decides whether the upstreams' load admits the call, and
// counts the call towards the retry budget of its service. A refused call is neither charged nor
// counted. For a relayed call, the entry that relayed it does all three.
func (d *Dispatcher) charge(j *job) *sequoiasill.Failure {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if j.relayed {
		j.retryBudget = d.rationer.RelayedCall(now, j.service)
		return nil
	}
	d.admitter.RecordArrival(now, j.service, j.route.Priority)
	if wait, ok := d.takeQuota(now, j); !ok {
		return sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeOverloaded, http.StatusTooManyRequests,
			"allowance of %s is spent", j.account.Name).WithRetryAfter(wait)
	}
	if failure := d.checkPressure(now, j); failure != nil {
		if j.account != nil {
			d.allotter.Cancel(now, j.account, j.account.Cost(j.call.Prompt))
		}
		return failure
	}
	j.retryBudget = d.rationer.Call(now, j.service)
	return nil
}

// checkPressure refuses a call whose upstreams are saturated if its refusal costs callers least. A
// stream that its caller resumes was admitted before. The caller holds the lock.
func (d *Dispatcher) checkPressure(now sequoiasill.Millis, j *job) *sequoiasill.Failure {
	if j.route.Kind == sequoiasill.Streaming && j.call.LastEvent != "" {
		return nil
	}
	a := d.admitter.Decide(now, j.admissionRequest(j.deadline-now))
	if !a.Refused {
		return nil
	}
	d.meter.AdmissionRefused(j.service, a.Rank)
	// Upstreams are ordered for the calls that arrive, not for those that the present ones can serve.
	d.addEngineLoad(now, j, j.call.Prompt.Tokens)
	unit := "ms of wait"
	if a.Engine {
		unit = "calls per slot"
	}
	return sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeOverloaded, http.StatusServiceUnavailable,
		"upstreams of %s are saturated: rank %d of %d, %.2f calls per slot wait, %.2f of the slots are taken, expected wait %d ms, band %.2f to %.2f %s, probability %.2f, %d samples, newest %d ms old",
		j.service, a.Rank, a.Ranks, a.Waiting, a.Taken, int64(a.Wait), a.Band.Low, a.Band.High, unit, a.Probability, a.Samples, int64(a.Age)).WithRetryAfter(a.RetryAfter)
}

// admissionRequest describes the call to the admission. remaining is the time until its caller stops waiting.
func (j *job) admissionRequest(remaining sequoiasill.Millis) admitter.Request {
	return admitter.Request{
		Service: j.service, Priority: j.route.Priority, TargetLatency: j.route.TargetLatency, Timeout: j.route.Timeout, Remaining: remaining,
	}
}

// recordPressure records the load in a response for the admission. A rejection counts as a full
// queue unless the upstream rejects for another reason, which the response states.
func (t *try) recordPressure(a *Response) {
	t.load, t.hasLoad = a.Load, a.HasLoad
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	now := t.d.clock.Now()
	switch {
	case a.Misdirected:
		// The response is that of another upstream.
	case a.Refused && !a.Draining && a.Pause == 0 && !a.Limit.Limited:
		t.d.admitter.RecordRejected(now, t.service, a.Load, a.HasLoad)
	case a.HasLoad:
		t.d.admitter.RecordLoad(now, t.service, a.Load)
	}
}

// recordHold records how long the call was at the upstream, for the admission.
func (t *try) recordHold(outcome registrar.Outcome, took sequoiasill.Millis) {
	if !t.hasLoad || outcome != registrar.Succeeded {
		return
	}
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	t.d.admitter.RecordEnd(t.d.clock.Now(), t.service, took, t.load)
}
