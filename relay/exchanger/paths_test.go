package exchanger_test

import (
	"testing"
	"time"
)

// Entries offer no calls to those that announce that they do not reach the upstreams, or that they
// leave.
func TestWaysToAService(t *testing.T) {
	entries := cluster(t, 3)
	ways := func(service string) func() []string {
		return func() []string {
			var out []string
			for _, p := range entries[0].WaysTo(service) {
				out = append(out, p.Name)
			}
			return out
		}
	}
	await(t, "ways at first", []string{"e1", "e2"}, ways("model"))
	entries[1].SetUnreachable([]string{"model", "plain"})
	await(t, "ways to a service that an entry does not reach", []string{"e2"}, ways("model"))
	await(t, "ways to another service", []string{"e1", "e2"}, ways("mod"))
	entries[1].SetUnreachable([]string{"plain"})
	await(t, "ways to a service that is reached again", []string{"e1", "e2"}, ways("model"))
	await(t, "ways to the one that is not", []string{"e2"}, ways("plain"))
	entries[2].Leave()
	await(t, "ways without the entry that leaves", []string{"e1"}, ways("model"))
}

// Guards against entries that others take for partitioned for seconds after its paths are restored:
// the newest state is told also if several services change in the same millisecond.
func TestPathsOfTwoServicesChangeTogether(t *testing.T) {
	entries := cluster(t, 3)
	ways := func() []string {
		var out []string
		for _, p := range entries[0].WaysTo("model") {
			out = append(out, p.Name)
		}
		return out
	}
	await(t, "ways at first", []string{"e1", "e2"}, ways)
	entries[1].SetUnreachable([]string{"plain"})
	entries[1].SetUnreachable([]string{"model", "plain"})
	await(t, "ways to a service that an entry does not reach", []string{"e2"}, ways)
	entries[1].SetUnreachable([]string{"model"})
	entries[1].SetUnreachable(nil)
	began := time.Now()
	await(t, "ways to a service that is reached again", []string{"e1", "e2"}, ways)
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("it took %s until an entry was told", took)
	}
}

// All other entries have to announce that they do not reach a service.
func TestNoneReachesAService(t *testing.T) {
	entries := cluster(t, 3)
	none := func() bool { return entries[0].NoneReaches("model") }
	entries[1].SetUnreachable([]string{"model"})
	entries[2].SetUnreachable([]string{"plain"})
	await(t, "ways to the service", 1, func() int { return len(entries[0].WaysTo("model")) })
	if none() {
		t.Error("no entry reaches the service, though one announces another one only")
	}
	entries[2].SetUnreachable([]string{"model", "plain"})
	await(t, "no entry reaches the service", true, none)
	entries[1].SetUnreachable(nil)
	await(t, "no entry reaches the service after one does again", false, none)
	alone := startEntry(t, 9, "1", nil)
	if alone.NoneReaches("model") {
		t.Error("an entry that knows no other takes the service for unreachable to all")
	}
}
