package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"sequoiasill.dev/sequoiasill"
)

// TestPoisonRequestIsFound runs a poison request among harmless ones on several entries
// that receive each other's reports late, and bounds the number of upstreams that
// crash.
func TestPoisonRequestIsFound(t *testing.T) {
	const (
		entries    = 3
		upstreams  = 8
		harmless   = 60
		maxCrashes = 3 // about eight suspects for seven remaining upstreams
		poison     = Fingerprint(1)
	)
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 7))
		var names []string
		var all []string
		for u := range upstreams {
			names = append(names, fmt.Sprint("up-", u))
		}
		for e := range entries {
			all = append(all, fmt.Sprint("entry-", e))
		}
		var nodes []*Quarantiner
		for _, name := range all {
			q := New(name, DefaultOptions())
			q.Step(0, Entries{Names: all})
			nodes = append(nodes, q)
		}
		entryOf := map[Fingerprint]int{poison: r.IntN(entries)}
		for f := Fingerprint(2); f < 2+harmless; f++ {
			entryOf[f] = r.IntN(entries)
		}
		upstreamOf := make(map[Fingerprint]string)
		for f, e := range entryOf {
			upstreamOf[f] = names[r.IntN(upstreams)]
			nodes[e].Step(0, Started{Fingerprint: f, Upstream: upstreamOf[f]})
		}
		dead := make(map[string]bool)
		for now := sequoiasill.Millis(1); now < 30*sequoiasill.Second; {
			crashUpstream(nodes, all, now, upstreamOf[poison])
			dead[upstreamOf[poison]] = true
			now += 3 * sequoiasill.Second
			for _, q := range nodes {
				q.Step(now, Tick{})
			}
			if _, refused := nodes[entryOf[poison]].Quarantined(now, poison); refused {
				break
			}
			for f, e := range entryOf {
				if !dead[upstreamOf[f]] {
					continue
				}
				p := nodes[e].Place(now, f, names)
				upstreamOf[f] = p.Upstream
				if upstreamOf[f] == "" || dead[upstreamOf[f]] {
					upstreamOf[f] = names[r.IntN(upstreams)]
				}
				nodes[e].Step(now, Started{Fingerprint: f, Upstream: upstreamOf[f]})
			}
		}
		for f, e := range entryOf {
			_, refused := nodes[e].Quarantined(29*sequoiasill.Second, f)
			if refused != (f == poison) {
				t.Errorf("seed %d: request %d refused: %v", seed, f, refused)
			}
		}
		if len(dead) > maxCrashes {
			t.Errorf("seed %d: %d upstreams crashed, more than %d", seed, len(dead), maxCrashes)
		}
	}
}

// crashUpstream reports a crash to every entry, and each entry's report to all others.
func crashUpstream(nodes []*Quarantiner, names []string, now sequoiasill.Millis, upstream string) {
	reports := make(map[string]Levels)
	for i, q := range nodes {
		for _, a := range q.Step(now+sequoiasill.Millis(i), Crashed{Upstream: upstream}) {
			if r, ok := a.(Report); ok {
				reports[names[i]] = r.Suspects
			}
		}
	}
	for i, q := range nodes {
		for from, suspects := range reports {
			if from != names[i] {
				q.Step(now+sequoiasill.Millis(50), ReportReceived{Upstream: upstream, Entry: from, Suspects: suspects})
			}
		}
	}
}

// TestOutageQuarantinesNothing crashes several upstreams at once.
func TestOutageQuarantinesNothing(t *testing.T) {
	q := New("a", DefaultOptions())
	for round := range 3 {
		now := sequoiasill.Millis(round) * 10 * sequoiasill.Second
		for u := range 3 {
			up := fmt.Sprint("up-", round, u)
			q.Step(now, Started{Fingerprint: 7, Upstream: up})
			q.Step(now, Crashed{Upstream: up})
		}
		q.Step(now+3*sequoiasill.Second, Tick{})
	}
	if _, refused := q.Quarantined(25*sequoiasill.Second, 7); refused {
		t.Error("a request was quarantined after an outage")
	}
}

// If the suspects number the square of the remaining upstreams, the second crash leaves
// one suspect more than there are upstreams. That one must run after the others, so
// that no two are in flight at the third crash. Otherwise a fourth crash follows, as
// TestPoison showed with 45 to 48 suspects and seven upstreams.
func TestSurplusSuspectsWait(t *testing.T) {
	names := []string{"a", "b", "c"}
	q := New("entry", DefaultOptions())
	suspects := []Fingerprint{1, 2, 3}
	now := sequoiasill.Millis(0)
	// Two crashes leave three suspects of level 2 and two upstreams.
	for _, upstream := range []string{"gone", "a"} {
		for _, f := range suspects {
			q.Step(now, Started{Fingerprint: f, Upstream: upstream})
		}
		q.Step(now, Crashed{Upstream: upstream})
		now += DefaultOptions().SettleTime
		q.Step(now, Tick{})
		now += 2 * DefaultOptions().SettleTime
	}
	now -= 2 * DefaultOptions().SettleTime
	placed := make(map[string]int)
	waiting := 0
	for _, f := range suspects {
		p := q.Place(now, f, names)
		if p.Wait > 0 {
			waiting++
			continue
		}
		placed[p.Upstream]++
	}
	if waiting != 1 || placed["b"] != 1 || placed["c"] != 1 {
		t.Errorf("%d suspects wait, placed %v; want one waiting and one on each of b and c", waiting, placed)
	}
	for _, f := range suspects {
		if p := q.Place(now+DefaultOptions().AwaitReports, f, names); p.Wait > 0 {
			t.Errorf("suspect %d still waits after AwaitReports", f)
		}
	}
}
