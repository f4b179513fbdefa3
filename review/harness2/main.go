// Command review2 plays the cases of the second independent review: it starts the project's entry program on
// loopback addresses with small stand-ins of the platform, of replicas and of requesters, and judges a rule
// by what these saw. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"
)

// longest is the longest time that a case may take.
const longest = 115 * time.Second

// record writes the record of a case.
type record struct {
	file  *os.File
	start time.Time
}

func (r *record) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	_, _ = fmt.Fprintln(r.file, line)
}

// at writes a line of an earlier time, only to the file.
func (r *record) at(t time.Time, format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", t.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// results counts answers by result.
func (r *record) results(what string, answers []answer) {
	counts := make(map[string]int)
	for _, a := range answers {
		counts[a.result()]++
	}
	var names []string
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		r.note("%s: %s: %d", what, name, counts[name])
	}
}

// play plays a case and reports whether its rule was broken. Trouble is false if the disruption is left out.
type play func(r *record, trouble bool) (broken bool, err error)

var errUsage = errors.New("usage: review2 CASE RECORD")

func run() (bool, error) {
	cases := map[string]play{"poison": playPoison, "blind": playBlind, "forgotten": playForgotten, "ending": playEnding}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		return false, errUsage
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		return false, err
	}
	defer func() { _ = file.Close() }()
	r := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, disruption: %t", os.Args[1], trouble)
	return cases[os.Args[1]](r, trouble)
}

func main() {
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := run()
		done <- outcome{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	o := outcome{err: errors.New("interrupted")}
	select {
	case o = <-done:
	case <-signals:
	case <-time.After(longest):
		o.err = errors.New("it took too long")
	}
	if open != nil {
		open.close()
	}
	switch {
	case o.err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", o.err)
		os.Exit(2)
	case o.broken:
		os.Exit(1)
	}
}

// open is the fleet of the case, closed at the end.
var open *fleet

// newCaseFleet prepares the fleet of a case.
func newCaseFleet(n int) (*fleet, error) {
	f, err := newFleet(n)
	open = f
	return f, err
}
