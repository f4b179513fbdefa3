// Command sequoia-load compares policies with their baselines in simulations on a
// virtual clock, measures running entries, and writes reports.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"sequoiasill.dev/sequoiasill/cmd/internal/launcher"
)

const help = `Measures policies and their baselines in one seeded run.

Prints a table. --json and --plot write the same figures as JSON and as an SVG.`

// tool holds the values of the flags that all commands share.
type tool struct {
	seed uint64
	json string
	plot string
}

// command adds a subcommand with its flags to app and returns its name and the
// function that runs it.
type command func(app *kingpin.Application, t *tool) (name string, run func() (report, error))

func main() {
	app := kingpin.New("sequoia-load", help)
	t := &tool{}
	app.Flag("seed", "Seed of the run.").Default("1").Uint64Var(&t.seed)
	app.Flag("json", "File for the report as JSON.").StringVar(&t.json)
	app.Flag("plot", "File for the report as SVG.").StringVar(&t.plot)
	runs := make(map[string]func() (report, error))
	for _, c := range []command{surgeCommand, overloadCommand, lagCommand, slowCommand, prefixCommand, liveCommand} {
		name, run := c(app, t)
		runs[name] = run
	}
	r, err := runs[launcher.Parse(app)]()
	if err == nil {
		err = r.write(os.Stdout, t)
	}
	if err != nil {
		_, _ = os.Stderr.WriteString("sequoia-load: " + err.Error() + "\n")
		os.Exit(1)
	}
}
