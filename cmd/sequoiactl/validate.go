package main

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/config/parser"
)

const validateHelp = `Check a directory of declarations.

Prints a line for each fault with file, line, column and reason, and changes
nothing.`

func validateCommand(app *kingpin.Application, t *tool) (string, func() int) {
	cmd := app.Command("validate", validateHelp)
	dir := cmd.Arg("directory", "Directory with .yaml files.").Required().String()
	return cmd.FullCommand(), func() int {
		cfg, code := t.parse(*dir)
		if code != exitOK {
			return code
		}
		t.printf("valid: %d organisations, %d services, %d pools, %d moves\n",
			len(cfg.Organisations), len(cfg.Services), len(cfg.Pools), len(cfg.Moves))
		return exitOK
	}
}

// parse reads and checks declarations and prints the problems found.
func (t *tool) parse(dir string) (sequoiasill.Config, int) {
	files, err := parser.ReadDir(dir)
	if err != nil {
		return sequoiasill.Config{}, t.fail(exitFailed, err)
	}
	cfg, problems := parser.Parse(files, sequoiasill.NewSystemClock().Now())
	return cfg, t.refuse(problems)
}

// refuse prints the problems and returns exitRefused if there are any.
func (t *tool) refuse(problems []parser.Problem) int {
	for _, p := range problems {
		_, _ = fmt.Fprintln(t.errs, p)
	}
	if len(problems) > 0 {
		return exitRefused
	}
	return exitOK
}
