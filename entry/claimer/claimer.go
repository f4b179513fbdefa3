// Package claimer ensures that a request with an Idempotency-Key runs at most once. The
// entry that the caller is connected to journals an intent through the preferred entry
// of the key's bucket, runs the request, and journals its outcome. A request that
// repeats the key waits for the running one or gets the stored outcome.
package claimer

import (
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/journaler"
	"sequoiasill.dev/sequoiasill/entry/drainer"
)

// Journal journals intents and their conclusions, on this entry or another one. After
// an error, it is unknown whether the call took effect.
type Journal interface {
	Begin(ev journaler.Begin) (journaler.Answer, error)
	Conclude(ev journaler.Conclude) error
}

// Attachment is the state of an intent as its writer reports it.
type Attachment struct {
	Found   bool // the session that wrote the intent responded and still has it
	Running bool // it did not end before the wait timed out
	Void    bool
	Outcome journaler.Outcome
}

// Peers asks other entries about their intents.
type Peers interface {
	// Attach waits until an intent ends at its writer.
	Attach(w journaler.Writer, key journaler.KeyHash, nonce uint64, wait sequoiasill.Millis) (Attachment, error)
	// SessionEnded reports whether the writer's session is known to have ended.
	SessionEnded(w journaler.Writer) bool
}

// Durations of a claim.
const (
	retryInterval = 100 * time.Millisecond
	// concludeTimeout limits the retries to conclude an intent. If an intent is never
	// concluded, requests that repeat its key fail with mayHaveRun, which is safe.
	concludeTimeout = 10 * sequoiasill.Minute
	// unreachableTimeout is how long a writer may fail to respond before the outcome of
	// its intent is considered lost.
	unreachableTimeout = 3 * sequoiasill.Second
	// endedRetention is how long an ended attempt is kept for requests that repeat its
	// key.
	endedRetention = sequoiasill.Minute
)

// Claimer runs requests with an Idempotency-Key. It is safe for concurrent use.
type Claimer struct {
	self    journaler.Writer
	journal Journal
	peers   Peers
	clock   sequoiasill.Clock
	log     hclog.Logger
	pending sync.WaitGroup // running requests, and conclusions that are not journalled yet
	shards  [shardCount]shard
}

const shardCount = 32

type shard struct {
	mu       sync.Mutex
	attempts map[journaler.KeyHash]*attempt
	voided   map[uint64]sequoiasill.Millis // nonces of attempts that never run, with their expiry times
}

// attempt is a request that this entry runs or has run.
type attempt struct {
	nonce  uint64
	digest uint64
	ended  chan struct{} // closed when the attempt ends

	// Set before ended is closed.
	void    bool
	outcome journaler.Outcome
}

// New returns a Claimer of the entry that is identified by self.
func New(self journaler.Writer, journal Journal, peers Peers, clock sequoiasill.Clock, log hclog.Logger) *Claimer {
	c := &Claimer{self: self, journal: journal, peers: peers, clock: clock, log: log.Named("claimer")}
	for i := range c.shards {
		c.shards[i].attempts = make(map[journaler.KeyHash]*attempt)
		c.shards[i].voided = make(map[uint64]sequoiasill.Millis)
	}
	return c
}

// Drain waits until no request runs and all conclusions are journalled, or the timeout
// expires. It reports whether they are.
func (c *Claimer) Drain(timeout sequoiasill.Millis) bool { return drainer.Wait(&c.pending, timeout) }

// Claim is a request that must run at most once.
type Claim struct {
	Key      journaler.KeyHash
	Digest   uint64
	Deadline sequoiasill.Millis
}

// Run runs the request unless a request with its key ran before. It calls run at most
// once. If run returns a Failure with verdict NotRun, the key can be used again.
func (c *Claimer) Run(claim Claim, run func() (journaler.Outcome, *sequoiasill.Failure)) (journaler.Outcome, *sequoiasill.Failure) {
	c.pending.Add(1)
	defer c.pending.Done()
	for {
		a, created := c.getOrCreate(claim)
		if created {
			return c.journalAndRun(claim, a, run)
		}
		if a.digest != claim.Digest {
			return journaler.Outcome{}, keyReused()
		}
		if !c.wait(a, claim.Deadline) {
			return journaler.Outcome{}, inProgress()
		}
		if !a.void {
			return stored(a.outcome)
		}
	}
}

// getOrCreate returns this entry's attempt for the key, and whether it is a new one.
func (c *Claimer) getOrCreate(claim Claim) (a *attempt, created bool) {
	s := c.shard(claim.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.attempts[claim.Key]; ok {
		select {
		case <-a.ended:
			if !a.void {
				return a, false
			}
		default:
			return a, false
		}
	}
	a = &attempt{nonce: newNonce(), digest: claim.Digest, ended: make(chan struct{})}
	s.attempts[claim.Key] = a
	return a, true
}

func (c *Claimer) shard(k journaler.KeyHash) *shard { return &c.shards[k.Bucket(shardCount)] }

func newNonce() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]) | 1
}

func (c *Claimer) wait(a *attempt, deadline sequoiasill.Millis) bool {
	timer := time.NewTimer((deadline - c.clock.Now()).Duration())
	defer timer.Stop()
	select {
	case <-a.ended:
		return true
	case <-timer.C:
		return false
	}
}

// journalAndRun journals this entry's attempt and runs it if the journal grants it.
func (c *Claimer) journalAndRun(claim Claim, a *attempt, run func() (journaler.Outcome, *sequoiasill.Failure)) (journaler.Outcome, *sequoiasill.Failure) {
	response, decided := c.begin(claim, a, 0)
	for decided && response.Decision == journaler.Running {
		prior := response.Entry
		att, failure := c.attach(claim, prior)
		if failure != nil {
			c.finish(claim.Key, a, true, journaler.Outcome{})
			return journaler.Outcome{}, failure
		}
		if !att.Void {
			c.finish(claim.Key, a, false, att.Outcome)
			return stored(att.Outcome)
		}
		response, decided = c.begin(claim, a, prior.Nonce)
	}
	switch {
	case decided && response.Decision == journaler.Granted && c.clock.Now() < claim.Deadline:
		return c.execute(claim, a, run)
	case decided && response.Decision == journaler.Repeat:
		c.finish(claim.Key, a, false, response.Entry.Outcome)
		return stored(response.Entry.Outcome)
	case decided && response.Decision == journaler.Mismatch:
		c.finish(claim.Key, a, true, journaler.Outcome{})
		return journaler.Outcome{}, keyReused()
	}
	// The attempt has failed. Its intent, which may have been written, is voided and
	// never runs.
	c.void(claim.Key, a.nonce)
	c.finish(claim.Key, a, true, journaler.Outcome{})
	return journaler.Outcome{}, unavailable()
}

// begin requests a decision from the journal until there is one or the deadline has
// passed.
func (c *Claimer) begin(claim Claim, a *attempt, voided uint64) (journaler.Answer, bool) {
	for c.clock.Now() < claim.Deadline {
		response, err := c.journal.Begin(journaler.Begin{
			Key: claim.Key, Digest: claim.Digest, Writer: c.self, Nonce: a.nonce, VoidedNonce: voided, Deadline: claim.Deadline,
		})
		if err == nil {
			return response, true
		}
		c.log.Debug("intent not journalled yet", "error", err)
		time.Sleep(retryInterval)
	}
	return journaler.Answer{}, false
}

func (c *Claimer) execute(claim Claim, a *attempt, run func() (journaler.Outcome, *sequoiasill.Failure)) (journaler.Outcome, *sequoiasill.Failure) {
	outcome, failure := run()
	if failure != nil && failure.Verdict == sequoiasill.NotRun {
		c.void(claim.Key, a.nonce)
		c.finish(claim.Key, a, true, journaler.Outcome{})
		return journaler.Outcome{}, failure
	}
	if failure != nil {
		outcome = journaler.Outcome{Verdict: failure.Verdict, Status: failure.Status, BodyDropped: true}
	}
	c.finish(claim.Key, a, false, outcome)
	c.conclude(journaler.Conclude{Key: claim.Key, Nonce: a.nonce, State: journaler.Done, Outcome: dropLongBody(outcome)})
	return outcome, failure
}

// maxStoredBodyBytes is the maximum size of a body that is journalled.
const maxStoredBodyBytes = 2048

func dropLongBody(o journaler.Outcome) journaler.Outcome {
	if len(o.Body) > maxStoredBodyBytes {
		o.Body = nil
		o.BodyDropped = true
	}
	return o
}

// voidedRetention is how long a voided nonce is kept for requests that find its intent
// in the journal.
const voidedRetention = 6 * sequoiasill.Hour

// void records that an attempt never runs, and journals this.
func (c *Claimer) void(key journaler.KeyHash, nonce uint64) {
	now := c.clock.Now()
	s := c.shard(key)
	s.mu.Lock()
	for n, until := range s.voided {
		if until <= now {
			delete(s.voided, n)
		}
	}
	s.voided[nonce] = now + voidedRetention
	s.mu.Unlock()
	c.conclude(journaler.Conclude{Key: key, Nonce: nonce, State: journaler.Void})
}

func (c *Claimer) finish(key journaler.KeyHash, a *attempt, void bool, o journaler.Outcome) {
	a.void = void
	a.outcome = o
	close(a.ended)
	time.AfterFunc(endedRetention.Duration(), func() {
		s := c.shard(key)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.attempts[key] == a {
			delete(s.attempts, key)
		}
	})
}

// conclude journals the conclusion of an intent in the background.
func (c *Claimer) conclude(ev journaler.Conclude) {
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		deadline := c.clock.Now() + concludeTimeout
		for c.clock.Now() < deadline {
			err := c.journal.Conclude(ev)
			if err == nil {
				return
			}
			c.log.Debug("intent not concluded yet", "error", err)
			time.Sleep(retryInterval)
		}
		c.log.Warn("intent not concluded", "nonce", ev.Nonce)
	}()
}

// attach waits until another attempt for the key ends, on this entry or another one.
func (c *Claimer) attach(claim Claim, prior journaler.Entry) (Attachment, *sequoiasill.Failure) {
	var silentSince sequoiasill.Millis
	for {
		now := c.clock.Now()
		if now >= claim.Deadline {
			return Attachment{}, inProgress()
		}
		att, err := c.queryWriter(prior, claim.Key, claim.Deadline-now)
		switch {
		case err == nil && att.Found && !att.Running:
			return att, nil
		case err == nil && !att.Found:
			return c.recheck(claim, prior)
		case err != nil && silentSince == 0:
			silentSince = now
		case err != nil && (c.peers.SessionEnded(prior.Writer) || now-silentSince >= unreachableTimeout):
			return c.recheck(claim, prior)
		case err == nil:
			silentSince = 0
		}
		time.Sleep(retryInterval)
	}
}

func (c *Claimer) queryWriter(prior journaler.Entry, key journaler.KeyHash, wait sequoiasill.Millis) (Attachment, error) {
	if prior.Writer.Session == c.self.Session {
		return c.AttachLocal(c.self.Session, key, prior.Nonce, wait), nil
	}
	return c.peers.Attach(prior.Writer, key, prior.Nonce, wait)
}

// recheck queries the journal once more about an intent whose writer does not respond
// or no longer has it: it may have been concluded meanwhile. If not, its outcome is
// unknown.
func (c *Claimer) recheck(claim Claim, prior journaler.Entry) (Attachment, *sequoiasill.Failure) {
	probe := journaler.Begin{
		Key: claim.Key, Digest: claim.Digest, Writer: c.self, Nonce: newNonce(), Deadline: claim.Deadline,
	}
	response, err := c.journal.Begin(probe)
	switch {
	case err == nil && response.Decision == journaler.Repeat:
		return Attachment{Found: true, Outcome: response.Entry.Outcome}, nil
	case err == nil && response.Decision == journaler.Granted:
		// The intent was void. The probe has the key now; release it.
		c.void(claim.Key, probe.Nonce)
		return Attachment{Found: true, Void: true}, nil
	case err != nil || response.Decision == journaler.Unavailable:
		c.void(claim.Key, probe.Nonce)
	}
	c.log.Warn("the writer of an intent is gone", "writer", prior.Writer.Entry, "nonce", prior.Nonce)
	return Attachment{}, outcomeUnknown()
}

// AttachLocal waits until this entry's own intent ends, for at most wait, and returns
// its state. The result is not Found if the session is not the current one or the entry
// no longer has the intent.
func (c *Claimer) AttachLocal(session uint64, key journaler.KeyHash, nonce uint64, wait sequoiasill.Millis) Attachment {
	s := c.shard(key)
	s.mu.Lock()
	a, ok := s.attempts[key]
	_, void := s.voided[nonce]
	s.mu.Unlock()
	switch {
	case session != c.self.Session:
		return Attachment{}
	case void:
		return Attachment{Found: true, Void: true}
	case !ok || a.nonce != nonce:
		return Attachment{}
	}
	if !c.wait(a, c.clock.Now()+wait) {
		return Attachment{Found: true, Running: true}
	}
	return Attachment{Found: true, Void: a.void, Outcome: a.outcome}
}
