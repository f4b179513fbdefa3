package partblamer_test

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/partblamer"
)

const (
	hot    partblamer.Part = 1 // in most calls
	rare   partblamer.Part = 2 // in few calls, among them those with the deadly part
	other  partblamer.Part = 3
	deadly partblamer.Part = 4

	second = sequoiasill.Second
)

// collector plays the events of all entries on one collector.
type collector struct {
	*partblamer.Blamer

	now      sequoiasill.Millis
	requests uint64
}

// tick lets time pass.
func (c *collector) tick(d sequoiasill.Millis) {
	for end := c.now + d; c.now < end; c.now += 100 {
		c.Decide(c.now)
		c.TakeChanges()
	}
}

// crash ends an upstream under calls with the given prompts.
func (c *collector) crash(upstream uint64, prompts ...[]partblamer.Part) {
	for _, parts := range prompts {
		c.requests++
		c.RecordCrash(c.now, partblamer.Crash{Request: c.requests, Upstream: upstream, At: c.now, Parts: parts})
	}
	c.tick(second)
}

func (c *collector) serve(parts ...partblamer.Part) { c.RecordServed(c.now, parts) }

func prompt(parts ...partblamer.Part) []partblamer.Part { return parts }

func TestPartIsQuarantined(t *testing.T) {
	tests := map[string]struct {
		play func(c *collector)
		want []partblamer.Signature
	}{
		"three crashes under a part that is never served": {func(c *collector) {
			c.serve(hot)
			for i := range uint64(3) {
				c.crash(i, prompt(hot, rare, deadly))
				c.serve(hot, rare)
			}
		}, []partblamer.Signature{{deadly}}},
		"two crashes": {func(c *collector) {
			c.crash(1, prompt(deadly))
			c.crash(2, prompt(deadly))
		}, nil},
		"crashes of one upstream": {func(c *collector) {
			for range 5 {
				c.crash(1, prompt(deadly))
			}
		}, nil},
		"crashes under one request": {func(c *collector) {
			for i := range uint64(5) {
				c.RecordCrash(c.now, partblamer.Crash{Request: 1, Upstream: i, At: c.now, Parts: prompt(deadly)})
				c.tick(second)
			}
		}, nil},
		"crashes of many upstreams at once": {func(c *collector) {
			for i := range uint64(5) {
				c.RecordCrash(c.now, partblamer.Crash{Request: i, Upstream: i, At: c.now, Parts: prompt(other)})
			}
			c.tick(5 * second)
		}, nil},
		"a part that is served in between": {func(c *collector) {
			for i := range uint64(8) {
				c.crash(i, prompt(hot))
				if i%2 == 1 {
					c.serve(hot)
				}
			}
		}, nil},
		"a part that was served long before": {func(c *collector) {
			c.serve(deadly)
			c.tick(second)
			for i := range uint64(5) {
				c.crash(i, prompt(deadly))
			}
		}, []partblamer.Signature{{deadly}}},
		"a sound part in all calls with the deadly one, not served since": {func(c *collector) {
			c.serve(hot, rare)
			for i := range uint64(8) {
				c.crash(i, prompt(hot, rare, deadly), prompt(hot), prompt(rare))
			}
		}, []partblamer.Signature{{deadly}}},
		"new parts that always come together": {func(c *collector) {
			for i := range uint64(4) {
				c.crash(i, prompt(rare, deadly))
			}
		}, []partblamer.Signature{{rare, deadly}}},
		"a sound part in all calls with the deadly one, and in an earlier crash": {func(c *collector) {
			c.crash(9, prompt(rare))
			for i := range uint64(4) {
				c.crash(i, prompt(rare, deadly))
			}
		}, []partblamer.Signature{{rare, deadly}}},
		"a sound part in all calls with the deadly one, served after the first crashes": {func(c *collector) {
			for i := range uint64(6) {
				if i == 3 {
					c.serve(rare)
				}
				c.RecordCrash(c.now, partblamer.Crash{Request: i, Upstream: i, At: c.now, Parts: prompt(rare, deadly)})
				c.tick(100)
			}
			c.tick(second)
		}, []partblamer.Signature{{deadly}}},
		"a new part that comes with the deadly one only at first": {func(c *collector) {
			for i := range uint64(3) {
				c.crash(i, prompt(rare, deadly))
			}
			c.crash(3, prompt(other, deadly))
			c.crash(4, prompt(hot, deadly))
		}, []partblamer.Signature{{rare, deadly}, {deadly}}},
		"new parts that always come together, one of them in a further crash": {func(c *collector) {
			for i := range uint64(3) {
				c.crash(i, prompt(rare, deadly))
			}
			c.crash(3, prompt(rare))
		}, []partblamer.Signature{{rare, deadly}}},
		"the same in further crashes, and served": {func(c *collector) {
			for i := range uint64(3) {
				c.crash(i, prompt(rare, deadly))
			}
			c.crash(3, prompt(rare))
			c.serve(rare)
			c.crash(4, prompt(rare))
			c.crash(5, prompt(rare))
		}, []partblamer.Signature{{rare, deadly}}},
		"crashes long ago": {func(c *collector) {
			for i := range uint64(5) {
				c.crash(i, prompt(deadly))
				c.tick(3 * sequoiasill.Minute)
			}
		}, nil},
		"two deadly parts": {func(c *collector) {
			for i := range uint64(4) {
				c.crash(2*i, prompt(hot, other))
				c.crash(2*i+1, prompt(hot, deadly))
				c.serve(hot)
			}
		}, []partblamer.Signature{{other}, {deadly}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := &collector{Blamer: partblamer.New(partblamer.DefaultOptions()), now: sequoiasill.Hour}
			tc.play(c)
			if diff := cmp.Diff(tc.want, c.Quarantined(c.now)); diff != "" {
				t.Errorf("quarantined (-want +got):\n%s", diff)
			}
		})
	}
}

// Entries that served a suspected part must be heard before it is quarantined.
func TestServiceElsewherePreventsQuarantine(t *testing.T) {
	clock := sequoiasill.Hour
	collecting, serving := partblamer.New(partblamer.DefaultOptions()), partblamer.New(partblamer.DefaultOptions())
	for i := range uint64(20) {
		collecting.RecordCrash(clock, partblamer.Crash{Request: i, Upstream: i, At: clock, Parts: prompt(hot)})
		serving.RecordServed(clock+100, prompt(hot))
		for range 10 {
			clock += 100
			collecting.Decide(clock)
			for _, change := range collecting.TakeChanges() {
				if change.Signature == nil {
					serving.SetSuspects(clock, "c", change.Suspects)
				}
			}
			if r, due := serving.Report(clock); due {
				collecting.Merge("s", r)
			}
		}
	}
	if got := collecting.Quarantined(clock); len(got) > 0 {
		t.Errorf("quarantined %v, which is served at another entry", got)
	}
}

// A quarantine is tested by one call of one entry at increasing intervals. A crash prolongs it,
// a response lifts it.
func TestQuarantineIsTested(t *testing.T) {
	opts := partblamer.DefaultOptions()
	start := sequoiasill.Hour
	b := partblamer.New(opts)
	b.Quarantine(partblamer.Signature{deadly}, start, start+opts.QuarantineDuration)
	passes := func(at sequoiasill.Millis) bool { return !b.Screen(at, prompt(rare, deadly)).Refused }
	if passes(start + opts.ProbeDelay) {
		t.Error("an entry that does not test quarantines lets a call through")
	}
	b.SetProbing(true)
	var passed []sequoiasill.Millis
	for at := start; at < start+10*sequoiasill.Minute; at += second {
		if passes(at) {
			passed = append(passed, at-start)
			b.RecordCrash(at, partblamer.Crash{Request: 1, Upstream: uint64(at), At: at, Parts: prompt(rare, deadly)})
		}
	}
	if diff := cmp.Diff([]sequoiasill.Millis{30 * second, 150 * second}, passed); diff != "" {
		t.Errorf("calls let through (-want +got):\n%s", diff)
	}
	b.SetProbing(false)
	if passes(start + opts.QuarantineDuration + second) {
		t.Error("the quarantine ended although calls still crashed upstreams")
	}
	b.RecordServed(start+11*sequoiasill.Minute, prompt(rare, deadly))
	if !passes(start + 11*sequoiasill.Minute) {
		t.Error("the quarantine goes on although a call was served")
	}
	lifted := slices.ContainsFunc(b.TakeChanges(), func(c partblamer.Change) bool { return c.Signature != nil && !c.Quarantined })
	if !lifted {
		t.Error("the other entries are not told that the quarantine was lifted")
	}
}

// Calls that hold only some parts of a quarantined signature are sent.
func TestOtherCallsAreSent(t *testing.T) {
	b := partblamer.New(partblamer.DefaultOptions())
	b.Quarantine(partblamer.Signature{rare, deadly}, 0, second)
	tests := map[string]struct {
		parts []partblamer.Part
		at    sequoiasill.Millis
		want  bool // refused
	}{
		"all parts":    {prompt(hot, rare, deadly), 0, true},
		"one part":     {prompt(hot, deadly), 0, false},
		"no parts":     {nil, 0, false},
		"after it end": {prompt(rare, deadly), second, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := b.Screen(tc.at, tc.parts).Refused; got != tc.want {
				t.Errorf("refused %t, want %t", got, tc.want)
			}
		})
	}
}
