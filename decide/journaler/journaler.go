// Package journaler provides at-most-once execution for the requests of one bucket of
// the key space. The intent to run a request is an entry in the bucket's head object.
// The head is only replaced by conditional writes, which guarantee that a key runs at
// most once. Intents and outcomes that arrive while a write is in progress are batched
// into the next one (group commit: DeWitt et al., SIGMOD 1984).
//
// A Bucket is a state machine without I/O. docs/design/journal.md gives the
// reasons and spec/journal.pml the model.
package journaler

import (
	"crypto/sha256"

	"sequoiasill.dev/sequoiasill"
)

// KeyHash identifies an idempotency key of an organisation.
type KeyHash [16]byte

// HashKey returns the hash of an organisation's key.
func HashKey(organisation, key string) KeyHash {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return KeyHash(sum[:16])
}

// Bucket returns the index of the key's bucket among n buckets.
func (h KeyHash) Bucket(n int) int {
	return (int(h[0])<<16 | int(h[1])<<8 | int(h[2])) % n
}

// Writer is the entry that runs a request. Only the session that wrote an intent may
// void it.
type Writer struct {
	Entry   string
	Address string
	Session uint64
}

// State is the state of a journalled request.
type State int

// The states of a request.
const (
	Intent State = iota + 1 // may be running
	Done                    // has an outcome
	Void                    // did not run and will not run
)

// Outcome is the result of a request.
type Outcome struct {
	Verdict     sequoiasill.Verdict
	Status      int
	ContentType string
	Body        []byte
	BodyDropped bool // the body is not stored, as it was too large or too old
}

// Entry is a journalled request.
type Entry struct {
	Key     KeyHash
	Digest  uint64 // of the body
	Writer  Writer
	Nonce   uint64 // of the attempt that wrote the intent
	At      sequoiasill.Millis
	State   State
	Outcome Outcome
}

// WithState returns a copy of e with the given state and outcome.
func (e Entry) WithState(s State, o Outcome) Entry {
	e.State = s
	e.Outcome = o
	return e
}

// SegmentRef refers to a sealed segment.
type SegmentRef struct {
	Name   string
	Keys   int
	Newest sequoiasill.Millis
}

// Head is the value of a bucket's head object: the newest entries, and references to
// the sealed segments that hold the key hashes of older entries.
type Head struct {
	Entries []Entry
	Sealed  []SegmentRef
}

// SealedKey is an entry of a sealed segment.
type SealedKey struct {
	Key     KeyHash
	Verdict sequoiasill.Verdict
}

// Options configure a Bucket.
type Options struct {
	KeyRetention     sequoiasill.Millis // retention of keys
	MaxHeadEntries   int                // the oldest entries are sealed above this number
	BodyRetention    sequoiasill.Millis // minimum retention of response bodies
	IntentRetention  sequoiasill.Millis // age at which an intent without an outcome may be sealed
	MaxSegmentKeys   int                // segments are merged up to this number of keys
	OutcomeLinger    sequoiasill.Millis // longest delay of an outcome to batch it with an intent
	MinWriteInterval sequoiasill.Millis // minimum interval between two writes of the head
	InitialBackoff   sequoiasill.Millis
	MaxBackoff       sequoiasill.Millis
}

// DefaultOptions returns the options that entries use.
func DefaultOptions() Options {
	return Options{
		KeyRetention:     15 * sequoiasill.Day,
		MaxHeadEntries:   400,
		BodyRetention:    10 * sequoiasill.Minute,
		IntentRetention:  sequoiasill.Hour,
		MaxSegmentKeys:   40_000,
		OutcomeLinger:    250,
		MinWriteInterval: 5,
		InitialBackoff:   20,
		MaxBackoff:       sequoiasill.Second,
	}
}

// Event is an input of the state machine.
type Event interface{ event() }

// Begin requests that an intent be journalled. It is answered by an Answer with its ID.
type Begin struct {
	ID          uint64
	Key         KeyHash
	Digest      uint64
	Writer      Writer
	Nonce       uint64
	VoidedNonce uint64 // nonce of an earlier intent that its writer has voided, or 0
	Deadline    sequoiasill.Millis
}

// Conclude requests that the final state of an intent be journalled. It is answered by
// an Answer with its ID after the write, or without a write if there is no such intent.
type Conclude struct {
	ID      uint64
	Key     KeyHash
	Nonce   uint64
	State   State // Done or Void
	Outcome Outcome
}

// HeadRead is the result of a ReadHead. Version 0 means that the object does not exist.
type HeadRead struct {
	Head    Head
	Version uint64
	Failed  bool
}

// SegmentRead is the result of a ReadSegment.
type SegmentRead struct {
	Name   string
	Keys   []SealedKey
	Failed bool
}

// WriteDone is the result of a WriteHead or a WriteSegment.
type WriteDone struct {
	Version uint64
	Result  WriteResult
}

// Tick reports that time has passed.
type Tick struct{}

func (Begin) event()       {}
func (Conclude) event()    {}
func (HeadRead) event()    {}
func (SegmentRead) event() {}
func (WriteDone) event()   {}
func (Tick) event()        {}

// WriteResult is the outcome of a write.
type WriteResult int

// The results. WriteUnknown means that the write may have taken effect or may do so
// later.
const (
	WriteOK WriteResult = iota
	WriteConflict
	WriteRefused
	WriteUnknown
)

// Action is an output of the state machine. At most one store operation is in progress.
type Action interface{ action() }

// ReadHead reads the head object.
type ReadHead struct{}

// WriteHead writes the head object if its current version is Version.
type WriteHead struct {
	Head    Head
	Version uint64
}

// ReadSegment reads a sealed segment.
type ReadSegment struct{ Name string }

// WriteSegment creates a segment. Its name is derived from its content, so an existing
// segment of that name is equivalent.
type WriteSegment struct {
	Name string
	Keys []SealedKey
}

// Answer answers a Begin or a Conclude.
type Answer struct {
	ID       uint64
	Decision Decision
	Entry    Entry // set for Granted, Running and Repeat
}

func (ReadHead) action()     {}
func (WriteHead) action()    {}
func (ReadSegment) action()  {}
func (WriteSegment) action() {}
func (Answer) action()       {}

// Decision is the result of a Begin or a Conclude.
type Decision int

// The decisions.
const (
	Granted     Decision = iota + 1 // the request may run, once
	Repeat                          // the request already ran; Entry holds the outcome
	Running                         // the writer of Entry may be running the request
	Mismatch                        // the key was used before with another body
	Unavailable                     // not journalled in time; the request must not run
	Recorded                        // the Conclude has been written, or there was no intent to conclude
)
