package registrar_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// coldWave plays entries under full load while a third of the upstreams turn cold twice.
type coldWave struct {
	rand      *rand.Rand
	entries   []*registrar.Registrar
	upstreams []sequoiasill.Replica
	turns     []sequoiasill.Millis                                   // of the cold upstreams
	sends     map[int][]sequoiasill.Millis                           // by upstream
	heard     map[*registrar.Registrar]map[string]sequoiasill.Millis // when an entry last heard of cold upstreams
	refused   int
}

const (
	waveCold   = 30
	waveTime   = 3000 * sequoiasill.Millis(1)
	waveStep   = 5 * sequoiasill.Millis(1)
	waveSecond = 29 // 16 x 1.5 + 5
)

func newColdWave(seed uint64, rates map[string]float64, known func(entry int) int) *coldWave {
	w := &coldWave{rand: rand.New(rand.NewPCG(seed, 0)), sends: make(map[int][]sequoiasill.Millis), heard: make(map[*registrar.Registrar]map[string]sequoiasill.Millis)}
	for i := range 90 {
		w.upstreams = append(w.upstreams, sequoiasill.Replica{Name: fmt.Sprintf("i-%02d", i), Service: "model", Address: "10.0.0.1:80", Slots: 16, Revision: 1})
	}
	for i := range 62 {
		r := registrar.New(registrar.DefaultOptions(), seed<<8+uint64(i))
		r.SetColdRates(rates)
		r.SetColdEntries(known(i))
		r.Reconcile(0, w.upstreams, 1)
		w.entries = append(w.entries, r)
	}
	return w
}

// play turns the upstreams cold at the given times. Entries hear of it up to 300 ms later.
func (w *coldWave) play(turns ...sequoiasill.Millis) {
	w.turns = turns
	perStep := 2000 * float64(waveStep) / float64(sequoiasill.Second) / float64(len(w.entries))
	for now := sequoiasill.Millis(0); now < turns[len(turns)-1]+waveTime; now += waveStep {
		for e, r := range w.entries {
			for round, turn := range turns {
				for i := range waveCold {
					if delay := sequoiasill.Millis((e*7+i*13)%60) * waveStep; now == turn+delay {
						w.hear(now, r, i, uint64(round+2))
					}
				}
			}
			for w.rand.Float64() < perStep/(1+perStep) {
				w.call(now, r)
			}
		}
	}
}

// call sends a call to an upstream that is cold if one is a candidate, as these have the least load.
func (w *coldWave) call(now sequoiasill.Millis, r *registrar.Registrar) {
	candidates := r.Candidates(now, "model")
	if len(candidates) == 0 {
		w.refused++
		return
	}
	chosen := candidates[w.rand.IntN(len(candidates))].Replica
	var cold []registrar.Candidate
	for _, c := range candidates {
		if at, known := w.heard[r][c.Replica.Name]; known && now < at+waveTime {
			cold = append(cold, c)
		}
	}
	if len(cold) > 0 {
		chosen = cold[w.rand.IntN(len(cold))].Replica
	}
	r.CallSent(chosen.Name, 0)
	if r.MaySend(now, chosen, false) {
		var i int
		_, _ = fmt.Sscanf(chosen.Name, "i-%d", &i)
		w.sends[i] = append(w.sends[i], now)
	}
	r.CallEnded(now, chosen.Name, 0, registrar.Succeeded)
}

// hear tells an entry that an upstream is cold from now on.
func (w *coldWave) hear(now sequoiasill.Millis, r *registrar.Registrar, i int, revision uint64) {
	u := w.upstreams[i]
	u.Revision, u.ColdFor = revision, waveTime
	r.Announce(now, u)
	if w.heard[r] == nil {
		w.heard[r] = make(map[string]sequoiasill.Millis)
	}
	w.heard[r][u.Name] = now
}

// busiest returns the largest number of requests that a cold upstream got in a second, and the number
// of requests that cold upstreams got.
func (w *coldWave) busiest() (most, total int) {
	for i := range waveCold {
		for _, turn := range w.turns {
			var inside []sequoiasill.Millis
			for _, at := range w.sends[i] {
				if at >= turn && at < turn+waveTime {
					inside = append(inside, at)
				}
			}
			total += len(inside)
			for from, to := 0, 0; to < len(inside); to++ {
				for inside[to]-inside[from] >= sequoiasill.Second {
					from++
				}
				most = max(most, to-from+1)
			}
		}
	}
	return most, total
}

// Guards against more requests in a second than a cold upstream withstands, from entries that know
// different numbers of entries. Without shares, the idle upstreams attract all calls.
func TestColdWaveStaysWithinTheRate(t *testing.T) {
	rates := map[string]float64{"model": 16}
	tests := map[string]struct {
		rates  map[string]float64
		known  func(entry int) int
		within bool
	}{
		"without shares":                    {nil, func(int) int { return 62 }, false},
		"with shares":                       {rates, func(int) int { return 62 }, true},
		"one entry knows 16 entries":        {rates, func(e int) int { return map[bool]int{true: 16, false: 62}[e == 5] }, true},
		"half of the entries know half":     {rates, func(e int) int { return 31 + e%2*31 }, true},
		"the number of entries is unknown":  {rates, func(int) int { return 380 }, true},
		"one entry knows only the smallest": {rates, func(e int) int { return map[bool]int{true: 6, false: 62}[e == 5] }, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newColdWave(1, tc.rates, tc.known)
			w.play(500, 4000)
			most, total := w.busiest()
			t.Logf("at most %d requests in a second, %d in all, %d calls refused", most, total, w.refused)
			if within := most <= waveSecond; within != tc.within || w.refused > 0 || total == 0 {
				t.Errorf("within the rate: %t, %t is wanted; %d refused, %d sent", within, tc.within, w.refused, total)
			}
		})
	}
}

// Guards against a burst when a restarted fleet learns its size at the same time.
func TestColdSharesWhenTheNumberOfEntriesBecomesKnown(t *testing.T) {
	w := newColdWave(1, map[string]float64{"model": 16}, func(int) int { return 380 })
	w.turns = []sequoiasill.Millis{0}
	for now := sequoiasill.Millis(0); now < waveTime; now += 2 * waveStep {
		for _, r := range w.entries {
			if now == 0 {
				for i := range waveCold {
					w.hear(0, r, i, 2)
				}
			}
			if now == 1500 {
				r.SetColdEntries(62)
			}
			w.call(now, r)
		}
	}
	most, total := w.busiest()
	t.Logf("at most %d requests in a second, %d in all", most, total)
	if most > waveSecond || total == 0 {
		t.Errorf("at most %d requests in a second, %d in all", most, total)
	}
}

// Guards against sends outside the share by each way on which a request reaches a cold upstream.
func TestColdShareBoundsEverySend(t *testing.T) {
	u := replica("a", 1)
	cold := func(r *registrar.Registrar, now, coldFor sequoiasill.Millis) {
		r.ColdAnnounced(now, u, coldFor)
	}
	type state struct {
		Candidates, Probes int
		MaySend, MayProbe  bool
	}
	tests := map[string]struct {
		play func(r *registrar.Registrar)
		want state
	}{
		"not cold":                {func(*registrar.Registrar) {}, state{1, 1, true, true}},
		"after a send":            {func(r *registrar.Registrar) { cold(r, 0, 9000); r.MaySend(9000-1, u, false) }, state{}},
		"after a probe":           {func(r *registrar.Registrar) { cold(r, 0, 9000); r.MayProbe(9000-1, "a") }, state{}},
		"turned cold after calls": {func(r *registrar.Registrar) { r.MaySend(8990, u, false); cold(r, 8995, 3000) }, state{}},
		"record after it": {func(r *registrar.Registrar) {
			next := u
			next.Revision, next.ColdFor = 2, 5000
			r.Announce(6000, next)
			r.MaySend(9000-1, u, false)
		}, state{}},
		"chosen for another call": {func(r *registrar.Registrar) { cold(r, 0, 9000); r.CallSent("a", 0) }, state{0, 0, true, true}},
		"the cold time is over":   {func(r *registrar.Registrar) { cold(r, 0, 8000); r.MaySend(7999, u, false) }, state{1, 1, true, true}},
		"another service":         {func(r *registrar.Registrar) { r.SetColdRates(map[string]float64{"x": 1}); cold(r, 0, 9900) }, state{1, 1, true, true}},
		"another incarnation": {func(r *registrar.Registrar) {
			other := u
			other.StartedAt = 7
			r.ColdAnnounced(8990, other, 3000)
		}, state{1, 1, true, true}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(registrar.DefaultOptions(), 1)
			r.SetColdRates(map[string]float64{"model": 16})
			r.SetColdEntries(8) // a send each second
			r.Announce(0, u)
			tc.play(r)
			got := state{Candidates: len(r.Candidates(9000, "model")), Probes: len(r.Probeable(9000, "model"))}
			// Each send takes from the share, so that the two are tried at states of their own.
			got.MaySend = r.MaySend(9000, u, false)
			again := registrar.New(registrar.DefaultOptions(), 1)
			again.SetColdRates(map[string]float64{"model": 16})
			again.SetColdEntries(8)
			again.Announce(0, u)
			tc.play(again)
			got.MayProbe = again.MayProbe(9000, "a")
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("state (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a refusal without the time at which a cold upstream takes calls again, and against a
// time after the end of its cold time.
func TestNextAvailableOfColdUpstreams(t *testing.T) {
	r := registrar.New(registrar.DefaultOptions(), 1)
	r.SetColdRates(map[string]float64{"model": 16})
	r.SetColdEntries(8)
	r.Announce(0, replica("a", 1))
	r.ColdAnnounced(0, replica("a", 1), 9000)
	r.MaySend(5000, replica("a", 1), false)
	if wait, known := r.NextAvailable(5400, "model"); !known || wait != 600 {
		t.Errorf("next available in %s, %t; want 600ms", wait, known)
	}
	r.SetColdEntries(380)
	if wait, known := r.NextAvailable(8900, "model"); !known || wait < 100 || wait > 600 {
		t.Errorf("next available in %s, %t; want the end of the cold time", wait, known)
	}
	if diff := cmp.Diff(registrar.Unavailable{Cold: 1}, r.Unavailable(8900, "model")); diff != "" {
		t.Errorf("unavailable upstreams (-want +got):\n%s", diff)
	}
}

// Guards against records that are read again, as after a reconnect, making an upstream cold again, and
// against the loss of the time when an older build passed the record on first.
func TestColdTimeOfARecordCountsOnce(t *testing.T) {
	r := registrar.New(registrar.DefaultOptions(), 1)
	r.SetColdRates(map[string]float64{"model": 16})
	u := replica("a", 1)
	r.Announce(0, u)
	u.ColdFor = 3000
	r.Announce(100, u)
	if got := r.ColdStats(200).Cold; got != 1 {
		t.Errorf("%d cold upstreams after the complete record, 1 is wanted", got)
	}
	r.Announce(8000, u)
	if got := r.ColdStats(8000).Cold; got != 0 {
		t.Errorf("%d cold upstreams by a record that was read again", got)
	}
	if got := len(r.ColdStarts()); got != 1 {
		t.Errorf("%d cold times reported, 1 is wanted", got)
	}
}

// Guards against the end of a call releasing the reservation of another one, so that more calls choose a
// cold upstream than its share has room for, and against a reservation that outlives its call.
func TestReservationOfAColdUpstream(t *testing.T) {
	tests := map[string]struct {
		ended registrar.Outcome
		want  int
	}{
		"an earlier call succeeds": {registrar.Succeeded, 0},
		"an earlier call fails":    {registrar.Failed, 0},
		"withheld":                 {registrar.Abandoned, 1},
		"not reached":              {registrar.Unreachable, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(registrar.DefaultOptions(), 1)
			r.SetColdRates(map[string]float64{"model": 16})
			r.SetColdEntries(8)
			r.Announce(0, replica("a", 1))
			r.CallSent("a", 0)
			r.MaySend(0, replica("a", 1), false)
			r.ColdAnnounced(100, replica("a", 1), 9000)
			r.CallSent("a", 0)
			r.CallEnded(5000, "a", 0, tc.ended)
			if got := len(r.Candidates(8000, "model")); got != tc.want {
				t.Errorf("%d candidates, %d are wanted", got, tc.want)
			}
		})
	}
}
