package main

import (
	"sort"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill/platform/caller"
)

const statusHelp = `Show which generation each entry has applied, as last reported to one entry.`

// status is an entry's report on itself, its peers and its upstreams.
type status struct {
	Entry      string        `json:"entry"`
	Zone       string        `json:"zone"`
	Generation uint64        `json:"generation"`
	Entries    []entryStatus `json:"entries"`
	Upstreams  []struct {
		Name    string `json:"name"`
		Pool    string `json:"pool"`
		Version string `json:"version"`
		Zone    string `json:"zone"`
	} `json:"upstreams"`
}

type entryStatus struct {
	Name       string `json:"name"`
	Zone       string `json:"zone"`
	Generation uint64 `json:"generation"`
}

// laggards returns the entries that have not applied the generation yet.
func (s status) laggards(generation uint64) []string {
	var out []string
	for _, e := range s.Entries {
		if e.Generation < generation {
			out = append(out, e.Name)
		}
	}
	sort.Strings(out)
	return out
}

func (t *tool) status() (status, error) {
	var s status
	err := caller.New(t.entry, t.timeout).JSON("GET", "/status", nil, &s)
	if err == nil && len(s.Entries) == 0 {
		err = errors.New("the entry's status lists no entries, not even itself")
	}
	return s, errors.Annotate(err, "get status of entry")
}

func statusCommand(app *kingpin.Application, t *tool) (string, func() int) {
	cmd := app.Command("status", statusHelp)
	return cmd.FullCommand(), func() int {
		s, err := t.status()
		if err != nil {
			return t.fail(exitFailed, err)
		}
		if t.output == "json" {
			return t.printJSON(s)
		}
		for _, e := range s.Entries {
			t.printf("entry %s zone %s generation %d\n", e.Name, e.Zone, e.Generation)
		}
		for _, u := range s.Upstreams {
			t.printf("upstream %s zone %s pool %s version %s\n", u.Name, u.Zone, u.Pool, u.Version)
		}
		return exitOK
	}
}
