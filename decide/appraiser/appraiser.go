// Package appraiser decides what the end of a send means for all that keep count of
// it: the standing of the upstream, the ration of repeats, the charge of crashing
// upstreams, and whether the call may go elsewhere.
//
// Appraise is a pure function. It answers the load in which upstreams are full, fail,
// leave, crash or stand still at once, and a mistake in one count would feed the others.
package appraiser

import (
	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/rationer"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// Kind is how a send ended.
type Kind int

// The kinds.
const (
	NotSent   Kind = iota // no byte was written
	Withheld              // not sent, as the upstream may not have it any longer
	Unclear               // no answer, and nothing is known of what was sent
	Closed                // no answer; the upstream closed the connection
	GivenUp               // the answer is not awaited any longer
	Refused               // the upstream says that it did not run the call
	BrokenOff             // the answer began and did not come whole
	Unbegun               // a stream broke off before its first event
	Foreign               // an answer that is not the upstream's, or of another kind
	Failed                // a whole answer that tells of a failure
	Answered              // a good one
)

// End is what is known of the end of a send.
type End struct {
	Kind       Kind
	CallerLeft bool
	Ended      bool               // by this entry: the caller left, or the time was over
	Pause      sequoiasill.Millis // that the upstream asked for with 503, 0 for none
}

// Onward says whether the call may go to another upstream.
type Onward int

// The ways on.
const (
	Nowhere   Onward = iota
	Repeats          // where the call may run more than once
	Elsewhere        // in any case: it surely did not run
)

// Appraisal is what follows from the end of a send.
type Appraisal struct {
	Outcome registrar.Outcome
	Send    rationer.End
	Onward  Onward
	// Charge tells that the upstream may have crashed under the call.
	Charge bool
}

// Appraise returns what follows from the end of a send.
func Appraise(e End) Appraisal {
	a := Appraisal{Outcome: e.outcome(), Send: e.send(), Onward: e.onward()}
	a.Charge = (e.Kind == Closed || e.Kind == Unclear || e.Kind == Unbegun) && !e.Ended
	return a
}

func (e End) outcome() registrar.Outcome {
	switch {
	case e.CallerLeft || e.Kind == Withheld:
		return registrar.Abandoned
	case e.Pause > 0:
		// One that says when to come back is sound; to leave it alone is enough.
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

// send tells the ration whether what was sent may still come to the upstream.
func (e End) send() rationer.End {
	switch e.Kind {
	case NotSent, Withheld, Closed:
		return rationer.Closed
	case Unclear, GivenUp:
		return rationer.Abandoned
	}
	return rationer.Answered
}

func (e End) onward() Onward {
	switch {
	case e.Kind == NotSent, e.Kind == Withheld, e.Kind == Refused:
		return Elsewhere
	case e.CallerLeft || e.Kind == Answered:
		return Nowhere
	}
	return Repeats
}
