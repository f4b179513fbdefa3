package parser

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

const now = sequoiasill.Millis(1_796_000_000_000) // 2026-11-30

const validDeclarations = `
organisations:
  - {name: mall, weight: 2, services: [assistant]}
pools:
  - {name: p, kind: model, fencing: true}
services:
  - {name: assistant, kind: model, pool: p, version: v1}
moves:
  - {name: m, service: assistant, from: v1, to: v2, deadline: 2027-01-01T06:00:00+02:00}
`

func TestParse(t *testing.T) {
	got, problems := Parse([]File{{Name: "a.yaml", Data: []byte(validDeclarations)}}, now)
	if len(problems) > 0 {
		t.Fatalf("problems: %v", problems)
	}
	want := sequoiasill.Config{
		Organisations: []sequoiasill.Organisation{{Name: "mall", Weight: 2, Services: []string{"assistant"}}},
		Pools:         []sequoiasill.Pool{{Name: "p", Kind: sequoiasill.Model, Fencing: true, Slots: defaultSlots}},
		Services:      []sequoiasill.Service{{Name: "assistant", Kind: sequoiasill.Model, Pool: "p", Version: "v1"}},
		Moves:         []sequoiasill.Move{{Name: "m", Service: "assistant", From: "v1", To: "v2", Start: now, Deadline: 1_798_776_000_000}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("configuration (-want +got):\n%s", diff)
	}
}

func TestInvalidDeclarations(t *testing.T) {
	tests := map[string]struct{ edit, with, want string }{
		"unknown key":           {"fencing: true", "fence: true", "a.yaml:5: unknown key fence"},
		"dangling service":      {"services: [assistant]", "services: [other]", `a.yaml:3:40: organisation "mall" names service "other", which is not declared`},
		"dangling pool":         {"pool: p,", "pool: q,", `a.yaml:7:42: service "assistant" names pool "q", which is not declared`},
		"past deadline":         {"2027-01-01", "2026-01-01", "a.yaml:9:63: deadline 2026-01-01T06:00:00+02:00 has passed"},
		"local time":            {"2027-01-01T06:00:00+02:00", "01/01/2027", `a.yaml:9:63: deadline: "01/01/2027" is not a time such as 2026-12-04T06:00:00+02:00`},
		"weight":                {"weight: 2", "weight: 0", "a.yaml:3:26: weight 0 is not between 1 and 1000"},
		"wrong version":         {"from: v1", "from: v0", `a.yaml:9:41: move "m" starts from "v0" but service "assistant" runs "v1"`},
		"same version":          {"to: v2", "to: v1", `a.yaml:9:12: move "m" needs two different versions, from and to`},
		"bad name":              {"name: mall", "name: Mall", `a.yaml:3:12: organisation name "Mall" must be lower case letters, digits, dots and hyphens`},
		"kind differs":          {"{name: p, kind: model", "{name: p, kind: plain", `a.yaml:7:42: service "assistant" is model but pool "p" is plain`},
		"duration without unit": {"version: v1}", "version: v1, routes: [{path: /x, timeout: 30}]}", `a.yaml:7:87: timeout: "30" is not a duration with a unit such as 30s`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validDeclarations, tc.edit, tc.with, 1)
			cfg, problems := Parse([]File{{Name: "a.yaml", Data: []byte(text)}}, now)
			if len(problems) == 0 || problems[0].String() != tc.want {
				t.Errorf("problems %v, want %s", problems, tc.want)
			}
			if diff := cmp.Diff(sequoiasill.Config{}, cfg); diff != "" {
				t.Errorf("configuration of invalid declarations (-want +got):\n%s", diff)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validDeclarations))
	f.Add([]byte("organisations: [{name: }]"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, problems := Parse([]File{{Name: "f", Data: data}}, now)
		if len(problems) > 0 && len(cfg.Organisations)+len(cfg.Services) > 0 {
			t.Errorf("invalid declarations compiled to %+v", cfg)
		}
	})
}
