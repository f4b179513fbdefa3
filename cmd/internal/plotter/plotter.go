// Package plotter draws charts from the logs of several entries: for each second the
// outcomes of calls, the reasons of refusals and failures, and latency percentiles.
package plotter

import (
	"image/color"
	"io"
	"maps"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
	"gonum.org/v1/plot"
	lines "gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"sequoiasill.dev/sequoiasill/cmd/internal/explainer"
)

// Outcomes of calls, as the legend names them.
const (
	served             = "served"
	refused            = "refused"
	failed             = "failed"
	truncated          = "cut"
	callerDisconnected = "caller left"
)

// outcomes maps the log messages that end a call to its outcome. An attempt ends the call
// only if its result is one of servedResults.
var outcomes = map[string]string{"refused": refused, "answered": failed, "stream cut": truncated, "caller left": callerDisconnected}

// servedResults are the results of an attempt that completes a call.
var servedResults = []any{"answered", "streamed"}

const (
	maxLatencyMillis  = 600_000
	significantDigits = 2 // of recorded latencies
	padding           = 0.4 * vg.Inch
	width             = 10 * vg.Inch
	height            = 11 * vg.Inch
)

// Chart holds counts and latencies for each second since the first line of the logs.
type Chart struct {
	Outcomes   map[string]map[int]int // calls by outcome and second
	Reasons    map[string]map[int]int // refusals and failures by reason and second
	latency    map[int]*hdrhistogram.Histogram
	Unrecorded int // attempts whose latency is missing or not recordable
}

// Count returns a chart of the lines of several entries.
func Count(log []explainer.Line) *Chart {
	c := &Chart{Outcomes: make(map[string]map[int]int), Reasons: make(map[string]map[int]int), latency: make(map[int]*hdrhistogram.Histogram)}
	if len(log) == 0 {
		return c
	}
	first := slices.MinFunc(log, func(a, b explainer.Line) int { return a.Time.Compare(b.Time) }).Time
	for _, l := range log {
		if l.Fields["request"] == nil {
			continue
		}
		second := int(l.Time.Sub(first).Seconds())
		if l.Message == "attempt" && slices.Contains(servedResults, l.Fields["end"]) {
			c.recordLatency(second, l)
			increment(c.Outcomes, served, second)
			continue
		}
		outcome, known := outcomes[l.Message]
		if !known {
			continue
		}
		increment(c.Outcomes, outcome, second)
		if reason, ok := reasonOf(l); ok && outcome != callerDisconnected {
			increment(c.Reasons, reason, second)
		}
	}
	return c
}

// reasonOf returns the code of a refusal or, if a line has none, its reason.
func reasonOf(l explainer.Line) (string, bool) {
	if code, ok := l.Fields["code"].(string); ok {
		return code, true
	}
	reason, ok := l.Fields["reason"].(string)
	return reason, ok
}

func increment(counts map[string]map[int]int, name string, second int) {
	if counts[name] == nil {
		counts[name] = make(map[int]int)
	}
	counts[name][second]++
}

// recordLatency records the time to the first event of a stream or, if a line has none,
// to the complete response.
func (c *Chart) recordLatency(second int, l explainer.Line) {
	millis, ok := l.Fields["first"].(float64)
	if !ok {
		millis, ok = l.Fields["took"].(float64)
	}
	if !ok {
		c.Unrecorded++
		return
	}
	h := c.latency[second]
	if h == nil {
		h = hdrhistogram.New(1, maxLatencyMillis, significantDigits)
		c.latency[second] = h
	}
	if h.RecordValue(int64(min(max(millis, 1), maxLatencyMillis))) != nil {
		c.Unrecorded++
	}
}

// Quantile returns a percentile of the latencies in a second, in milliseconds. The result
// is not ok if the second has none.
func (c *Chart) Quantile(second int, percent float64) (millis int64, ok bool) {
	h, ok := c.latency[second]
	if !ok {
		return 0, false
	}
	return h.ValueAtQuantile(percent), true
}

// maxReasons is the maximum number of reasons that are drawn, the most frequent first.
const maxReasons = 8

// Draw writes the chart as SVG.
func (c *Chart) Draw(w io.Writer) error {
	byOutcome, err := drawCounts("Calls by end", c.Outcomes, slices.Sorted(maps.Keys(c.Outcomes)))
	if err != nil {
		return err
	}
	byReason, err := drawCounts("Refused and failed calls by reason", c.Reasons, mostFrequent(c.Reasons))
	if err != nil {
		return err
	}
	latency, err := c.drawLatency()
	if err != nil {
		return err
	}
	canvas := vgsvg.New(width, height)
	plots := [][]*plot.Plot{{byOutcome}, {byReason}, {latency}}
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: padding, PadRight: padding}
	for i, cs := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[i][0].Draw(cs[0])
	}
	_, err = canvas.WriteTo(w)
	return errors.Annotate(err, "write chart")
}

// mostFrequent returns up to maxReasons reasons, the most frequent first.
func mostFrequent(reasons map[string]map[int]int) []string {
	total := func(name string) int {
		sum := 0
		for _, n := range reasons[name] {
			sum += n
		}
		return sum
	}
	names := slices.Sorted(maps.Keys(reasons))
	slices.SortStableFunc(names, func(a, b string) int { return total(b) - total(a) })
	return names[:min(len(names), maxReasons)]
}

func newPlot(title, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", unit
	p.Legend.Top = true
	p.Add(lines.NewGrid())
	return p
}

func drawCounts(title string, counts map[string]map[int]int, names []string) (*plot.Plot, error) {
	p := newPlot(title, "calls a second")
	for i, name := range names {
		var xys lines.XYs
		last := slices.Max(slices.Collect(maps.Keys(counts[name])))
		for second := range last + 1 {
			xys = append(xys, lines.XY{X: float64(second), Y: float64(counts[name][second])})
		}
		if err := addLine(p, name, xys, plotutil.Color(i)); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (c *Chart) drawLatency() (*plot.Plot, error) {
	p := newPlot("Time to the answer or the first event", "milliseconds")
	seconds := slices.Sorted(maps.Keys(c.latency))
	for i, q := range []struct {
		name    string
		percent float64
	}{{"half", 50}, {"95 in 100", 95}, {"99 in 100", 99}} {
		var xys lines.XYs
		for _, second := range seconds {
			millis, _ := c.Quantile(second, q.percent)
			xys = append(xys, lines.XY{X: float64(second), Y: math.Max(float64(millis), 1)})
		}
		if err := addLine(p, q.name, xys, plotutil.Color(i)); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func addLine(p *plot.Plot, name string, xys lines.XYs, c color.Color) error {
	if len(xys) == 0 {
		return nil
	}
	l, err := lines.NewLine(xys)
	if err != nil {
		return errors.Annotatef(err, "draw %s", name)
	}
	l.Color = c
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}
