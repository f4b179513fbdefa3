package soaker

import (
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill/decide/rationer"
)

// Checks that requests that were whole and got no answer are reported, and no others.
func TestLateRequestChecker(t *testing.T) {
	cut := errors.New("connection closed")
	tests := map[string]struct {
		whole   time.Duration
		err     error
		faulted bool
		want    int // violations
	}{
		"whole, cut":                {lossSlack + time.Millisecond, cut, false, 1},
		"whole, answered":           {lossSlack + time.Millisecond, nil, false, 0},
		"whole, cut beside a fault": {lossSlack + time.Millisecond, cut, true, 0},
		"crossed by the close":      {lossSlack, cut, false, 0},
		"never whole":               {0, cut, false, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := newChecker(rationer.Limits{})
			if tc.faulted {
				defer c.recordFault("kill an entry", false)()
			}
			c.recordSend("1-late", runOnce, "key", 0)
			c.recordResult("1-late", 504, tc.err)
			c.checkLateResult("1-late", tc.whole)
			if diff := cmp.Diff(tc.want, len(c.violations)); diff != "" {
				t.Errorf("violations (-want +got):\n%s", diff)
			}
		})
	}
}

// Checks that an entry that exceeds its grace period is reported.
func TestStopChecker(t *testing.T) {
	for name, tc := range map[string]struct {
		number int
		took   time.Duration
		want   int // violations
	}{
		"in time":             {0, usualGrace - time.Second, 0},
		"too late":            {0, usualGrace + time.Second, 1},
		"a short grace, late": {1, shortGrace + time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := newChecker(rationer.Limits{})
			c.checkStop(&entry{harness: &Harness{}, number: tc.number}, time.Now().Add(-tc.took))
			if diff := cmp.Diff(tc.want, len(c.violations)); diff != "" {
				t.Errorf("violations (-want +got):\n%s", diff)
			}
		})
	}
}

// Checks that the last byte of a late body comes after its delay.
func TestLateBody(t *testing.T) {
	b := newLateBody("body")
	b.delay = 50 * time.Millisecond
	began := time.Now()
	text, err := io.ReadAll(b)
	if diff := cmp.Diff([]any{"body", nil}, []any{string(text), err}); diff != "" {
		t.Errorf("body (-want +got):\n%s", diff)
	}
	if took := time.Since(began); took < b.delay || b.wholeFor() > took-b.delay {
		t.Errorf("read in %s, whole for %s", took, b.wholeFor())
	}
}
