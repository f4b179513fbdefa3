package pathmonitor_test

import (
	"testing"

	"sequoiasill.dev/sequoiasill/decide/pathmonitor"
)

// Guards against probes that were not sent being taken for a lost path, and against a service that is
// never probed again after them.
func TestWithheldProbesTellNothing(t *testing.T) {
	h := &harness{Monitor: pathmonitor.New(pathmonitor.DefaultOptions(), 1), upstreams: 3}
	h.Failed(1000, service)
	h.tick(1000)
	withheld := h.probes
	h.probes = nil
	for _, p := range withheld {
		h.ProbeWithheld(p)
	}
	if got := h.State(service); len(withheld) == 0 || got != pathmonitor.InDoubt {
		t.Errorf("state is %s after %d withheld probes", got, len(withheld))
	}
	h.run(1050, 2000)
	if got := h.State(service); got != pathmonitor.Unreachable {
		t.Errorf("state is %s after probes that failed", got)
	}
}
