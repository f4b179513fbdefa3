// Command sequoiactl is the operators' tool: it checks and applies declarations
// and shows the current configuration and status.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/launcher"
	"sequoiasill.dev/sequoiasill/platform/caller"
	"sequoiasill.dev/sequoiasill/platform/storer"
)

// Exit codes. Invalid arguments exit with launcher.ExitInvalidSettings, 2.
const (
	exitOK         = 0
	exitFailed     = 1
	exitRefused    = 3
	exitConflict   = 4
	exitLaggards   = 5
	exitRolledBack = 6
)

const help = `Checks and applies declarations and shows what is in force.

Exit codes: 0 done, 1 failed, 2 faulty arguments, 3 declarations refused,
4 another change came first, 5 not in force everywhere, 6 move taken back.`

// tool holds the values of the flags that all commands share.
type tool struct {
	platform string
	entry    string
	output   string
	timeout  sequoiasill.Millis
	out      io.Writer
	errs     io.Writer
}

// command adds a subcommand with its flags to app and returns its name and the
// function that runs it.
type command func(app *kingpin.Application, t *tool) (name string, run func() int)

func main() {
	app := kingpin.New("sequoiactl", help)
	t := &tool{timeout: 5 * sequoiasill.Second, out: os.Stdout, errs: os.Stderr}
	app.Flag("platform", "Address of the platform's API.").Default("127.0.0.1:7070").StringVar(&t.platform)
	app.Flag("entry", "Operators' address of any entry.").Default("127.0.0.1:8081").StringVar(&t.entry)
	app.Flag("output", "Form of the output: text or json.").Short('o').Default("text").EnumVar(&t.output, "text", "json")
	app.Flag("timeout", "Longest time of one call.").Default(t.timeout.Duration().String()).SetValue(launcher.DurationValue{Target: &t.timeout})
	runs := make(map[string]func() int)
	for _, c := range []command{
		validateCommand, diffCommand, applyCommand, getCommand, statusCommand, sheetCommand,
		moveStartCommand, moveWatchCommand, moveTakeBackCommand, moveHistoryCommand, explainCommand, reportCommand, repeatsCommand, previewCommand,
	} {
		name, run := c(app, t)
		runs[name] = run
	}
	os.Exit(runs[launcher.Parse(app)]())
}

func (t *tool) store() *storer.Store {
	return storer.New(caller.New(t.platform, t.timeout), t.timeout)
}

func (t *tool) printf(format string, args ...any) { _, _ = fmt.Fprintf(t.out, format, args...) }

// fail prints an error and returns the exit code.
func (t *tool) fail(code int, err error) int {
	_, _ = fmt.Fprintln(t.errs, "sequoiactl:", err)
	return code
}

// printJSON prints v as indented JSON and returns the exit code.
func (t *tool) printJSON(v any) int {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return t.fail(exitFailed, err)
	}
	t.printf("%s\n", b)
	return exitOK
}
