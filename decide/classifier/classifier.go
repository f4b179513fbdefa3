// Package classifier classifies the result of sending a call to an upstream. It derives
// the outcome for the health of the upstream, the effect on the retry budget, whether the
// call is charged with a crash, and whether it may be retried on another upstream.
//
// Classify is a pure function. One place decides all four, as upstreams may be full,
// failing, draining, crashing or hanging at the same time, and a wrong classification in
// one of them would distort the others.
package classifier

import (
	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/rationer"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// Kind classifies the end of a send.
type Kind int

// The kinds of ends.
const (
	NotSent            Kind = iota // no byte was written
	Withheld                       // not sent, as the upstream may no longer receive the call
	NoResponse                     // no response, and it is unknown what was received
	ConnectionClosed               // no response; the upstream closed the connection
	GivenUp                        // this entry stopped waiting for the response
	Refused                        // the upstream reported that it did not run the call
	Truncated                      // the response was truncated
	EmptyStream                    // a stream ended before its first event
	UnexpectedResponse             // a response of another server or of an unexpected type
	Failed                         // a complete response that reports a failure
	Succeeded                      // a complete successful response
)

// End describes the end of a send.
type End struct {
	Kind               Kind
	CallerDisconnected bool               // the caller disconnected
	EndedHere          bool               // ended by this entry: the caller disconnected, the deadline passed or the entry shuts down
	Shutdown           bool               // the entry shuts down
	ClosedByUpstream   bool               // the connection ended with the upstream's own close, not with a reset or a timeout
	Pause              sequoiasill.Millis // requested by the upstream with status 503, 0 for none
}

// RetryPolicy is the policy for a retry on another upstream.
type RetryPolicy int

// The retry policies.
const (
	NoRetry         RetryPolicy = iota // no retry
	RetryRepeatable                    // retry only calls that may run more than once
	RetryAny                           // retry any call, as this one did not run
)

// Classification is what follows from the end of a send.
type Classification struct {
	Outcome registrar.Outcome
	Send    rationer.SendResult
	Retry   RetryPolicy
	// ChargeCrash reports that the call may have crashed the upstream.
	ChargeCrash bool
	// ConfirmCrash reports that the upstream had begun to respond, so that it may have ended only this response:
	// the call is charged only once the upstream is known to have ended.
	ConfirmCrash bool
}

// Classify classifies the end of a send.
func Classify(e End) Classification {
	c := Classification{Outcome: e.registrarOutcome(), Send: e.sendResult(), Retry: e.retry()}
	c.ConfirmCrash = (e.Kind == Truncated || e.Kind == EmptyStream) && !e.EndedHere
	c.ChargeCrash = (e.Kind == ConnectionClosed || e.Kind == NoResponse) && !e.EndedHere || c.ConfirmCrash
	return c
}

func (e End) registrarOutcome() registrar.Outcome {
	switch {
	case e.CallerDisconnected || e.Shutdown || e.Kind == Withheld:
		return registrar.Abandoned
	case e.Pause > 0:
		// An upstream that requests a pause is healthy; it is enough to observe the pause.
		return registrar.PauseRequested
	case e.Kind == NotSent:
		return registrar.Unreachable
	case e.Kind == Refused:
		return registrar.Refused
	case e.Kind == Succeeded:
		return registrar.Succeeded
	}
	return registrar.Failed
}

// sendResult returns the result of the send for the retry budget, which depends on whether
// the call may still reach the upstream.
func (e End) sendResult() rationer.SendResult {
	switch e.Kind {
	case NotSent, Withheld:
		return rationer.NotSent
	case ConnectionClosed:
		return rationer.Closed
	case NoResponse, GivenUp:
		return rationer.Abandoned
	}
	return rationer.Answered
}

func (e End) retry() RetryPolicy {
	switch {
	case e.Kind == NotSent, e.Kind == Withheld, e.Kind == Refused:
		return RetryAny
	case e.CallerDisconnected || e.Shutdown || e.Kind == Succeeded:
		return NoRetry
	}
	return RetryRepeatable
}
