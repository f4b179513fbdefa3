package main

import (
	"github.com/alecthomas/kingpin/v2"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/explainer"
	"sequoiasill.dev/sequoiasill/cmd/internal/launcher"
	"sequoiasill.dev/sequoiasill/decide/rationer"
)

const repeatsHelp = `Show from the logs of all entries how many requests of each service were sent
more than once, and the time window that came closest to the retry budget.`

func repeatsCommand(app *kingpin.Application, t *tool) (string, func() int) {
	cmd := app.Command("repeats", repeatsHelp)
	b := rationer.Limits{Window: 10 * sequoiasill.Second}
	cmd.Flag("ratio", "Repeats allowed for each request (retryBudgetRatio).").Default("0.2").Float64Var(&b.Ratio)
	cmd.Flag("slack", "Repeats allowed beyond that ratio in each window (budgetSlack).").Default("58").Float64Var(&b.Slack)
	cmd.Flag("window", "Length of a window (retryWindowS).").Default(b.Window.Duration().String()).SetValue(launcher.DurationValue{Target: &b.Window})
	files := cmd.Arg("file", "Logs of entries.").Required().ExistingFiles()
	return cmd.FullCommand(), func() int {
		lines, err := readLogs(*files)
		if err != nil {
			return t.fail(exitFailed, err)
		}
		if err := explainer.FindRepeats(lines).Write(t.out, b); err != nil {
			return t.fail(exitFailed, err)
		}
		return exitOK
	}
}
