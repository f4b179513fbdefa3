package plotter_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill/cmd/internal/explainer"
	"sequoiasill.dev/sequoiasill/cmd/internal/plotter"
)

const log = `{"@message":"started","@timestamp":"2026-12-04T01:00:00.000Z","entry":"e1"}
{"@message":"attempt","@timestamp":"2026-12-04T01:00:00.100Z","entry":"e1","request":"1","end":"streamed","first":40,"took":900}
{"@message":"attempt","@timestamp":"2026-12-04T01:00:01.100Z","entry":"e1","request":"2","end":"failed","took":10}
{"@message":"refused","@timestamp":"2026-12-04T01:00:01.100Z","entry":"e1","request":"2","reason":"upstream gave no answer","code":"upstreamFailed","status":502}
{"@message":"attempt","@timestamp":"2026-12-04T01:00:02.000Z","entry":"e2","request":"3","end":"answered","took":20}
{"@message":"stream cut","@timestamp":"2026-12-04T01:00:02.000Z","entry":"e2","request":"4","reason":"stream broke off"}
{"@message":"caller left","@timestamp":"2026-12-04T01:00:02.500Z","entry":"e2","request":"5"}
`

func TestCount(t *testing.T) {
	lines, err := explainer.Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	c := plotter.Count(lines)
	outcomes := map[string]map[int]int{"served": {0: 1, 2: 1}, "refused": {1: 1}, "cut": {2: 1}, "caller left": {2: 1}}
	if diff := cmp.Diff(outcomes, c.Outcomes); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
	reasons := map[string]map[int]int{"upstreamFailed": {1: 1}, "stream broke off": {2: 1}}
	if diff := cmp.Diff(reasons, c.Reasons); diff != "" {
		t.Errorf("reasons (-want +got):\n%s", diff)
	}
	if got, ok := c.Quantile(0, 50); !ok || got != 40 {
		t.Errorf("latency of the first second is %d, %t; the time to the first event is 40", got, ok)
	}
}

func TestDraw(t *testing.T) {
	lines, err := explainer.Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]*plotter.Chart{"a log": plotter.Count(lines), "no log": plotter.Count(nil)} {
		t.Run(name, func(t *testing.T) {
			var b bytes.Buffer
			if err := c.Draw(&b); err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(b.String(), "</svg>") || !strings.Contains(b.String(), "Calls by end") {
				t.Errorf("the chart of %d bytes is incomplete", b.Len())
			}
		})
	}
}
