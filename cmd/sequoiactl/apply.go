package main

import (
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/launcher"
	"sequoiasill.dev/sequoiasill/config/applier"
)

const applyHelp = `Accept a directory of declarations as the configuration.

Either all of it is accepted, by one conditional write, or nothing. The same
declarations applied again change nothing. With --base the change is refused
unless that generation is still the accepted one. With --wait the command
returns once every entry has applied the generation, and lists the entries that
lag behind once --wait-span has elapsed.`

// pollInterval is the interval at which the entries and moves are polled.
const pollInterval = 100 * time.Millisecond

func applyCommand(app *kingpin.Application, t *tool) (string, func() int) {
	cmd := app.Command("apply", applyHelp)
	dir := cmd.Arg("directory", "Directory with .yaml files.").Required().String()
	base := cmd.Flag("base", "Generation that the change was made against.").Uint64()
	wait := cmd.Flag("wait", "Wait until every entry has applied the change.").Bool()
	timeout := 30 * sequoiasill.Second
	cmd.Flag("wait-span", "Longest wait.").Default(timeout.Duration().String()).SetValue(launcher.DurationValue{Target: &timeout})
	return cmd.FullCommand(), func() int {
		cfg, code := t.parse(*dir)
		if code != exitOK {
			return code
		}
		result, code := t.apply(cfg, *base)
		if code != exitOK || !*wait {
			return code
		}
		return t.awaitGeneration(result.Generation, timeout)
	}
}

func (t *tool) apply(cfg sequoiasill.Config, base uint64) (applier.Result, int) {
	result, err := applier.Apply(t.store(), cfg, base)
	if _, conflict := errors.AsType[*applier.Conflict](err); conflict {
		return result, t.fail(exitConflict, err)
	}
	if err != nil {
		return result, t.fail(exitFailed, err)
	}
	if t.output == "json" {
		return result, t.printJSON(wireResult{Generation: result.Generation, Changed: result.Changed})
	}
	if result.Changed {
		t.printf("accepted generation %d\n", result.Generation)
	} else {
		t.printf("unchanged at generation %d\n", result.Generation)
	}
	return result, exitOK
}

type wireResult struct {
	Generation uint64 `json:"generation"`
	Changed    bool   `json:"changed"`
}

// awaitGeneration waits until every entry has applied the generation.
func (t *tool) awaitGeneration(generation uint64, timeout sequoiasill.Millis) int {
	deadline := time.Now().Add(timeout.Duration())
	for {
		s, err := t.status()
		if err == nil && len(s.laggards(generation)) == 0 {
			t.printf("generation %d is in force on %d entries\n", generation, len(s.Entries))
			return exitOK
		}
		if time.Now().After(deadline) {
			if err != nil {
				return t.fail(exitLaggards, err)
			}
			return t.fail(exitLaggards, errors.Errorf("generation %d is not in force on %v", generation, s.laggards(generation)))
		}
		time.Sleep(pollInterval)
	}
}
