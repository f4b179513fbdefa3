// Package retrier decides whether a failed attempt is retried. Retries draw on retry
// budgets of the organisation and of the pool, to which first attempts add, so that a
// failing pool does not multiply its load. An accepted request waits for the budgets
// rather than failing, as long as its deadline allows. An attempt that was sent to no
// upstream added no load, so its retry is only subject to backoff.
//
// A Retrier is a state machine without I/O.
package retrier

import (
	"math/rand/v2"

	"sequoiasill.dev/sequoiasill"
)

// Options configure a Retrier.
type Options struct {
	Ratio        float64            // retries that each first attempt adds to a budget
	Burst        float64            // maximum retries that a budget holds
	RefillPerSec float64            // retries that are added to a budget per second
	MinBackoff   sequoiasill.Millis // doubled at each further retry
	MaxBackoff   sequoiasill.Millis
	MaxAttempts  int
}

// DefaultOptions returns the options that the router uses.
func DefaultOptions() Options {
	return Options{
		Ratio:        0.1,
		Burst:        20,
		RefillPerSec: 1,
		MinBackoff:   20 * sequoiasill.Millis(1),
		MaxBackoff:   2 * sequoiasill.Second,
		MaxAttempts:  10,
	}
}

// Event is an input of the retrier.
type Event interface{ event() }

// FirstAttempt reports a first attempt.
type FirstAttempt struct {
	Organisation string
	Pool         string
}

// AttemptFailed reports a failed attempt.
type AttemptFailed struct {
	Organisation string
	Pool         string
	Attempt      int // from 1
	Verdict      sequoiasill.Verdict
	Idempotent   bool
	Draining     bool // the upstream had announced its shutdown
	Crashed      bool // the upstream crashed during the attempt, which is no sign of overload
	Unsent       bool // no upstream was available, or no connection could be made
	Deadline     sequoiasill.Millis
}

func (FirstAttempt) event()  {}
func (AttemptFailed) event() {}

// Action is an output of the retrier.
type Action interface{ action() }

// Retry starts another attempt after the delay.
type Retry struct{ After sequoiasill.Millis }

// Stop ends the request.
type Stop struct{ Reason Reason }

func (Retry) action() {}
func (Stop) action()  {}

// Reason is the reason for not retrying.
type Reason string

// The reasons.
const (
	MayNotRepeat   Reason = "a request that is not idempotent may have run"
	TooLate        Reason = "the deadline leaves no time for another attempt"
	TooMany        Reason = "the attempts are used up"
	InvalidRequest Reason = "the upstream found the request wrong"
)

// Retrier holds the retry budgets. It is not safe for concurrent use.
type Retrier struct {
	opts    Options
	rand    *rand.Rand
	budgets map[string]*budget
}

type budget struct {
	tokens    float64
	updatedAt sequoiasill.Millis
}

// New returns a Retrier with full budgets and a seeded random source.
func New(opts Options, seed uint64) *Retrier {
	return &Retrier{opts: opts, rand: rand.New(rand.NewPCG(seed, 0)), budgets: make(map[string]*budget)}
}

// Step processes one event. Only AttemptFailed returns an action.
func (r *Retrier) Step(now sequoiasill.Millis, ev Event) Action {
	switch ev := ev.(type) {
	case FirstAttempt:
		r.deposit(now, orgKey(ev.Organisation))
		r.deposit(now, poolKey(ev.Pool))
	case AttemptFailed:
		return r.attemptFailed(now, ev)
	}
	return nil
}

func orgKey(name string) string  { return "organisation/" + name }
func poolKey(name string) string { return "pool/" + name }

// uncountedCrashes is the number of attempts of a request that may end in crashes of
// upstreams before its retries draw on the budgets.
const uncountedCrashes = 3

func (r *Retrier) attemptFailed(now sequoiasill.Millis, ev AttemptFailed) Action {
	if !ev.Idempotent && ev.Verdict != sequoiasill.NotRun {
		return Stop{Reason: MayNotRepeat}
	}
	if ev.Draining || ev.Crashed && ev.Attempt <= uncountedCrashes {
		return r.retryAfter(now, 0, ev)
	}
	if ev.Attempt >= r.opts.MaxAttempts && ev.Verdict != sequoiasill.NotRun {
		return Stop{Reason: TooMany}
	}
	if ev.Unsent {
		return r.retryAfter(now, r.backoff(ev.Attempt), ev)
	}
	delay := max(r.backoff(ev.Attempt), r.withdraw(now, orgKey(ev.Organisation)), r.withdraw(now, poolKey(ev.Pool)))
	return r.retryAfter(now, delay, ev)
}

func (r *Retrier) retryAfter(now, delay sequoiasill.Millis, ev AttemptFailed) Action {
	if now+delay >= ev.Deadline {
		return Stop{Reason: TooLate}
	}
	return Retry{After: delay}
}

// backoff returns an exponential delay with full jitter.
func (r *Retrier) backoff(attempt int) sequoiasill.Millis {
	if attempt <= 1 {
		return 0
	}
	ceiling := min(r.opts.MinBackoff<<min(attempt-2, 20), r.opts.MaxBackoff)
	return sequoiasill.Millis(r.rand.Int64N(int64(ceiling) + 1))
}

func (r *Retrier) refilledBudget(now sequoiasill.Millis, key string) *budget {
	b, ok := r.budgets[key]
	if !ok {
		b = &budget{tokens: r.opts.Burst, updatedAt: now}
		r.budgets[key] = b
	}
	b.tokens = min(b.tokens+float64(now-b.updatedAt)/float64(sequoiasill.Second)*r.opts.RefillPerSec, r.opts.Burst)
	b.updatedAt = now
	return b
}

func (r *Retrier) deposit(now sequoiasill.Millis, key string) {
	b := r.refilledBudget(now, key)
	b.tokens = min(b.tokens+r.opts.Ratio, r.opts.Burst)
}

// withdraw takes one retry from the budget and returns the wait until the budget covers
// it. A budget may thus be overdrawn.
func (r *Retrier) withdraw(now sequoiasill.Millis, key string) sequoiasill.Millis {
	b := r.refilledBudget(now, key)
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return sequoiasill.Millis(-b.tokens / r.opts.RefillPerSec * float64(sequoiasill.Second))
}
