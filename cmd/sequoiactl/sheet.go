package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"sequoiasill.dev/sequoiasill/config/sheetreader"
)

const sheetHelp = `Compile the planners' sheet to declarations.

Reads a CSV file as spreadsheets export it and prints a declaration file, which
goes into the directory of declarations. Problems are given by row and column.`

func sheetCommand(app *kingpin.Application, t *tool) (string, func() int) {
	cmd := app.Command("sheet", sheetHelp)
	file := cmd.Arg("file", "CSV file.").Required().String()
	return cmd.FullCommand(), func() int {
		data, err := os.ReadFile(*file)
		if err != nil {
			return t.fail(exitFailed, err)
		}
		out, problems := sheetreader.Read(*file, data)
		if code := t.refuse(problems); code != exitOK {
			return code
		}
		t.printf("%s", out)
		return exitOK
	}
}
