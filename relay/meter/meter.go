// Package meter collects the metrics of an entry and serves them in the Prometheus
// text exposition format. Latencies are recorded in VictoriaMetrics histograms.
package meter

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"sequoiasill.dev/sequoiasill"
)

// Meter holds the metrics of one entry. It is safe for concurrent use.
type Meter struct {
	set *metrics.Set
}

// New returns a meter without metrics.
func New() *Meter { return &Meter{set: metrics.NewSet()} }

// ServeHTTP writes all metrics, including those of the process.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Gauge registers a gauge whose value is read at each scrape.
func (m *Meter) Gauge(name string, read func() float64) { m.set.NewGauge(name, read) }

// Refused counts a refusal by error code.
func (m *Meter) Refused(code sequoiasill.Code) {
	m.count(fmt.Sprintf(`sequoia_refusals_total{code=%q}`, string(code)))
}

// AdmissionRefused counts a call that was refused as the upstreams of its service are saturated, by
// the rank of its priority there.
func (m *Meter) AdmissionRefused(service string, rank int) {
	m.count(fmt.Sprintf(`sequoia_admission_refusals_total{service=%q,rank="%d"}`, service, rank))
}

// AdmissionPressure publishes the waiting calls per slot of a service. Only the first registration
// for a service takes effect.
func (m *Meter) AdmissionPressure(service string, read func() float64) {
	m.set.GetOrCreateGauge(fmt.Sprintf(`sequoia_admission_pressure{service=%q}`, service), read)
}

// Attempted counts an attempt by outcome and records its duration.
func (m *Meter) Attempted(end string, took sequoiasill.Millis) {
	m.count(fmt.Sprintf(`sequoia_attempts_total{end=%q}`, end))
	m.time(`sequoia_attempt_seconds`, took)
}

// UnframedEnded counts an attempt whose response has no framing and ends with its connection, by
// outcome.
func (m *Meter) UnframedEnded(end string) {
	m.count(fmt.Sprintf(`sequoia_unframed_responses_total{end=%q}`, end))
}

// FirstEvent records the time from the arrival of a call to the first event of its stream.
func (m *Meter) FirstEvent(after sequoiasill.Millis) { m.time(`sequoia_first_event_seconds`, after) }

// CallEnded counts a call by kind and outcome and records its duration.
func (m *Meter) CallEnded(kind sequoiasill.CallKind, end string, took sequoiasill.Millis) {
	m.count(fmt.Sprintf(`sequoia_calls_total{kind=%q,end=%q}`, kind, end))
	m.time(fmt.Sprintf(`sequoia_call_seconds{kind=%q}`, kind), took)
}

// CallerEnded counts an end of a caller's request or connection without a complete response, by
// cause.
func (m *Meter) CallerEnded(cause string) {
	m.count(fmt.Sprintf(`sequoia_caller_ends_total{cause=%q}`, cause))
}

// CallerInputClosed counts a connection of a caller that was closed, or a request that was refused, for what
// it sent, by reason.
func (m *Meter) CallerInputClosed(reason string) {
	m.count(fmt.Sprintf(`sequoia_caller_input_closed_total{reason=%q}`, reason))
}

// RetryRequested counts a retry of a call to a service that was requested, by whether it was
// allowed.
func (m *Meter) RetryRequested(service string, allowed bool) {
	m.count(fmt.Sprintf(`sequoia_repeats_total{service=%q,allowed="%t"}`, service, allowed))
}

// UpstreamSignal counts a signal from an upstream about its state, by kind and by source: a
// response received here, or another entry.
func (m *Meter) UpstreamSignal(what, source string) {
	m.count(fmt.Sprintf(`sequoia_upstreams_told_total{what=%q,source=%q}`, what, source))
}

// PermitDecided counts a decision of the keeper of an upstream's limit: the permit was
// granted or denied, or the limit has been lifted.
func (m *Meter) PermitDecided(granted, lifted bool) {
	end := "denied"
	switch {
	case granted:
		end = "granted"
	case lifted:
		end = "free"
	}
	m.count(fmt.Sprintf(`sequoia_limit_permits_total{end=%q}`, end))
}

// ChosenByConnection counts a choice of an upstream that an idle connection to it decided.
func (m *Meter) ChosenByConnection() { m.count("sequoia_chosen_by_connection_total") }

// EntryUnusable counts an entry of the store, by kind, that cannot be used as another writer left it.
func (m *Meter) EntryUnusable(kind string) {
	m.count(fmt.Sprintf(`sequoia_unusable_entries_total{kind=%q}`, kind))
}

// EvacuationChanged counts an evacuation of a zone that starts or ends, by the source that told it.
func (m *Meter) EvacuationChanged(evacuated bool, source string) {
	m.count(fmt.Sprintf(`sequoia_evacuation_changes_total{evacuated="%t",source=%q}`, evacuated, source))
}

// StoreRestored counts that the store came back from a copy.
func (m *Meter) StoreRestored() { m.count("sequoia_store_restores_total") }

// CrashCharged counts a call that is charged with the crash of its upstream.
func (m *Meter) CrashCharged() { m.count("sequoia_crashes_charged_total") }

// ShutdownEnded counts a call that the shutdown of the entry refused or ended, by how.
func (m *Meter) ShutdownEnded(how string) {
	m.count(fmt.Sprintf(`sequoia_shutdown_calls_total{end=%q}`, how))
}

// PartQuarantined counts a quarantine of a part of prompts that starts or is lifted, by whom it
// was decided.
func (m *Meter) PartQuarantined(lifted bool, source string) {
	m.count(fmt.Sprintf(`sequoia_part_quarantines_total{lifted="%t",source=%q}`, lifted, source))
}

// RequestQuarantined counts a quarantine of a request that starts or is lifted, by whom it was decided.
func (m *Meter) RequestQuarantined(lifted bool, source string) {
	m.count(fmt.Sprintf(`sequoia_request_quarantines_total{lifted="%t",source=%q}`, lifted, source))
}

// PathChanged counts a change of the paths to a service, by the state that it enters.
func (m *Meter) PathChanged(state string) {
	m.count(fmt.Sprintf(`sequoia_path_changes_total{state=%q}`, state))
}

// PathProbed counts a probe of a path to an upstream by whether it connected.
func (m *Meter) PathProbed(connected bool) {
	m.count(fmt.Sprintf(`sequoia_path_probes_total{connected="%t"}`, connected))
}

// CountCall counts a call to the platform by operation and outcome.
func (m *Meter) CountCall(op, end string) {
	m.count(fmt.Sprintf(`sequoia_platform_calls_total{op=%q,end=%q}`, op, end))
}

func (m *Meter) count(name string) { m.set.GetOrCreateCounter(name).Inc() }

func (m *Meter) time(name string, took sequoiasill.Millis) {
	m.set.GetOrCreateHistogram(name).Update(took.Duration().Seconds())
}
