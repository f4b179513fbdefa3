// Package retrier decides whether a failed attempt is repeated. Retries draw on
// budgets of the organisation and of the pool, which first attempts fill, so
// that a failing pool does not multiply its load. A request that was accepted waits
// for the budget rather than failing, as long as its deadline allows. An attempt that
// reached no upstream loaded none, so it only waits a little longer each time.
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
	Burst        float64            // most retries that a budget holds
	RefillPerSec float64            // retries that time adds to a budget
	FirstDelay   sequoiasill.Millis // doubled at each further retry
	LongestDelay sequoiasill.Millis
	MaxAttempts  int
}

// DefaultOptions returns the options that the router uses.
func DefaultOptions() Options {
	return Options{
		Ratio:        0.1,
		Burst:        20,
		RefillPerSec: 1,
		FirstDelay:   20 * sequoiasill.Millis(1),
		LongestDelay: 2 * sequoiasill.Second,
		MaxAttempts:  10,
	}
}

// Event is an input of the retrier.
type Event interface{ event() }

// Began tells of a first attempt.
type Began struct {
	Organisation string
	Pool         string
}

// Lost tells of a failed attempt.
type Lost struct {
	Organisation string
	Pool         string
	Attempt      int // from 1
	Verdict      sequoiasill.Verdict
	Idempotent   bool
	Planned      bool // the upstream had announced that it leaves
	Died         bool // the upstream died under the attempt, which is no sign of overload
	Unsent       bool // there was no upstream to send it to, or no connection to one
	Deadline     sequoiasill.Millis
}

func (Began) event() {}
func (Lost) event()  {}

// Action is an output of the retrier.
type Action interface{ action() }

// Retry starts another attempt after the delay.
type Retry struct{ After sequoiasill.Millis }

// Stop ends the request for the reason.
type Stop struct{ Reason Reason }

func (Retry) action() {}
func (Stop) action()  {}

// Reason says why there is no further attempt.
type Reason string

// The reasons.
const (
	MayNotRepeat Reason = "a request that is not idempotent may have run"
	TooLate      Reason = "the deadline leaves no time for another attempt"
	TooMany      Reason = "the attempts are used up"
	CallersFault Reason = "the upstream found the request wrong"
)

// Retrier holds the budgets. It is not safe for concurrent use.
type Retrier struct {
	opts    Options
	rand    *rand.Rand
	budgets map[string]*budget
}

type budget struct {
	left    float64
	updated sequoiasill.Millis
}

// New returns a Retrier with full budgets and a seeded random source.
func New(opts Options, seed uint64) *Retrier {
	return &Retrier{opts: opts, rand: rand.New(rand.NewPCG(seed, 0)), budgets: make(map[string]*budget)}
}

// Step feeds one event. Only Lost has an action.
func (r *Retrier) Step(now sequoiasill.Millis, ev Event) Action {
	switch ev := ev.(type) {
	case Began:
		r.fill(now, orgKey(ev.Organisation))
		r.fill(now, poolKey(ev.Pool))
	case Lost:
		return r.lost(now, ev)
	}
	return nil
}

func orgKey(name string) string  { return "organisation/" + name }
func poolKey(name string) string { return "pool/" + name }

// freeDeaths is how many upstreams may die under a request before its retries
// draw on the budgets.
const freeDeaths = 3

func (r *Retrier) lost(now sequoiasill.Millis, ev Lost) Action {
	if !ev.Idempotent && ev.Verdict != sequoiasill.NotRun {
		return Stop{Reason: MayNotRepeat}
	}
	if ev.Planned || ev.Died && ev.Attempt <= freeDeaths {
		return r.retry(now, 0, ev)
	}
	if ev.Attempt >= r.opts.MaxAttempts && ev.Verdict != sequoiasill.NotRun {
		return Stop{Reason: TooMany}
	}
	if ev.Unsent {
		return r.retry(now, r.backoff(ev.Attempt), ev)
	}
	delay := max(r.backoff(ev.Attempt), r.spend(now, orgKey(ev.Organisation)), r.spend(now, poolKey(ev.Pool)))
	return r.retry(now, delay, ev)
}

func (r *Retrier) retry(now, delay sequoiasill.Millis, ev Lost) Action {
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
	ceiling := min(r.opts.FirstDelay<<min(attempt-2, 20), r.opts.LongestDelay)
	return sequoiasill.Millis(r.rand.Int64N(int64(ceiling) + 1))
}

func (r *Retrier) budget(now sequoiasill.Millis, key string) *budget {
	b, ok := r.budgets[key]
	if !ok {
		b = &budget{left: r.opts.Burst, updated: now}
		r.budgets[key] = b
	}
	b.left = min(b.left+float64(now-b.updated)/float64(sequoiasill.Second)*r.opts.RefillPerSec, r.opts.Burst)
	b.updated = now
	return b
}

func (r *Retrier) fill(now sequoiasill.Millis, key string) {
	b := r.budget(now, key)
	b.left = min(b.left+r.opts.Ratio, r.opts.Burst)
}

// spend takes one retry from the budget and returns how long to wait until the
// budget has it. A budget may so be spent ahead of time.
func (r *Retrier) spend(now sequoiasill.Millis, key string) sequoiasill.Millis {
	b := r.budget(now, key)
	b.left--
	if b.left >= 0 {
		return 0
	}
	return sequoiasill.Millis(-b.left / r.opts.RefillPerSec * float64(sequoiasill.Second))
}
