package soaker

import (
	"fmt"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/auditor"
	"sequoiasill.dev/sequoiasill/decide/rationer"
)

// Tolerances of the checks of retries.
const (
	// maxOverruns is the number of calls that may be executed by more upstreams than their
	// route allows.
	maxOverruns = 3
	// timeoutSlack is by how much the timeout of a send may exceed what remains of the call's
	// timeout. A retry that arrives later than this after the first send is a late send.
	timeoutSlack = 500 * sequoiasill.Millis(1)
	// More than maxLongTimeouts sends with too long a timeout are a violation if they are also
	// more than maxLongTimeoutFraction of the sum of these and the late sends.
	maxLongTimeouts        = 20
	maxLongTimeoutFraction = 0.2
	// noTimeout stands for a send without a timeout.
	noTimeout = sequoiasill.Millis(-1)
)

// retryChecker checks how often and with which timeouts calls arrive at upstreams. All times
// must come from one clock. It is not safe for concurrent use.
type retryChecker struct {
	limits       rationer.Limits
	auditor      *auditor.Auditor
	calls        map[string]*trackedCall
	lateSends    int // sends that arrived more than timeoutSlack after the first send of their call
	longTimeouts int // sends with too long a timeout
	overruns     int // calls that were executed by too many upstreams
}

// trackedCall is the state of one call.
type trackedCall struct {
	maxUpstreams int // upstreams that may execute it
	timeout      sequoiasill.Millis
	executedBy   map[string]bool // upstreams
	arrived      bool
	firstArrival sequoiasill.Millis // time of its first arrival at an upstream
	deadline     sequoiasill.Millis // firstArrival plus the timeout received then
}

func newRetryChecker(limits rationer.Limits) *retryChecker {
	return &retryChecker{limits: limits, auditor: auditor.New(), calls: make(map[string]*trackedCall)}
}

// recordSend records that a caller sends a call to a service.
func (r *retryChecker) recordSend(at sequoiasill.Millis, id, service string, maxUpstreams int, timeout sequoiasill.Millis) {
	r.calls[id] = &trackedCall{maxUpstreams: maxUpstreams, timeout: timeout, executedBy: make(map[string]bool)}
	r.auditor.RecordRequest(at, service)
}

// recordArrival records that a call arrives at an upstream of a service, which executes or
// rejects it, with the timeout that the entry sent. The timeout is not checked if the network
// may have delayed the call.
func (r *retryChecker) recordArrival(at sequoiasill.Millis, id, service string, timeout sequoiasill.Millis, heldUp bool) {
	r.auditor.RecordArrival(at, service, id)
	call := r.calls[id]
	if call == nil {
		return
	}
	if !heldUp {
		r.checkTimeout(at, call, timeout)
	}
	if !call.arrived {
		call.arrived, call.firstArrival, call.deadline = true, at, at+timeout
	}
}

// checkTimeout counts late sends and those with too long a timeout.
func (r *retryChecker) checkTimeout(at sequoiasill.Millis, call *trackedCall, timeout sequoiasill.Millis) {
	late := call.arrived && at-call.firstArrival > timeoutSlack
	if late {
		r.lateSends++
	}
	if timeout == noTimeout || timeout > call.timeout+timeoutSlack || late && at+timeout > max(call.deadline, call.firstArrival+call.timeout)+timeoutSlack {
		r.longTimeouts++
	}
}

// recordExecution records that an upstream starts to execute a call.
func (r *retryChecker) recordExecution(id, upstream string) {
	call := r.calls[id]
	if call == nil || call.executedBy[upstream] {
		return
	}
	call.executedBy[upstream] = true
	if len(call.executedBy) == call.maxUpstreams+1 {
		r.overruns++
	}
}

// violations returns the violations found.
func (r *retryChecker) violations() []string {
	var out []string
	for _, window := range r.auditor.WorstWindows(r.limits) {
		if window.Used() > 1 {
			out = append(out, fmt.Sprintf("%d repeats came to %s within %s from %s on, %.1f are allowed for %d requests",
				window.Repeats, window.Service, r.limits.Window, window.Begin.Time().Format("15:04:05.000"), window.Allowed, window.Requests))
		}
	}
	if r.overruns > maxOverruns {
		out = append(out, fmt.Sprintf("%d calls ran at more upstreams than their routes allow", r.overruns))
	}
	if r.longTimeouts > maxLongTimeouts && float64(r.longTimeouts) > maxLongTimeoutFraction*float64(r.longTimeouts+r.lateSends) {
		out = append(out, fmt.Sprintf("%d sends had a longer time limit than was left, of %d late ones", r.longTimeouts, r.lateSends))
	}
	return out
}
