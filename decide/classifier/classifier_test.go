package classifier_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill/decide/classifier"
	"sequoiasill.dev/sequoiasill/decide/rationer"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

func TestClassify(t *testing.T) {
	tests := map[string]struct {
		end  classifier.End
		want classifier.Classification
	}{
		"no connection": {
			classifier.End{Kind: classifier.NotSent},
			classifier.Classification{Outcome: registrar.Unreachable, Send: rationer.NotSent, Retry: classifier.RetryAny},
		},
		"no connection, and the caller disconnected": {
			classifier.End{Kind: classifier.NotSent, CallerDisconnected: true, EndedHere: true},
			classifier.Classification{Outcome: registrar.Abandoned, Send: rationer.NotSent, Retry: classifier.RetryAny},
		},
		"withheld: no effect on the health of the upstream or the retry budget": {
			classifier.End{Kind: classifier.Withheld},
			classifier.Classification{Outcome: registrar.Abandoned, Send: rationer.NotSent, Retry: classifier.RetryAny},
		},
		"the upstream closed the connection": {
			classifier.End{Kind: classifier.ConnectionClosed},
			classifier.Classification{Outcome: registrar.Failed, Send: rationer.Closed, Retry: classifier.RetryRepeatable, ChargeCrash: true},
		},
		"no response from the upstream": {
			classifier.End{Kind: classifier.NoResponse},
			classifier.Classification{Outcome: registrar.Failed, Send: rationer.Abandoned, Retry: classifier.RetryRepeatable, ChargeCrash: true},
		},
		"given up: the call may arrive later and is not charged": {
			classifier.End{Kind: classifier.GivenUp, EndedHere: true},
			classifier.Classification{Outcome: registrar.Failed, Send: rationer.Abandoned, Retry: classifier.RetryRepeatable},
		},
		"the caller disconnected": {
			classifier.End{Kind: classifier.GivenUp, CallerDisconnected: true, EndedHere: true},
			classifier.Classification{Outcome: registrar.Abandoned, Send: rationer.Abandoned, Retry: classifier.NoRetry},
		},
		"refused": {
			classifier.End{Kind: classifier.Refused},
			classifier.Classification{Outcome: registrar.Refused, Retry: classifier.RetryAny},
		},
		"refused with a pause: no failure, no charge, and the next send is a repeat": {
			classifier.End{Kind: classifier.Refused, Pause: 500},
			classifier.Classification{Outcome: registrar.PauseRequested, Retry: classifier.RetryAny},
		},
		"a failure with a pause may have run": {
			classifier.End{Kind: classifier.Failed, Pause: 500},
			classifier.Classification{Outcome: registrar.PauseRequested, Retry: classifier.RetryRepeatable},
		},
		"a failure": {
			classifier.End{Kind: classifier.Failed},
			classifier.Classification{Outcome: registrar.Failed, Retry: classifier.RetryRepeatable},
		},
		"a truncated response is charged if its upstream has ended": {
			classifier.End{Kind: classifier.Truncated},
			classifier.Classification{Outcome: registrar.Failed, Retry: classifier.RetryRepeatable, ChargeCrash: true, ConfirmCrash: true},
		},
		"a response that this entry truncated": {
			classifier.End{Kind: classifier.Truncated, EndedHere: true},
			classifier.Classification{Outcome: registrar.Failed, Retry: classifier.RetryRepeatable},
		},
		"a stream that ended before its first event is charged if its upstream has ended": {
			classifier.End{Kind: classifier.EmptyStream},
			classifier.Classification{Outcome: registrar.Failed, Retry: classifier.RetryRepeatable, ChargeCrash: true, ConfirmCrash: true},
		},
		"a stream that this entry ended before its first event": {
			classifier.End{Kind: classifier.EmptyStream, EndedHere: true},
			classifier.Classification{Outcome: registrar.Failed, Retry: classifier.RetryRepeatable},
		},
		"a response of another server": {
			classifier.End{Kind: classifier.UnexpectedResponse},
			classifier.Classification{Outcome: registrar.Failed, Retry: classifier.RetryRepeatable},
		},
		"a successful response": {
			classifier.End{Kind: classifier.Succeeded},
			classifier.Classification{Outcome: registrar.Succeeded},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, classifier.Classify(tc.end)); diff != "" {
				t.Errorf("classification (-want +got):\n%s", diff)
			}
		})
	}
}
