// Package sheetreader converts the planners' spreadsheet, exported as CSV, to
// declarations.
package sheetreader

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"go.yaml.in/yaml/v3"

	"sequoiasill.dev/sequoiasill/config/parser"
)

// Columns of the sheet. They may come in any order; unknown columns are
// rejected.
const (
	colKind     = "kind" // organisation or move
	colName     = "name"
	colPriority = "priority"
	colServices = "services"
	colKeyHash  = "keyhash"
	colService  = "service"
	colFrom     = "from"
	colTo       = "to"
	colStart    = "start"
	colDeadline = "deadline"
)

var knownColumns = map[string]bool{
	colKind: true, colName: true, colPriority: true, colServices: true, colKeyHash: true,
	colService: true, colFrom: true, colTo: true, colStart: true, colDeadline: true,
}

var localDatePattern = regexp.MustCompile(`^\d{1,4}[./-]\d{1,2}[./-]\d{1,4}( .*)?$`)

// The declarations that a sheet is converted to.
type document struct {
	Organisations []organisation `yaml:"organisations,omitempty"`
	Moves         []move         `yaml:"moves,omitempty"`
}

type organisation struct {
	Name      string   `yaml:"name"`
	Weight    int      `yaml:"weight"`
	KeyHashes []string `yaml:"keyHashes,omitempty"`
	Services  []string `yaml:"services,omitempty"`
}

type move struct {
	Name     string `yaml:"name"`
	Service  string `yaml:"service"`
	From     string `yaml:"from"`
	To       string `yaml:"to"`
	Start    string `yaml:"start,omitempty"`
	Deadline string `yaml:"deadline"`
}

// Read converts a sheet to a declaration file. The line of a Problem is the line
// of the CSV file at which the row starts, and its column is the number of the
// sheet's column.
func Read(name string, data []byte) ([]byte, []parser.Problem) {
	r := newReader(name, data)
	doc := r.read()
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	out, err := yaml.Marshal(doc)
	if err != nil {
		return nil, []parser.Problem{{File: name, Reason: err.Error()}}
	}
	return out, nil
}

type reader struct {
	name        string
	csv         *csv.Reader
	columnIndex map[string]int
	row         []string
	line        int
	problems    []parser.Problem
}

func newReader(name string, data []byte) *reader {
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	r := csv.NewReader(bytes.NewReader(data))
	r.Comma = delimiter(data)
	r.FieldsPerRecord = -1
	r.TrimLeadingSpace = true
	return &reader{name: name, csv: r, columnIndex: make(map[string]int)}
}

// delimiter returns the separator that is most frequent in the heading.
func delimiter(data []byte) rune {
	heading, _, _ := bytes.Cut(data, []byte("\n"))
	best := ','
	for _, d := range []rune{';', '\t'} {
		if strings.Count(string(heading), string(d)) > strings.Count(string(heading), string(best)) {
			best = d
		}
	}
	return best
}

func (r *reader) read() document {
	var doc document
	if !r.nextRow() || !r.readHeading() {
		if len(r.problems) == 0 {
			r.addProblem(0, "the sheet is empty")
		}
		return doc
	}
	for r.nextRow() {
		if strings.Join(r.row, "") == "" {
			continue
		}
		switch kind := strings.ToLower(r.cell(colKind)); kind {
		case "organisation":
			doc.Organisations = append(doc.Organisations, r.readOrganisation())
		case "move":
			doc.Moves = append(doc.Moves, r.readMove())
		default:
			r.addProblem(r.columnNumber(colKind), "kind %q is neither organisation nor move", kind)
		}
	}
	return doc
}

func (r *reader) nextRow() bool {
	row, err := r.csv.Read()
	if errors.Is(err, io.EOF) {
		return false
	}
	if err != nil {
		p := parser.Problem{File: r.name, Reason: err.Error()}
		if pe, ok := errors.AsType[*csv.ParseError](err); ok {
			p.Line, p.Column, p.Reason = pe.StartLine, pe.Column, pe.Err.Error()
		}
		r.problems = append(r.problems, p)
		return false
	}
	r.row = row
	r.line, _ = r.csv.FieldPos(0)
	return true
}

func (r *reader) readHeading() bool {
	for i, cell := range r.row {
		name := strings.ToLower(strings.ReplaceAll(strings.TrimSpace(cell), " ", ""))
		if name == "" {
			continue
		}
		if !knownColumns[name] {
			r.addProblem(i+1, "unknown column %q", cell)
			continue
		}
		if _, duplicate := r.columnIndex[name]; duplicate {
			r.addProblem(i+1, "column %q appears twice", cell)
		}
		r.columnIndex[name] = i
	}
	for _, name := range []string{colKind, colName} {
		if _, ok := r.columnIndex[name]; !ok {
			r.addProblem(0, "there is no column %q", name)
		}
	}
	return len(r.problems) == 0
}

// cell returns the value in the column, with each run of white space replaced by
// one space.
func (r *reader) cell(column string) string {
	i, ok := r.columnIndex[column]
	if !ok || i >= len(r.row) {
		return ""
	}
	return strings.Join(strings.Fields(r.row[i]), " ")
}

func (r *reader) columnNumber(name string) int { return r.columnIndex[name] + 1 }

func (r *reader) addProblem(column int, format string, args ...any) {
	r.problems = append(r.problems, parser.Problem{
		File: r.name, Line: max(r.line, 1), Column: column, Reason: fmt.Sprintf(format, args...),
	})
}

func (r *reader) requiredCell(column string) string {
	v := r.cell(column)
	if v == "" {
		r.addProblem(r.columnNumber(column), "%s is empty", column)
	}
	return v
}

func (r *reader) readOrganisation() organisation {
	o := organisation{Name: r.requiredCell(colName), Weight: 1}
	if p := r.cell(colPriority); p != "" {
		weight, err := strconv.Atoi(p)
		if err != nil || weight < 1 {
			r.addProblem(r.columnNumber(colPriority), "priority %q is not a whole number from 1", p)
		}
		o.Weight = weight
	}
	o.Services = splitList(r.cell(colServices))
	o.KeyHashes = splitList(r.cell(colKeyHash))
	return o
}

func (r *reader) readMove() move {
	return move{
		Name:     r.requiredCell(colName),
		Service:  r.requiredCell(colService),
		From:     r.requiredCell(colFrom),
		To:       r.requiredCell(colTo),
		Start:    r.checkedTime(colStart, r.cell(colStart)),
		Deadline: r.checkedTime(colDeadline, r.requiredCell(colDeadline)),
	}
}

// checkedTime returns v and adds a problem unless it is empty or a valid time. Local
// date formats get a reason of their own, as day and month are ambiguous in them.
func (r *reader) checkedTime(column, v string) string {
	if v == "" {
		return ""
	}
	if _, err := parser.ParseTime(v); err != nil {
		reason := err.Error()
		if localDatePattern.MatchString(v) {
			reason = fmt.Sprintf("%q is a local date; write it as 2026-12-04T06:00:00+02:00", v)
		}
		r.addProblem(r.columnNumber(column), "%s: %s", column, reason)
	}
	return v
}

func splitList(s string) []string {
	return strings.FieldsFunc(s, func(c rune) bool { return c == ' ' || c == ',' || c == '|' })
}
