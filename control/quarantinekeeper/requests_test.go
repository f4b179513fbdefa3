package quarantinekeeper_test

import (
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/control/quarantinekeeper"
	"sequoiasill.dev/sequoiasill/decide/partblamer"
)

// requestEntry is an entry's knowledge of requests that crash upstreams, as a collector.
type requestEntry struct {
	mu     sync.Mutex
	blamer *partblamer.Blamer
}

func newRequestEntry() *requestEntry {
	return &requestEntry{blamer: partblamer.New(partblamer.RequestOptions())}
}

func (*requestEntry) Rank() int { return 0 }

func (e *requestEntry) update(f func(b *partblamer.Blamer, now sequoiasill.Millis)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := sequoiasill.NewSystemClock().Now()
	f(e.blamer, now)
	e.blamer.Decide(now)
}

func (e *requestEntry) State() (s partblamer.State) {
	e.update(func(b *partblamer.Blamer, now sequoiasill.Millis) { s = b.State(now) })
	return s
}

func (e *requestEntry) RestoreState(s partblamer.State) {
	e.update(func(b *partblamer.Blamer, now sequoiasill.Millis) { b.RestoreState(now, s) })
}

func (e *requestEntry) crash(upstreams ...uint64) {
	for _, u := range upstreams {
		e.update(func(b *partblamer.Blamer, now sequoiasill.Millis) {
			b.RecordCrash(now, partblamer.Crash{Request: 7, Upstream: u, At: now, Parts: partblamer.RequestPart(7)})
		})
		time.Sleep(150 * time.Millisecond)
	}
}

func (e *requestEntry) serve() {
	e.update(func(b *partblamer.Blamer, now sequoiasill.Millis) { b.RecordServed(now, partblamer.RequestPart(7)) })
}

func (e *requestEntry) quarantined() (out []partblamer.Signature) {
	e.update(func(b *partblamer.Blamer, now sequoiasill.Millis) { out = b.Quarantined(now) })
	return out
}

func startRequests(t *testing.T, s *fakeStore, e *requestEntry) *quarantinekeeper.Keeper {
	t.Helper()
	return quarantinekeeper.New(s, quarantinekeeper.Requests{States: e}, e, 0, sequoiasill.NewSystemClock(), hclog.NewNullLogger())
}

// writeCount returns the number of writes.
func (s *fakeStore) writeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// Guards against BUDGET: a refused request was forgotten when all entries were killed at once, and so were the
// crashes of one that was not refused yet (review/9).
func TestRequestsSurviveRestartOfAllEntries(t *testing.T) {
	tests := map[string]struct {
		before, after []uint64 // upstreams that crash
		stored        int      // writes
		want          []partblamer.Signature
	}{
		"a refused request":                  {[]uint64{1, 2, 3}, nil, 2, []partblamer.Signature{{7}}},
		"two crashes, and another one later": {[]uint64{1, 2}, []uint64{3}, 1, []partblamer.Signature{{7}}},
		"two crashes":                        {[]uint64{1, 2}, nil, 1, nil},
		"one crash costs the store nothing":  {[]uint64{1}, nil, 0, nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, before := &fakeStore{}, newRequestEntry()
			k := startRequests(t, s, before)
			before.crash(tc.before...)
			time.Sleep(1500 * time.Millisecond)
			k.Close()
			if n := s.writeCount(); n > tc.stored || n == 0 && tc.stored > 0 {
				t.Errorf("%d writes, up to %d are wanted", n, tc.stored)
			}
			after := newRequestEntry()
			k = startRequests(t, s, after)
			defer k.Close()
			time.Sleep(500 * time.Millisecond)
			after.crash(tc.after...)
			time.Sleep(time.Second)
			if diff := cmp.Diff(tc.want, after.quarantined()); diff != "" {
				t.Errorf("refused (-want +got):\n%s", diff)
			}
		})
	}
}

// A request that gets a complete response is deleted from the store.
func TestServedRequestIsDeleted(t *testing.T) {
	s, e := &fakeStore{}, newRequestEntry()
	k := startRequests(t, s, e)
	defer k.Close()
	e.crash(1, 2, 3)
	await(t, "refused", []partblamer.Signature{{7}}, e.quarantined)
	await(t, "stored", true, func() bool { return s.content() != "" })
	e.serve()
	await(t, "stored after the response", `{"requests":[],"crashes":[]}`, s.content)
}

// A collector of another build may have stored the requests during an upgrade.
func TestReadsRequestsOfOtherBuilds(t *testing.T) {
	until := "9999999999999"
	tests := map[string]string{
		"with unknown fields":                 `{"requests":[{"fingerprint":"7","since":1,"until":` + until + `,"by":{"a":1}}],"crashes":[],"more":[1]}`,
		"without crashes":                     `{"requests":[{"fingerprint":"7","since":1,"until":` + until + `}]}`,
		"with requests that cannot be read":   `{"requests":[{"fingerprint":"x","until":` + until + `},{"fingerprint":"7","until":` + until + `}]}`,
		"with crashes that cannot be read":    `{"requests":[{"fingerprint":"7","until":` + until + `}],"crashes":[{"fingerprint":"8","upstream":"x"}]}`,
		"with a clock that is far ahead":      `{"requests":[{"fingerprint":"7","since":9999999999998,"until":` + until + `}]}`,
		"with a request that is stored twice": `{"requests":[{"fingerprint":"7","until":` + until + `},{"fingerprint":"7","until":` + until + `}]}`,
	}
	for name, value := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newRequestEntry()
			k := startRequests(t, &fakeStore{value: []byte(value), version: 1}, e)
			defer k.Close()
			await(t, "restored", []partblamer.Signature{{7}}, e.quarantined)
		})
	}
}
