package quarantinekeeper_test

import (
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/control/leaseholder"
	"sequoiasill.dev/sequoiasill/control/quarantinekeeper"
	"sequoiasill.dev/sequoiasill/decide/partblamer"
)

// fakeStore holds one object.
type fakeStore struct {
	mu      sync.Mutex
	value   []byte
	version uint64
	away    bool
	era     uint64
	loses   int // responses to writes that are lost
	writes  int
	reads   int
}

func (s *fakeStore) Read(string) ([]byte, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.away {
		return nil, 0, errors.New("store is away")
	}
	return s.value, s.version, nil
}

func (s *fakeStore) Write(_ string, value []byte, version uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	switch {
	case s.away:
		return 0, errors.New("store is away")
	case version != s.version:
		return 0, leaseholder.ErrConflict
	}
	s.value, s.version = value, s.version+1
	if s.loses > 0 {
		s.loses--
		return 0, errors.New("no answer")
	}
	return s.version, nil
}

func (s *fakeStore) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *fakeStore) content() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.value)
}

// entry is an entry's knowledge of quarantines, and its position among the collectors.
type entry struct {
	mu     sync.Mutex
	blamer *partblamer.Blamer
	rank   int
}

func newEntry(rank int) *entry {
	return &entry{blamer: partblamer.New(partblamer.DefaultOptions()), rank: rank}
}

func (e *entry) Rank() int { return e.rank }

func (e *entry) Quarantined() []partblamer.Signature {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.blamer.Quarantined(sequoiasill.NewSystemClock().Now())
}

func (e *entry) Restore(stored []partblamer.Signature) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.blamer.Restore(sequoiasill.NewSystemClock().Now(), stored)
}

func (e *entry) quarantine(parts ...partblamer.Part) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := sequoiasill.NewSystemClock().Now()
	e.blamer.Quarantine(parts, now, now+sequoiasill.Hour)
}

func (e *entry) serve(parts ...partblamer.Part) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.blamer.RecordServed(sequoiasill.NewSystemClock().Now(), parts)
}

func start(t *testing.T, s *fakeStore, e *entry) *quarantinekeeper.Keeper {
	t.Helper()
	return quarantinekeeper.New(s, quarantinekeeper.Parts{Quarantines: e}, e, 0, sequoiasill.NewSystemClock(), hclog.NewNullLogger())
}

func await[T any](t *testing.T, what string, want T, get func() T) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		diff := cmp.Diff(want, get())
		if diff == "" {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s (-want +got):\n%s", what, diff)
		}
	}
}

// After all entries were restarted at once, parts that crash upstreams must be refused without
// further crashes.
func TestQuarantineSurvivesRestartOfAllEntries(t *testing.T) {
	faults := map[string]func(s *fakeStore){
		"no fault":                 func(*fakeStore) {},
		"store away for a moment":  func(s *fakeStore) { s.away = true },
		"response to a write lost": func(s *fakeStore) { s.loses = 1 },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, before := &fakeStore{}, newEntry(0)
			inject(s)
			k := start(t, s, before)
			before.quarantine(2, 10)
			time.AfterFunc(500*time.Millisecond, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.away = false
			})
			await(t, "stored", `{"parts":[["2","a"]]}`, s.content)
			k.Close()
			after := newEntry(2)
			k = start(t, s, after)
			defer k.Close()
			await(t, "restored", []partblamer.Signature{{2, 10}}, after.Quarantined)
		})
	}
}

// A quarantine that was lifted is deleted from the store, and is not restored from it by an entry
// that saw it disproved.
func TestLiftedQuarantineIsDeleted(t *testing.T) {
	s, e := &fakeStore{}, newEntry(0)
	k := start(t, s, e)
	defer k.Close()
	e.quarantine(2)
	await(t, "stored", `{"parts":[["2"]]}`, s.content)
	s.mu.Lock()
	s.loses = 1
	s.mu.Unlock()
	e.serve(2)
	await(t, "stored after the end", `{"parts":[]}`, s.content)
	time.Sleep(1500 * time.Millisecond)
	if diff := cmp.Diff([]partblamer.Signature(nil), e.Quarantined()); diff != "" {
		t.Errorf("quarantined (-want +got):\n%s", diff)
	}
}

// A record that was lost because the store came back from a copy is written again.
func TestQuarantineIsStoredAgainAfterReturnFromCopy(t *testing.T) {
	s, e := &fakeStore{}, newEntry(0)
	k := start(t, s, e)
	defer k.Close()
	e.quarantine(2)
	await(t, "stored", `{"parts":[["2"]]}`, s.content)
	s.mu.Lock()
	s.value, s.version, s.era = nil, 0, 1
	s.mu.Unlock()
	await(t, "stored again", `{"parts":[["2"]]}`, s.content)
}

// Without quarantines a collector reads the store once, and entries that are no collectors never.
func TestStoreIsReadOnceWithoutQuarantines(t *testing.T) {
	for name, tc := range map[string]struct{ rank, reads int }{"first collector": {0, 1}, "another": {2, 1}, "no collector": {-1, 0}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &fakeStore{}
			k := start(t, s, newEntry(tc.rank))
			time.Sleep(time.Second)
			k.Close()
			if diff := cmp.Diff([]int{tc.reads, 0}, []int{s.reads, s.writes}); diff != "" {
				t.Errorf("reads and writes (-want +got):\n%s", diff)
			}
		})
	}
}
