package dispatcher_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill/relay/dispatcher"
)

// A preview must tell what a call would meet, and must not send, charge or draw for one.
func TestPreview(t *testing.T) {
	type summary struct {
		Refusal, Route, Service string
		Probability             float64
		Upstreams               int
	}
	tests := map[string]struct {
		q    dispatcher.PreviewRequest
		want summary
	}{
		"less urgent":          {dispatcher.PreviewRequest{Host: host, Target: "/once/x", Organisation: "small"}, summary{"", "once", "plain", 1, 3}},
		"returns":              {dispatcher.PreviewRequest{Host: host, Target: "/once/x", Organisation: "small", Remaining: 1000}, summary{"", "once", "plain", 0.5, 3}},
		"most urgent":          {dispatcher.PreviewRequest{Host: host, Target: "/read/x?y", Organisation: "small"}, summary{"", "read", "plain", 0, 3}},
		"no route":             {dispatcher.PreviewRequest{Host: host, Target: "/else/x"}, summary{"no route for this host and path", "", "", 0, 0}},
		"unknown organisation": {dispatcher.PreviewRequest{Host: host, Target: "/once/x", Organisation: "key"}, summary{"the route needs an organisation, and this one is unknown", "once", "plain", 0, 0}},
	}
	d, c, _ := newSaturatedDispatcher(t, step{status: 200, body: "good", load: fullLoad}, goodStep)
	spent := d.Totals()
	for name, tc := range tests {
		p := d.Preview(tc.q)
		got := summary{p.Refusal, p.Route, p.Service, p.Admission.Probability, len(p.Upstreams)}
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
	if diff := cmp.Diff([]any{spent.Spent, 0}, []any{d.Totals().Spent, len(c.sentTo())}); diff != "" {
		t.Errorf("spent, sends (-before +after):\n%s", diff)
	}
}
