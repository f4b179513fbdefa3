package soaker

import (
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/rationer"
)

// The end of a planned stop excuses only calls that it had to end.
func TestCallsThatAPlannedStopEnds(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		stoppedFor, sentFor time.Duration // before the end of the call
		finished            bool
		status              int
		err                 error
		want                int // lost calls
	}{
		"failed in the last part":                    {2700 * time.Millisecond, 2 * time.Second, false, 504, nil, 0},
		"failed before it":                           {2 * time.Second, time.Second, false, 504, nil, 1},
		"failed without a stop":                      {time.Hour, time.Second, false, 502, nil, 1},
		"cut in the last part, upstream at work":     {2700 * time.Millisecond, 2 * time.Second, false, 200, io.ErrUnexpectedEOF, 0},
		"cut in the last part, upstream had ended":   {2700 * time.Millisecond, 2 * time.Second, true, 200, io.ErrUnexpectedEOF, 1},
		"closed in the last part, upstream at work":  {2700 * time.Millisecond, 2 * time.Second, false, 0, io.EOF, 0},
		"closed after the grace period":              {3100 * time.Millisecond, 2 * time.Second, false, 0, io.EOF, 1},
		"closed before the last part":                {time.Second, 500 * time.Millisecond, false, 0, io.EOF, 1},
		"cut before the last part, upstream at work": {2 * time.Second, time.Second, false, 200, io.ErrUnexpectedEOF, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := newChecker(rationer.Limits{Ratio: 1, Slack: 100, Window: sequoiasill.Second})
			c.recordSend("c", runOnce, "key-0", 1)
			c.calls["c"].sent = now.Add(-tc.sentFor)
			c.stops[1] = plannedStop{at: now.Add(-tc.stoppedFor), grace: 3 * time.Second}
			c.recordExecution("c", "i-1", "small")
			if tc.finished {
				c.recordFinish("c")
			}
			c.recordResult("c", tc.status, tc.err)
			if diff := cmp.Diff(tc.want, len(c.lostCalls())); diff != "" {
				t.Errorf("lost calls (-want +got):\n%s", diff)
			}
		})
	}
}
