// Command sequoia-edge is an entry on the consortium platform: it takes callers'
// requests, sends them to upstreams and shares the platform's duties with the
// other entries.
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
	level := app.Flag("log-level", "Least level of log lines: debug, info, warn or error.").Default("info").
		Enum("debug", "info", "warn", "error")
	launcher.Parse(app)

	// What changes from here on is noticed.
	seen := newReloader(*path)
	settings, faults, err := loader.Load(*path)
	if err != nil {
		faults = append(faults, err.Error())
	}
	launcher.Refuse(os.Stderr, faults)

	spool := spooler.New(spooler.DefaultOptions(), os.Stdout)
	code := run(settings, seen, signaller.Incoming(), newLog(spool, *level).With("entry", settings.Instance))
	spool.Close()
	os.Exit(code)
}

// run serves until a request to terminate and returns the exit code.
func run(s loader.Settings, seen *reloader, signals <-chan os.Signal, log hclog.Logger) int {
	r, err := runner.New(s, sequoiasill.NewSystemClock(), rand.Uint64(), log)
	if err != nil {
		log.Error("not started", "error", err)
		return 1
	}
	seen.target, seen.log = r, log
	wait(signals, seen)
	r.Stop()
	return 0
}

// newLog returns a logger whose lines go through the spooler: warnings and errors
// before the others.
func newLog(s *spooler.Spooler, level string) hclog.Logger {
	routine, important := s.Routine(), s.Important()
	return hclog.New(&hclog.LoggerOptions{
		Name: "edge", Level: hclog.LevelFromString(level), JSONFormat: true,
		Output: hclog.NewLeveledWriter(routine, map[hclog.Level]io.Writer{
			hclog.Warn: important, hclog.Error: important,
		}),
	})
}

// lookEvery is the interval at which the settings file is looked at: the platform may
// change it without a signal.
const lookEvery = 2 * time.Second

// wait returns at a request to terminate. Changed settings are put in force at SIGHUP,
// and soon after a change without it.
func wait(signals <-chan os.Signal, r *reloader) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case s := <-signals:
			r.log.Info("signal", "name", s.String())
			if s != syscall.SIGHUP {
				return
			}
			r.changed()
			r.reload()
		case <-tick.C:
			if r.changed() {
				r.reload()
			}
		}
	}
}
