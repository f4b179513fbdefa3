package scenarios

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/stacker"
	"sequoiasill.dev/sequoiasill/entry/server"
	"sequoiasill.dev/sequoiasill/standin/service"
)

// Outcomes of calls as callers see them: status, code, verdict and Retry-After.
const (
	served         = "200  ran "
	refusedLeaving = "503 leaving notRun 1"
	mayHaveRun     = "502 outcomeUnknown mayHaveRun "
)

// slowCall is a call whose last byte is sent later.
type slowCall struct{ conn net.Conn }

// beginCall sends a POST request to a plain service but for its last byte. The key may be empty.
func beginCall(t *testing.T, address, path, key string) slowCall {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	header := ""
	if key != "" {
		header = "Idempotency-Key: " + key + "\r\n"
	}
	_, err = fmt.Fprintf(c, "POST /services/%s%s HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer %s\r\n%sContent-Length: 2\r\n\r\nx",
		servicePool, path, bearerKey, header)
	if err != nil {
		t.Fatal(err)
	}
	return slowCall{conn: c}
}

// end sends the last byte after a time and returns the outcome.
func (c slowCall) end(after time.Duration) string {
	time.Sleep(after)
	if _, err := io.WriteString(c.conn, "x"); err != nil {
		return "no answer"
	}
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	var body struct{ Error struct{ Code string } }
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return "cut"
	}
	return fmt.Sprint(resp.StatusCode, " ", body.Error.Code, " ", resp.Header.Get("Sequoia-Verdict"), " ", resp.Header.Get("Retry-After"))
}

// Guards against plain calls that a planned stop takes too late, or cuts without an answer.
func TestPlannedStopAnswersPlainCalls(t *testing.T) {
	const stopTimeout = 2 * sequoiasill.Second
	tests := map[string]struct {
		path, key string
		whole     time.Duration // after the stop
		before    bool          // whole before the stop
		takes     time.Duration // at the service
		elsewhere bool          // a send with the key runs at another entry
		full      bool          // the service has no free slot
		want      string
		runs      int
		repeated  string // outcome of a repeat with the key at another entry
	}{
		"in time":                     {path: "/stock", whole: 200 * time.Millisecond, takes: time.Second, want: served, runs: 1},
		"in progress":                 {path: "/stock", before: true, takes: 8 * time.Second, want: mayHaveRun, runs: 1},
		"in progress, with a key":     {path: "/cut", key: "k", before: true, takes: 8 * time.Second, want: mayHaveRun, runs: 1, repeated: "409 outcomeUnknown mayHaveRun "},
		"whole late":                  {path: "/stock", whole: 1200 * time.Millisecond, takes: time.Second, want: refusedLeaving},
		"whole late, with a key":      {path: "/cut", key: "k", whole: 1200 * time.Millisecond, takes: time.Second, want: refusedLeaving, repeated: served},
		"whole after the last moment": {path: "/stock", whole: 1850 * time.Millisecond, takes: time.Second, want: refusedLeaving},
		"waits for a slot":            {path: "/stock", before: true, full: true, want: refusedLeaving},
		"waits for another send":      {path: "/cut", key: "k", before: true, elsewhere: true, takes: 8 * time.Second, want: refusedLeaving},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slots := usualSlots
			if tc.full {
				slots = 1
			}
			s := startStackSized(t, stacker.Options{Entries: 2, Services: 1, Slots: slots, Seed: 1, Log: testLog()},
				func(o *server.Options) { o.StopTimeout = stopTimeout })
			entry, svc := s.Entries[0], s.Services[0].Service
			svc.SetFaults(service.Faults{SlowMillis: tc.takes.Milliseconds()})
			if !tc.before {
				if got := beginCall(t, entry.Address, tc.path, "earlier").end(0); got != served {
					t.Fatalf("earlier call: %s", got)
				}
			}
			// Another call keeps the entry from stopping sooner.
			svc.SetFaults(service.Faults{SlowMillis: 8000})
			holder := beginCall(t, entry.Address, "/cut", "holder")
			go holder.end(0)
			awaitRuns(t, svc, "holder")
			svc.SetFaults(service.Faults{SlowMillis: tc.takes.Milliseconds()})
			key := tc.key
			if key == "" {
				key = tc.path
			}
			if tc.elsewhere {
				first := beginCall(t, s.Entries[1].Address, tc.path, tc.key)
				go first.end(0)
				awaitRuns(t, svc, key)
			}
			earlier := svc.Executions()[key]
			call := beginCall(t, entry.Address, tc.path, tc.key)
			outcome := make(chan string, 1)
			go func() { outcome <- call.end(tc.whole) }()
			if tc.before && !tc.full {
				awaitRuns(t, svc, key)
			}
			time.Sleep(50 * time.Millisecond)
			entry.Server.Stop()
			got := "no answer"
			select {
			case got = <-outcome:
			case <-time.After(100 * time.Millisecond): // the process has ended
			}
			if diff := cmp.Diff([]any{tc.want, tc.runs}, []any{got, svc.Executions()[key] - earlier}); diff != "" {
				t.Errorf("outcome, runs (-want +got):\n%s", diff)
			}
			if tc.repeated == "" {
				return
			}
			svc.SetFaults(service.Faults{})
			if diff := cmp.Diff(tc.repeated, beginCall(t, s.Entries[1].Address, tc.path, tc.key).end(0)); diff != "" {
				t.Errorf("outcome of a repeat (-want +got):\n%s", diff)
			}
			if runs := svc.Executions()[key]; runs != 1 {
				t.Errorf("the key ran %d times", runs)
			}
		})
	}
}

// awaitRuns waits until the service runs a call with the key, or path.
func awaitRuns(t *testing.T, svc *service.Service, key string) {
	t.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for svc.Executions()[key] == 0 {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not run", key)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
