package partblamer_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/partblamer"
)

// restart returns the collector after all processes were replaced, with what was stored.
func (c *requestCollector) restart(after sequoiasill.Millis) *requestCollector {
	stored := c.State(c.now)
	next := newRequestCollector()
	next.now = c.now + after
	next.RestoreState(next.now, stored)
	return next
}

// Guards against BUDGET: a request that crashes upstreams was forgotten when all entries restarted, once it was
// refused and also before.
func TestStateOutlivesAllProcesses(t *testing.T) {
	refused := []partblamer.Signature{{poison}}
	tests := map[string]struct {
		play func(c *requestCollector) *requestCollector
		want []partblamer.Signature
	}{
		"a quarantine": {func(c *requestCollector) *requestCollector {
			for i := range uint64(3) {
				c.end(i, poison)
				c.tick(second)
			}
			return c.restart(2 * second).restart(2 * second)
		}, refused},
		"two crashes in each of two rounds": {func(c *requestCollector) *requestCollector {
			for i := range uint64(2) {
				c.end(i, poison)
				c.tick(second)
			}
			c = c.restart(2 * second)
			c.end(2, poison)
			c.tick(2 * second)
			return c
		}, refused},
		"two crashes each, of one that is served in between": {func(c *requestCollector) *requestCollector {
			for i := range uint64(2) {
				c.end(i, popular)
				c.tick(second)
			}
			c = c.restart(2 * second)
			c.serve(popular)
			c.end(2, popular)
			c.tick(2 * second)
			return c
		}, nil},
		"a quarantine that has ended": {func(c *requestCollector) *requestCollector {
			for i := range uint64(3) {
				c.end(i, poison)
				c.tick(second)
			}
			return c.restart(sequoiasill.Hour)
		}, nil},
		"crashes long ago": {func(c *requestCollector) *requestCollector {
			for i := range uint64(2) {
				c.end(i, poison)
				c.tick(second)
			}
			c = c.restart(10 * sequoiasill.Minute)
			c.end(2, poison)
			c.tick(2 * second)
			return c
		}, nil},
		"one crash is not stored": {func(c *requestCollector) *requestCollector {
			c.end(0, popular)
			c.tick(second)
			c = c.restart(second)
			for i := range uint64(2) {
				c.end(i+1, popular)
				c.tick(second)
			}
			return c
		}, nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := tc.play(newRequestCollector())
			if diff := cmp.Diff(tc.want, c.Quarantined(c.now)); diff != "" {
				t.Errorf("quarantined (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against BUDGET: each restart must not bring a further test of a quarantined request.
func TestTestsOfAQuarantineGoOnAfterRestart(t *testing.T) {
	c := newRequestCollector()
	for i := range uint64(3) {
		c.end(i, poison)
		c.tick(second)
	}
	tests := 0
	for range 8 {
		c = c.restart(second)
		c.SetProbing(true)
		for range 20 {
			if d := c.Screen(c.now, partblamer.RequestPart(poison)); !d.Refused {
				tests++
			}
			c.tick(second)
		}
	}
	// 170 s: tests are due 30 s and 150 s after the start of the quarantine.
	if diff := cmp.Diff(2, tests); diff != "" {
		t.Errorf("tests (-want +got):\n%s", diff)
	}
}
