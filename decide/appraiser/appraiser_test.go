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
		want appraiser.Classification
	}{
		"no connection": {
			appraiser.End{Kind: appraiser.NotSent},
			appraiser.Classification{Outcome: registrar.Unreachable, Send: rationer.Closed, Retry: appraiser.RetryAny},
		},
		"no connection, and the caller disconnected": {
			appraiser.End{Kind: appraiser.NotSent, CallerDisconnected: true, Ended: true},
			appraiser.Classification{Outcome: registrar.Abandoned, Send: rationer.Closed, Retry: appraiser.RetryAny},
		},
		"withheld: no effect on the health of the upstream or the retry budget": {
			appraiser.End{Kind: appraiser.Withheld},
			appraiser.Classification{Outcome: registrar.Abandoned, Send: rationer.Closed, Retry: appraiser.RetryAny},
		},
		"the upstream closed the connection": {
			appraiser.End{Kind: appraiser.ConnectionClosed},
			appraiser.Classification{Outcome: registrar.Failed, Send: rationer.Closed, Retry: appraiser.RetryRepeatable, ChargeCrash: true},
		},
		"no response from the upstream": {
			appraiser.End{Kind: appraiser.NoResponse},
			appraiser.Classification{Outcome: registrar.Failed, Send: rationer.Abandoned, Retry: appraiser.RetryRepeatable, ChargeCrash: true},
		},
		"given up: the call may arrive later and is not charged": {
			appraiser.End{Kind: appraiser.GivenUp, Ended: true},
			appraiser.Classification{Outcome: registrar.Failed, Send: rationer.Abandoned, Retry: appraiser.RetryRepeatable},
		},
		"the caller disconnected": {
			appraiser.End{Kind: appraiser.GivenUp, CallerDisconnected: true, Ended: true},
			appraiser.Classification{Outcome: registrar.Abandoned, Send: rationer.Abandoned, Retry: appraiser.NoRetry},
		},
		"refused": {
			appraiser.End{Kind: appraiser.Refused},
			appraiser.Classification{Outcome: registrar.Refused, Retry: appraiser.RetryAny},
		},
		"refused with a pause: no failure, no charge, and the next send counts as a retry": {
			appraiser.End{Kind: appraiser.Refused, Pause: 500},
			appraiser.Classification{Outcome: registrar.PauseRequested, Retry: appraiser.RetryAny},
		},
		"a failure with a pause may have run": {
			appraiser.End{Kind: appraiser.Failed, Pause: 500},
			appraiser.Classification{Outcome: registrar.PauseRequested, Retry: appraiser.RetryRepeatable},
		},
		"a failure": {
			appraiser.End{Kind: appraiser.Failed},
			appraiser.Classification{Outcome: registrar.Failed, Retry: appraiser.RetryRepeatable},
		},
		"a truncated response is not charged": {
			appraiser.End{Kind: appraiser.Truncated},
			appraiser.Classification{Outcome: registrar.Failed, Retry: appraiser.RetryRepeatable},
		},
		"a stream that ended before its first event": {
			appraiser.End{Kind: appraiser.EmptyStream},
			appraiser.Classification{Outcome: registrar.Failed, Retry: appraiser.RetryRepeatable, ChargeCrash: true},
		},
		"a stream that this entry ended before its first event": {
			appraiser.End{Kind: appraiser.EmptyStream, Ended: true},
			appraiser.Classification{Outcome: registrar.Failed, Retry: appraiser.RetryRepeatable},
		},
		"a response of another server": {
			appraiser.End{Kind: appraiser.UnexpectedResponse},
			appraiser.Classification{Outcome: registrar.Failed, Retry: appraiser.RetryRepeatable},
		},
		"a successful response": {
			appraiser.End{Kind: appraiser.Succeeded},
			appraiser.Classification{Outcome: registrar.Succeeded},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, appraiser.Classify(tc.end)); diff != "" {
				t.Errorf("appraisal (-want +got):\n%s", diff)
			}
		})
	}
}
