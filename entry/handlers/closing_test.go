package handlers_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/entry/generator"
	"sequoiasill.dev/sequoiasill/entry/handlers"
	"sequoiasill.dev/sequoiasill/entry/meter"
)

// nowhere is a locator that finds nothing.
type nowhere struct{}

func (nowhere) Find(sequoiasill.RequestID, string, int) (*generator.Generation, bool) {
	return nil, false
}

type fixedConfig struct{}

func (fixedConfig) Current() sequoiasill.Config { return testConfig() }

// A caller may ask an entry that ends for an answer that it handed over, on a
// connection that it opened before. Where that has no ways to the others any more, the
// caller is sent to another entry (seen as 404 in TestAnswersSurviveNotice beside load).
func TestClosingEntrySendsElsewhere(t *testing.T) {
	tests := map[string]struct {
		closing bool
		after   string // Last-Event-ID
		status  int
	}{
		"entry stays":               {status: 404},
		"entry ends":                {closing: true, status: 303},
		"entry ends, for a stream":  {closing: true, after: "entry-1.ab:7", status: 303},
		"entry stays, for a stream": {after: "entry-1.ab:7", status: 404},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := handlers.New(handlers.Options{Entry: "entry-1"}, sequoiasill.NewSystemClock(), fixedConfig{}, nil, nowhere{}, nil, nil,
				meter.New(name), hclog.NewNullLogger())
			if tc.closing {
				c.Close()
			}
			var ctx fasthttp.RequestCtx
			ctx.Request.SetRequestURI("/v1/requests/entry-1.ab")
			ctx.Request.Header.Set("Authorization", "Bearer key")
			ctx.Request.Header.Set("Last-Event-ID", tc.after)
			c.Handler()(&ctx)
			got := []any{ctx.Response.StatusCode(), string(ctx.Response.Header.Peek("Location")) != "", ctx.Response.ConnectionClose()}
			want := []any{tc.status, tc.status == 303, true}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("status, location, close (-want +got):\n%s", diff)
			}
		})
	}
}
