package engine

import (
	"encoding/binary"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// sequence is one generation. Its tokens are a function of the prompt alone, so
// every engine generates the same ones.
type sequence struct {
	prompt   uint64 // hash of the messages
	total    int    // tokens to generate
	priority int

	mu        sync.Mutex
	generated int
	cancelled bool
	updated   chan struct{} // closed and replaced when the progress changes
}

func newSequence(prompt uint64, total, offset, priority int) *sequence {
	return &sequence{prompt: prompt, total: total, generated: offset, priority: priority, updated: make(chan struct{})}
}

// token returns the text of the token at index i.
func (s *sequence) token(i int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], s.prompt)
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	return "w" + strconv.FormatUint(xxhash.Sum64(b[:])%100000, 10) + " "
}

// snapshot returns the progress and a channel that is closed when it changes.
func (s *sequence) snapshot() (generated int, ended bool, updated <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generated, s.cancelled || s.generated >= s.total, s.updated
}

func (s *sequence) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.updated)
	s.updated = make(chan struct{})
}

func (s *sequence) cancel() { s.update(func() { s.cancelled = true }) }

func (s *sequence) ended() bool {
	_, ended, _ := s.snapshot()
	return ended
}

// Speed is the time that generation takes.
type Speed struct {
	Step           time.Duration // duration of a step with one sequence
	StepPerRunning time.Duration // added for each further sequence
	PrefillToken   time.Duration // for each uncached prompt token
}

// NominalSpeed returns the default speed, to which published measurements refer.
func NominalSpeed() Speed {
	return Speed{Step: 12 * time.Millisecond, StepPerRunning: 500 * time.Microsecond, PrefillToken: 100 * time.Microsecond}
}

// batch runs sequences together. Each step generates one token of each sequence.
type batch struct {
	mu      sync.Mutex
	slots   int
	running []*sequence
	waiting []*sequence
	work    chan struct{}
}

func newBatch(slots int) *batch { return &batch{slots: slots, work: make(chan struct{}, 1)} }

func (b *batch) add(s *sequence) {
	b.mu.Lock()
	i := len(b.waiting)
	for i > 0 && b.waiting[i-1].priority > s.priority {
		i--
	}
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[i+1:], b.waiting[i:])
	b.waiting[i] = s
	b.mu.Unlock()
	select {
	case b.work <- struct{}{}:
	default:
	}
}

// step removes ended sequences, fills the free slots by priority and returns the
// sequences of the next step.
func (b *batch) step() []*sequence {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.running[:0]
	for _, s := range b.running {
		if !s.ended() {
			kept = append(kept, s)
		}
	}
	b.running = kept
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		b.running = append(b.running, b.waiting[0])
		b.waiting = b.waiting[1:]
	}
	return append([]*sequence(nil), b.running...)
}

func (b *batch) load() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.running {
		if !s.ended() {
			running++
		}
	}
	return running, len(b.waiting)
}
