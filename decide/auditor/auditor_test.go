package auditor_test

import (
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/auditor"
	"sequoiasill.dev/sequoiasill/decide/rationer"
)

const second = sequoiasill.Second

var bound = rationer.Limits{Ratio: 0.2, Slack: 3, Window: 10 * second}

// requests records n requests, one per second, each of which arrives immediately.
func requests(a *auditor.Auditor, n int) {
	for i := range n {
		at := sequoiasill.Millis(i) * second
		a.RecordRequest(at, "model")
		a.RecordArrival(at, "model", strconv.Itoa(i))
	}
}

// repeats records another arrival of the first request at each of the times.
func repeats(a *auditor.Auditor, times ...sequoiasill.Millis) {
	for _, at := range times {
		a.RecordArrival(at, "model", "0")
	}
}

func TestWorst(t *testing.T) {
	tests := map[string]struct {
		record func(a *auditor.Auditor)
		want   []auditor.Window
	}{
		"no repeat": {func(a *auditor.Auditor) { requests(a, 20) }, nil},
		"within the budget": {func(a *auditor.Auditor) {
			requests(a, 10)
			repeats(a, 9000, 9100, 9200, 9300)
		}, []auditor.Window{{Service: "model", Begin: 9000, End: 19_000, Requests: 9, Repeats: 4, Allowed: 4.8}}},
		"one repeat above the budget": {func(a *auditor.Auditor) {
			requests(a, 10)
			repeats(a, 9000, 9100, 9200, 9300, 9300)
		}, []auditor.Window{{Service: "model", Begin: 9000, End: 19_000, Requests: 9, Repeats: 5, Allowed: 4.8}}},
		"the requests of the previous window count": {func(a *auditor.Auditor) {
			requests(a, 10)
			repeats(a, 12_000, 12_000, 12_000, 12_000, 12_000)
		}, []auditor.Window{{Service: "model", Begin: 12_000, End: 22_000, Requests: 8, Repeats: 5, Allowed: 4.6}}},
		"the requests of two windows before do not count": {func(a *auditor.Auditor) {
			requests(a, 10)
			repeats(a, 31_000, 31_000, 31_000, 31_000)
		}, []auditor.Window{{Service: "model", Begin: 31_000, End: 41_000, Repeats: 4, Allowed: 3}}},
		"repeats over more than a window": {func(a *auditor.Auditor) {
			requests(a, 10)
			repeats(a, 1000, 1000, 1000, 12_000, 12_000, 12_000)
		}, []auditor.Window{{Service: "model", Begin: -8999, End: 1001, Requests: 2, Repeats: 3, Allowed: 3.4}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			a := auditor.New()
			tc.record(a)
			if diff := cmp.Diff(tc.want, a.WorstWindows(bound)); diff != "" {
				t.Errorf("worst windows (-want +got):\n%s", diff)
			}
		})
	}
}

func TestServicesAreIndependent(t *testing.T) {
	a := auditor.New()
	for _, service := range []string{"plain", "model"} {
		a.RecordRequest(0, service)
		for range 3 {
			a.RecordArrival(0, service, "1")
		}
	}
	if diff := cmp.Diff(4, a.Repeats()); diff != "" {
		t.Errorf("repeats (-want +got):\n%s", diff)
	}
	want := []auditor.Window{
		{Service: "model", End: 10 * second, Requests: 1, Repeats: 2, Allowed: 3.2},
		{Service: "plain", End: 10 * second, Requests: 1, Repeats: 2, Allowed: 3.2},
	}
	if diff := cmp.Diff(want, a.WorstWindows(bound)); diff != "" {
		t.Errorf("worst windows (-want +got):\n%s", diff)
	}
}
