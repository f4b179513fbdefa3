// Package launcher has the start-up code that the binaries share: logging, flags,
// the validation of settings, listeners and signals.
package launcher

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
)

// ExitInvalidSettings is the exit code for invalid settings.
const ExitInvalidSettings = 2

// Log holds the settings of the logger.
type Log struct {
	Level string
	JSON  bool
}

// LogFlags adds the logging flags to app.
func LogFlags(app *kingpin.Application) *Log {
	l := &Log{}
	app.Flag("log-level", "Minimum level of log lines: trace, debug, info, warn or error.").Default("info").
		EnumVar(&l.Level, "trace", "debug", "info", "warn", "error")
	app.Flag("log-json", "Write the log as JSON.").BoolVar(&l.JSON)
	return l
}

// New returns a logger that writes to standard error.
func (l *Log) New(name string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: name, Level: hclog.LevelFromString(l.Level), JSONFormat: l.JSON, Output: os.Stderr,
	})
}

// Parse reads flags and environment variables and exits with ExitInvalidSettings if they
// are invalid. It returns the selected command.
func Parse(app *kingpin.Application) string {
	app.DefaultEnvars()
	app.HelpFlag.Short('h')
	app.Terminate(os.Exit)
	command, err := app.Parse(os.Args[1:])
	if err != nil {
		ExitOnFaults(os.Stderr, []string{err.Error()})
	}
	return command
}

// ExitOnFaults prints a line for each fault and exits with ExitInvalidSettings if there are any.
func ExitOnFaults(w io.Writer, faults []string) {
	if len(faults) == 0 {
		return
	}
	for _, f := range faults {
		_, _ = fmt.Fprintf(w, "setting: %s\n", f)
	}
	os.Exit(ExitInvalidSettings)
}

// Listen opens a TCP listener. It exits with ExitInvalidSettings if the address of the
// setting cannot be used.
func Listen(setting, address string) net.Listener {
	l, err := net.Listen("tcp", address)
	if err != nil {
		ExitOnFaults(os.Stderr, []string{fmt.Sprintf("%s: %v", setting, err)})
	}
	return l
}

// Signals returns a channel on which SIGINT and SIGTERM arrive.
func Signals() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, os.Interrupt, syscall.SIGTERM)
	return c
}

// WaitForSignal blocks until SIGINT or SIGTERM arrives.
func WaitForSignal() os.Signal { return <-Signals() }

// DurationValue is a flag value for a duration with a unit, such as 30s. It implements
// kingpin.Value.
type DurationValue struct{ Target *sequoiasill.Millis }

// Set parses a duration and stores it in the target.
func (d DurationValue) Set(v string) error {
	m, err := parseMillis(v)
	if err != nil {
		return err
	}
	*d.Target = m
	return nil
}

// String returns the duration.
func (d DurationValue) String() string {
	if d.Target == nil {
		return ""
	}
	return d.Target.Duration().String()
}

func parseMillis(v string) (sequoiasill.Millis, error) {
	d, err := time.ParseDuration(v)
	if err != nil {
		return 0, fmt.Errorf("%q is not a duration such as 30s", v)
	}
	return sequoiasill.MillisOf(d), nil
}
