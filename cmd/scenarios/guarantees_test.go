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
	"sequoiasill.dev/sequoiasill/cmd/internal/apiclient"
	"sequoiasill.dev/sequoiasill/cmd/internal/stacker"
	"sequoiasill.dev/sequoiasill/entry/server"
	"sequoiasill.dev/sequoiasill/standin/engine"
	"sequoiasill.dev/sequoiasill/standin/platform"
	"sequoiasill.dev/sequoiasill/standin/service"
)

// TestResponsesSurviveNotice announces the shutdown of an entry that has many responses in
// progress. Every caller must get its own response in full.
func TestResponsesSurviveNotice(t *testing.T) {
	const requestsPerKind = 100
	for name, tc := range map[string]struct {
		notice sequoiasill.Millis
		tokens int
	}{
		"1 s":  {notice: sequoiasill.Second, tokens: 400},
		"5 s":  {notice: 5 * sequoiasill.Second, tokens: 900},
		"30 s": {notice: 30 * sequoiasill.Second, tokens: 400},
	} {
		t.Run(name, func(t *testing.T) {
			// One entry may use a third of the slots, and all requests fit into these.
			s := startStackSized(t, stacker.Options{Entries: 3, Engines: 4, Slots: 2 * 2 * requestsPerKind, Seed: 1, Log: testLog()}, func(*server.Options) {})
			first := apiclient.New(bearerKey, func() []string {
				if s.Entries[0].Server.Ready() {
					return []string{s.Entries[0].Address}
				}
				return s.Ready()
			})
			l := startLoad(first, requestsPerKind, tc.tokens)
			awaitRequests(t, s, l)
			s.Platform.AnnounceStop(s.Entries[0].Name, tc.notice)
			l.check(t)
		})
	}
}

// awaitRequests waits until the engines have received all requests of a load, which are then
// accepted by the entries.
func awaitRequests(t *testing.T, s *stacker.Stack, l *load) {
	t.Helper()
	received := func() (n int) {
		for _, e := range s.Engines {
			n += e.Engine.Counts().Requests
		}
		return n
	}
	want := len(l.results)
	for received() < want {
		select {
		case <-l.done:
			if got := received(); got < want {
				t.Fatalf("all callers have a response, and the engines have %d of %d requests", got, want)
			}
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// TestUpstreamDiesMidStream kills an engine without notice. Its streams must continue on
// other engines, which compute the lost tokens again.
func TestUpstreamDiesMidStream(t *testing.T) {
	s := startStack(t, 2, 3, 0, 1)
	l := startLoad(newClient(s), 20, 150)
	time.Sleep(200 * time.Millisecond)
	s.Engines[0].Engine.Kill()
	l.check(t)
	if n := recomputedTokens(s); n == 0 {
		t.Error("no token was computed again, so no stream was on the engine that died")
	}
}

func recomputedTokens(s *stacker.Stack) int {
	n := 0
	for _, e := range s.Engines {
		n += e.Engine.Counts().Recomputed
	}
	return n
}

// TestZoneLost announces the loss of a zone with its entry and engines and, during its
// notice period, the loss of a second zone's engines. It runs with engines that export
// their KV cache and, as a baseline, with engines that do not.
func TestZoneLost(t *testing.T) {
	for name, export := range map[string]bool{"with KV export": true, "without KV export": false} {
		t.Run(name, func(t *testing.T) {
			s := startStack(t, 3, 6, 0, 1)
			for _, u := range s.Engines {
				u.Engine.SetFaults(engine.Faults{NoExport: !export})
			}
			l := startLoad(newClient(s), 60, 500)
			time.Sleep(200 * time.Millisecond)
			announceZoneLoss(s, stacker.Zones[0], true)
			time.Sleep(time.Second)
			announceZoneLoss(s, stacker.Zones[1], false)
			l.check(t)
			imported, recomputed := 0, recomputedTokens(s)
			for _, e := range s.Engines {
				imported += e.Engine.Counts().Imported
			}
			t.Logf("tokens imported %d, computed again %d", imported, recomputed)
			if (imported > 0) != export || !export && recomputed == 0 {
				t.Errorf("tokens imported %d, computed again %d", imported, recomputed)
			}
		})
	}
}

// announceZoneLoss announces the shutdown of a zone's engines and, if entries is true, of
// its entries. The engines are killed when the notice period is over.
func announceZoneLoss(s *stacker.Stack, zone string, entries bool) {
	const notice = 2 * sequoiasill.Second
	for _, e := range s.Entries {
		if e.Zone == zone && entries {
			s.Platform.AnnounceStop(e.Name, notice)
		}
	}
	for _, u := range s.Engines {
		if u.Instance.Zone == zone {
			s.Platform.AnnounceStop(u.Instance.Name, notice)
			time.AfterFunc(notice.Duration(), u.Engine.Kill)
		}
	}
}

// TestCrossedResponses guards against giving a caller the response to another request: one
// engine and one service return the ID of the previous request.
func TestCrossedResponses(t *testing.T) {
	s := startStack(t, 1, 3, 3, 1)
	s.Engines[0].Engine.SetFaults(engine.Faults{CrossResponses: true})
	s.Services[0].Service.SetFaults(service.Faults{CrossResponses: true})
	c := newClient(s)
	l := startLoad(c, 20, 20)
	for i := range 30 {
		body := fmt.Sprintf("body %d", i)
		response, err := c.Call(http.MethodPost, "/services/orders/stock", []byte(body), nil)
		if err != nil || response.Status != http.StatusOK {
			t.Fatalf("call %d: status %d, %v: %s", i, response.Status, err, response.Body)
		}
		if want := service.Digest([]byte(body)); !bytes.Contains(response.Body, []byte(want)) {
			t.Errorf("call %d got %s, want the digest %s", i, response.Body, want)
		}
	}
	l.check(t)
}

var seeds = flag.Uint64("seeds", 12, "Seeded runs of TestAtMostOnce.")

// TestAtMostOnce sends requests with the same idempotency key concurrently through all
// entries, while the store loses writes or its responses to them, is unavailable for a
// second, and an entry crashes. The service must run the key at most once.
func TestAtMostOnce(t *testing.T) {
	const sends = 200
	for seed := range *seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := startStack(t, 3, 0, 2, seed)
			r := rand.New(rand.NewPCG(seed, 2))
			faults := platform.Faults{DropResponsesPerThousand: 200, DropRequestsPerThousand: 100}
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
			c := apiclient.New(bearerKey, func() []string { return addresses })
			responses := sendAll(c, sends, r)
			checkAtMostOnce(t, s, responses)
		})
	}
}

// sendAll sends many requests with the same idempotency key at random times and returns
// the responses. Requests whose connection failed have none.
func sendAll(c *apiclient.Client, sends int, r *rand.Rand) []apiclient.Response {
	var mu sync.Mutex
	var out []apiclient.Response
	var wg sync.WaitGroup
	for range sends {
		wait := time.Duration(r.IntN(800)) * time.Millisecond
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(wait)
			response, err := c.Call(http.MethodPost, "/services/orders/cut", []byte(`{"blank":"K7"}`),
				map[string]string{"Idempotency-Key": "cut-1", "Sequoia-Timeout-Millis": "4000"})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, response)
		}()
	}
	wg.Wait()
	return out
}

// checkAtMostOnce compares the responses with the executions that the services recorded.
func checkAtMostOnce(t *testing.T, s *stacker.Stack, responses []apiclient.Response) {
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
	outcomes := make(map[string]int)
	bodies := make(map[string]bool)
	for _, response := range responses {
		outcomes[fmt.Sprintf("%d %s", response.Status, response.Verdict)]++
		if response.Verdict == "notRun" && requests[response.RequestID] > 0 {
			t.Errorf("request %s got the verdict notRun but ran", response.RequestID)
		}
		if response.Status == http.StatusOK {
			bodies[string(response.Body)] = true
			if response.Verdict != "ran" || runs == 0 {
				t.Errorf("status 200 with verdict %s after %d runs", response.Verdict, runs)
			}
		}
	}
	if len(bodies) > 1 {
		t.Errorf("callers got %d different responses", len(bodies))
	}
	t.Logf("%d runs, callers got %v", runs, outcomes)
}

// TestStoreDown makes the store unavailable for a while. Idempotent calls must continue,
// other calls must be refused by their deadline, and no call may run twice once the store
// is available again.
func TestStoreDown(t *testing.T) {
	s := startStack(t, 3, 2, 2, 1)
	s.Platform.SetFaults(platform.Faults{Down: true})
	c := newClient(s)
	l := startLoad(c, 20, 50)
	for i := range 5 {
		response, err := c.Call(http.MethodPost, "/services/orders/stock", nil, nil)
		if err != nil || response.Status != http.StatusOK {
			t.Errorf("stock read %d: status %d, %v", i, response.Status, err)
		}
	}
	key := map[string]string{"Idempotency-Key": "cut-1", "Sequoia-Timeout-Millis": "1000"}
	for i := range 3 {
		response, err := c.Call(http.MethodPost, "/services/orders/cut", nil, key)
		if err != nil || response.Status != http.StatusServiceUnavailable || response.Verdict != "notRun" || response.RetryAfter == "" {
			t.Errorf("cut %d: status %d, verdict %s, retry after %q, %v", i, response.Status, response.Verdict, response.RetryAfter, err)
		}
	}
	l.check(t)
	s.Platform.SetFaults(platform.Faults{})
	time.Sleep(time.Second)
	delete(key, "Sequoia-Timeout-Millis")
	for i := range 3 {
		response, err := c.Call(http.MethodPost, "/services/orders/cut", nil, key)
		if err != nil || response.Status != http.StatusOK {
			t.Errorf("cut %d after the outage: status %d, %v: %s", i, response.Status, err, response.Body)
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

// TestOthersRequestsAreNotFound requests the response of another organisation's request.
func TestOthersRequestsAreNotFound(t *testing.T) {
	s := startStack(t, 2, 1, 0, 1)
	mine, err := newClient(s).Complete(apiclient.CompletionRequest(enginePool, "x", 3, false), nil)
	if err != nil {
		t.Fatalf("Complete: %v", err)
	}
	for key, want := range map[string]int{bearerKey: http.StatusOK, "other-key": http.StatusNotFound} {
		got, err := apiclient.New(key, s.Ready).Call(http.MethodGet, "/v1/requests/"+mine.RequestID, nil, nil)
		if err != nil || got.Status != want {
			t.Errorf("%s gets status %d, %v, want %d", key, got.Status, err, want)
		}
	}
}
