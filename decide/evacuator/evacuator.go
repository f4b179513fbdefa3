// Package evacuator plans the draining of an upstream: it decides which streams can
// finish there and when the others move to another upstream. Moves are spread over time,
// so that a wave of draining upstreams does not overload the remaining ones.
package evacuator

import (
	"sort"

	"sequoiasill.dev/sequoiasill"
)

// Options configure a plan.
type Options struct {
	StopMargin    sequoiasill.Millis // streams must finish this long before the upstream stops
	SafetyPercent int                // percent added to the estimated remaining time of a stream
	Spacing       sequoiasill.Millis // maximum interval between two moves; shorter if time is short
}

// DefaultOptions returns the options that the router uses.
func DefaultOptions() Options { return Options{StopMargin: 300, SafetyPercent: 30, Spacing: 10} }

// Stream is a running stream.
type Stream struct {
	ID            sequoiasill.RequestID
	Remaining     int     // upper bound of the tokens to come
	TokenInterval float64 // milliseconds between tokens
}

// Decision is the decision on one stream. A stream that does not move finishes on the
// draining upstream.
type Decision struct {
	ID     sequoiasill.RequestID
	Move   bool
	MoveAt sequoiasill.Millis // time of the move
}

// Plan decides for all streams of an upstream that stops at stopAt. It returns streams
// with less remaining time first; each finishes in place if the time suffices.
func Plan(now, stopAt sequoiasill.Millis, streams []Stream, opts Options) []Decision {
	available := stopAt - now - opts.StopMargin
	sorted := append([]Stream(nil), streams...)
	sort.SliceStable(sorted, func(i, j int) bool {
		return float64(sorted[i].Remaining)*sorted[i].TokenInterval < float64(sorted[j].Remaining)*sorted[j].TokenInterval
	})
	out := make([]Decision, 0, len(sorted))
	moves := 0
	for _, s := range sorted {
		needed := sequoiasill.Millis(float64(s.Remaining) * s.TokenInterval * float64(100+opts.SafetyPercent) / 100)
		if needed <= available {
			out = append(out, Decision{ID: s.ID})
			continue
		}
		out = append(out, Decision{ID: s.ID, Move: true, MoveAt: now + sequoiasill.Millis(moves)})
		moves++
	}
	spacing := opts.Spacing
	if moves > 0 {
		spacing = max(min(spacing, available/2/sequoiasill.Millis(moves)), 0)
	}
	for i := range out {
		if out[i].Move {
			out[i].MoveAt = now + (out[i].MoveAt-now)*spacing
		}
	}
	return out
}
