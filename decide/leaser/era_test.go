package leaser

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"sequoiasill.dev/sequoiasill"
)

// restoringStore is a store with a lease object that comes back from copies: changes since then
// are lost and revisions are given out again.
type restoringStore struct {
	era      uint64
	revision uint64
	record   Record
	written  uint64 // revision of the record, 0 if there is none
	copies   []storeCopy
}

type storeCopy struct {
	at       sequoiasill.Millis
	revision uint64
	record   Record
	written  uint64
}

func (s *restoringStore) takeCopy(now sequoiasill.Millis) {
	s.copies = append(s.copies, storeCopy{now, s.revision, s.record, s.written})
}

func (s *restoringStore) restore(now, age sequoiasill.Millis) {
	i := len(s.copies) - 1
	for i > 0 && now-s.copies[i].at < age {
		i--
	}
	c := s.copies[i]
	s.copies = s.copies[:i+1]
	s.revision, s.record, s.written = c.revision, c.record, c.written
	s.era++
}

// write compares only revisions, as the store knows no eras in conditions.
func (s *restoringStore) write(a WriteRecord) bool {
	s.revision++ // other objects change as well
	if sequoiasill.StoreRevision(a.Version) != s.written {
		return false
	}
	s.revision++
	s.record, s.written = a.Record, s.revision
	return true
}

// eraNode is a process that learns of the store's era from responses.
type eraNode struct {
	*node

	name  string
	era   uint64
	known bool // it read the record in an era
}

// complete performs the pending action of a node on the store. ignoresEra makes a node that takes
// no notice of the era.
func (n *eraNode) complete(now sequoiasill.Millis, s *restoringStore, r *rand.Rand, ignoresEra bool) Event {
	a := n.pending
	n.pending = nil
	lost := r.IntN(100) < 10
	if n.era != s.era && !lost {
		if n.known && !ignoresEra {
			n.lease.ChangeEra(now, s.era)
		} else if !n.known {
			n.lease.SetEra(s.era)
		}
		n.era = s.era
	}
	version := func() uint64 {
		if s.written == 0 {
			return 0
		}
		if ignoresEra {
			return s.written
		}
		return sequoiasill.StoreVersion(s.era, s.written)
	}
	switch a := a.(type) {
	case ReadRecord:
		n.known = n.known || !lost
		return ReadDone{Record: s.record, Version: version(), Failed: lost}
	case WriteRecord:
		sameEra := ignoresEra || a.Version == 0 || sequoiasill.StoreEra(a.Version) == s.era
		done := s.write(a)
		switch {
		case lost || !sameEra:
			return WriteDone{Result: Unknown}
		case !done:
			return WriteDone{Result: Conflict}
		}
		return WriteDone{Result: OK, Version: version()}
	}
	return Tick{}
}

// simulateReturns runs nodes over a store that comes back from copies, with lost responses,
// pauses and restarts. It returns the violations and the number of acts.
func simulateReturns(seeds uint64, ignoresEra bool) (violations []string, acts int) {
	options := Options{Length: 3200, Margin: 800, MaxMessageDelay: 200, PollInterval: 2 * sequoiasill.Second, WaitsAtStart: true}
	for seed := range seeds {
		r := rand.New(rand.NewPCG(seed, 7))
		s := &restoringStore{era: 1, revision: 10}
		nodes := make([]*eraNode, 3)
		starts := 0
		start := func(i int) {
			starts++
			name := fmt.Sprintf("%d/%d", i, starts)
			nodes[i] = &eraNode{node: &node{lease: New(name, options)}, name: name}
		}
		for i := range nodes {
			start(i)
		}
		holders := make(map[uint64]string) // by epoch
		for now := sequoiasill.Millis(1000); now < 3*sequoiasill.Minute; now += 10 {
			s.takeCopy(now)
			if r.IntN(2000) == 0 {
				s.restore(now, sequoiasill.Millis(r.IntN(8000)))
			}
			if r.IntN(4000) == 0 {
				start(r.IntN(len(nodes)))
			}
			var acting []string
			for _, n := range nodes {
				if n.pausedUntil > now {
					continue
				}
				ev := Event(Tick{})
				if n.pending == nil || n.doneAt <= now {
					if n.pending != nil {
						ev = n.complete(now, s, r, ignoresEra)
					}
					if a := n.lease.Step(now, ev); a != nil {
						n.pending, n.doneAt = a, now+sequoiasill.Millis(r.IntN(100))
					}
				}
				if r.IntN(3000) == 0 {
					n.pausedUntil = now + sequoiasill.Millis(r.IntN(6000))
				}
				if epoch, ok := n.lease.MayAct(now); ok && n.pausedUntil <= now {
					acting = append(acting, n.name)
					if first, used := holders[epoch]; used && first != n.name {
						violations = append(violations, fmt.Sprintf("seed %d at %s: epoch %d of %s and %s", seed, now, epoch, first, n.name))
					}
					holders[epoch] = n.name
				}
			}
			acts += len(acting)
			if len(acting) > 1 {
				violations = append(violations, fmt.Sprintf("seed %d at %s: %v act at once", seed, now, acting))
			}
		}
	}
	return violations, acts
}

// After the store came back from a copy, no two holders act at once, and no epoch is used twice.
func TestReturnFromCopyLeavesOneHolder(t *testing.T) {
	const seeds = 60
	violations, acts := simulateReturns(seeds, false)
	for _, v := range violations[:min(len(violations), 5)] {
		t.Error(v)
	}
	if want := seeds * int(3*sequoiasill.Minute) / 10 / 3; acts < want {
		t.Errorf("the lease allowed %d acts, want at least %d", acts, want)
	}
}

// The simulation finds holders that take no notice of the era.
func TestHoldersThatIgnoreErasAreFound(t *testing.T) {
	if violations, _ := simulateReturns(60, true); len(violations) == 0 {
		t.Error("no violation was found")
	}
}

// Guards against ONE: a holder that started after the store came back from a copy for the first time, and so had
// seen no change of the era, used epochs that lost records had had.
func TestEpochsOfLostRecordsAreNotUsedAgain(t *testing.T) {
	for name, tc := range map[string]struct{ written, now, want uint64 }{
		"the same era":               {0, 0, 6},
		"the first return":           {0, 1, 6 + epochsPerEra},
		"the third return":           {0, 3, 6 + 3*epochsPerEra},
		"a later return":             {2, 3, 6 + epochsPerEra},
		"a record of this era":       {3, 3, 6},
		"a record of an older build": {0, 3, 6 + 3*epochsPerEra},
	} {
		t.Run(name, func(t *testing.T) {
			l := New("b", DefaultOptions())
			l.SetEra(tc.now)
			var got uint64
			for now, ev := sequoiasill.Millis(0), Event(nil); now < 20*sequoiasill.Second && got == 0; now += 100 {
				switch a := l.Step(now, ev).(type) {
				case ReadRecord:
					ev = ReadDone{Version: sequoiasill.StoreVersion(tc.now, 9), Record: Record{Holder: "a", Epoch: 5, Era: tc.written}}
				case WriteRecord:
					got = a.Record.Epoch
				default:
					ev = nil
				}
			}
			if got != tc.want {
				t.Errorf("epoch %d, want %d", got, tc.want)
			}
		})
	}
}
