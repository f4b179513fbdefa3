// Package budgeter shares one retrier, and so its retry budgets, between the parts of an
// entry that send requests.
package budgeter

import (
	"sync"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/retrier"
)

// Budgeter adds a lock and a clock to a retrier. It is safe for concurrent use.
type Budgeter struct {
	clock sequoiasill.Clock

	mu      sync.Mutex
	retrier *retrier.Retrier
}

// New returns a Budgeter around r.
func New(clock sequoiasill.Clock, r *retrier.Retrier) *Budgeter {
	return &Budgeter{clock: clock, retrier: r}
}

// Step passes an event to the retrier at the current time.
func (b *Budgeter) Step(ev retrier.Event) retrier.Action {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retrier.Step(b.clock.Now(), ev)
}
