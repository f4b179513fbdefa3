package scenarios

import (
	"fmt"
	"testing"
	"time"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/stacker"
	"sequoiasill.dev/sequoiasill/standin/platform"
)

// awaitGeneration waits until n entries have applied the generation and returns the time
// that this took.
func awaitGeneration(tb testing.TB, s *stacker.Stack, generation uint64, n int) time.Duration {
	tb.Helper()
	start := time.Now()
	for {
		applied := 0
		for _, e := range s.Entries {
			if e.Server.Generation() >= generation {
				applied++
			}
		}
		if applied >= n {
			return time.Since(start)
		}
		if time.Since(start) > awaitTimeout {
			tb.Fatalf("generation %d is applied on %d of %d entries", generation, applied, n)
		}
		time.Sleep(time.Millisecond)
	}
}

// configWithOrganisations returns the configuration with n more organisations.
func configWithOrganisations(n int) sequoiasill.Config {
	cfg := stackConfig()
	for i := range n {
		cfg.Organisations = append(cfg.Organisations, sequoiasill.Organisation{
			Name: fmt.Sprintf("added-%d", i), Weight: 1, KeyHashes: []string{sequoiasill.HashKey(fmt.Sprint(i))},
		})
	}
	return cfg
}

// TestConfigSpreadsWithStoreDown makes the store unavailable once one entry has a
// generation. The others, and an entry that starts during the outage, must get it from
// their peers; none may return to an earlier generation.
func TestConfigSpreadsWithStoreDown(t *testing.T) {
	const entries = 9
	s := startStack(t, entries, 1, 0, 1)
	for round := range 3 {
		result, err := s.Apply(configWithOrganisations(round + 1))
		if err != nil {
			t.Fatalf("Apply: %v", err)
		}
		awaitGeneration(t, s, result.Generation, 1)
		s.Platform.SetFaults(platform.Faults{Down: true})
		awaitGeneration(t, s, result.Generation, entries)

		started, err := s.AddEntry(fmt.Sprintf("late-%d", round), stacker.Zones[round], "")
		if err != nil {
			t.Fatalf("AddEntry: %v", err)
		}
		deadline := time.Now().Add(awaitTimeout)
		for !started.Server.Ready() {
			if time.Now().After(deadline) {
				t.Fatal("an entry that starts during an outage does not become ready")
			}
			time.Sleep(5 * time.Millisecond)
		}
		if got := started.Server.Generation(); got != result.Generation {
			t.Errorf("the entry is ready with generation %d, want %d", got, result.Generation)
		}
		started.Server.Stop()
		s.Entries = s.Entries[:entries]
		s.Platform.SetFaults(platform.Faults{})
	}
}

// BenchmarkConfigSpread measures the time until all entries have applied a change, and the
// store reads per change.
func BenchmarkConfigSpread(b *testing.B) {
	for _, entries := range []int{3, 9, 27} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			s := startStack(b, entries, 0, 0, 1)
			var total time.Duration
			n := 0
			before := s.Platform.Counts()
			for b.Loop() {
				n++
				result, err := s.Apply(configWithOrganisations(n))
				if err != nil {
					b.Fatalf("Apply: %v", err)
				}
				total += awaitGeneration(b, s, result.Generation, entries)
			}
			after := s.Platform.Counts()
			b.ReportMetric(float64(total.Microseconds())/1000/float64(n), "ms/spread")
			b.ReportMetric(float64(after.Reads-before.Reads)/float64(n), "reads/change")
		})
	}
}
