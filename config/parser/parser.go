// Package parser parses declarations, YAML files with camel case keys, and
// compiles them to a configuration. docs/DECLARATIONS.md is the reference.
package parser

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.yaml.in/yaml/v3"

	"sequoiasill.dev/sequoiasill"
)

// File is a declaration file.
type File struct {
	Name string
	Data []byte
}

// Problem is an error in a declaration.
type Problem struct {
	File   string
	Line   int
	Column int // zero if unknown
	Reason string
}

// String formats p as file:line:column: reason.
func (p Problem) String() string {
	at := p.File
	if p.Line > 0 {
		at += ":" + strconv.Itoa(p.Line)
	}
	if p.Column > 0 {
		at += ":" + strconv.Itoa(p.Column)
	}
	return at + ": " + p.Reason
}

// ReadDir returns the files of a directory with the extension .yaml or .yml,
// sorted by name.
func ReadDir(dir string) ([]File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Annotate(err, "read declarations")
	}
	var files []File
	for _, e := range entries {
		ext := filepath.Ext(e.Name())
		if e.IsDir() || (ext != ".yaml" && ext != ".yml") {
			continue
		}
		data, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, errors.Annotate(err, "read declarations")
		}
		files = append(files, File{Name: e.Name(), Data: data})
	}
	if len(files) == 0 {
		return nil, errors.Errorf("read declarations: no .yaml file in %s", dir)
	}
	return files, nil
}

// Parse compiles the files to one configuration with generation zero. Problems
// are sorted by file and line. If there are any, the returned configuration is
// empty.
func Parse(files []File, now sequoiasill.Millis) (sequoiasill.Config, []Problem) {
	c := newCompiler(now)
	for _, f := range files {
		c.file = f.Name
		for _, d := range c.decode(f) {
			c.collect(d)
		}
	}
	cfg := c.compile()
	if len(c.problems) > 0 {
		sort.SliceStable(c.problems, func(i, j int) bool {
			a, b := c.problems[i], c.problems[j]
			return a.File < b.File || a.File == b.File && a.Line < b.Line
		})
		return sequoiasill.Config{}, c.problems
	}
	return cfg, nil
}

var typeErrorLine = regexp.MustCompile(`^line (\d+): (.*)$`)

// decode decodes the YAML documents of a file. It stops at a syntax error but
// continues after type errors, so that all of them are reported.
func (c *compiler) decode(f File) []document {
	dec := yaml.NewDecoder(bytes.NewReader(f.Data))
	dec.KnownFields(true)
	var out []document
	for {
		var d document
		err := dec.Decode(&d)
		if errors.Is(err, io.EOF) {
			return out
		}
		if err != nil {
			c.addYAMLProblems(err)
		}
		if _, decoded := errors.AsType[*yaml.TypeError](err); err != nil && !decoded {
			return out
		}
		out = append(out, d)
	}
}

// addYAMLProblems converts an error of the YAML library to problems with line
// numbers.
func (c *compiler) addYAMLProblems(err error) {
	lines := []string{strings.TrimPrefix(err.Error(), "yaml: ")}
	if te, ok := errors.AsType[*yaml.TypeError](err); ok {
		lines = te.Errors
	}
	for _, s := range lines {
		p := Problem{File: c.file, Reason: s}
		if m := typeErrorLine.FindStringSubmatch(s); m != nil {
			p.Line, _ = strconv.Atoi(m[1])
			p.Reason = m[2]
		}
		if i := strings.Index(p.Reason, " not found in type"); i >= 0 {
			p.Reason = "unknown key" + strings.TrimPrefix(p.Reason[:i], "field")
		}
		c.problems = append(c.problems, p)
	}
}

// located is a value with its position in the file.
type located[T any] struct {
	Value  T
	line   int
	column int
}

// UnmarshalYAML decodes a value and records its position.
func (l *located[T]) UnmarshalYAML(n *yaml.Node) error {
	l.line, l.column = n.Line, n.Column
	return n.Decode(&l.Value)
}

// positioned is implemented by located values of any type.
type positioned interface {
	position() (line, column int)
}

func (l located[T]) position() (line, column int) { return l.line, l.column }

func (c *compiler) addProblem(at positioned, format string, args ...any) {
	line, column := at.position()
	c.problems = append(c.problems, Problem{File: c.file, Line: line, Column: column, Reason: fmt.Sprintf(format, args...)})
}

func parseDuration(s string) (sequoiasill.Millis, error) {
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, errors.Errorf("%q is not a duration with a unit such as 30s", s)
	}
	if d < 0 {
		return 0, errors.Errorf("%q is negative", s)
	}
	return sequoiasill.MillisOf(d), nil
}

// ParseTime parses a point in time with its offset from UTC (RFC 3339).
func ParseTime(s string) (sequoiasill.Millis, error) {
	t, err := time.Parse(time.RFC3339, s)
	if err != nil {
		return 0, errors.Errorf("%q is not a time such as 2026-12-04T06:00:00+02:00", s)
	}
	return sequoiasill.Millis(t.UnixMilli()), nil
}
