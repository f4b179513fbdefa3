package dispatcher_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/pathmonitor"
	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/relay/dispatcher"
)

// Guards against whole requests that get no answer as their caller has ended its sending side.
func TestCallerThatEndsItsSendingSide(t *testing.T) {
	tests := map[string]struct {
		path     string
		end      sequoiasill.ConnectionEnd
		steps    []step
		before   bool // the end comes before the call is sent
		want     reply
		attempts int
		took     time.Duration // at most
	}{
		"runs once, is answered": {path: "/once/x", end: sequoiasill.EndedSending, steps: []step{{status: 200, delay: 200, body: "b"}},
			want: reply{Status: 200, Body: "b", Ended: true}, attempts: 1, took: time.Second},
		"runs once, error of the upstream": {path: "/once/x", end: sequoiasill.EndedSending, steps: []step{{status: 500, delay: 200, body: "e"}},
			want: reply{Status: 500, Body: "e", Ended: true}, attempts: 1, took: time.Second},
		"runs once, lasts until its deadline": {path: "/once/x", end: sequoiasill.EndedSending, steps: []step{{hang: true}},
			want: reply{Status: 504, Ended: true}, attempts: 1, took: 3 * time.Second},
		"runs once, rejected by the upstream": {path: "/once/x", end: sequoiasill.EndedSending, steps: []step{{status: 503, refused: true, delay: 200}},
			want: reply{Status: 503, Ended: true, RetryAfter: 250}, attempts: 1, took: time.Second},
		"runs once, not sent yet": {path: "/once/x", end: sequoiasill.EndedSending, before: true, steps: []step{{status: 200}},
			want: reply{Status: 503, Ended: true, RetryAfter: 250}, took: time.Second},
		"runs once, reset": {path: "/once/x", end: sequoiasill.EndedByReset, steps: []step{{hang: true}},
			want: reply{WasCut: true}, attempts: 1, took: time.Second},
		"idempotent": {path: "/read/x", end: sequoiasill.EndedSending, steps: []step{{hang: true}},
			want: reply{Status: 502, Ended: true}, attempts: 1, took: time.Second},
		"stream": {path: "/long/x", end: sequoiasill.EndedSending, steps: []step{{hang: true}},
			want: reply{Status: 502, Ended: true}, attempts: 1, took: time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancelCause(context.Background())
			end := func() { cancel(&sequoiasill.ConnectionError{End: tc.end}) }
			c := &fakeTransport{steps: tc.steps}
			if tc.before {
				c.beforeSend = func(dispatcher.Attempt) { end() }
			} else {
				time.AfterFunc(50*time.Millisecond, end)
			}
			d := newDispatcher(t, c, &fakePeers{usageCounts: make(map[string]int)})
			r, begin := &reply{}, time.Now()
			d.Serve(ctx, call(tc.path, "key"), r)
			if took := time.Since(begin); took > tc.took {
				t.Errorf("ended after %s", took)
			}
			inFlight := 0
			d.WithRegistrar(func(r *registrar.Registrar) {
				for _, c := range r.Candidates(sequoiasill.NewSystemClock().Now(), "plain") {
					inFlight += c.InFlight
				}
			})
			if diff := cmp.Diff([]any{tc.want, tc.attempts, 0, 0}, []any{*r, len(c.attempts), d.Active(), inFlight}); diff != "" {
				t.Errorf("reply, attempts, active calls and calls in flight (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against GONE: whether the other entry has sent a relayed call is not known, so it ends with its caller.
func TestCallerThatEndsItsSendingSideOfRelayedCall(t *testing.T) {
	const slow = 2000
	unknown := reply{Status: 502, Ended: true}
	tests := map[string]struct {
		end  sequoiasill.ConnectionEnd
		step relayStep
		want reply
	}{
		"would be answered": {sequoiasill.EndedSending, relayStep{status: 200, body: "b", delay: slow}, unknown},
		"reset":             {sequoiasill.EndedByReset, relayStep{status: 200, body: "b", delay: slow}, reply{WasCut: true}},
		"would be refused":  {sequoiasill.EndedSending, relayStep{refusal: sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeNoUpstream, 503, "none"), delay: slow}, unknown},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(context.Background())
			time.AfterFunc(50*time.Millisecond, func() { cancel(&sequoiasill.ConnectionError{End: tc.end}) })
			relays := &fakeRelays{entries: 2, steps: []relayStep{tc.step}}
			d := newRelayingDispatcher(t, &fakeTransport{}, &fakePeers{usageCounts: make(map[string]int)}, &fakePaths{state: pathmonitor.Unreachable}, relays)
			r := &reply{}
			began := time.Now()
			d.Serve(ctx, call("/once/x", "key"), r)
			if diff := cmp.Diff([]any{tc.want, 1}, []any{*r, len(relays.calls)}); diff != "" {
				t.Errorf("reply and offers (-want +got):\n%s", diff)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("the call ended after %s", took)
			}
		})
	}
}

// Guards against LOST: a call ended up to a millisecond before its time limit was over, which counts as unanswered.
func TestCallHasItsWholeTimeLimit(t *testing.T) {
	const limit = 20 * sequoiasill.Millis(1)
	clock := sequoiasill.NewSystemClock()
	for range 40 {
		d := newDispatcher(t, &fakeTransport{steps: []step{{hang: true}}}, &fakePeers{usageCounts: make(map[string]int)})
		k := call("/once/x", "key")
		k.ArrivedAt = clock.Now()
		sent := time.Now()
		k.Deadline = k.ArrivedAt + limit
		var got reply
		d.Serve(context.Background(), k, &got)
		if took := time.Since(sent); got.Status != 504 || took < limit.Duration() {
			t.Fatalf("status %d after %s, 504 after %s is wanted", got.Status, took, limit)
		}
		time.Sleep(300 * time.Microsecond)
	}
}
