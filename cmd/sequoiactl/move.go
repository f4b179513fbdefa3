package main

import (
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/launcher"
	"sequoiasill.dev/sequoiasill/config/applier"
	"sequoiasill.dev/sequoiasill/config/encoder"
	"sequoiasill.dev/sequoiasill/config/parser"
	"sequoiasill.dev/sequoiasill/platform/storer"
)

const moveHelp = `Begin, watch and take back version moves.`

// moveParent returns the parent command of the move subcommands, which it adds on the
// first call.
func moveParent(app *kingpin.Application) *kingpin.CmdClause {
	if cmd := app.GetCommand("move"); cmd != nil {
		return cmd
	}
	return app.Command("move", moveHelp)
}

const moveStartHelp = `Begin a move of a service to a new version.

Adds the move to the accepted configuration only, so it should be added to the
declarations too.`

func moveStartCommand(app *kingpin.Application, t *tool) (string, func() int) {
	cmd := moveParent(app).Command("start", moveStartHelp)
	name := cmd.Arg("name", "Name of the move.").Required().String()
	service := cmd.Flag("service", "Service whose traffic moves.").Required().String()
	to := cmd.Flag("to", "Version that it moves to.").Required().String()
	deadline := cmd.Flag("deadline", "Time by which it ends, such as 2026-12-04T06:00:00+02:00.").Required().String()
	return cmd.FullCommand(), func() int {
		cfg, err := applier.Load(t.store())
		if err != nil {
			return t.fail(exitFailed, err)
		}
		m, err := newMove(cfg, *name, *service, *to, *deadline)
		if err != nil {
			return t.fail(exitRefused, err)
		}
		base := cfg.Generation
		cfg.Moves = append(cfg.Moves, m)
		_, code := t.apply(cfg, base)
		return code
	}
}

// newMove returns a move after checking it against the configuration.
func newMove(cfg sequoiasill.Config, name, service, to, deadline string) (sequoiasill.Move, error) {
	now := sequoiasill.NewSystemClock().Now()
	svc, ok := cfg.Service(service)
	if !ok {
		return sequoiasill.Move{}, errors.Errorf("service %q is not declared", service)
	}
	if _, taken := cfg.Move(name); taken {
		return sequoiasill.Move{}, errors.Errorf("move %q is declared already", name)
	}
	for _, m := range cfg.Moves {
		if m.Service == service {
			return sequoiasill.Move{}, errors.Errorf("move %q shifts service %q already", m.Name, service)
		}
	}
	end, err := parser.ParseTime(deadline)
	if err != nil {
		return sequoiasill.Move{}, errors.Annotate(err, "deadline")
	}
	if end <= now {
		return sequoiasill.Move{}, errors.Errorf("deadline %s has passed", deadline)
	}
	if to == svc.Version {
		return sequoiasill.Move{}, errors.Errorf("service %q runs %q already", service, to)
	}
	return sequoiasill.Move{Name: name, Service: service, From: svc.Version, To: to, Start: now, Deadline: end}, nil
}

const moveWatchHelp = `Wait for the end of a move and report it.

Prints each change. Exits with 0 when the move is done and with 6 when it is taken
back.`

func moveWatchCommand(app *kingpin.Application, t *tool) (string, func() int) {
	cmd := moveParent(app).Command("watch", moveWatchHelp)
	name := cmd.Arg("name", "Name of the move.").Required().String()
	timeout := sequoiasill.Day
	cmd.Flag("wait-span", "Longest wait.").Default(timeout.Duration().String()).SetValue(launcher.DurationValue{Target: &timeout})
	return cmd.FullCommand(), func() int { return t.watchMove(*name, timeout) }
}

func (t *tool) watchMove(name string, timeout sequoiasill.Millis) int {
	deadline := time.Now().Add(timeout.Duration())
	last := sequoiasill.MoveStatus{Share: -1}
	for time.Now().Before(deadline) {
		status, _, err := t.readMove(name)
		if err == nil && status != last {
			last = status
			t.printf("%s share %d/1000 end %s %s\n", status.Changed.Time().Format(time.RFC3339), status.Share, endText(status.End), status.Reason)
		}
		switch status.End {
		case sequoiasill.MoveDone:
			return exitOK
		case sequoiasill.MoveRolledBack:
			return exitRolledBack
		}
		time.Sleep(pollInterval)
	}
	return t.fail(exitFailed, errors.Errorf("move %q has no end yet", name))
}

func endText(end sequoiasill.MoveEnd) string {
	if end == sequoiasill.MoveOpen {
		return "open"
	}
	return string(end)
}

// readMove returns the status of a move and the version of its object. Before the
// controller has started the move, the status is empty and the version 0.
func (t *tool) readMove(name string) (sequoiasill.MoveStatus, uint64, error) {
	o, err := t.store().Get(encoder.StatusPrefix + name)
	if errors.Is(err, storer.ErrNotFound) {
		return sequoiasill.MoveStatus{Move: name}, 0, nil
	}
	if err != nil {
		return sequoiasill.MoveStatus{}, 0, err
	}
	status, err := encoder.DecodeStatus(o.Value)
	return status, o.Version, err
}

const moveTakeBackHelp = `Take a move back at once.

The end of a move is written once. If it has an end already, or another change
comes first, nothing is changed and the command exits with 4.`

func moveTakeBackCommand(app *kingpin.Application, t *tool) (string, func() int) {
	cmd := moveParent(app).Command("take-back", moveTakeBackHelp)
	name := cmd.Arg("name", "Name of the move.").Required().String()
	reason := cmd.Flag("reason", "Why.").Default("an operator took it back").String()
	return cmd.FullCommand(), func() int {
		status, version, err := t.readMove(*name)
		if err != nil {
			return t.fail(exitFailed, err)
		}
		if status.End != sequoiasill.MoveOpen {
			return t.fail(exitConflict, errors.Errorf("move %q is %s already: %s", *name, status.End, status.Reason))
		}
		status.End, status.Reason, status.Changed = sequoiasill.MoveRolledBack, *reason, sequoiasill.NewSystemClock().Now()
		value, err := encoder.EncodeStatus(status)
		if err != nil {
			return t.fail(exitFailed, err)
		}
		_, err = t.store().Put(encoder.StatusPrefix+*name, value, version)
		if errors.Is(err, storer.ErrConflict) {
			return t.fail(exitConflict, errors.Errorf("move %q changed meanwhile; check its status and retry", *name))
		}
		if err != nil {
			return t.fail(exitFailed, err)
		}
		t.printf("taken back %s\n", *name)
		return exitOK
	}
}

const moveHistoryHelp = `List all moves that have a status, with their ends.`

func moveHistoryCommand(app *kingpin.Application, t *tool) (string, func() int) {
	cmd := moveParent(app).Command("history", moveHistoryHelp)
	return cmd.FullCommand(), func() int {
		objects, err := t.store().List(encoder.StatusPrefix)
		if err != nil {
			return t.fail(exitFailed, err)
		}
		for _, o := range objects {
			status, _, err := t.readMove(o.Name[len(encoder.StatusPrefix):])
			if err != nil {
				return t.fail(exitFailed, err)
			}
			t.printf("%s %s share %d/1000 end %s %s\n", status.Changed.Time().Format(time.RFC3339), status.Move, status.Share, endText(status.End), status.Reason)
		}
		return exitOK
	}
}
