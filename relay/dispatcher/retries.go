package dispatcher

// returnRetry returns a retry that was taken from the budget but not sent.
func (d *Dispatcher) returnRetry(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rationer.ReturnUnsent(j.retryBudget)
}

// maxRefusals returns the number of refusals after which the call is not retried.
func (d *Dispatcher) maxRefusals(j *job) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.registrar.IsBrittle(d.clock.Now(), j.service) {
		return d.opts.MaxBrittleRefusals
	}
	return d.opts.MaxRefusals
}

// mayRetry reports whether the call may be retried, and takes a retry from the budget if it
// needs one.
func (d *Dispatcher) mayRetry(j *job) bool {
	if !d.hasAttemptsLeft(j) {
		return false
	}
	return j.arrivals == j.arrivalsElsewhere || d.takeRetry(j)
}

// hasAttemptsLeft reports whether the bounds on attempts and on refusals leave the call another attempt.
func (d *Dispatcher) hasAttemptsLeft(j *job) bool {
	return j.runs < j.route.MaxAttempts && j.refusals < d.maxRefusals(j)
}

// takeRetry reports whether the call has an unsent repeat, or takes one from the budget. Of successive denials,
// only the first is recorded.
func (d *Dispatcher) takeRetry(j *job) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if j.retryBudget.HasUnsentRepeat() {
		return true
	}
	now := d.clock.Now()
	before := d.rationer.State(now, j.retryBudget)
	allowed := d.rationer.TakeRepeat(now, j.retryBudget)
	if allowed || !j.retryDenied {
		d.recordRetry(j, j.arrivals, allowed, before)
	}
	j.retryDenied = !allowed
	return allowed
}
