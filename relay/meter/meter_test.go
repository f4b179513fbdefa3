package meter_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/relay/meter"
)

func TestMetricsOverHTTP(t *testing.T) {
	m := meter.New()
	m.Gauge("sequoia_entries", func() float64 { return 9 })
	m.Refused(sequoiasill.CodeOverloaded)
	m.AdmissionRefused("model", 2)
	for range 2 { // as with each configuration
		m.AdmissionPressure("model", func() float64 { return 0.5 })
	}
	m.Attempted("answered", 12)
	m.FirstEvent(30)
	m.CallEnded(sequoiasill.Streaming, "good", 40)
	m.RetryRequested("model", true)
	m.RetryRequested("model", false)
	m.CountCall("watch", "ok")
	m.EntryUnusable("servers")
	m.ChosenByConnection()
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		"sequoia_entries 9",
		`sequoia_refusals_total{code="overloaded"} 1`,
		`sequoia_admission_refusals_total{service="model",rank="2"} 1`,
		`sequoia_admission_pressure{service="model"} 0.5`,
		`sequoia_attempts_total{end="answered"} 1`,
		`sequoia_first_event_seconds_count 1`,
		`sequoia_calls_total{kind="streaming",end="good"} 1`,
		`sequoia_call_seconds_count{kind="streaming"} 1`,
		`sequoia_repeats_total{service="model",allowed="true"} 1`,
		`sequoia_repeats_total{service="model",allowed="false"} 1`,
		`sequoia_platform_calls_total{op="watch",end="ok"} 1`,
		`sequoia_unusable_entries_total{kind="servers"} 1`,
		"sequoia_chosen_by_connection_total 1",
		"process_resident_memory_bytes",
	} {
		if !strings.Contains(w.Body.String(), line) {
			t.Errorf("metrics lack %s", line)
		}
	}
}
