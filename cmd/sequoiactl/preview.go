package main

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"sequoiasill.dev/sequoiasill/cmd/internal/launcher"
	"sequoiasill.dev/sequoiasill/platform/caller"
	"sequoiasill.dev/sequoiasill/platform/runner"
	"sequoiasill.dev/sequoiasill/relay/dispatcher"
)

const previewHelp = `Show where an entry of the consortium platform would send a call now, and why,
without sending it. --entry is its metrics address, for example 10.0.0.7:9464.`

func previewCommand(app *kingpin.Application, t *tool) (string, func() int) {
	cmd := app.Command("preview", previewHelp)
	var q dispatcher.PreviewRequest
	cmd.Arg("host", "Host of the call.").Required().StringVar(&q.Host)
	cmd.Arg("path", "Path of the call.").Required().StringVar(&q.Target)
	cmd.Flag("organisation", "Organisation that sends it.").StringVar(&q.Organisation)
	cmd.Flag("id", "Its ID, which decides between the services and versions of a route.").StringVar(&q.ID)
	cmd.Flag("tokens", "Tokens of its prompt.").IntVar(&q.Tokens)
	cmd.Flag("max-output", "Most tokens of its output.").IntVar(&q.MaxOutput)
	cmd.Flag("remaining", "Time until its caller stops waiting. 0 stands for the route's timeout.").Default("0s").SetValue(launcher.DurationValue{Target: &q.Remaining})
	return cmd.FullCommand(), func() int {
		var p dispatcher.Preview
		if err := caller.New(t.entry, t.timeout).JSON("POST", runner.PreviewPath, q, &p); err != nil {
			return t.fail(exitFailed, err)
		}
		if t.output == "json" {
			return t.printJSON(p)
		}
		writePreview(t.out, p)
		return exitOK
	}
}

func writePreview(out io.Writer, p dispatcher.Preview) {
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	printf("configuration %d, route %q, service %q, paths %q", p.Config, p.Route, p.Service, p.Paths)
	if q := p.Quota; q != nil {
		printf("quota: %.1f in this entry's share (%.3f of all), %.1f estimated in all, recent %t", q.Level, q.Fraction, q.Remaining, q.Fresh)
	}
	a := p.Admission
	printf("admission: refused with probability %.2f; rank %d of %d, %.2f calls waiting per slot, %.2f of the slots taken, expected wait %s, %d reports in the last second, newest %s old",
		a.Probability, a.Rank, a.Ranks, a.Waiting, a.Taken, a.Wait, a.Samples, a.Age)
	if p.Refusal != "" {
		printf("refused: %s", p.Refusal)
	}
	for i, u := range p.Upstreams {
		printf("%d. %s (zone %s, version %s): cost %.1f ms, prefill %d, needs a permit %t, report %s old, of %d candidates", i+1, u.Name, u.Zone, u.Version, u.Cost, u.Prefill, u.Limited, u.ReportAge, u.Candidates)
	}
}
