package exchanger_test

import (
	"testing"
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
