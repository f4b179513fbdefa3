// Package meter counts what an entry does and serves the counts as text in the
// exposition format of Prometheus. Latencies go into histograms of the library.
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

// New returns a meter without any count.
func New() *Meter { return &Meter{set: metrics.NewSet()} }

// ServeHTTP writes all metrics, those of the process too.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Gauge reads a value each time that the metrics are asked for.
func (m *Meter) Gauge(name string, read func() float64) { m.set.NewGauge(name, read) }

// Refused counts a refusal by its code.
func (m *Meter) Refused(code sequoiasill.Code) {
	m.count(fmt.Sprintf(`sequoia_refusals_total{code=%q}`, string(code)))
}

// Attempted counts an attempt by how it ended, with the time that it took.
func (m *Meter) Attempted(end string, took sequoiasill.Millis) {
	m.count(fmt.Sprintf(`sequoia_attempts_total{end=%q}`, end))
	m.time(`sequoia_attempt_seconds`, took)
}

// Began counts the time from a call's arrival to the first event of its stream.
func (m *Meter) Began(after sequoiasill.Millis) { m.time(`sequoia_first_event_seconds`, after) }

// Ended counts a call by its kind and how it ended, with the time that it took.
func (m *Meter) Ended(kind sequoiasill.RepeatKind, end string, took sequoiasill.Millis) {
	m.count(fmt.Sprintf(`sequoia_calls_total{kind=%q,end=%q}`, kind, end))
	m.time(fmt.Sprintf(`sequoia_call_seconds{kind=%q}`, kind), took)
}

// Repeated counts a wish to send a call of a service once more, allowed or not.
func (m *Meter) Repeated(service string, allowed bool) {
	m.count(fmt.Sprintf(`sequoia_repeats_total{service=%q,allowed="%t"}`, service, allowed))
}

// Told counts what an upstream says of itself, in an answer here or to another entry.
func (m *Meter) Told(what, source string) {
	m.count(fmt.Sprintf(`sequoia_upstreams_told_total{what=%q,source=%q}`, what, source))
}

// Permitted counts an answer of the keeper of an upstream's limit: a call is granted, or
// denied, or the limit is over.
func (m *Meter) Permitted(granted, free bool) {
	end := "denied"
	switch {
	case granted:
		end = "granted"
	case free:
		end = "free"
	}
	m.count(fmt.Sprintf(`sequoia_limit_permits_total{end=%q}`, end))
}

// StoreCalled counts a call to the platform by what it asks and how it ended.
func (m *Meter) StoreCalled(op, end string) {
	m.count(fmt.Sprintf(`sequoia_platform_calls_total{op=%q,end=%q}`, op, end))
}

func (m *Meter) count(name string) { m.set.GetOrCreateCounter(name).Inc() }

func (m *Meter) time(name string, took sequoiasill.Millis) {
	m.set.GetOrCreateHistogram(name).Update(took.Duration().Seconds())
}
