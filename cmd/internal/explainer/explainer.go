// Package explainer reconstructs the handling of a request from the logs of several
// entries: the decisions that were made, the one that determined the outcome, and
// the last observed state of the upstreams and the configuration on which it was
// based, with its age. It also counts the repeats that the logs record.
package explainer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Line is a line of an entry's log.
type Line struct {
	Entry   string
	Time    time.Time // according to the entry's clock
	Message string
	Fields  map[string]any
}

// maxLineBytes is the maximum length of a line; reading fails at a longer one.
const maxLineBytes = 1 << 20

// Read reads the lines of a log. Text before the JSON object of a line, such as a
// prefix that a log collector adds, is skipped, and so are lines without a valid
// JSON object and timestamp.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
	for s.Scan() {
		i := strings.IndexByte(s.Text(), '{')
		if i < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(s.Text()[i:]), &fields) != nil {
			continue
		}
		l := Line{Fields: fields}
		l.Entry, _ = fields["entry"].(string)
		l.Message, _ = fields["@message"].(string)
		timestamp, _ := fields["@timestamp"].(string)
		at, err := time.Parse(time.RFC3339Nano, timestamp)
		if err != nil {
			continue
		}
		l.Time = at
		out = append(out, l)
	}
	return out, errors.Annotate(s.Err(), "read log")
}

// RequestTrace is the reconstructed handling of a request.
type RequestTrace struct {
	Request      string
	Steps        []Line
	Outcome      Line   // the decision that determined the outcome
	Observations []Line // the last update of each upstream, the configuration and the store before it
}

// outcomeMessages are the log messages that give the outcome of a request. If a
// request has several of them, the one that is latest in this list counts.
var outcomeMessages = []string{
	"attempt", "relayed", "answered", "caller left", "stream cut", "refused", "failed to read request", "response not delivered", "connection ended",
	"panic while serving a request",
}

// Explain reconstructs the handling of a request from the lines of all entries. It
// returns false if no line mentions the request.
func Explain(request string, lines []Line) (RequestTrace, bool) {
	trace := RequestTrace{Request: request}
	for _, l := range lines {
		if l.Fields["request"] == request {
			trace.Steps = append(trace.Steps, l)
		}
	}
	if len(trace.Steps) == 0 {
		return trace, false
	}
	// Sorting by time is safe although the clocks of entries may differ, because one
	// entry handles a request.
	sort.SliceStable(trace.Steps, func(i, j int) bool { return trace.Steps[i].Time.Before(trace.Steps[j].Time) })
	rank := -1
	for _, l := range trace.Steps {
		if r := slices.Index(outcomeMessages, l.Message); r >= rank {
			rank, trace.Outcome = r, l
		}
	}
	trace.Observations = lastObservations(trace, lines)
	return trace, true
}

// lastObservations returns the last updates that the deciding process logged before
// the decision: of the configuration, the store and the upstreams that the request was
// sent to.
func lastObservations(trace RequestTrace, lines []Line) []Line {
	attempted := make(map[any]bool)
	for _, l := range trace.Steps {
		if u, ok := l.Fields["upstream"]; ok {
			attempted[u] = true
		}
	}
	last := make(map[string]Line)
	started := processStart(trace.Outcome, lines)
	for _, l := range lines {
		if l.Entry != trace.Outcome.Entry || l.Time.Before(started) || l.Time.After(trace.Outcome.Time) || l.Fields["request"] != nil {
			continue
		}
		key := ""
		switch {
		case l.Message == "configuration in force":
			key = "configuration"
		case strings.HasPrefix(l.Message, "upstream ") && attempted[l.Fields["upstream"]]:
			key = fmt.Sprint(l.Fields["upstream"])
		case strings.HasPrefix(l.Message, "store "):
			key = "store"
		}
		if previous, ok := last[key]; key != "" && (!ok || !l.Time.Before(previous.Time)) {
			last[key] = l
		}
	}
	var out []Line
	for _, key := range slices.Sorted(maps.Keys(last)) {
		out = append(out, last[key])
	}
	return out
}

// processStart returns the start time of the process that wrote a line, or the zero time
// if the log does not contain its start. Observations of an earlier process of the entry
// are lost at its restart.
func processStart(line Line, lines []Line) time.Time {
	var at time.Time
	for _, l := range lines {
		if l.Entry == line.Entry && l.Message == "started" && !l.Time.After(line.Time) && l.Time.After(at) {
			at = l.Time
		}
	}
	return at
}

// Write prints the trace.
func (t RequestTrace) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s at %s\n", t.Request, t.Outcome.Entry)
	for _, l := range t.Steps {
		fmt.Fprintf(&b, "  %s  %s\n", l.Time.Format("15:04:05.000"), l.format())
	}
	fmt.Fprintf(&b, "settled by: %s\n", t.Outcome.format())
	for _, l := range t.Observations {
		age := t.Outcome.Time.Sub(l.Time).Round(time.Millisecond)
		fmt.Fprintf(&b, "  believed since %s: %s\n", age, l.format())
	}
	_, err := io.WriteString(w, b.String())
	return errors.Annotate(err, "write trace")
}

// format returns the message with its fields, sorted by name.
func (l Line) format() string {
	out := l.Message
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if strings.HasPrefix(name, "@") || name == "entry" || name == "request" || l.Fields[name] == nil {
			continue
		}
		out += fmt.Sprintf(" %s=%v", name, l.Fields[name])
	}
	return out
}
