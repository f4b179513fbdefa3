package exchanger_test

import (
	"testing"
	"time"
)

// An entry that starts while the store holds an older configuration is not ready before it has the
// one that the other entries know.
func TestCaughtUpWithNewestConfiguration(t *testing.T) {
	entries := cluster(t, 3)
	old, newer := []byte{1}, []byte{2}
	for _, e := range entries[:2] {
		e.Accept(newer, "store")
		e.AnnounceConfig(2)
	}
	late := entries[2]
	late.Accept(old, "store")
	await(t, "caught up", true, late.CaughtUp)
	if _, version := late.Current(); version != 2 {
		t.Errorf("caught up with version %d, the others know 2", version)
	}
}

// An entry that is alone is ready after a while.
func TestCaughtUpAlone(t *testing.T) {
	alone := cluster(t, 1)[0]
	if alone.CaughtUp() {
		t.Error("caught up at once, without the time to discover others")
	}
	start := time.Now()
	await(t, "caught up", true, alone.CaughtUp)
	if took := time.Since(start); took > 3*time.Second {
		t.Errorf("caught up after %s", took)
	}
}
