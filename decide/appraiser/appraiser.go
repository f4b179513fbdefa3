// Package appraiser classifies the result of sending a call to an upstream. It derives
// the outcome for the health of the upstream, the effect on the retry budget, whether the
// call is charged with a crash, and whether it may be retried on another upstream.
//
// Appraise is a pure function. One place decides all four, as upstreams may be full,
// failing, draining, crashing or hanging at the same time, and a wrong classification in
// one of them would distort the others.
package appraiser

import (
	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/rationer"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// Kind classifies the end of a send.
type Kind int

// The kinds of ends.
const (
	NotSent   Kind = iota // no byte was written
	Withheld              // not sent, as the upstream may no longer receive the call
	Unclear               // no response, and it is unknown what was received
	Closed                // no response; the upstream closed the connection
	GivenUp               // this entry stopped waiting for the response
	Refused               // the upstream reported that it did not run the call
	BrokenOff             // the response was truncated
	Unbegun               // a stream ended before its first event
	Foreign               // a response of another server or of an unexpected type
	Failed                // a complete response that reports a failure
	Answered              // a complete successful response
)

// End describes the end of a send.
type End struct {
	Kind       Kind
	CallerLeft bool               // the caller disconnected
	Ended      bool               // ended by this entry: the caller left or the deadline passed
	Pause      sequoiasill.Millis // requested by the upstream with status 503, 0 for none
}

// Onward is the policy for a retry on another upstream.
type Onward int

// The retry policies.
const (
	Nowhere   Onward = iota // no retry
	Repeats                 // retry only calls that may run more than once
	Elsewhere               // retry any call, as this one did not run
)

// Appraisal is the classification of the end of a send.
type Appraisal struct {
	Outcome registrar.Outcome
	Send    rationer.End
	Onward  Onward
	// Charge reports that the call may have crashed the upstream.
	Charge bool
}

// Appraise classifies the end of a send.
func Appraise(e End) Appraisal {
	a := Appraisal{Outcome: e.registrarOutcome(), Send: e.sendEnd(), Onward: e.retry()}
	a.Charge = (e.Kind == Closed || e.Kind == Unclear || e.Kind == Unbegun) && !e.Ended
	return a
}

func (e End) registrarOutcome() registrar.Outcome {
	switch {
	case e.CallerLeft || e.Kind == Withheld:
		return registrar.Abandoned
	case e.Pause > 0:
		// An upstream that requests a pause is healthy; it is enough to observe the pause.
		return registrar.Resting
	case e.Kind == NotSent:
		return registrar.Unreachable
	case e.Kind == Refused:
		return registrar.Refused
	case e.Kind == Answered:
		return registrar.Good
	}
	return registrar.Failed
}

// sendEnd returns the end of the send for the retry budget, which depends on whether the
// call may still reach the upstream.
func (e End) sendEnd() rationer.End {
	switch e.Kind {
	case NotSent, Withheld, Closed:
		return rationer.Closed
	case Unclear, GivenUp:
		return rationer.Abandoned
	}
	return rationer.Answered
}

func (e End) retry() Onward {
	switch {
	case e.Kind == NotSent, e.Kind == Withheld, e.Kind == Refused:
		return Elsewhere
	case e.CallerLeft || e.Kind == Answered:
		return Nowhere
	}
	return Repeats
}
