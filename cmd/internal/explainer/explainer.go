// Package explainer tells the story of one request from the logs of several
// entries: what each decided, which decision settled the request, and the beliefs
// about the upstreams and the configuration on which it rested, with their ages.
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
	Time    time.Time // by the entry's clock
	Message string
	Fields  map[string]any
}

// maxLineBytes bounds a line; longer ones are left out.
const maxLineBytes = 1 << 20

// Read reads the lines of a log. What stands before the JSON of a line, such as a
// prefix that a collector adds, is passed over, and so are lines without any.
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
		stamp, _ := fields["@timestamp"].(string)
		at, err := time.Parse(time.RFC3339Nano, stamp)
		if err != nil {
			continue
		}
		l.Time = at
		out = append(out, l)
	}
	return out, errors.Annotate(s.Err(), "read log")
}

// Story is what is known of a request.
type Story struct {
	Request string
	Steps   []Line
	Settled Line   // the decision that settled it
	Beliefs []Line // the last news of each upstream and of the configuration before it
}

// settling are the messages that end a request, the strongest last.
var settling = []string{"attempt", "answered", "caller left", "stream cut", "refused"}

// Explain finds the story of a request in the lines of all entries. It returns
// false if no line tells of the request.
func Explain(request string, lines []Line) (Story, bool) {
	s := Story{Request: request}
	for _, l := range lines {
		if l.Fields["request"] == request {
			s.Steps = append(s.Steps, l)
		}
	}
	if len(s.Steps) == 0 {
		return s, false
	}
	// Clocks of entries may be apart; a request is at one entry.
	sort.SliceStable(s.Steps, func(i, j int) bool { return s.Steps[i].Time.Before(s.Steps[j].Time) })
	rank := -1
	for _, l := range s.Steps {
		if r := slices.Index(settling, l.Message); r >= rank {
			rank, s.Settled = r, l
		}
	}
	s.Beliefs = beliefs(s, lines)
	return s, true
}

// beliefs returns the last news before the decision, at the same entry, of the
// configuration and of the upstreams that the request met.
func beliefs(s Story, lines []Line) []Line {
	met := make(map[any]bool)
	for _, l := range s.Steps {
		if u, ok := l.Fields["upstream"]; ok {
			met[u] = true
		}
	}
	last := make(map[string]Line)
	started := startOf(s.Settled, lines)
	for _, l := range lines {
		if l.Entry != s.Settled.Entry || l.Time.Before(started) || l.Time.After(s.Settled.Time) || l.Fields["request"] != nil {
			continue
		}
		key := ""
		switch {
		case l.Message == "configuration in force":
			key = "configuration"
		case strings.HasPrefix(l.Message, "upstream ") && met[l.Fields["upstream"]]:
			key = fmt.Sprint(l.Fields["upstream"])
		case strings.HasPrefix(l.Message, "store "):
			key = "store"
		}
		if before, ok := last[key]; key != "" && (!ok || !l.Time.Before(before.Time)) {
			last[key] = l
		}
	}
	var out []Line
	for _, key := range slices.Sorted(maps.Keys(last)) {
		out = append(out, last[key])
	}
	return out
}

// startOf returns when the process that wrote a line started, as far as its log tells:
// what an earlier process believed is lost.
func startOf(of Line, lines []Line) time.Time {
	var at time.Time
	for _, l := range lines {
		if l.Entry == of.Entry && l.Message == "started" && !l.Time.After(of.Time) && l.Time.After(at) {
			at = l.Time
		}
	}
	return at
}

// Write prints a story.
func (s Story) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s at %s\n", s.Request, s.Settled.Entry)
	for _, l := range s.Steps {
		fmt.Fprintf(&b, "  %s  %s\n", l.Time.Format("15:04:05.000"), l.text())
	}
	fmt.Fprintf(&b, "settled by: %s\n", s.Settled.text())
	for _, l := range s.Beliefs {
		age := s.Settled.Time.Sub(l.Time).Round(time.Millisecond)
		fmt.Fprintf(&b, "  believed since %s: %s\n", age, l.text())
	}
	_, err := io.WriteString(w, b.String())
	return errors.Annotate(err, "write story")
}

// text returns the message with its fields in order.
func (l Line) text() string {
	out := l.Message
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if strings.HasPrefix(name, "@") || name == "entry" || name == "request" || l.Fields[name] == nil {
			continue
		}
		out += fmt.Sprintf(" %s=%v", name, l.Fields[name])
	}
	return out
}
