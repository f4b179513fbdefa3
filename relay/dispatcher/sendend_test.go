package dispatcher

import (
	"context"
	"io"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/classifier"
	"sequoiasill.dev/sequoiasill/decide/rationer"
)

// notSent is the error of a send before its first byte was written.
type notSent struct{ error }

func (notSent) Ran() sequoiasill.Verdict { return sequoiasill.NotRun }

func TestSendsThatMayStillArrive(t *testing.T) {
	ended, end := context.WithCancelCause(context.Background())
	end(errAttemptTimeout)
	tests := map[string]struct {
		ctx  context.Context
		err  error
		want rationer.SendResult
	}{
		"not sent":                   {context.Background(), notSent{io.EOF}, rationer.NotSent},
		"not sent before the end":    {ended, notSent{io.EOF}, rationer.NotSent},
		"closed by the upstream":     {context.Background(), errors.Trace(io.EOF), rationer.Closed},
		"no acknowledgement":         {context.Background(), errors.Trace(os.ErrDeadlineExceeded), rationer.Abandoned},
		"given up":                   {ended, errors.Trace(io.EOF), rationer.Abandoned},
		"given up and not confirmed": {ended, errors.Trace(os.ErrDeadlineExceeded), rationer.Abandoned},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, classifier.Classify(classifySendError(tc.ctx, tc.err, false)).Send); diff != "" {
				t.Errorf("end (-want +got):\n%s", diff)
			}
		})
	}
}
