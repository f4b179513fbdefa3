package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill/cmd/internal/explainer"
)

const explainHelp = `Explain a request's outcome from logs: its steps in order, the decision that
determined it, and the information behind that decision with its age.`

func explainCommand(app *kingpin.Application, t *tool) (string, func() int) {
	cmd := app.Command("explain", explainHelp)
	id := cmd.Arg("id", "The request's id.").Required().String()
	files := cmd.Arg("file", "Logs of entries.").Required().ExistingFiles()
	return cmd.FullCommand(), func() int {
		lines, err := readLogs(*files)
		if err != nil {
			return t.fail(exitFailed, err)
		}
		trace, ok := explainer.Explain(*id, lines)
		if !ok {
			return t.fail(exitFailed, errors.Errorf("no log line mentions request %s", *id))
		}
		if err := trace.Write(t.out); err != nil {
			return t.fail(exitFailed, err)
		}
		return exitOK
	}
}

// readLogs reads the lines of all files.
func readLogs(names []string) ([]explainer.Line, error) {
	var out []explainer.Line
	for _, name := range names {
		lines, err := readLog(name)
		if err != nil {
			return nil, err
		}
		out = append(out, lines...)
	}
	return out, nil
}

func readLog(name string) ([]explainer.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = f.Close() }()
	return explainer.Read(f)
}
