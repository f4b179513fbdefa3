package dispatcher_test

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill/decide/registrar"
	"sequoiasill.dev/sequoiasill/relay/dispatcher"
)

// pacedTransport reports a pace with each response and holds idle connections to some upstreams.
type pacedTransport struct {
	fakeTransport
	pace float64
	idle []string
}

func (c *pacedTransport) Send(ctx context.Context, a dispatcher.Attempt) (*dispatcher.Response, error) {
	r, err := c.fakeTransport.Send(ctx, a)
	if err == nil {
		r.Load, r.HasLoad = registrar.Load{Slots: 4, Pace: c.pace}, true
	}
	return r, err
}

func (c *pacedTransport) HasIdle(upstream string) bool { return slices.Contains(c.idle, upstream) }

// Guards against reported paces and idle connections that do not reach the choice of an upstream, its log
// line or the other entries.
func TestPaceAndConnections(t *testing.T) {
	tests := map[string]struct {
		pace      float64
		idle      []string
		sentTo    string // upstream of all calls, empty if they are spread
		announced int    // paces
		logged    []string
		absent    []string
	}{
		"three figures, no connections":  {0, nil, "", 0, nil, []string{"pace=", "byConnection"}},
		"a connection to one":            {0, []string{"r1"}, "r1", 0, []string{"byConnection=true"}, []string{"pace="}},
		"connections to all":             {0, []string{"r0", "r1", "r2"}, "", 0, nil, []string{"byConnection"}},
		"four figures, a connection":     {1.7, []string{"r1"}, "r1", 1, []string{"pace=1.7", "byConnection=true", "usual pace of upstream"}, nil},
		"four figures that say as usual": {1, []string{"r1"}, "r1", 1, []string{"byConnection=true"}, nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c, u := &pacedTransport{pace: tc.pace, idle: tc.idle}, &fakePeers{usageCounts: make(map[string]int)}
			c.steps = []step{{status: 200, body: "good"}}
			var log bytes.Buffer
			d := newDispatcherWith(c, u, filledBudget(), hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: &log}))
			for range 12 {
				d.Serve(context.Background(), call("/once/x", "key"), &reply{})
			}
			sentTo := slices.Compact(slices.Sorted(slices.Values(c.sentTo())))
			if (len(sentTo) == 1) != (tc.sentTo != "") || tc.sentTo != "" && sentTo[0] != tc.sentTo {
				t.Errorf("calls were sent to %v, want %q", sentTo, tc.sentTo)
			}
			if diff := cmp.Diff(tc.announced, len(u.limits)); diff != "" {
				t.Errorf("paces announced (-want +got):\n%s", diff)
			}
			for _, text := range tc.logged {
				if !strings.Contains(log.String(), text) {
					t.Errorf("log lacks %q", text)
				}
			}
			for _, text := range tc.absent {
				if strings.Contains(log.String(), text) {
					t.Errorf("log has %q", text)
				}
			}
		})
	}
}
