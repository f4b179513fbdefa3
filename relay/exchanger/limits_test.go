package exchanger_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/decide/throttler"
)

// askDuration is how long the test requests permits.
const askDuration = 4 * time.Second

// requestPermits has all entries request permits for an upstream continuously for the
// duration and returns how many were granted. All granted calls report the same limit.
func requestPermits(entries []*entry, u throttler.Upstream, duration time.Duration, reported registrar.Limit) int64 {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var granted atomic.Int64
	var done sync.WaitGroup
	for _, e := range entries {
		done.Go(func() {
			for ctx.Err() == nil {
				p, d := e.RequestPermit(ctx, u)
				if d.Granted {
					granted.Add(1)
					e.ReportOutcome(p, throttler.Arrived, reported)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	done.Wait()
	return granted.Load()
}

// countKnowing returns how many entries know that an upstream limits its calls.
func countKnowing(entries []*entry, u throttler.Upstream) int {
	n := 0
	for _, e := range entries {
		if e.KnownLimit(u).Active {
			n++
		}
	}
	return n
}

// reportLimit simulates a response in which an upstream announces its limit to this entry.
func (e *entry) reportLimit(u throttler.Upstream, perSecond float64) {
	e.mu.Lock()
	e.limits[u] = registrar.KnownLimit{Active: true, Direct: true, PerSecond: perSecond}
	e.toldAt[u] = sequoiasill.NewSystemClock().Now()
	e.mu.Unlock()
	e.AnnounceLimit(u, perSecond)
}

// A limit announced to one entry must reach all entries, which must keep to it in total
// and learn of its removal.
func TestEntriesShareTheLimitOfAnUpstream(t *testing.T) {
	const perSecond = 5
	entries := cluster(t, 9)
	time.Sleep(5 * time.Second) // a process grants nothing right after its start
	for i := range 3 {
		u := throttler.Upstream{Name: fmt.Sprint("i-", i), StartedAt: 7}
		t.Run(u.Name, func(t *testing.T) {
			t.Parallel()
			entries[i].reportLimit(u, perSecond)
			await(t, "entries that know the limit", len(entries), func() int { return countKnowing(entries, u) })
			got := requestPermits(entries, u, askDuration, registrar.Limit{FromUpstream: true, Limited: true, PerSecond: perSecond})
			if want := int64(perSecond * askDuration.Seconds()); got < want*7/10 || got > want*13/10 {
				t.Errorf("%d calls granted in %s, want about %d", got, askDuration, want)
			}
			requestPermits(entries, u, askDuration/2, registrar.Limit{FromUpstream: true})
			await(t, "entries that know the limit after its removal", 0, func() int { return countKnowing(entries, u) })
			_, d := entries[0].RequestPermit(context.Background(), u)
			if diff := cmp.Diff(throttler.Decision{Lifted: true}, d); diff != "" {
				t.Errorf("decision after the removal (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against limits that all entries keep to after their end: a renewal of the fact under way published
// it again.
func TestRenewalDoesNotRestoreALimit(t *testing.T) {
	e := startEntry(t, 0, "1", nil)
	u := throttler.Upstream{Name: "i-0", StartedAt: 7}
	time.Sleep(5 * time.Second) // a process grants nothing right after its start
	e.AnnounceLimit(u, 5)
	await(t, "known limits", 1, func() int { return countKnowing([]*entry{e}, u) })
	renew := e.CheckLimits()
	requestPermits([]*entry{e}, u, time.Second, registrar.Limit{FromUpstream: true})
	await(t, "known limits after the end", 0, func() int { return countKnowing([]*entry{e}, u) })
	renew()
	time.Sleep(time.Second)
	if n := countKnowing([]*entry{e}, u); n > 0 {
		t.Error("the limit is known again")
	}
}
