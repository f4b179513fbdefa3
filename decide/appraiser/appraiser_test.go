package appraiser_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill/decide/appraiser"
	"sequoiasill.dev/sequoiasill/decide/rationer"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

func TestAppraise(t *testing.T) {
	tests := map[string]struct {
		end  appraiser.End
		want appraiser.Appraisal
	}{
		"no connection": {
			appraiser.End{Kind: appraiser.NotSent},
			appraiser.Appraisal{Outcome: registrar.Unreachable, Send: rationer.Closed, Onward: appraiser.Elsewhere},
		},
		"no connection, and the caller disconnected": {
			appraiser.End{Kind: appraiser.NotSent, CallerLeft: true, Ended: true},
			appraiser.Appraisal{Outcome: registrar.Abandoned, Send: rationer.Closed, Onward: appraiser.Elsewhere},
		},
		"withheld: no effect on the health of the upstream or the retry budget": {
			appraiser.End{Kind: appraiser.Withheld},
			appraiser.Appraisal{Outcome: registrar.Abandoned, Send: rationer.Closed, Onward: appraiser.Elsewhere},
		},
		"the upstream closed the connection": {
			appraiser.End{Kind: appraiser.Closed},
			appraiser.Appraisal{Outcome: registrar.Failed, Send: rationer.Closed, Onward: appraiser.Repeats, Charge: true},
		},
		"no response from the upstream": {
			appraiser.End{Kind: appraiser.Unclear},
			appraiser.Appraisal{Outcome: registrar.Failed, Send: rationer.Abandoned, Onward: appraiser.Repeats, Charge: true},
		},
		"given up: the call may arrive later and is not charged": {
			appraiser.End{Kind: appraiser.GivenUp, Ended: true},
			appraiser.Appraisal{Outcome: registrar.Failed, Send: rationer.Abandoned, Onward: appraiser.Repeats},
		},
		"the caller disconnected": {
			appraiser.End{Kind: appraiser.GivenUp, CallerLeft: true, Ended: true},
			appraiser.Appraisal{Outcome: registrar.Abandoned, Send: rationer.Abandoned, Onward: appraiser.Nowhere},
		},
		"refused": {
			appraiser.End{Kind: appraiser.Refused},
			appraiser.Appraisal{Outcome: registrar.Refused, Onward: appraiser.Elsewhere},
		},
		"refused with a pause: no failure, no charge, and the next send counts as a retry": {
			appraiser.End{Kind: appraiser.Refused, Pause: 500},
			appraiser.Appraisal{Outcome: registrar.Resting, Onward: appraiser.Elsewhere},
		},
		"a failure with a pause may have run": {
			appraiser.End{Kind: appraiser.Failed, Pause: 500},
			appraiser.Appraisal{Outcome: registrar.Resting, Onward: appraiser.Repeats},
		},
		"a failure": {
			appraiser.End{Kind: appraiser.Failed},
			appraiser.Appraisal{Outcome: registrar.Failed, Onward: appraiser.Repeats},
		},
		"a truncated response is not charged": {
			appraiser.End{Kind: appraiser.BrokenOff},
			appraiser.Appraisal{Outcome: registrar.Failed, Onward: appraiser.Repeats},
		},
		"a stream that ended before its first event": {
			appraiser.End{Kind: appraiser.Unbegun},
			appraiser.Appraisal{Outcome: registrar.Failed, Onward: appraiser.Repeats, Charge: true},
		},
		"a stream that this entry ended before its first event": {
			appraiser.End{Kind: appraiser.Unbegun, Ended: true},
			appraiser.Appraisal{Outcome: registrar.Failed, Onward: appraiser.Repeats},
		},
		"a response of another server": {
			appraiser.End{Kind: appraiser.Foreign},
			appraiser.Appraisal{Outcome: registrar.Failed, Onward: appraiser.Repeats},
		},
		"a successful response": {
			appraiser.End{Kind: appraiser.Answered},
			appraiser.Appraisal{Outcome: registrar.Good},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, appraiser.Appraise(tc.end)); diff != "" {
				t.Errorf("appraisal (-want +got):\n%s", diff)
			}
		})
	}
}
