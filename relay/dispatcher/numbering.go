package dispatcher

import (
	"bytes"
	"iter"
	"strconv"
)

// numbering follows the IDs of a stream's events across the upstreams that send them. IDs increase.
// Where all of them increased by one so far, a gap is a missing event.
type numbering struct {
	last       string // ID of the last event, empty before the first one
	steps      int    // events that followed another one
	jumped     bool   // an event did not follow by one
	fromTheTop bool   // the first event had the ID 0 or 1
}

// record records an event that was delivered.
func (n *numbering) record(id string) {
	v, isNumber := parseEventID(id)
	if n.last == "" {
		n.fromTheTop = isNumber && v <= 1
		n.last = id
		return
	}
	last, lastIsNumber := parseEventID(n.last)
	n.jumped = n.jumped || !isNumber || !lastIsNumber || v != last+1
	n.steps++
	n.last = id
}

// isNext reports whether an event may be the next one after an interruption.
func (n *numbering) isNext(id string) bool {
	if n.last == "" {
		return true
	}
	v, isNumber := parseEventID(id)
	last, lastIsNumber := parseEventID(n.last)
	if !isNumber || !lastIsNumber {
		return id != n.last
	}
	consecutive := !n.jumped && (n.steps > 0 || n.fromTheTop)
	return v == last+1 || v > last && !consecutive
}

func parseEventID(id string) (uint64, bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}

// eventIDs returns the IDs in complete events (WHATWG HTML, server-sent events).
func eventIDs(events []byte) iter.Seq[string] {
	return func(yield func(string) bool) {
		for line := range bytes.Lines(events) {
			id, ok := bytes.CutPrefix(line, []byte("id:"))
			if ok && !yield(string(bytes.TrimPrefix(bytes.TrimRight(id, "\r\n"), []byte(" ")))) {
				return
			}
		}
	}
}
