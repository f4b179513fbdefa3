// Command sequoia-soak runs entries as processes under injected faults and checks
// the guarantees to callers and upstreams. It exits with 1 if one was violated.
package main

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/launcher"
	"sequoiasill.dev/sequoiasill/standin/soaker"
)

func main() {
	app := kingpin.New("sequoia-soak", "Runs entries under random faults and checks their promises.")
	var o soaker.Options
	seeds := app.Flag("seeds", "Number of seeds to run, one after the other.").Default("1").Int()
	app.Flag("seed", "First seed; 0 takes one from the time.").Default("0").Uint64Var(&o.Seed)
	app.Flag("span", "Time of traffic with faults for each seed.").Default("20s").DurationVar(&o.Duration)
	app.Flag("entries", "Entries to run.").Default("4").IntVar(&o.Entries)
	app.Flag("replicas", "Replicas of a plain service to run.").Default("4").IntVar(&o.Replicas)
	app.Flag("engines", "Replicas of a service of streams to run.").Default("4").IntVar(&o.Engines)
	app.Flag("rate", "Calls a second of all callers.").Default("150").Float64Var(&o.Rate)
	app.Flag("callers", "Callers to run.").Default("16").IntVar(&o.Callers)
	app.Flag("planned", "Planned work only.").BoolVar(&o.PlannedOnly)
	app.Flag("storm", "Inject only faults that cause retries.").BoolVar(&o.Storm)
	app.Flag("silent", "Planned work and moments of silence of sound replicas only.").BoolVar(&o.Silent)
	app.Flag("only", "Name of the only fault to inject; empty for all.").StringVar(&o.OnlyFault)
	app.Flag("except", "Name of a fault not to inject; may be repeated.").StringsVar(&o.ExceptFaults)
	o.RetryLimits.Window = 10 * sequoiasill.Second
	app.Flag("repeat-ratio", "Repeats allowed for each call.").Default("0.2").Float64Var(&o.RetryLimits.Ratio)
	app.Flag("repeat-slack", "Repeats allowed beyond that ratio in each window.").Default("58").Float64Var(&o.RetryLimits.Slack)
	app.Flag("repeat-window", "Length of a window, in whole seconds.").Default(o.RetryLimits.Window.Duration().String()).
		SetValue(launcher.DurationValue{Target: &o.RetryLimits.Window})
	app.Flag("binary", "Program of the entry.").Default("bin/sequoia-edge").StringVar(&o.Binary)
	app.Flag("production", "Older program of the entry, which an upgrade under load replaces; empty for no upgrade.").StringVar(&o.Production)
	outputDir := app.Flag("dir", "Directory for settings and logs; empty for one that is removed unless a promise is broken.").String()
	launcher.Parse(app)
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixNano())
	}
	failed := 0
	for range *seeds {
		if !runSeed(o, *outputDir) {
			failed++
		}
		o.Seed++
	}
	fmt.Printf("%d passed, %d failed\n", *seeds-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// runSeed runs one seed, prints the results and reports whether all guarantees held.
func runSeed(o soaker.Options, dir string) bool {
	o.Dir = dir
	if dir == "" {
		tempDir, err := os.MkdirTemp("", "sequoia-soak-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return false
		}
		o.Dir = tempDir
	}
	broken, counts, err := soaker.Run(o)
	if err != nil {
		fmt.Printf("seed %d: not played: %v\n", o.Seed, err)
		return false
	}
	fmt.Printf("seed %d: %d calls, %d good, %d refused, %d failed, %d without an answer; %d promises broken\n",
		o.Seed, counts.Calls, counts.Succeeded, counts.Refused, counts.Failed, counts.NoResponse, len(broken))
	fmt.Printf("  good calls to plain: half of them within %s, 99 in 100 within %s\n",
		counts.MedianLatency.Round(time.Millisecond/10), counts.HighLatency.Round(time.Millisecond/10))
	for _, f := range counts.WorstWindows {
		fmt.Printf("  repeats at %s: %d of %.0f in the fullest window, %d in all\n", f.Service, f.Repeats, f.Allowed, counts.Retries)
	}
	if counts.RateLimited > 0 {
		fmt.Printf("  %d calls came to upstreams whose limits held, %.0f%% of what is allowed in the fullest window\n", counts.RateLimited, counts.MaxRateLimitUse*100)
	}
	if counts.PartitionedCalls > 0 {
		fmt.Printf("  %d of %d calls to entries that reached no replica were served\n", counts.PartitionedServed, counts.PartitionedCalls)
	}
	for _, end := range slices.Sorted(maps.Keys(counts.Lost)) {
		fmt.Printf("  %d calls were accepted and ended without an answer: %s\n", counts.Lost[end], end)
	}
	for _, name := range slices.Sorted(maps.Keys(counts.Faults)) {
		fmt.Printf("  %3d %s\n", counts.Faults[name], name)
	}
	for _, b := range broken {
		fmt.Println("  BROKEN:", b)
	}
	if len(broken) > 0 {
		fmt.Println("  logs in", filepath.Clean(o.Dir))
		return false
	}
	if dir == "" {
		if err := os.RemoveAll(o.Dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	return true
}
