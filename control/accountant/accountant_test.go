package accountant_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/control/accountant"
	"sequoiasill.dev/sequoiasill/control/leaseholder"
	"sequoiasill.dev/sequoiasill/decide/tallier"
)

// store holds one object and can lose the response to a write.
type store struct {
	value        []byte
	version      uint64
	loseResponse bool
	down         bool
}

func (s *store) Read(string) ([]byte, uint64, error) {
	if s.down {
		return nil, 0, errors.New("store is down")
	}
	return s.value, s.version, nil
}

func (s *store) Write(_ string, value []byte, version uint64) (uint64, error) {
	if s.down {
		return 0, errors.New("store is down")
	}
	if version != s.version {
		return 0, leaseholder.ErrConflict
	}
	s.value, s.version = value, s.version+1
	if s.loseResponse {
		s.loseResponse = false
		return 0, errors.New("response lost")
	}
	return s.version, nil
}

type report struct {
	Epoch  uint64
	Window int64
	Calls  map[string]int
}

type cloud struct {
	reports      []report
	loseResponse bool
}

func (c *cloud) ReportUsage(epoch uint64, window int64, calls map[string]int) error {
	c.reports = append(c.reports, report{epoch, window, calls})
	if c.loseResponse {
		c.loseResponse = false
		return errors.New("response lost")
	}
	return nil
}

// witness remembers the last announced record.
type witness struct {
	window int64
	calls  map[string]int
}

func (w *witness) AnnounceRecord(window int64, calls map[string]int) {
	w.window, w.calls = window, calls
}
func (w *witness) KnownRecord() (window int64, calls map[string]int, ok bool) {
	return w.window, w.calls, w.calls != nil
}

type counter map[int64]tallier.Counts

func (c counter) Total(window int64) tallier.Counts { return c[window] }

var options = accountant.Options{Window: 5 * sequoiasill.Second, Settle: 2 * sequoiasill.Second, Delay: 10 * sequoiasill.Second}

func always() bool { return true }

func act(t *testing.T, a *accountant.Accountant, from, to sequoiasill.Millis, epoch uint64) {
	t.Helper()
	for now := from; now < to; now += 250 {
		if err := a.Act(now, epoch, always); err != nil {
			t.Logf("%s: %v", now, err)
		}
	}
}

func TestReportsEachWindowOnce(t *testing.T) {
	c := &cloud{}
	a := accountant.New(options, &store{}, c, counter{1: {"small": 2}, 3: {"small": 4}}, &witness{}, hclog.NewNullLogger())
	act(t, a, 5_000, 40_000, 1)
	want := []report{{1, 1, map[string]int{"small": 2}}, {1, 3, map[string]int{"small": 4}}}
	if diff := cmp.Diff(want, c.reports); diff != "" {
		t.Errorf("reports (-want +got):\n%s", diff)
	}
}

// Two lease holders may have different counts for one window. Whichever response is
// lost, the platform never receives two different reports.
func TestHoldersReportTheSameCountsForAWindow(t *testing.T) {
	tests := map[string]struct{ loseWrite, loseReport bool }{
		"nothing lost":               {},
		"response to the write lost": {loseWrite: true},
		"response to the call lost":  {loseReport: true},
		"both lost":                  {loseWrite: true, loseReport: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, c := &store{loseResponse: tc.loseWrite}, &cloud{loseResponse: tc.loseReport}
			first := accountant.New(options, s, c, counter{1: {"small": 2}}, &witness{}, hclog.NewNullLogger())
			if err := first.Act(12_100, 1, always); err != nil {
				t.Log(err)
			}
			second := accountant.New(options, s, c, counter{1: {"small": 3}}, &witness{}, hclog.NewNullLogger())
			act(t, second, 12_300, 16_000, 2)
			act(t, first, 12_300, 16_000, 1)
			for _, r := range c.reports {
				if diff := cmp.Diff(c.reports[0].Calls, r.Calls); diff != "" {
					t.Errorf("window %d was reported twice with different counts (-first +later):\n%s", r.Window, diff)
				}
			}
			if len(c.reports) == 0 {
				t.Error("window was not reported")
			}
		})
	}
}

func TestNoCallWithoutTheLease(t *testing.T) {
	s, c := &store{}, &cloud{}
	a := accountant.New(options, s, c, counter{1: {"small": 2}}, &witness{}, hclog.NewNullLogger())
	err := a.Act(12_100, 1, func() bool { return false })
	if err == nil || s.version != 0 || len(c.reports) != 0 {
		t.Errorf("acted without the lease: error %v, version %d, reports %v", err, s.version, c.reports)
	}
}

// After an outage of the store, late reports are skipped and the others are sent.
func TestStoreUnavailable(t *testing.T) {
	s, c := &store{down: true}, &cloud{}
	a := accountant.New(options, s, c, counter{1: {"small": 2}, 2: {"small": 3}, 3: {"small": 4}}, &witness{}, hclog.NewNullLogger())
	act(t, a, 10_000, 21_000, 1)
	s.down = false
	act(t, a, 21_000, 24_000, 1)
	want := []report{{1, 2, map[string]int{"small": 3}}, {1, 3, map[string]int{"small": 4}}}
	if diff := cmp.Diff(want, c.reports); diff != "" {
		t.Errorf("reports (-want +got):\n%s", diff)
	}
}

// A window that was reported is reported again with the same counts, or not at all, after the store
// came back from a copy that lacks its record.
func TestReturnFromCopyKeepsCounts(t *testing.T) {
	s, c, w := &store{}, &cloud{}, &witness{}
	first := accountant.New(options, s, c, counter{1: {"small": 2}}, w, hclog.NewNullLogger())
	if err := first.Act(2*options.Window+options.Settle, 1, always); err != nil {
		t.Fatal(err)
	}
	s.value, s.version = nil, 0
	second := accountant.New(options, s, c, counter{1: {"small": 3}, 2: {"small": 4}}, w, hclog.NewNullLogger())
	for _, now := range []sequoiasill.Millis{2*options.Window + options.Settle, 3*options.Window + options.Settle} {
		if err := second.Act(now, 66, always); err != nil {
			t.Fatal(err)
		}
	}
	want := []report{{1, 1, map[string]int{"small": 2}}, {66, 1, map[string]int{"small": 2}}, {66, 2, map[string]int{"small": 4}}}
	if diff := cmp.Diff(want, c.reports); diff != "" {
		t.Errorf("reports (-want +got):\n%s", diff)
	}
}

// A stored record that another writer left must not stop the reports of usage.
func TestOddRecordStopsNoReports(t *testing.T) {
	for name, value := range map[string]string{
		"nested": strings.Repeat("[", 20000) + strings.Repeat("]", 20000), "no JSON": "\x00", "a window that never comes": `{"window":9223372036854775806}`,
		"a window number above all": `{"window":1e30}`, "a window before all": `{"window":-5}`, "counts of another type": `{"window":1,"calls":{"small":"2"}}`,
	} {
		t.Run(name, func(t *testing.T) {
			c := &cloud{}
			a := accountant.New(options, &store{value: []byte(value), version: 7}, c, counter{3: {"small": 4}}, &witness{}, hclog.NewNullLogger())
			act(t, a, 5_000, 40_000, 1)
			if diff := cmp.Diff([]report{{1, 3, map[string]int{"small": 4}}}, c.reports); diff != "" {
				t.Errorf("reports (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against ONE: a window that an earlier holder may have reported is not reported again with other
// counts because its record was replaced, or comes from a clock ahead.
func TestWindowOfAnUnusableRecordIsNotReportedAgain(t *testing.T) {
	for name, tc := range map[string]struct {
		record string
		want   []report
	}{
		"replaced by another writer": {"\x00", []report{{1, 3, map[string]int{"small": 4}}}},
		"from a clock ahead":         {`{"window":2,"calls":{"small":2}}`, []report{{1, 2, map[string]int{"small": 2}}, {1, 3, map[string]int{"small": 4}}}},
	} {
		t.Run(name, func(t *testing.T) {
			c := &cloud{}
			calls := counter{1: {"small": 3}, 2: {"small": 3}, 3: {"small": 4}}
			a := accountant.New(options, &store{value: []byte(tc.record), version: 7}, c, calls, &witness{}, hclog.NewNullLogger())
			from := sequoiasill.Millis(17_250)
			if name == "from a clock ahead" {
				from = 9_000
			}
			act(t, a, from, 40_000, 1)
			if diff := cmp.Diff(tc.want, c.reports); diff != "" {
				t.Errorf("reports (-want +got):\n%s", diff)
			}
		})
	}
}
