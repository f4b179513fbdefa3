package sheetreader

import (
	"strings"
	"testing"

	"sequoiasill.dev/sequoiasill/config/parser"
)

func TestRead(t *testing.T) {
	sheet := "\xef\xbb\xbfKind;Name;Priority;Services;Service;From;To;Deadline\r\n" +
		"organisation;mall;3;\"assistant\norders\";;;;\r\n" +
		"move;m;;;assistant;v1;v2;2027-01-01T06:00:00+02:00\r\n;;;;;;;\r\n"
	got, problems := Read("sheet.csv", []byte(sheet))
	if len(problems) > 0 {
		t.Fatalf("problems: %v", problems)
	}
	want := `organisations:
    - name: mall
      weight: 3
      services:
        - assistant
        - orders
moves:
    - name: m
      service: assistant
      from: v1
      to: v2
      deadline: "2027-01-01T06:00:00+02:00"
`
	if string(got) != want {
		t.Errorf("declarations:\n%s\nwant:\n%s", got, want)
	}
}

func TestInvalidSheets(t *testing.T) {
	const heading = "kind,name,priority,deadline\n"
	tests := map[string]struct{ sheet, want string }{
		"empty":          {"", "s.csv:1: the sheet is empty"},
		"unknown column": {"kind,name,colour\n", `s.csv:1:3: unknown column "colour"`},
		"no kind column": {"name\n", `s.csv:1: there is no column "kind"`},
		"unknown kind":   {heading + "pool,x,,\n", `s.csv:2:1: kind "pool" is neither organisation nor move`},
		"bad priority":   {heading + "organisation,x,high,\n", `s.csv:2:3: priority "high" is not a whole number from 1`},
		"local date":     {heading + "move,m,,03/12/2026\n", `"03/12/2026" is a local date; write it as 2026-12-04T06:00:00+02:00`},
		"open quote":     {heading + "move,\"m,,\n", "s.csv:2"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			out, problems := Read("s.csv", []byte(tc.sheet))
			var all []string
			for _, p := range problems {
				all = append(all, p.String())
			}
			if !strings.Contains(strings.Join(all, "\n"), tc.want) {
				t.Errorf("problems %q, want %s", all, tc.want)
			}
			if out != nil {
				t.Errorf("invalid sheet converted to %s", out)
			}
		})
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte("kind;name\norganisation;x\n"))
	f.Add([]byte("kind,name,priority\n\"organisation\",\"a\nb\",2\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		out, problems := Read("f", data)
		if len(problems) > 0 {
			return
		}
		// A sheet without problems must convert to YAML that the parser can decode.
		_, parseProblems := parser.Parse([]parser.File{{Name: "f", Data: out}}, 1)
		for _, p := range parseProblems {
			if strings.Contains(p.Reason, "yaml") {
				t.Errorf("unreadable declarations: %v\n%s", p, out)
			}
		}
	})
}
