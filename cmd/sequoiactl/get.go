package main

import (
	"encoding/json"

	"github.com/alecthomas/kingpin/v2"

	"sequoiasill.dev/sequoiasill/config/applier"
	"sequoiasill.dev/sequoiasill/config/encoder"
)

const getHelp = `Print the accepted configuration as JSON, or one kind of its parts.`

func getCommand(app *kingpin.Application, t *tool) (string, func() int) {
	cmd := app.Command("get", getHelp)
	kind := cmd.Arg("kind", "organisation, service, pool or move.").Enum("organisation", "service", "pool", "move")
	return cmd.FullCommand(), func() int {
		cfg, err := applier.Load(t.store())
		if err != nil {
			return t.fail(exitFailed, err)
		}
		parts, err := encoder.Encode(cfg)
		if err != nil {
			return t.fail(exitFailed, err)
		}
		var values []map[string]json.RawMessage
		for _, p := range parts {
			var v map[string]json.RawMessage
			if err := json.Unmarshal(p.Value, &v); err != nil {
				return t.fail(exitFailed, err)
			}
			if _, ok := v[*kind]; ok || *kind == "" {
				values = append(values, v)
			}
		}
		return t.printJSON(struct {
			Generation uint64                       `json:"generation"`
			Parts      []map[string]json.RawMessage `json:"parts"`
		}{cfg.Generation, values})
	}
}
