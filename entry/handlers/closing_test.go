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

// emptyLocator is a Locator that finds no request.
type emptyLocator struct{}

func (emptyLocator) Find(sequoiasill.RequestID, string, int) (*generator.Generation, bool) {
	return nil, false
}

type fixedConfig struct{}

func (fixedConfig) Current() sequoiasill.Config { return testConfig() }

// A caller may use an open connection to request a response that a closing entry has
// handed over. If the entry no longer has connections to other entries to find it, it
// must redirect the caller. It used to respond with 404, as seen in
// TestResponsesSurviveNotice under load.
func TestClosingEntryRedirects(t *testing.T) {
	tests := map[string]struct {
		closing     bool
		lastEventID string // Last-Event-ID
		status      int
	}{
		"entry is open":                  {status: 404},
		"entry is closing":               {closing: true, status: 303},
		"entry is closing, for a stream": {closing: true, lastEventID: "entry-1.ab:7", status: 303},
		"entry is open, for a stream":    {lastEventID: "entry-1.ab:7", status: 404},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := handlers.New(handlers.Options{Entry: "entry-1"}, sequoiasill.NewSystemClock(), fixedConfig{}, nil, emptyLocator{}, nil, nil,
				meter.New(name), hclog.NewNullLogger())
			if tc.closing {
				c.Close()
			}
			var ctx fasthttp.RequestCtx
			ctx.Request.SetRequestURI("/v1/requests/entry-1.ab")
			ctx.Request.Header.Set("Authorization", "Bearer key")
			ctx.Request.Header.Set("Last-Event-ID", tc.lastEventID)
			c.Handler()(&ctx)
			got := []any{ctx.Response.StatusCode(), string(ctx.Response.Header.Peek("Location")) != "", ctx.Response.ConnectionClose()}
			want := []any{tc.status, tc.status == 303, true}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("status, location, close (-want +got):\n%s", diff)
			}
		})
	}
}
