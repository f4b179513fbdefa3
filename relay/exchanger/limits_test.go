package exchanger_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/decide/throttler"
)

// limitSpan is how long the tests ask for calls.
const limitSpan = 4 * time.Second

// askAll lets all entries ask for calls to an upstream again and again over a span and
// returns how many were granted.
func askAll(entries []*entry, u throttler.Upstream, span time.Duration, told registrar.Limit) int64 {
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	var granted atomic.Int64
	var done sync.WaitGroup
	for _, e := range entries {
		done.Go(func() {
			for ctx.Err() == nil {
				p, d := e.Ask(ctx, u)
				if d.Granted {
					granted.Add(1)
					e.Used(p, throttler.Came, told)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	done.Wait()
	return granted.Load()
}

// knows returns how many entries know that an upstream limits its calls.
func knows(entries []*entry, u throttler.Upstream) int {
	n := 0
	for _, e := range entries {
		if e.KnownLimit(u).Holds {
			n++
		}
	}
	return n
}

// named lets an entry hear from an upstream itself that it limits its calls.
func (e *entry) named(u throttler.Upstream, perSecond float64) {
	e.mu.Lock()
	e.limits[u] = registrar.KnownLimit{Holds: true, Own: true, PerSecond: perSecond}
	e.mu.Unlock()
	e.LimitNamed(u, perSecond)
}

// All entries hear of a limit that one was told, keep to it together, and hear of its end.
func TestEntriesShareTheLimitOfAnUpstream(t *testing.T) {
	const perSecond = 5
	entries := cluster(t, 9)
	time.Sleep(5 * time.Second) // a process that has just started grants nothing
	for i := range 3 {
		u := throttler.Upstream{Name: fmt.Sprint("i-", i), Born: 7}
		t.Run(u.Name, func(t *testing.T) {
			t.Parallel()
			entries[i].named(u, perSecond)
			await(t, "entries that know", len(entries), func() int { return knows(entries, u) })
			got := askAll(entries, u, limitSpan, registrar.Limit{Told: true, Limited: true, PerSecond: perSecond})
			if want := int64(perSecond * limitSpan.Seconds()); got < want*7/10 || got > want*13/10 {
				t.Errorf("%d calls were granted in %s, about %d are wanted", got, limitSpan, want)
			}
			askAll(entries, u, limitSpan/2, registrar.Limit{Told: true})
			await(t, "entries that know after its end", 0, func() int { return knows(entries, u) })
			_, d := entries[0].Ask(context.Background(), u)
			if diff := cmp.Diff(throttler.Decision{Free: true}, d); diff != "" {
				t.Errorf("decision after the end (-want +got):\n%s", diff)
			}
		})
	}
}
