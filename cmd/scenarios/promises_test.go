package scenarios

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/asker"
	"sequoiasill.dev/sequoiasill/cmd/internal/stacker"
	"sequoiasill.dev/sequoiasill/standin/engine"
	"sequoiasill.dev/sequoiasill/standin/platform"
	"sequoiasill.dev/sequoiasill/standin/service"
)

// TestAnswersSurviveNotice announces the end of an entry with many answers in
// progress. Every caller gets every byte of its own answer.
func TestAnswersSurviveNotice(t *testing.T) {
	const each = 100
	for name, tc := range map[string]struct {
		notice sequoiasill.Millis
		tokens int
	}{
		"1 s":  {notice: sequoiasill.Second, tokens: 400},
		"5 s":  {notice: 5 * sequoiasill.Second, tokens: 900},
		"30 s": {notice: 30 * sequoiasill.Second, tokens: 400},
	} {
		t.Run(name, func(t *testing.T) {
			s := startStack(t, 3, 4, 0, 1)
			first := asker.New(bearerKey, func() []string {
				if s.Entries[0].Server.Ready() {
					return []string{s.Entries[0].Address}
				}
				return s.Ready()
			})
			l := startLoad(first, each, tc.tokens)
			awaitRequests(t, s, 2*each)
			s.Platform.Announce(s.Entries[0].Name, tc.notice)
			l.check(t)
		})
	}
}

// awaitRequests waits until the engines have so many requests, which the entries
// have accepted then.
func awaitRequests(t *testing.T, s *stacker.Stack, want int) {
	t.Helper()
	late := time.Now().Add(awaitSpan)
	for {
		got := 0
		for _, e := range s.Engines {
			got += e.Engine.Counts().Requests
		}
		if got >= want {
			return
		}
		if time.Now().After(late) {
			t.Fatalf("engines have %d of %d requests", got, want)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestUpstreamDiesMidStream kills an engine without notice.
func TestUpstreamDiesMidStream(t *testing.T) {
	s := startStack(t, 2, 3, 0, 1)
	l := startLoad(newAsker(s), 20, 150)
	time.Sleep(200 * time.Millisecond)
	s.Engines[0].Engine.Kill()
	l.check(t)
	if n := recomputed(s); n == 0 {
		t.Error("no token was computed again, so no stream was on the engine that died")
	}
}

func recomputed(s *stacker.Stack) int {
	n := 0
	for _, e := range s.Engines {
		n += e.Engine.Counts().Recomputed
	}
	return n
}

// TestZoneLost announces the loss of a zone with its entry and engines, and of a
// second zone's engines during the first, with engines that export their KV cache
// and, as the baseline, with ones that don't.
func TestZoneLost(t *testing.T) {
	for name, export := range map[string]bool{"with KV export": true, "without KV export": false} {
		t.Run(name, func(t *testing.T) {
			s := startStack(t, 3, 6, 0, 1)
			for _, u := range s.Engines {
				u.Engine.SetFaults(engine.Faults{NoExport: !export})
			}
			l := startLoad(newAsker(s), 60, 500)
			time.Sleep(200 * time.Millisecond)
			loseZone(s, stacker.Zones[0], true)
			time.Sleep(time.Second)
			loseZone(s, stacker.Zones[1], false)
			l.check(t)
			imported, again := 0, recomputed(s)
			for _, e := range s.Engines {
				imported += e.Engine.Counts().Imported
			}
			t.Logf("tokens imported %d, computed again %d", imported, again)
			if (imported > 0) != export || !export && again == 0 {
				t.Errorf("tokens imported %d, computed again %d", imported, again)
			}
		})
	}
}

// loseZone announces the end of a zone's engines and, if asked to, entries.
func loseZone(s *stacker.Stack, zone string, entries bool) {
	const notice = 2 * sequoiasill.Second
	for _, e := range s.Entries {
		if e.Zone == zone && entries {
			s.Platform.Announce(e.Name, notice)
		}
	}
	for _, u := range s.Engines {
		if u.Instance.Zone == zone {
			s.Platform.Announce(u.Instance.Name, notice)
			time.AfterFunc(notice.Duration(), u.Engine.Kill)
		}
	}
}

// TestCrossedAnswers has upstreams answer with other requests' ids.
func TestCrossedAnswers(t *testing.T) {
	s := startStack(t, 1, 3, 3, 1)
	s.Engines[0].Engine.SetFaults(engine.Faults{CrossAnswers: true})
	s.Services[0].Service.SetFaults(service.Faults{CrossAnswers: true})
	a := newAsker(s)
	l := startLoad(a, 20, 20)
	for i := range 30 {
		body := fmt.Sprintf("body %d", i)
		answer, err := a.Call(http.MethodPost, "/services/orders/stock", []byte(body), nil)
		if err != nil || answer.Status != http.StatusOK {
			t.Fatalf("call %d: status %d, %v: %s", i, answer.Status, err, answer.Body)
		}
		if want := service.Digest([]byte(body)); !bytes.Contains(answer.Body, []byte(want)) {
			t.Errorf("call %d got %s, want the digest %s", i, answer.Body, want)
		}
	}
	l.check(t)
}

var seeds = flag.Uint64("seeds", 12, "Seeded runs of TestAtMostOnce.")

// TestAtMostOnce sends one key many times at once through all entries, while
// answers of the store are lost, the store is out for a while and an entry dies.
func TestAtMostOnce(t *testing.T) {
	const sends = 200
	for seed := range *seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := startStack(t, 3, 0, 2, seed)
			r := rand.New(rand.NewPCG(seed, 2))
			faults := platform.Faults{LosePerThousand: 200, DropPerThousand: 100}
			s.Platform.SetFaults(faults)
			for _, u := range s.Services {
				u.Service.SetFaults(service.Faults{SlowMillis: int64(r.IntN(300))})
			}
			outageAt := time.Duration(r.IntN(300)) * time.Millisecond
			killAt := time.Duration(r.IntN(600)) * time.Millisecond
			time.AfterFunc(outageAt, func() { s.Platform.SetFaults(platform.Faults{Down: true}) })
			time.AfterFunc(outageAt+time.Second, func() { s.Platform.SetFaults(faults) })
			time.AfterFunc(killAt, s.Entries[0].Server.Kill)
			addresses := []string{s.Entries[0].Address, s.Entries[1].Address, s.Entries[2].Address}
			a := asker.New(bearerKey, func() []string { return addresses })
			answers := sendAll(a, sends, r)
			checkOnce(t, s, answers)
		})
	}
}

// sendAll sends one key many times and returns the answers, without those whose
// connection broke.
func sendAll(a *asker.Asker, sends int, r *rand.Rand) []asker.Answer {
	var mu sync.Mutex
	var out []asker.Answer
	var wg sync.WaitGroup
	for range sends {
		wait := time.Duration(r.IntN(800)) * time.Millisecond
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(wait)
			answer, err := a.Call(http.MethodPost, "/services/orders/cut", []byte(`{"blank":"K7"}`),
				map[string]string{"Idempotency-Key": "cut-1", "Sequoia-Timeout-Millis": "4000"})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, answer)
		}()
	}
	wg.Wait()
	return out
}

// checkOnce compares what callers were told with what the service ran.
func checkOnce(t *testing.T, s *stacker.Stack, answers []asker.Answer) {
	t.Helper()
	time.Sleep(200 * time.Millisecond)
	runs := 0
	requests := make(map[string]int)
	for _, u := range s.Services {
		runs += u.Service.Executions()["cut-1"]
		for id, n := range u.Service.Requests() {
			requests[id] += n
		}
	}
	if runs > 1 {
		t.Errorf("the key ran %d times", runs)
	}
	told := make(map[string]int)
	bodies := make(map[string]bool)
	for _, a := range answers {
		told[fmt.Sprintf("%d %s", a.Status, a.Verdict)]++
		if a.Verdict == "notRun" && requests[a.RequestID] > 0 {
			t.Errorf("request %s was told notRun and ran", a.RequestID)
		}
		if a.Status == http.StatusOK {
			bodies[string(a.Body)] = true
			if a.Verdict != "ran" || runs == 0 {
				t.Errorf("status 200 with verdict %s after %d runs", a.Verdict, runs)
			}
		}
	}
	if len(bodies) > 1 {
		t.Errorf("callers got %d different answers", len(bodies))
	}
	t.Logf("%d runs, callers were told %v", runs, told)
}

// TestStoreDown takes the store away for a while. Idempotent traffic goes on;
// calls that must not repeat are refused by their deadline; nothing is doubled
// when the store is back.
func TestStoreDown(t *testing.T) {
	s := startStack(t, 3, 2, 2, 1)
	s.Platform.SetFaults(platform.Faults{Down: true})
	a := newAsker(s)
	l := startLoad(a, 20, 50)
	for i := range 5 {
		answer, err := a.Call(http.MethodPost, "/services/orders/stock", nil, nil)
		if err != nil || answer.Status != http.StatusOK {
			t.Errorf("stock read %d: status %d, %v", i, answer.Status, err)
		}
	}
	key := map[string]string{"Idempotency-Key": "cut-1", "Sequoia-Timeout-Millis": "1000"}
	for i := range 3 {
		answer, err := a.Call(http.MethodPost, "/services/orders/cut", nil, key)
		if err != nil || answer.Status != http.StatusServiceUnavailable || answer.Verdict != "notRun" || answer.RetryAfter == "" {
			t.Errorf("cut %d: status %d, verdict %s, retry after %q, %v", i, answer.Status, answer.Verdict, answer.RetryAfter, err)
		}
	}
	l.check(t)
	s.Platform.SetFaults(platform.Faults{})
	time.Sleep(time.Second)
	delete(key, "Sequoia-Timeout-Millis")
	for i := range 3 {
		answer, err := a.Call(http.MethodPost, "/services/orders/cut", nil, key)
		if err != nil || answer.Status != http.StatusOK {
			t.Errorf("cut %d after the outage: status %d, %v: %s", i, answer.Status, err, answer.Body)
		}
	}
	runs := 0
	for _, u := range s.Services {
		runs += u.Service.Executions()["cut-1"]
	}
	if runs != 1 {
		t.Errorf("the key ran %d times, want once", runs)
	}
}

// TestOthersRequestsAreNotFound asks for another organisation's answer.
func TestOthersRequestsAreNotFound(t *testing.T) {
	s := startStack(t, 2, 1, 0, 1)
	mine, err := newAsker(s).Complete(asker.Prompt(enginePool, "x", 3, false), nil)
	if err != nil {
		t.Fatalf("Complete: %v", err)
	}
	for key, want := range map[string]int{bearerKey: http.StatusOK, "other-key": http.StatusNotFound} {
		got, err := asker.New(key, s.Ready).Call(http.MethodGet, "/v1/requests/"+mine.RequestID, nil, nil)
		if err != nil || got.Status != want {
			t.Errorf("%s gets status %d, %v, want %d", key, got.Status, err, want)
		}
	}
}
