package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"sequoiasill.dev/sequoiasill"
)

// TestCulpritIsFound runs a poisonous request among innocent ones over several
// entries that hear of each other late, and bounds the upstreams that die.
func TestCulpritIsFound(t *testing.T) {
	const (
		entries   = 3
		upstreams = 8
		innocents = 60
		bound     = 3 // eight suspects or so on each of seven upstreams
		poison    = Fingerprint(1)
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
		home := map[Fingerprint]int{poison: r.IntN(entries)}
		for f := Fingerprint(2); f < 2+innocents; f++ {
			home[f] = r.IntN(entries)
		}
		at := make(map[Fingerprint]string)
		for f, e := range home {
			at[f] = names[r.IntN(upstreams)]
			nodes[e].Step(0, Started{Fingerprint: f, Upstream: at[f]})
		}
		dead := make(map[string]bool)
		for now := sequoiasill.Millis(1); now < 30*sequoiasill.Second; {
			die(nodes, all, now, at[poison])
			dead[at[poison]] = true
			now += 3 * sequoiasill.Second
			for _, q := range nodes {
				q.Step(now, Tick{})
			}
			if _, refused := nodes[home[poison]].Refused(now, poison); refused {
				break
			}
			for f, e := range home {
				if !dead[at[f]] {
					continue
				}
				p := nodes[e].Place(now, f, names)
				at[f] = p.Upstream
				if at[f] == "" || dead[at[f]] {
					at[f] = names[r.IntN(upstreams)]
				}
				nodes[e].Step(now, Started{Fingerprint: f, Upstream: at[f]})
			}
		}
		for f, e := range home {
			_, refused := nodes[e].Refused(29*sequoiasill.Second, f)
			if refused != (f == poison) {
				t.Errorf("seed %d: request %d refused: %v", seed, f, refused)
			}
		}
		if len(dead) > bound {
			t.Errorf("seed %d: %d upstreams died, more than %d", seed, len(dead), bound)
		}
	}
}

// die tells one entry of a crash and all others by its report.
func die(nodes []*Quarantiner, names []string, now sequoiasill.Millis, upstream string) {
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
				q.Step(now+sequoiasill.Millis(50), Heard{Upstream: upstream, Entry: from, Suspects: suspects})
			}
		}
	}
}

// TestOutageCondemnsNobody kills several upstreams at once.
func TestOutageCondemnsNobody(t *testing.T) {
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
	if _, refused := q.Refused(25*sequoiasill.Second, 7); refused {
		t.Error("an outage condemned a request")
	}
}

// With as many suspects as the square of the upstreams left, the second crash leaves
// one suspect more than there are upstreams then. It runs after the others, so that
// no two are in flight at the third crash (seen as a fourth crash in TestPoison, with
// 45 to 48 suspects before seven upstreams).
func TestSuspectsBeyondOneAnUpstreamWait(t *testing.T) {
	names := []string{"a", "b", "c"}
	q := New("entry", DefaultOptions())
	suspects := []Fingerprint{1, 2, 3}
	now := sequoiasill.Millis(0)
	// Two crashes leave three suspects of level 2 before two upstreams.
	for _, upstream := range []string{"gone", "a"} {
		for _, f := range suspects {
			q.Step(now, Started{Fingerprint: f, Upstream: upstream})
		}
		q.Step(now, Crashed{Upstream: upstream})
		now += DefaultOptions().Settle
		q.Step(now, Tick{})
		now += 2 * DefaultOptions().Settle
	}
	now -= 2 * DefaultOptions().Settle
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
		t.Errorf("%d wait, placed %v; one should wait and one run on each of b and c", waiting, placed)
	}
	for _, f := range suspects {
		if p := q.Place(now+DefaultOptions().AwaitReports, f, names); p.Wait > 0 {
			t.Errorf("suspect %d still waits after a turn", f)
		}
	}
}
