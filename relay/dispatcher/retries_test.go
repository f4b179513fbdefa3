package dispatcher_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/rationer"
)

// The log explains why a call was retried or not: how the attempt ended, how many upstreams
// the call reached, and the state of the retry budget.
func TestLogExplainsRetries(t *testing.T) {
	good := step{status: 200, body: "good"}
	tests := map[string]struct {
		steps []step
		want  []string // log lines without times
	}{
		"given up": {[]step{{hang: true}, good}, []string{
			"repeat true, arrivals 1", "attempt given up, arrivals 1", "attempt answered, arrivals 2"}},
		"not sent": {[]step{{fail: true, verdict: sequoiasill.NotRun}, good}, []string{
			"attempt not sent, arrivals 0", "attempt answered, arrivals 1"}},
		"lost twice": {[]step{{fail: true, verdict: sequoiasill.MayHaveRun}}, []string{
			"attempt failed, arrivals 1", "repeat true, arrivals 1", "attempt failed, arrivals 2"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			logger := hclog.New(&hclog.LoggerOptions{Output: &log, JSONFormat: true})
			d := newLoggingDispatcher(t, &fakeTransport{steps: tc.steps}, &fakePeers{usageCounts: make(map[string]int)}, logger)
			d.Serve(context.Background(), call("/read/x", "key"), &reply{})
			if diff := cmp.Diff(tc.want, attemptLines(t, log.Bytes())); diff != "" {
				t.Errorf("log (-want +got):\n%s", diff)
			}
		})
	}
}

// A retry that is allowed but finds no untried upstream is returned to the retry budget.
func TestRetryWithoutUpstreamIsReturnedToTheBudget(t *testing.T) {
	var log bytes.Buffer
	logger := hclog.New(&hclog.LoggerOptions{Output: &log, JSONFormat: true})
	c := &fakeTransport{steps: []step{{status: 503, refused: true}}}
	d := newLoggingDispatcher(t, c, &fakePeers{usageCounts: make(map[string]int)}, logger)
	for range 4 {
		d.Serve(context.Background(), call("/once/x", "key"), &reply{})
	}
	if !bytes.Contains(log.Bytes(), []byte("no upstream left")) {
		t.Error("all calls found an upstream")
	}
	for line := range bytes.Lines(log.Bytes()) {
		if bytes.Contains(line, []byte(`"repeat"`)) && !bytes.Contains(line, []byte(`"open":0`)) {
			t.Errorf("no retry is in progress, but the log line is %s", line)
		}
	}
}

// oneRepeat returns a retry budget that allows one repeat.
func oneRepeat() *rationer.Rationer {
	budget := rationer.New(rationer.Limits{Ratio: 0.01, Slack: 1, Window: 60 * sequoiasill.Second}, 1)
	for range 1000 {
		budget.Call(sequoiasill.NewSystemClock().Now(), "plain")
	}
	return budget
}

// Guards against LOST: a repeat was spent on a connect that failed, and the call was given up.
func TestRepeatIsLeftToTheCallIfNothingWasSent(t *testing.T) {
	noUpstream := relayStep{refusal: refusal(sequoiasill.NotRun, sequoiasill.CodeNoUpstream, 503)}
	tests := map[string]struct {
		steps  []step
		relays *fakeRelays
	}{
		"no connection": {
			[]step{{hang: true}, {fail: true, verdict: sequoiasill.NotRun}, {status: 200, body: "good"}}, &fakeRelays{}},
		"refused by another entry": {
			[]step{{hang: true}, {fail: true, verdict: sequoiasill.NotRun}, {fail: true, verdict: sequoiasill.NotRun}},
			&fakeRelays{entries: 2, steps: []relayStep{noUpstream, {status: 200, body: "good", runs: 2}}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c, u := &fakeTransport{steps: tc.steps}, &fakePeers{usageCounts: make(map[string]int)}
			d := newDispatcherOf(c, u, soundScreener(), &fakePaths{}, tc.relays, oneRepeat(), hclog.NewNullLogger())
			var got reply
			d.Serve(context.Background(), call("/read/x", "key"), &got)
			if diff := cmp.Diff(reply{Status: 200, Body: "good", Ended: true}, got); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
		})
	}
}

// attemptLines summarises the log lines on attempts and retries.
func attemptLines(t *testing.T, log []byte) []string {
	t.Helper()
	var out []string
	for line := range bytes.Lines(log) {
		var f struct {
			Message  string `json:"@message"`
			End      string `json:"end"`
			Allowed  bool   `json:"allowed"`
			Arrivals int    `json:"arrivals"`
			Service  string `json:"service"`
			Entries  int    `json:"entries"`
		}
		if err := json.Unmarshal(line, &f); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		switch f.Message {
		case "attempt":
			out = append(out, fmt.Sprintf("attempt %s, arrivals %d", f.End, f.Arrivals))
		case "repeat":
			out = append(out, fmt.Sprintf("repeat %t, arrivals %d", f.Allowed, f.Arrivals))
			if f.Entries != 1 {
				t.Errorf("bound shared by %d entries, want 1", f.Entries)
			}
		default:
			continue
		}
		if f.Service != "plain" {
			t.Errorf("%s has service %q", f.Message, f.Service)
		}
	}
	return out
}
