package reserver

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

// testOptions has a budget of 1,000 bytes, 800 of them for large shares.
func testOptions() Options {
	return Options{Bytes: 1000, SmallBytes: 100, LargeBytes: 800, MaxConnections: 4, StallTime: 1000, ProgressBytes: 50, ProgressDivisor: 10}
}

// open is a connection before the decision.
type open struct {
	phase Phase
	share int64
	// progress is the time of its latest progress.
	progress sequoiasill.Millis
}

// Guards against closing the wrong connection when the budget is used up: running calls, callers that make
// progress before those that stall, or small shares before large ones.
func TestReserve(t *testing.T) {
	const now = 5000
	tests := map[string]struct {
		open  map[ID]open
		share int64 // of the connection that reserves, before
		bytes int64
		want  []ID
		ok    bool
	}{
		"fits":                                {map[ID]open{1: {Reading, 300, 0}}, 10, 400, nil, true},
		"largest stalled":                     {map[ID]open{1: {Reading, 300, 0}, 2: {Reading, 400, 0}}, 10, 400, []ID{2}, true},
		"two stalled":                         {map[ID]open{1: {Reading, 300, 0}, 2: {Reading, 400, 0}}, 10, 700, []ID{2, 1}, true},
		"stalled before larger with progress": {map[ID]open{1: {Reading, 510, now}, 2: {Reading, 400, 0}}, 10, 90, []ID{2}, true},
		"stalled before its first request":    {map[ID]open{1: {Idle, 700, 0}, 2: {Reading, 90, now}}, 10, 200, []ID{1}, true},
		"large, others make progress":         {map[ID]open{1: {Reading, 400, now}, 2: {Reading, 390, now}}, 10, 200, nil, false},
		"small, others make progress":         {map[ID]open{1: {Reading, 600, now}, 2: {Reading, 390, now}}, 10, 80, []ID{1}, true},
		"small, larger small ones":            {map[ID]open{1: {Running, 850, 0}, 2: {Reading, 95, now}, 3: {Reading, 40, now}}, 10, 40, []ID{2}, true},
		"small, no larger ones":               {map[ID]open{1: {Running, 850, 0}, 2: {Reading, 70, now}, 3: {Reading, 70, now}}, 10, 70, nil, false},
		"small, calls run":                    {map[ID]open{1: {Running, 600, 0}, 2: {Running, 200, 0}}, 10, 80, nil, true},
		"large, calls run":                    {map[ID]open{1: {Running, 600, 0}, 2: {Running, 190, 0}}, 10, 200, nil, false},
		"large alone beyond the budget":       {map[ID]open{1: {Idle, 10, now}}, 10, 2000, nil, true},
		"many were closed just now":           {map[ID]open{1: {Reading, 300, 0}, 2: {Reading, 300, 0}, 3: {Reading, 190, 0}}, 10, 700, []ID{1, 2}, false},
		"of equals the longest stalled":       {map[ID]open{1: {Reading, 400, 10}, 2: {Reading, 400, 5}}, 10, 200, []ID{2}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(testOptions())
			for id, o := range tc.open {
				r.holders[id] = &holder{phase: o.phase, share: o.share, progressAt: o.progress, connection: true}
				r.held += o.share
				r.connections++
			}
			const self = 9
			r.holders[self] = &holder{phase: Reading, share: tc.share, progressAt: now, connection: true}
			r.held += tc.share
			closed, ok := r.Reserve(now, self, tc.bytes)
			checkClosed(t, closed, tc.want)
			if diff := cmp.Diff(tc.ok, ok); diff != "" {
				t.Errorf("reserved (-want +got):\n%s", diff)
			}
		})
	}
}

func checkClosed(t *testing.T, closed []Closing, want []ID) {
	t.Helper()
	var got []ID
	for _, c := range closed {
		got = append(got, c.ID)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("closed (-want +got):\n%s", diff)
	}
}

// Guards against new callers that are kept out by connections without a request, and against closing calls
// for new connections.
func TestOpenBeyondMaxConnections(t *testing.T) {
	const now = 5000
	tests := map[string]struct {
		phases map[ID]Phase
		since  map[ID]sequoiasill.Millis
		want   []ID
		ok     bool
	}{
		"the longest idle":           {map[ID]Phase{1: Idle, 2: Reading, 3: Idle, 4: Running}, map[ID]sequoiasill.Millis{1: 4900, 3: 4800}, []ID{3}, true},
		"a stalled one, none idle":   {map[ID]Phase{1: Running, 2: Reading, 3: Reading, 4: Running}, map[ID]sequoiasill.Millis{2: 4900, 3: 3000}, []ID{3}, true},
		"none that may be closed":    {map[ID]Phase{1: Running, 2: Running, 3: Running, 4: Running}, nil, nil, false},
		"all send at ordinary speed": {map[ID]Phase{1: Reading, 2: Reading, 3: Reading, 4: Reading}, map[ID]sequoiasill.Millis{1: now, 2: now, 3: now, 4: now}, nil, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(testOptions())
			for id, p := range tc.phases {
				r.Open(tc.since[id], id, 10)
				r.SetPhase(tc.since[id], id, p)
			}
			closed, ok := r.Open(now, 9, 10)
			checkClosed(t, closed, tc.want)
			if diff := cmp.Diff(tc.ok, ok); diff != "" {
				t.Errorf("opened (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against callers that hold much and count as making progress with a few bytes.
func TestProgressIsProportionalToShare(t *testing.T) {
	tests := map[string]struct {
		share, received int64
		want            bool // stalled
	}{
		"small, sends a little":  {100, 50, false},
		"large, sends a little":  {5000, 50, true},
		"large, sends its part":  {5000, 500, false},
		"small, sends too slow":  {100, 49, true},
		"nothing, sends nothing": {0, 0, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(testOptions())
			r.holders[1] = &holder{phase: Reading, share: tc.share, connection: true}
			r.Received(1500, 1, tc.received)
			_, got := r.largestStalled(2000, 9)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("stalled (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against shares that leak or are released twice, whatever the order of events, and against a sum
// beyond the budget unless a single large share makes it.
func TestBudgetIsReleasedOnEveryPath(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		r := New(testOptions())
		const ids = 12
		for now := range sequoiasill.Millis(3000) {
			id := ID(random.IntN(ids)) + 1
			_, ending := r.closing[id] // IDs are not used again before their end
			_, known := r.holders[id]
			switch action := random.IntN(6); {
			case ending && action < 3:
				r.Close(id)
			case ending:
			case !known && action < 3:
				r.Open(now*10, id, 10)
			case !known && action == 3:
				r.Hold(now*10, id, 50)
			case action == 0:
				r.Close(id)
			case action == 1:
				r.SetPhase(now*10, id, Phase(random.IntN(3)))
			case action == 2:
				r.Release(id, random.Int64N(400))
			default:
				r.Reserve(now*10, id, random.Int64N(300))
			}
			var sum, others int64
			for _, h := range r.holders {
				sum += h.share
			}
			totals := r.Totals()
			others = sum - totals.Largest
			if sum != totals.Held || others > testOptions().Bytes || totals.Connections > testOptions().MaxConnections {
				t.Fatalf("seed %d, time %d: shares add up to %d, totals %+v", seed, now, sum, totals)
			}
		}
		for id := range ID(ids + 1) {
			r.Close(id)
		}
		if diff := cmp.Diff(Totals{}, r.Totals()); diff != "" {
			t.Errorf("seed %d: totals after all were closed (-want +got):\n%s", seed, diff)
		}
	}
}
