package explainer_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/explainer"
	"sequoiasill.dev/sequoiasill/decide/rationer"
)

// r1 runs into the attempt timeout at one upstream and is completed by the next; the
// first upstream of r2 cannot be reached, which does not count as a send; the retry
// budget denies a repeat of r3.
const repeatsLog = `{"@timestamp":"2026-01-01T00:00:02Z","@message":"attempt","entry":"a","request":"r1","service":"model","took":1000,"end":"given up"}
{"@timestamp":"2026-01-01T00:00:02Z","@message":"repeat","entry":"a","request":"r1","service":"model","allowed":true,"entries":9}
{"@timestamp":"2026-01-01T00:00:03Z","@message":"attempt","entry":"a","request":"r1","service":"model","took":500,"end":"streamed"}
{"@timestamp":"2026-01-01T00:00:03Z","@message":"attempt","entry":"b","request":"r2","service":"model","took":10,"end":"not sent"}
{"@timestamp":"2026-01-01T00:00:03Z","@message":"attempt","entry":"b","request":"r2","service":"model","took":10,"end":"streamed"}
{"@timestamp":"2026-01-01T00:00:04Z","@message":"attempt","entry":"b","request":"r3","service":"model","took":10,"end":"error of the upstream"}
{"@timestamp":"2026-01-01T00:00:04Z","@message":"repeat","entry":"b","request":"r3","service":"model","allowed":false,"entries":6}
`

func TestFindRepeats(t *testing.T) {
	lines, err := explainer.Read(strings.NewReader(repeatsLog))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := explainer.FindRepeats(lines).Write(&b, rationer.Limits{Ratio: 0.2, Window: 10 * sequoiasill.Second}); err != nil {
		t.Fatal(err)
	}
	want := `model: 3 requests, 1 repeats allowed, 1 not allowed, 1 attempts given up, bound shared by 6 to 9 entries
model: worst window from 23:59:52.501: 1 repeats sent, 0.2 allowed for 1 requests
`
	if diff := cmp.Diff(want, b.String()); diff != "" {
		t.Errorf("repeats (-want +got):\n%s", diff)
	}
}
