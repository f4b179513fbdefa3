// Command sequoia-edge is an entry on the consortium platform: it routes callers'
// requests to upstreams and shares the platform's duties with the other entries.
package main

import (
	"io"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/launcher"
	"sequoiasill.dev/sequoiasill/cmd/internal/signaller"
	"sequoiasill.dev/sequoiasill/platform/loader"
	"sequoiasill.dev/sequoiasill/platform/runner"
	"sequoiasill.dev/sequoiasill/relay/spooler"
)

func main() {
	app := kingpin.New("sequoia-edge", "Serves callers on the consortium platform. SIGTERM stops it gracefully.")
	path := app.Flag("settings", "Settings file that the platform writes.").Envar(loader.PathVariable).Required().String()
	level := app.Flag("log-level", "Minimum level of log lines: debug, info, warn or error.").Default("info").
		Enum("debug", "info", "warn", "error")
	source := app.Flag("upstream-source", "Local IP address of the connections to upstreams; empty for any.").Envar("SEQUOIA_UPSTREAM_SOURCE").IP()
	launcher.Parse(app)

	// The reloader reads the file before the settings are loaded, so it detects any
	// change from here on.
	settingsReloader := newReloader(*path)
	settings, problems, err := loader.Load(*path)
	if err != nil {
		problems = append(problems, err.Error())
	}
	launcher.ExitOnFaults(os.Stderr, problems)
	settings.UpstreamSource = *source
	if os.Getenv("GOMEMLIMIT") == "" {
		runner.LimitMemory(settings)
	}

	spool := spooler.New(spooler.DefaultOptions(), os.Stdout)
	code := run(settings, settingsReloader, signaller.Incoming(), newLog(spool, *level).With("entry", settings.Instance))
	spool.Close()
	os.Exit(code)
}

// run serves until a termination signal and returns the exit code.
func run(s loader.Settings, settingsReloader *reloader, signals <-chan os.Signal, log hclog.Logger) int {
	r, err := runner.New(s, sequoiasill.NewSystemClock(), rand.Uint64(), log)
	if err != nil {
		log.Error("not started", "error", err)
		return 1
	}
	settingsReloader.target, settingsReloader.log = r, log
	wait(signals, settingsReloader)
	r.Stop()
	return 0
}

// newLog returns a logger that writes through the spooler, which gives warnings and
// errors priority over other lines.
func newLog(s *spooler.Spooler, level string) hclog.Logger {
	routine, important := s.Routine(), s.Important()
	return hclog.New(&hclog.LoggerOptions{
		Name: "edge", Level: hclog.LevelFromString(level), JSONFormat: true,
		Output: hclog.NewLeveledWriter(routine, map[hclog.Level]io.Writer{
			hclog.Warn: important, hclog.Error: important,
		}),
	})
}

// pollInterval is the interval between checks of the settings file, which the platform
// may change without a signal.
const pollInterval = 2 * time.Second

// wait returns at a termination signal. It reloads the settings at SIGHUP, and when a
// check finds that the file has changed. The last check is at the termination signal, as the
// grace period may have changed.
func wait(signals <-chan os.Signal, r *reloader) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case s := <-signals:
			r.log.Info("signal", "name", s.String())
			changed := r.changed()
			if changed || s == syscall.SIGHUP {
				r.reload()
			}
			if s != syscall.SIGHUP {
				return
			}
		case <-tick.C:
			if r.changed() {
				r.reload()
			}
		}
	}
}
