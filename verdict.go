package sequoiasill

import "fmt"

// Verdict states whether a request may have run on an upstream.
type Verdict int

// Verdicts. NotRun is final: the request must not be started afterwards.
const (
	MayHaveRun Verdict = iota
	NotRun
	Ran
)

var verdictNames = map[Verdict]string{
	MayHaveRun: "mayHaveRun",
	NotRun:     "notRun",
	Ran:        "ran",
}

// String returns the value used in headers and error bodies.
func (v Verdict) String() string { return verdictNames[v] }

// ParseVerdict parses the format of String. An unknown value yields MayHaveRun,
// the only verdict that makes no guarantee.
func ParseVerdict(s string) Verdict {
	for v, name := range verdictNames {
		if name == s {
			return v
		}
	}
	return MayHaveRun
}

// Code is a machine-readable error code.
type Code string

// Error codes returned to callers.
const (
	CodeMalformed        Code = "malformed"
	CodeUnauthorised     Code = "unauthorised"
	CodeNotGranted       Code = "notGranted"
	CodeNotFound         Code = "notFound"
	CodeTooLarge         Code = "tooLarge"
	CodeNoUpstream       Code = "noUpstream"
	CodeOverloaded       Code = "overloaded"
	CodeKeyRequired      Code = "keyRequired"
	CodeKeyReused        Code = "keyReused"
	CodeKeyInProgress    Code = "keyInProgress"
	CodeOutcomeUnknown   Code = "outcomeUnknown"
	CodeAnswerDropped    Code = "answerDropped"
	CodeStoreUnavailable Code = "storeUnavailable"
	CodeQuarantined      Code = "quarantined"
	CodeUpstreamFailed   Code = "upstreamFailed"
	CodeDeadline         Code = "deadline"
	CodeLeaving          Code = "leaving"
)

// Failure is an error that ended a request, with the verdict on that request.
type Failure struct {
	Verdict    Verdict
	Code       Code
	Status     int // HTTP status returned to the caller
	Message    string
	RetryAfter Millis // 0 if the caller should not retry
	Cause      error
}

// NewFailure returns a Failure without Retry-After.
func NewFailure(v Verdict, code Code, status int, format string, args ...any) *Failure {
	return &Failure{Verdict: v, Code: code, Status: status, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of f that asks the caller to retry after d.
func (f Failure) WithRetryAfter(d Millis) *Failure {
	f.RetryAfter = d
	return &f
}

// WithCause returns a copy of f that wraps err.
func (f Failure) WithCause(err error) *Failure {
	f.Cause = err
	return &f
}

// Error returns the message, the code, the verdict and the cause, if any.
func (f *Failure) Error() string {
	s := fmt.Sprintf("%s (%s, %s)", f.Message, f.Code, f.Verdict)
	if f.Cause != nil {
		s += ": " + f.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }
