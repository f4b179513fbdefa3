package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill/cmd/internal/plotter"
)

const reportHelp = `Plot from logs the outcomes of calls over time, the reasons of refusals and the
response times.`

func reportCommand(app *kingpin.Application, t *tool) (string, func() int) {
	cmd := app.Command("report", reportHelp)
	to := cmd.Flag("to", "File for the chart (SVG).").Required().String()
	files := cmd.Arg("file", "Logs of entries.").Required().ExistingFiles()
	return cmd.FullCommand(), func() int {
		lines, err := readLogs(*files)
		if err != nil {
			return t.fail(exitFailed, err)
		}
		c := plotter.Count(lines)
		if err := writeChart(*to, c); err != nil {
			return t.fail(exitFailed, err)
		}
		for end, seconds := range c.Outcomes {
			sum := 0
			for _, n := range seconds {
				sum += n
			}
			t.printf("%s: %d\n", end, sum)
		}
		return exitOK
	}
}

func writeChart(path string, c *plotter.Chart) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Trace(err)
	}
	if err := c.Draw(f); err != nil {
		_ = f.Close()
		return err
	}
	return errors.Annotate(f.Close(), "write chart")
}
