package throttler_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/throttler"
)

// begin is a time long after the start of the throttler's process.
const begin = 100 * sequoiasill.Second

var up = throttler.Upstream{Name: "i-1", StartedAt: 1}

// newKeeper returns a throttler that has received the reports of both its entries.
func newKeeper(rate float64) *throttler.Throttler {
	t := throttler.New(0, "k", 1)
	t.SetMembers([]string{"e1", "e2"}, 2)
	t.Tick(begin)
	t.HandleAnnouncement(begin, begin, up, rate)
	t.MergeReport(begin, up, report("e1", "p", throttler.SentCalls{}))
	t.MergeReport(begin, up, report("e2", "p", throttler.SentCalls{}))
	return t
}

// report returns the first report of a process.
func report(entry, process string, s throttler.SentCalls) throttler.Report {
	return throttler.Report{Entry: entry, Process: process, Sequence: 1, Sends: []throttler.SentCalls{s}}
}

func call(id uint64) throttler.Call { return throttler.Call{Process: "p", ID: id} }

// granted requests a permit every 10 ms over a span and returns the number of grants. Each
// granted call arrives immediately.
func granted(t *throttler.Throttler, from, span sequoiasill.Millis) int {
	n := 0
	for at := from; at < from+span; at += 10 {
		t.Tick(at)
		id := uint64(at)
		if t.Ask(at, up, "e1", call(id)).Granted {
			t.FinishCall(at, up, call(id), throttler.Arrived)
			n++
		}
	}
	return n
}

func TestGrantsFollowTheLimit(t *testing.T) {
	for name, tc := range map[string]struct {
		rate float64
		want int // in 20 s
	}{
		"under one a second": {0.5, 10},
		"some":               {1.6, 32},
		"many":               {40, 800},
		"none":               {0, 2}, // probes, to detect that the limit has been lifted
	} {
		t.Run(name, func(t *testing.T) {
			got := granted(newKeeper(tc.rate), begin, 20*sequoiasill.Second)
			if got < tc.want-1 || got > tc.want+1 {
				t.Errorf("%d calls granted, %d are wanted", got, tc.want)
			}
		})
	}
}

func TestAsk(t *testing.T) {
	type want struct{ Granted, Lifted bool }
	const at = begin + 2*sequoiasill.Second
	tests := map[string]struct {
		pause sequoiasill.Millis // time without a tick before the request
		setup func(t *throttler.Throttler)
		want  want
	}{
		"a permit is available": {600, func(*throttler.Throttler) {}, want{Granted: true}},
		"all permits are used":  {1000, func(t *throttler.Throttler) { granted(t, at-1000, 1000); granted(t, at, 10) }, want{}},
		"a call of another process with the same ID": {600, func(t *throttler.Throttler) {
			t.Ask(at, up, "e2", throttler.Call{Process: "q", ID: 7})
		}, want{}},
		"asked twice": {600, func(t *throttler.Throttler) { t.Ask(at, up, "e1", call(7)) }, want{Granted: true}},
		"a granted call was not sent": {600, func(t *throttler.Throttler) {
			t.Ask(at, up, "e1", call(6))
			t.FinishCall(at, up, call(6), throttler.Unsent)
		}, want{Granted: true}},
		"the limit was lifted": {600, func(t *throttler.Throttler) {
			t.Ask(at-500, up, "e2", call(5))
			t.HandleResponse(at, up, call(5), 0, false)
		}, want{Lifted: true}},
		"the limit was announced again": {600, func(t *throttler.Throttler) {
			t.Ask(at-500, up, "e2", call(5))
			t.HandleResponse(at-100, up, call(5), 0, false)
			t.HandleAnnouncement(at-50, at-50, up, 1)
		}, want{}},
		"an announcement from before the limit was lifted": {600, func(t *throttler.Throttler) {
			t.Ask(at-500, up, "e2", call(5))
			t.HandleResponse(at-100, up, call(5), 0, false)
			t.HandleAnnouncement(at-50, at-150, up, 1)
		}, want{Lifted: true}},
		"a response to a call granted before the announcement": {600, func(t *throttler.Throttler) {
			t.Ask(at-500, up, "e2", call(5))
			t.HandleAnnouncement(at-100, at-100, up, 1)
			t.HandleResponse(at, up, call(5), 0, false)
		}, want{Granted: true}},
		"the keeper was paused": {1200, func(*throttler.Throttler) {}, want{}},
		"an entry restarted": {600, func(t *throttler.Throttler) {
			t.MergeReport(at, up, report("e2", "q", throttler.SentCalls{Ages: make([]sequoiasill.Millis, 10)}))
		}, want{}},
		"an entry joined": {600, func(t *throttler.Throttler) { t.SetMembers([]string{"e1", "e2", "e3"}, 3) }, want{}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			keeper := newKeeper(1)
			for now := begin; now < at-tc.pause; now += 100 {
				keeper.Tick(now)
			}
			tc.setup(keeper)
			d := keeper.Ask(at, up, "e1", call(7))
			if diff := cmp.Diff(tc.want, want{d.Granted, d.Lifted}); diff != "" {
				t.Errorf("decision (-want +got):\n%s", diff)
			}
			if waits := d.Wait > 0; waits == (d.Granted || d.Lifted) {
				t.Errorf("wait %s beside %+v", d.Wait, d)
			}
		})
	}
}

// A new keeper grants permits once it has the reports of all entries, or once calls sent
// before can no longer count.
func TestNewKeeperWaitsForReports(t *testing.T) {
	tests := map[string]struct {
		report func(t *throttler.Throttler)
		first  sequoiasill.Millis // expected time of the first grant
	}{
		"no reports":         {func(*throttler.Throttler) {}, throttler.CountWindow},
		"one of two reports": {func(t *throttler.Throttler) { t.MergeReport(begin, up, report("e1", "p", throttler.SentCalls{})) }, throttler.CountWindow},
		"both reports": {func(t *throttler.Throttler) {
			t.MergeReport(begin, up, report("e1", "p", throttler.SentCalls{}))
			t.MergeReport(begin, up, report("e2", "p", throttler.SentCalls{}))
		}, 500},
		"both reports with many calls": {func(t *throttler.Throttler) {
			ages := make([]sequoiasill.Millis, 20)
			for i := range ages {
				ages[i] = sequoiasill.Millis(i) * 200
			}
			t.MergeReport(begin, up, report("e1", "p", throttler.SentCalls{Ages: ages}))
			t.MergeReport(begin, up, report("e2", "p", throttler.SentCalls{Outstanding: 2}))
		}, 2300},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			keeper := throttler.New(0, "k", 1)
			keeper.SetMembers([]string{"e1", "e2"}, 2)
			keeper.Tick(begin)
			keeper.HandleAnnouncement(begin, begin, up, 2)
			tc.report(keeper)
			for at := begin; at < begin+10*sequoiasill.Second; at += 100 {
				keeper.Tick(at)
				if !keeper.Ask(at, up, "e1", call(1)).Granted {
					continue
				}
				if late := at - begin - tc.first; late < 0 || late > 200 {
					t.Errorf("first call granted after %s, %s is wanted", at-begin, tc.first)
				}
				return
			}
			t.Error("no call granted")
		})
	}
}

// Granted calls that have not arrived yet count as if they could all arrive at once.
func TestOutstandingCallsCountAgainstTheBound(t *testing.T) {
	keeper := newKeeper(1.6)
	n := 0
	for at := begin; at < begin+9*sequoiasill.Second; at += 50 {
		keeper.Tick(at)
		if keeper.Ask(at, up, "e1", call(uint64(at))).Granted {
			n++
		}
	}
	if n > 13 {
		t.Errorf("%d calls were granted of which none arrived; 14.6 may arrive at once", n)
	}
}

// An entry that sees only a minority of the entries grants its share of the limit.
func TestPartitionedKeeperGrantsItsShare(t *testing.T) {
	for name, tc := range map[string]struct {
		seen, active, want int // in 20 s at 2 calls a second
	}{
		"all":       {9, 9, 40},
		"most":      {5, 9, 40},
		"few":       {3, 9, 13},
		"one alone": {1, 8, 5},
	} {
		t.Run(name, func(t *testing.T) {
			keeper := throttler.New(0, "k", 1)
			var names []string
			for i := range tc.seen {
				names = append(names, fmt.Sprint("e", i))
			}
			keeper.SetMembers(names, tc.active)
			keeper.Tick(begin)
			keeper.HandleAnnouncement(begin, begin, up, 2)
			for _, name := range names {
				keeper.MergeReport(begin, up, report(name, "p", throttler.SentCalls{}))
			}
			got := granted(keeper, begin, 20*sequoiasill.Second)
			if got < tc.want-1 || got > tc.want+1 {
				t.Errorf("%d calls granted, %d are wanted", got, tc.want)
			}
		})
	}
}

// The retry delays keep the permit requests of all entries together to a few for each grant.
func TestAsksStayFew(t *testing.T) {
	const entries, rate, span = 295, 1.6, 60 * sequoiasill.Second
	keeper := throttler.New(0, "k", 1)
	keeper.SetMembers([]string{"e1"}, 1)
	keeper.Tick(begin)
	keeper.HandleAnnouncement(begin, begin, up, rate)
	keeper.MergeReport(begin, up, report("e1", "p", throttler.SentCalls{}))
	next := make([]sequoiasill.Millis, entries)
	asks := 0
	for at := begin; at < begin+span; at += 10 {
		keeper.Tick(at)
		for e := range next {
			if at < next[e] {
				continue
			}
			asks++
			id := uint64(at)<<16 | uint64(e)
			if d := keeper.Ask(at, up, fmt.Sprint(e), call(id)); d.Granted {
				keeper.FinishCall(at, up, call(id), throttler.Arrived)
			} else {
				next[e] = at + d.Wait
			}
		}
	}
	if perSecond := float64(asks) / span.Duration().Seconds(); perSecond > 100 {
		t.Errorf("%.0f asks a second of %d entries", perSecond, entries)
	}
}
