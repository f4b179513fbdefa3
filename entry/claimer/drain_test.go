package claimer

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/journaler"
)

// grantingJournal grants all intents.
type grantingJournal struct{}

func (grantingJournal) Begin(journaler.Begin) (journaler.Answer, error) {
	return journaler.Answer{Decision: journaler.Granted}, nil
}

func (grantingJournal) Conclude(journaler.Conclude) error { return nil }

// Guards against outcomes that a stop loses: Drain waits for requests that still run, and then journal them.
func TestDrainWaitsForRunningRequests(t *testing.T) {
	clock := sequoiasill.NewSystemClock()
	c := New(journaler.Writer{Entry: "entry-1"}, grantingJournal{}, nil, clock, hclog.NewNullLogger())
	started, finish, returned := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(returned)
		_, _ = c.Run(Claim{Deadline: clock.Now() + sequoiasill.Minute}, func() (journaler.Outcome, *sequoiasill.Failure) {
			close(started)
			<-finish
			return journaler.Outcome{Verdict: sequoiasill.Ran}, nil
		})
	}()
	<-started
	whileRunning := c.Drain(20)
	close(finish)
	<-returned
	if diff := cmp.Diff([]bool{false, true}, []bool{whileRunning, c.Drain(sequoiasill.Minute)}); diff != "" {
		t.Errorf("drained while the request runs, and after it (-want +got):\n%s", diff)
	}
}
