package syncer

import (
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/config/encoder"
)

// newDelta returns a Delta with all parts of a configuration whose number of
// organisations equals its generation.
func newDelta(t *rapid.T, generation int) Delta {
	var cfg sequoiasill.Config
	for i := range generation {
		cfg.Organisations = append(cfg.Organisations, sequoiasill.Organisation{Name: fmt.Sprint("o", i), Weight: 1})
	}
	parts, err := encoder.Encode(cfg)
	if err != nil {
		t.Fatalf("Encode: %v", err)
	}
	d := Delta{Generation: uint64(generation), Parts: parts}
	for _, p := range parts {
		d.Names = append(d.Names, p.Name)
	}
	return d
}

// TestGenerationsOnlyRise exchanges generations and deltas between two entries in
// random order and restarts one of them. Without a restart, an entry's generation
// must not decrease, and a combined configuration must be complete.
func TestGenerationsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := hclog.NewNullLogger()
		a, b := NewConfigs(log), NewConfigs(log)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			beforeA, beforeB := a.Current().Generation, b.Current().Generation
			restarted := false
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0: // a configuration from the store, possibly an old one
				d := newDelta(t, rapid.IntRange(1, 12).Draw(t, "generation"))
				b.NoteGeneration(d.Generation)
				if _, err := a.Accept(d, "store"); err != nil {
					t.Fatalf("Accept: %v", err)
				}
			case 1: // b pulls from a
				if _, err := b.Accept(a.DeltaFrom(b.Current().Generation), "peer"); err != nil {
					t.Fatalf("Accept of a delta: %v", err)
				}
			case 2: // a pulls from b
				if _, err := a.Accept(b.DeltaFrom(a.Current().Generation), "peer"); err != nil {
					t.Fatalf("Accept of a delta: %v", err)
				}
			case 3: // a restarts and is behind until it has the highest generation
				highest := max(beforeA, beforeB)
				a = NewConfigs(log)
				a.NoteGeneration(highest)
				restarted = true
				if !a.Behind() {
					t.Fatal("an entry that has just started is not behind")
				}
			}
			if got := a.Current().Generation; got < beforeA && !restarted {
				t.Fatalf("generation went back from %d to %d", beforeA, got)
			}
			if got := b.Current().Generation; got < beforeB {
				t.Fatalf("generation went back from %d to %d", beforeB, got)
			}
			if got := a.Current(); len(got.Organisations) != int(got.Generation) {
				t.Fatalf("generation %d has %d organisations", got.Generation, len(got.Organisations))
			}
		}
	})
}
