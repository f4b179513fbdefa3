// Command standins runs the scripts of the review: it starts entries as separate processes beside small
// stand-ins of the platform, of replicas and of requesters, brings a disruption about and checks one rule
// by what requesters, replicas and the platform see.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 the
// disruption is left out.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenario is one case.
type scenario func(s *stage) (broken bool, err error)

var scenarios = map[string]scenario{
	"bad-order":      badOrder,
	"reverted-order": revertedOrder,
	"next-order":     nextOrder,
	"repeated-order": repeatedOrder,
	"slow-poison":    slowPoison,
	"poison-stream":  poisonStream,
	"restored-store": restoredStore,
	"silent-stop":    silentStop,
}

func main() {
	recordPath := flag.String("record", "record.txt", "file for the record")
	program := flag.String("program", "target/sequoia-edge", "program of an entry")
	keep := flag.String("keep", "", "directory for settings and logs, instead of a temporary one that is removed")
	flag.Parse()
	run, ok := scenarios[flag.Arg(0)]
	if !ok {
		fmt.Fprintf(os.Stderr, "no scenario %q\n", flag.Arg(0))
		os.Exit(2)
	}
	os.Exit(play(run, *recordPath, *program, *keep))
}

// play runs a scenario and returns the exit code.
func play(run scenario, recordPath, program, keep string) int {
	s, err := newStage(recordPath, program, keep, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	timer := time.AfterFunc(115*time.Second, func() {
		s.record.say("the case took too long")
		s.close()
		os.Exit(2)
	})
	defer timer.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		s.close()
		os.Exit(2)
	}()
	broken, err := run(s)
	switch {
	case err != nil:
		s.record.say("the case could not run: %v", err)
		return 2
	case broken:
		s.record.say("the rule was BROKEN")
		return 1
	}
	s.record.say("the rule held")
	return 0
}
