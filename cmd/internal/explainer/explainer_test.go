package explainer_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill/cmd/internal/explainer"
)

const log = `  1.0 edge-a {"@timestamp":"2026-01-01T00:00:01Z","@message":"configuration in force","entry":"edge-a","config":7}
{"@timestamp":"2026-01-01T00:00:02Z","@message":"upstream announced","entry":"edge-a","upstream":"i-1"}
{"@timestamp":"2026-01-01T00:00:02Z","@message":"upstream announced","entry":"edge-a","upstream":"i-2"}
{"@timestamp":"2026-01-01T00:00:03Z","@message":"upstream announced","entry":"edge-b","upstream":"i-1","draining":true}
not a line of the log
{"@timestamp":"2026-01-01T00:00:04.5Z","@message":"refused","entry":"edge-a","request":"r1","status":503,"reason":"upstreams are full"}
{"@timestamp":"2026-01-01T00:00:04Z","@message":"attempt","entry":"edge-a","request":"r1","upstream":"i-1","end":"refused by upstream"}
{"@timestamp":"2026-01-01T00:00:05Z","@message":"configuration in force","entry":"edge-a","config":8}
{"@timestamp":"2026-01-01T00:00:06Z","@message":"attempt","entry":"edge-b","request":"r2","upstream":"i-2","end":"answered"}
`

func TestExplain(t *testing.T) {
	lines, err := explainer.Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	trace, ok := explainer.Explain("r1", lines)
	if !ok {
		t.Fatal("request not found")
	}
	var b strings.Builder
	if err := trace.Write(&b); err != nil {
		t.Fatal(err)
	}
	want := `request r1 at edge-a
  00:00:04.000  attempt end=refused by upstream upstream=i-1
  00:00:04.500  refused reason=upstreams are full status=503
settled by: refused reason=upstreams are full status=503
  believed since 3.5s: configuration in force config=7
  believed since 2.5s: upstream announced upstream=i-1
`
	if diff := cmp.Diff(want, b.String()); diff != "" {
		t.Errorf("trace (-want +got):\n%s", diff)
	}
}

// Guards against attributing a decision to observations that were made before the entry
// restarted: the new process does not have them.
func TestObservationsAfterRestart(t *testing.T) {
	restarted := strings.Replace(log, "not a line of the log",
		`{"@timestamp":"2026-01-01T00:00:03.5Z","@message":"started","entry":"edge-a"}`, 1)
	lines, err := explainer.Read(strings.NewReader(restarted))
	if err != nil {
		t.Fatal(err)
	}
	trace, ok := explainer.Explain("r1", lines)
	if !ok {
		t.Fatal("request not found")
	}
	if diff := cmp.Diff(0, len(trace.Observations)); diff != "" {
		t.Errorf("observations of a process that has just started (-want +got):\n%s", diff)
	}
}

func TestUnknownRequest(t *testing.T) {
	if _, ok := explainer.Explain("r9", nil); ok {
		t.Error("found a request that no line mentions")
	}
}

// Guards against an upstream's response that is told as the outcome of a request which got none.
func TestRequestWithoutAnswerIsExplained(t *testing.T) {
	for _, message := range []string{"failed to read request", "response not delivered", "connection ended", "panic while serving a request"} {
		t.Run(message, func(t *testing.T) {
			lines, err := explainer.Read(strings.NewReader(log + `{"@timestamp":"2026-01-01T00:00:06Z","@message":"` + message + `","entry":"edge-b","request":"r2","cause":"c"}
{"@timestamp":"2026-01-01T00:00:07Z","@message":"testing quarantined parts","entry":"edge-b","request":"r2"}
`))
			if err != nil {
				t.Fatal(err)
			}
			trace, _ := explainer.Explain("r2", lines)
			if diff := cmp.Diff(message, trace.Outcome.Message); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}
