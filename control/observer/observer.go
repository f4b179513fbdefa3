// Package observer queries an entry for its evidence on moves.
package observer

import (
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill/config/reporter"
	"sequoiasill.dev/sequoiasill/platform/caller"
)

// Observer queries the operators' API of an entry.
type Observer struct {
	caller *caller.Caller
}

// New returns an observer that sends its requests through c.
func New(c *caller.Caller) *Observer { return &Observer{caller: c} }

// Observe returns the entry's reports on all declared moves.
func (o *Observer) Observe() ([]reporter.Report, error) {
	resp, err := o.caller.Do("GET", "/moves", nil, nil)
	if err != nil {
		return nil, errors.Annotate(err, "get reports on moves of entry")
	}
	return reporter.Decode(resp.Body)
}
