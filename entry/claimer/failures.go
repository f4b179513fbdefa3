package claimer

import (
	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/journaler"
)

// stored returns the result for a repeated request from the outcome of the run.
func stored(o journaler.Outcome) (journaler.Outcome, *sequoiasill.Failure) {
	switch {
	case o.Verdict != sequoiasill.Ran:
		return o, outcomeUnknown()
	case o.BodyDropped:
		return o, sequoiasill.NewFailure(sequoiasill.Ran, sequoiasill.CodeAnswerDropped, 410,
			"the request ran; its answer is no longer kept")
	}
	return o, nil
}

func keyReused() *sequoiasill.Failure {
	return sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeKeyReused, 422,
		"the Idempotency-Key came with another request before")
}

func inProgress() *sequoiasill.Failure {
	return sequoiasill.NewFailure(sequoiasill.MayHaveRun, sequoiasill.CodeKeyInProgress, 409,
		"a request with this Idempotency-Key is in progress").WithRetryAfter(sequoiasill.Second)
}

func outcomeUnknown() *sequoiasill.Failure {
	return sequoiasill.NewFailure(sequoiasill.MayHaveRun, sequoiasill.CodeOutcomeUnknown, 409,
		"a request with this Idempotency-Key was sent and its outcome is unknown; it will not be sent again")
}

func unavailable() *sequoiasill.Failure {
	return sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeStoreUnavailable, 503,
		"the request could not be journalled in time; repeat it with the same Idempotency-Key").
		WithRetryAfter(2 * sequoiasill.Second)
}
