package main

import (
	"encoding/json"
	"sort"

	"github.com/alecthomas/kingpin/v2"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/config/applier"
	"sequoiasill.dev/sequoiasill/config/encoder"
)

const diffHelp = `Show what applying a directory of declarations would change.

Lines begin with + for parts that are added, - for removed and ~ for changed.`

// change is a difference between two configurations.
type change struct {
	Sign string          `json:"sign"`
	Part string          `json:"part"`
	Old  json.RawMessage `json:"old,omitempty"`
	New  json.RawMessage `json:"new,omitempty"`
}

func diffCommand(app *kingpin.Application, t *tool) (string, func() int) {
	cmd := app.Command("diff", diffHelp)
	dir := cmd.Arg("directory", "Directory with .yaml files.").Required().String()
	return cmd.FullCommand(), func() int {
		next, code := t.parse(*dir)
		if code != exitOK {
			return code
		}
		old, err := applier.Load(t.store())
		if err != nil {
			return t.fail(exitFailed, err)
		}
		changes, err := compare(old, next)
		if err != nil {
			return t.fail(exitFailed, err)
		}
		if t.output == "json" {
			return t.printJSON(changes)
		}
		for _, c := range changes {
			t.printf("%s %s\n", c.Sign, c.Part)
		}
		return exitOK
	}
}

func compare(old, next sequoiasill.Config) ([]change, error) {
	before, err := byName(old)
	if err != nil {
		return nil, err
	}
	after, err := byName(next)
	if err != nil {
		return nil, err
	}
	changes := []change{}
	for part, value := range after {
		previous, ok := before[part]
		switch {
		case !ok:
			changes = append(changes, change{Sign: "+", Part: part, New: value})
		case string(previous) != string(value):
			changes = append(changes, change{Sign: "~", Part: part, Old: previous, New: value})
		}
	}
	for part, value := range before {
		if _, ok := after[part]; !ok {
			changes = append(changes, change{Sign: "-", Part: part, Old: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Part < changes[j].Part })
	return changes, nil
}

// byName returns the encoded parts of a configuration, indexed by kind and name.
func byName(cfg sequoiasill.Config) (map[string]json.RawMessage, error) {
	parts, err := encoder.Encode(cfg)
	if err != nil {
		return nil, err
	}
	out := make(map[string]json.RawMessage, len(parts))
	for _, p := range parts {
		var kinds map[string]json.RawMessage
		if err := json.Unmarshal(p.Value, &kinds); err != nil {
			return nil, err
		}
		for kind, value := range kinds {
			var named struct {
				Name string `json:"name"`
			}
			if err := json.Unmarshal(value, &named); err != nil {
				return nil, err
			}
			out[kind+" "+named.Name] = value
		}
	}
	return out, nil
}
