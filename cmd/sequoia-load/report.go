package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"sequoiasill.dev/sequoiasill/cmd/internal/modeller"
)

// report holds the results of a run, with a row for each policy and case.
type report struct {
	Title string `json:"title"`
	Seed  uint64 `json:"seed"`
	Rows  []row  `json:"rows"`
}

type row struct {
	Case          string  `json:"case"`
	Requests      int     `json:"requests"`
	Refused       int     `json:"refused"`
	Late          int     `json:"late"`
	FirstP50      float64 `json:"firstTokenP50Millis"`
	FirstP95      float64 `json:"firstTokenP95Millis"`
	FirstP99      float64 `json:"firstTokenP99Millis"`
	GapP95        float64 `json:"betweenTokensP95Millis"`
	LongestWait   float64 `json:"longestWaitMillis"`
	GoodTokens    int     `json:"goodTokens"`
	Imbalance     float64 `json:"imbalance,omitempty"`
	PrefixHitRate float64 `json:"prefixHitRate,omitempty"`
}

func rowOf(name string, s modeller.Summary) row {
	return row{
		Case: name, Requests: s.Jobs, Refused: s.Refused, Late: s.DeadlineMisses, FirstP50: s.FirstTokenP50, FirstP95: s.FirstTokenP95,
		FirstP99: s.FirstTokenP99, GapP95: s.TokenIntervalP95, LongestWait: s.MaxWait, GoodTokens: s.GoodTokens,
	}
}

// write prints the table and writes the requested JSON and SVG files.
func (r report) write(w io.Writer, t *tool) error {
	r.Seed = t.seed
	_, _ = fmt.Fprintf(w, "%s, seed %d\n", r.Title, r.Seed)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tw, "case\trequests\trefused\tlate\tfirst p50\tp95\tp99\tbetween p95\tlongest wait\tgood tokens\timbalance\thit rate\t")
	for _, x := range r.Rows {
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%d\t%.2f\t%.2f\t\n", x.Case, x.Requests, x.Refused, x.Late,
			x.FirstP50, x.FirstP95, x.FirstP99, x.GapP95, x.LongestWait, x.GoodTokens, x.Imbalance, x.PrefixHitRate)
	}
	if err := tw.Flush(); err != nil {
		return errors.Annotate(err, "print report")
	}
	if t.json != "" {
		b, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return errors.Annotate(err, "encode report")
		}
		if err := os.WriteFile(t.json, append(b, '\n'), 0o644); err != nil {
			return errors.Annotate(err, "write report")
		}
	}
	if t.plot != "" {
		return r.draw(t.plot)
	}
	return nil
}

// Sizes of the plot.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 18
)

// draw plots the 95th percentile of the time to the first token by case.
func (r report) draw(file string) error {
	p := plot.New()
	p.Title.Text = r.Title
	p.Y.Label.Text = "p95 first token, ms"
	values := make(plotter.Values, 0, len(r.Rows))
	names := make([]string, 0, len(r.Rows))
	for _, x := range r.Rows {
		values = append(values, x.FirstP95)
		names = append(names, x.Case)
	}
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return errors.Annotate(err, "plot report")
	}
	p.Add(bars)
	p.NominalX(names...)
	return errors.Annotate(p.Save(plotWidth, plotHeight, file), "plot report")
}
