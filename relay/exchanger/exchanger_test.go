package exchanger_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/allotter"
	"sequoiasill.dev/sequoiasill/decide/blamer"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/partblamer"
	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/decide/tallier"
	"sequoiasill.dev/sequoiasill/decide/throttler"
	"sequoiasill.dev/sequoiasill/decide/zonetracker"
	"sequoiasill.dev/sequoiasill/relay/exchanger"
	"sequoiasill.dev/sequoiasill/relay/meter"
	"sequoiasill.dev/sequoiasill/relay/screener"
)

// entry is an Exchanger with fake handlers that record what it received.
type entry struct {
	*exchanger.Exchanger

	mu          sync.Mutex
	raw         []byte
	version     uint64
	replicas    map[string]string
	demand      map[string]float64
	spent       float64
	origin      []byte // content of the store, nil while it is unavailable
	fetches     atomic.Int64
	away        atomic.Bool // the store does not answer this entry
	relists     atomic.Int64
	total       allotter.Totals
	collector   string // collector that published totals
	blamer      *blamer.Blamer
	facts       map[string]string // facts about moves, by key
	sharedBy    int               // number of entries among which limits are divided
	label       string
	address     string
	screener    *screener.Screener
	requests    *screener.Screener
	evacuations []zonetracker.Fact
	limits      map[throttler.Upstream]registrar.KnownLimit
	toldAt      map[throttler.Upstream]sequoiasill.Millis // when a response announced the limit here
}

func (e *entry) Current() ([]byte, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.raw, e.version
}

// Fetch fails while no origin is set, as if the store were unavailable.
func (e *entry) Fetch(context.Context) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.origin == nil {
		return nil, errors.New("store is away")
	}
	e.fetches.Add(1)
	return e.origin, nil
}

// Ping fails while the store does not answer this entry.
func (e *entry) Ping(context.Context) error {
	if e.away.Load() {
		return errors.New("store is away")
	}
	return nil
}

func (e *entry) IsFollowed() bool { return true }

func (e *entry) Relist() { e.relists.Add(1) }

// SetStoreUnavailable also lets pings of the store fail.
func (e *entry) SetStoreUnavailable(unavailable bool) {
	e.away.Store(unavailable)
	e.Exchanger.SetStoreUnavailable(unavailable)
}

// Accept stores a configuration, whose first byte is its version, if it is newer.
func (e *entry) Accept(raw []byte, _ string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if v := uint64(raw[0]); v > e.version {
		e.raw, e.version = raw, v
	}
}

func (e *entry) Announce(r sequoiasill.Replica, _ string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.replicas[r.Name] = fmt.Sprintf("%s draining %t", r.Address, r.Draining)
}

func (e *entry) Remove(name string, _ uint64, _ string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.replicas, name)
}

func (e *entry) RecordDraining(name string, startedAt sequoiasill.Millis, _ string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.replicas[name] = fmt.Sprintf("left, born %d", startedAt)
}

func (e *entry) Totals() allotter.Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	return allotter.Totals{Demand: e.demand, Spent: map[string]float64{"small": e.spent}}
}
func (e *entry) EngineLoads() map[string]float64 { return map[string]float64{"model": 100} }

// RecordBrittle records that a service is brittle as a fact.
func (e *entry) RecordBrittle(service string, rejections float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.facts["brittle "+service] = fmt.Sprint(rejections)
}

// RecordPace records the usual pace of an upstream as a fact.
func (e *entry) RecordPace(upstream string, startedAt sequoiasill.Millis, usual float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.facts["pace "+upstream] = fmt.Sprint(startedAt, usual)
}

// SetEntries records the number of entries among which limits are divided.
func (e *entry) SetEntries(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sharedBy = n
}

func (e *entry) Charges() []blamer.Charge {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.blamer.Charges(sequoiasill.NewSystemClock().Now())
}

func (e *entry) MergeCharges(process string, charges []blamer.Charge) map[blamer.Fingerprint]sequoiasill.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[blamer.Fingerprint]sequoiasill.Millis)
	now := sequoiasill.NewSystemClock().Now()
	for _, f := range e.blamer.SetCharges(now, process, charges) {
		out[f], _ = e.blamer.Refused(now, f)
	}
	return out
}

func (e *entry) Quarantine(f blamer.Fingerprint, until sequoiasill.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.blamer.Refuse(sequoiasill.NewSystemClock().Now(), f, until)
}

func (e *entry) KnownLimit(u throttler.Upstream) registrar.KnownLimit {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := e.limits[u]
	if k.Direct {
		k.Age = sequoiasill.NewSystemClock().Now() - e.toldAt[u]
	}
	return k
}

func (e *entry) RecordLimit(u throttler.Upstream, perSecond float64, _ string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.limits[u].Active {
		e.limits[u] = registrar.KnownLimit{Active: true, PerSecond: perSecond}
	}
}

func (e *entry) RecordLimitLifted(u throttler.Upstream, _ string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.limits, u)
}

func (e *entry) ClearTotals() {}
func (e *entry) SetTotals(sum allotter.Sum) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.total, e.collector = sum.All, sum.Source
}

// HandleFact records a fact about moves.
func (e *entry) HandleFact(f gossiper.Fact) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.facts[f.Key] = string(f.Value)
}

// totalSpent returns the total spent that this entry received.
func (e *entry) totalSpent() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.total.Spent["small"]
}

// startEntry starts a process of an entry that initially knows only the seeds.
func startEntry(t *testing.T, number int, session string, seeds map[string]string) *entry {
	t.Helper()
	return startReportingEntry(t, number, session, seeds, 0)
}

// startReportingEntry starts a process of an entry that reports at an interval, 0 for the default.
func startReportingEntry(t *testing.T, number int, session string, seeds map[string]string, interval sequoiasill.Millis) *entry {
	t.Helper()
	name := fmt.Sprintf("e%d", number)
	clock := sequoiasill.NewSystemClock()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.ListenPacket("udp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	e := &entry{
		label: name, address: l.Addr().String(), replicas: make(map[string]string), demand: map[string]float64{"small": float64(10 * (number + 1))}, spent: 7,
		blamer: blamer.New(blamer.DefaultOptions()), facts: make(map[string]string), limits: make(map[throttler.Upstream]registrar.KnownLimit), toldAt: make(map[throttler.Upstream]sequoiasill.Millis),
		screener: screener.New(partblamer.New(partblamer.DefaultOptions()), clock, meter.New(), hclog.NewNullLogger()),
		requests: screener.NewOfRequests(partblamer.New(partblamer.RequestOptions()), clock, meter.New(), hclog.NewNullLogger()),
	}
	opts := exchanger.Options{Name: name, Session: session, Zone: "a", Address: e.address, Seeds: seeds, MinEntries: 1, MinReportInterval: interval}
	tl := tallier.New(name+"/"+session, 5*sequoiasill.Second, 4)
	e.Exchanger = exchanger.New(opts, conn, l, tl, exchanger.Handlers{Configs: e, Origin: e, Store: e, Replicas: e, Calls: e, Moves: e, Screener: e.screener, Requests: e.requests, Evacuations: e}, clock, clock, uint64(number+1), hclog.NewNullLogger())
	t.Cleanup(e.Close)
	return e
}

// cluster starts n entries that initially know only the address of the first.
func cluster(t *testing.T, n int) []*entry {
	t.Helper()
	return reportingCluster(t, n, 0)
}

// reportingCluster is cluster with entries that report at an interval, 0 for the default.
func reportingCluster(t *testing.T, n int, interval sequoiasill.Millis) []*entry {
	t.Helper()
	var out []*entry
	var seeds map[string]string
	for i := range n {
		e := startReportingEntry(t, i, "1", seeds, interval)
		if i == 0 {
			seeds = map[string]string{"first": e.address}
		}
		out = append(out, e)
	}
	await(t, "members", n, func() int {
		fewest := n
		for _, e := range out {
			fewest = min(fewest, e.Entries())
		}
		return fewest
	})
	return out
}

func await[T any](t *testing.T, what string, want T, get func() T) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for {
		diff := cmp.Diff(want, get())
		if diff == "" {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s (-want +got):\n%s", what, diff)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// An entry that falls silent may merely be partitioned and still spend its share, so the
// shares of the others must not grow. An entry that announced that it is leaving gives
// up its share.
func TestSharesOfSilentEntriesStay(t *testing.T) {
	tests := map[string]struct {
		end  func(e *entry)
		want int
	}{
		"silent":  {func(*entry) {}, 3},
		"leaving": {func(e *entry) { e.Leave() }, 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			all := cluster(t, 3)
			tc.end(all[2])
			all[2].Close()
			await(t, "live entries", 2, all[0].Entries)
			// The number is updated shortly after.
			time.Sleep(time.Second)
			all[0].mu.Lock()
			defer all[0].mu.Unlock()
			if diff := cmp.Diff(tc.want, all[0].sharedBy); diff != "" {
				t.Errorf("entries among which limits are divided (-want +got):\n%s", diff)
			}
		})
	}
}

// Entries without access to the store must receive the configuration and upstreams from
// other entries.
func TestUpdatesReachAll(t *testing.T) {
	entries := cluster(t, 5)
	body := append([]byte{7}, make([]byte, 100<<10)...)
	entries[2].Accept(body, "store")
	entries[2].AnnounceConfig(7)
	entries[3].AnnounceUpstream(sequoiasill.Replica{Name: "r", Address: "10.0.0.1:1", Revision: 3})
	for _, e := range entries {
		await(t, "version", 7, func() int { _, v := e.Current(); return int(v) })
		await(t, "size of the configuration", len(body), func() int { raw, _ := e.Current(); return len(raw) })
	}
	entries[4].AnnounceUpstream(sequoiasill.Replica{Name: "r", Address: "10.0.0.1:1", Draining: true, Revision: 5})
	for _, e := range entries[:3] {
		await(t, "replica", "10.0.0.1:1 draining true", func() string {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.replicas["r"]
		})
	}
	entries[0].AnnounceRemoval("r", 6)
	await(t, "replicas", 0, func() int {
		entries[1].mu.Lock()
		defer entries[1].mu.Unlock()
		return len(entries[1].replicas)
	})
}

// Entries with access to the store must read a new configuration there. When all pulled
// it from one entry, its link was too slow to deliver the configuration in time (seen
// with 90 entries and 1,400 additional routes).
func TestConfigurationComesFromTheStore(t *testing.T) {
	entries := cluster(t, 4)
	body := append([]byte{9}, make([]byte, 10<<10)...)
	for _, e := range entries[1:] {
		e.mu.Lock()
		e.origin = body
		e.mu.Unlock()
	}
	entries[0].Accept(body, "store")
	entries[0].AnnounceConfig(9)
	for _, e := range entries[1:] {
		await(t, "version", 9, func() int { _, v := e.Current(); return int(v) })
		if e.fetches.Load() == 0 {
			t.Error("configuration was not fetched from the store")
		}
	}
}

// One entry per zone and two more must watch the store. Others must replace those to
// which it is unavailable, and some must keep watching when it is unavailable to all.
func TestWatchers(t *testing.T) {
	entries := cluster(t, 5)
	watchers := func(e *entry) func() int { return func() int { _, total := e.WatchPosition(); return total } }
	watches := func(e *entry) func() bool { return func() bool { place, _ := e.WatchPosition(); return place >= 0 } }
	await(t, "watchers", 3, watchers(entries[0]))
	for i, e := range entries {
		if watches(e)() {
			e.SetStoreUnavailable(true)
			await(t, "the next watcher", false, watches(e))
			await(t, "watchers", 3, watchers(entries[(i+1)%5]))
			break
		}
	}
	for _, e := range entries {
		e.SetStoreUnavailable(true)
	}
	for _, e := range entries {
		await(t, "watchers without a store", 3, watchers(e))
	}
	await(t, "places", []int{0, 1, 2}, func() []int {
		var places []int
		for _, e := range entries {
			if place, _ := e.WatchPosition(); place >= 0 {
				places = append(places, place)
			}
		}
		slices.Sort(places)
		return places
	})
}

// Collectors must aggregate the demand and usage of all entries, and all entries must
// receive the total demand.
func TestSums(t *testing.T) {
	entries := cluster(t, 5)
	now := sequoiasill.NewSystemClock().Now()
	window := int64(now / (5 * sequoiasill.Second))
	for i, e := range entries {
		for range i + 1 {
			e.CountUsage("small", now)
		}
	}
	for _, e := range entries {
		await(t, "demand of all", map[string]float64{"small": 150}, func() map[string]float64 {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.total.Demand
		})
		await(t, "work of all", 500.0, func() float64 { sum, _ := e.Sum(); return sum.Work["model"] })
	}
	// The total spent grows by what entries spend after their first report, whatever they
	// had spent before.
	before := entries[0].totalSpent()
	for _, e := range entries {
		e.mu.Lock()
		e.spent += 10
		e.mu.Unlock()
	}
	await(t, "spent by all", before+50, entries[0].totalSpent)
	holder := -1
	for i, e := range entries {
		if e.Rank() < 0 {
			holder = i
		}
	}
	// The lease holder receives reports even if it is not a collector.
	entries[holder].AnnounceHolder(3)
	await(t, "usage at the holder", tallier.Counts{"small": 15}, func() tallier.Counts { return entries[holder].Total(window) })
	for _, e := range entries {
		if e.Rank() >= 0 {
			await(t, "usage at a collector", tallier.Counts{"small": 15}, func() tallier.Counts { return e.Total(window) })
		}
	}
}

// Guards against QUOTA: a surge of an organisation that one entry reports must reach all entries before the
// next reports are due.
func TestSurgeReachesAllAtOnce(t *testing.T) {
	const surge = 50_000.0
	entries := reportingCluster(t, 5, sequoiasill.Millis(time.Hour.Milliseconds()))
	reporting := entries[4]
	reporting.mu.Lock()
	reporting.demand = map[string]float64{"small": surge}
	reporting.mu.Unlock()
	reporting.ReportState()
	for _, e := range entries {
		await(t, "the total holds the surge at "+e.label, true, func() bool {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.total.Demand["small"] >= surge
		})
	}
}

// An upstream's announcement to one entry that it is draining must reach all entries.
func TestDrainingReachesAll(t *testing.T) {
	entries := cluster(t, 4)
	entries[1].AnnounceDraining("r", 77)
	for _, e := range entries[2:] {
		await(t, "upstream", "left, born 77", func() string {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.replicas["r"]
		})
	}
}

// When upstreams seem to crash under the same request at three entries, once each, all
// entries must refuse the request.
func TestQuarantineReachesAll(t *testing.T) {
	entries := cluster(t, 5)
	for i, e := range entries[2:] {
		e.requests.RecordCrash(crashUnder(7, uint64(i)))
		time.Sleep(200 * time.Millisecond)
	}
	for _, e := range entries {
		await(t, "refused", []partblamer.Signature{{7}}, e.requests.Quarantined)
	}
}

// Charges of an entry of an older build count with the crashes that others report.
func TestChargesOfOlderBuildsCount(t *testing.T) {
	entries := cluster(t, 4)
	older := exchanger.State{Process: "old/1", Charges: []blamer.Charge{{Fingerprint: 7, Upstream: 1, At: sequoiasill.NewSystemClock().Now() - sequoiasill.Second}}}
	for i, e := range entries[2:] {
		e.requests.RecordCrash(crashUnder(7, uint64(i+2)))
		time.Sleep(200 * time.Millisecond)
	}
	for _, e := range entries {
		if err := e.HandleState("old", older); err != nil {
			t.Fatal(err)
		}
	}
	for _, e := range entries {
		await(t, "refused", []partblamer.Signature{{7}}, e.requests.Quarantined)
	}
}

// The status of a move must reach all entries, its evidence only the collectors.
func TestMoveFactsAreSent(t *testing.T) {
	entries := cluster(t, 5)
	entries[0].Publish("move/a", 1, []byte("status"), true, sequoiasill.Minute)
	for _, e := range entries {
		e.SendToCollectors("evidence/a/"+e.label, 1, []byte("counts"))
	}
	fact := func(e *entry, key string) func() string {
		return func() string {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.facts[key]
		}
	}
	for _, e := range entries[1:] {
		await(t, "status", "status", fact(e, "move/a"))
	}
	for _, e := range entries {
		for _, from := range entries {
			if e != from && e.Rank() >= 0 {
				await(t, "evidence", "counts", fact(e, "evidence/a/"+from.label))
			}
			if e != from && e.Rank() < 0 && fact(e, "evidence/a/"+from.label)() != "" {
				t.Error("an entry that is not a collector received evidence")
			}
		}
	}
}
