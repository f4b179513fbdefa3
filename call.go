package sequoiasill

import (
	"net/http"
	"strconv"
	"strings"
)

// Call is an HTTP request as received from a caller. The body and most header
// fields are passed through unparsed.
type Call struct {
	ID        string
	Method    string
	Target    string // raw path and query
	Host      string
	Key       string // bearer token
	Header    http.Header
	Body      []byte
	ArrivedAt Millis
	Deadline  Millis // time at which the caller's timeout expires; 0 for no timeout
	Prompt    Prompt
	LastEvent string // ID of the last event received, if the caller resumes a stream
}

// Path returns the target without its query.
func (c *Call) Path() string {
	for i := range len(c.Target) {
		if c.Target[i] == '?' {
			return c.Target[:i]
		}
	}
	return c.Target
}

// Prompt holds the size of a generation and the cacheable parts of its prompt.
type Prompt struct {
	HasSizes   bool // the caller declared the sizes
	Model      string
	Tokens     int
	MaxOutput  int
	OutputHint int // the caller's estimate of the output in tokens; 0 for none
	Parts      []PromptPart
}

// PromptPart is a segment of a prompt that engines may cache.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// ExpectedOutput returns the expected number of output tokens.
func (p Prompt) ExpectedOutput() int {
	if p.OutputHint > 0 {
		return min(p.OutputHint, max(p.MaxOutput, p.OutputHint))
	}
	return p.MaxOutput
}

// SharedParts returns the parts that other prompts may have in common with this one:
// all but the last, which is specific to the call or its session.
func (p Prompt) SharedParts() []PromptPart {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// SharedPartIDs returns the IDs of the shared parts in hexadecimal, separated by commas.
func (p Prompt) SharedPartIDs() string {
	var ids []string
	for _, part := range p.SharedParts() {
		ids = append(ids, strconv.FormatUint(part.ID, 16))
	}
	return strings.Join(ids, ",")
}
