package sequoiasill

// RequestID uniquely identifies a request within the system.
type RequestID string

// Class is the latency class of a request.
type Class int

// Latency classes. Quick requests are scheduled before long ones and have reserved
// capacity.
const (
	Quick Class = iota
	Long
)

// String returns the class name used in the callers' header.
func (c Class) String() string {
	if c == Quick {
		return "quick"
	}
	return "long"
}

// ParseClass parses a class name in the format of String.
func ParseClass(s string) (Class, bool) {
	switch s {
	case "quick":
		return Quick, true
	case "long":
		return Long, true
	}
	return Long, false
}

// Request is an admitted request, reduced to what scheduling and routing need.
type Request struct {
	ID           RequestID
	Organisation string
	Service      string
	Class        Class
	PromptTokens int
	OutputTokens int // estimate
	Deadline     Millis
	Digest       uint64 // hash of the body, keyed by organisation
	Prefix       uint64 // hash of the cacheable prefix of the prompt
}

// Cost returns the estimated total of prompt and output tokens.
func (r Request) Cost() int { return r.PromptTokens + r.OutputTokens }
