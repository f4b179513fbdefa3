package main

import (
	"fmt"
	"maps"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"sequoiasill.dev/sequoiasill/cmd/internal/modeller"
)

const surgeHelp = `Measure a neighbour's quick requests while one organisation surges.`

func surgeCommand(app *kingpin.Application, t *tool) (string, func() (report, error)) {
	cmd := app.Command("surge", surgeHelp)
	factor := cmd.Flag("factor", "Multiple of its share that the organisation sends.").Default("20").Float64()
	return cmd.FullCommand(), func() (report, error) {
		r := report{Title: fmt.Sprintf("quick requests of neighbours under a surge of %.0f times", *factor)}
		neighbours := func(j *modeller.Job) bool { return modeller.IsQuick("")(j) && j.Request.Organisation != "large" }
		r.Rows = append(r.Rows,
			rowOf("calm", modeller.Summarise(modeller.Surge(t.seed, 1, modeller.Fair).Jobs, neighbours)),
			rowOf("limiter", modeller.Summarise(modeller.Surge(t.seed, *factor, modeller.Fair).Jobs, neighbours)),
			rowOf("fifo", modeller.Summarise(modeller.Surge(t.seed, *factor, modeller.FIFO).Jobs, neighbours)),
			rowOf("limiter, long of all", modeller.Summarise(modeller.Surge(t.seed, *factor, modeller.Fair).Jobs, modeller.IsLong(""))))
		return r, nil
	}
}

const overloadHelp = `Measure goodput at several times the capacity.`

func overloadCommand(app *kingpin.Application, t *tool) (string, func() (report, error)) {
	cmd := app.Command("overload", overloadHelp)
	return cmd.FullCommand(), func() (report, error) {
		r := report{Title: "goodput in overload"}
		for _, factor := range []float64{0.5, 1, 2, 5} {
			s := modeller.Summarise(modeller.Overload(t.seed, factor).Jobs, modeller.IsLong(""))
			r.Rows = append(r.Rows, rowOf(fmt.Sprintf("%.1f times", factor), s))
		}
		return r, nil
	}
}

const lagHelp = `Compare ways to pick an upstream under lagged load reports.`

func lagCommand(app *kingpin.Application, t *tool) (string, func() (report, error)) {
	cmd := app.Command("lag", lagHelp)
	return cmd.FullCommand(), func() (report, error) {
		r := report{Title: "ways to pick under lagged load reports"}
		strategies := modeller.Strategies()
		for _, lag := range []float64{0, 1000, 5000, 10_000} {
			for _, name := range slices.Sorted(maps.Keys(strategies)) {
				result := modeller.LaggedReports(t.seed, lag, strategies[name])
				x := rowOf(fmt.Sprintf("%s, %.0f s", name, lag/1000), modeller.Summarise(result.Jobs, modeller.IsLong("")))
				x.Imbalance = result.Imbalance
				r.Rows = append(r.Rows, x)
			}
		}
		return r, nil
	}
}

const slowHelp = `Measure one upstream of twelve that is ten times slower.`

func slowCommand(app *kingpin.Application, t *tool) (string, func() (report, error)) {
	cmd := app.Command("slow", slowHelp)
	factor := cmd.Flag("factor", "How many times slower.").Default("10").Float64()
	return cmd.FullCommand(), func() (report, error) {
		r := report{Title: fmt.Sprintf("one upstream %.0f times slower", *factor)}
		for name, policy := range map[string]bool{"tracker and picker": true, "round robin": false} {
			result := modeller.OneSlowEngine(t.seed, *factor, policy)
			r.Rows = append(r.Rows, rowOf(fmt.Sprintf("%s, %d sent there", name, result.SentLate[0]), modeller.Summarise(result.Jobs, modeller.IsLong(""))))
		}
		return r, nil
	}
}

const prefixHelp = `Measure prefix affinity.`

func prefixCommand(app *kingpin.Application, t *tool) (string, func() (report, error)) {
	cmd := app.Command("prefix", prefixHelp)
	return cmd.FullCommand(), func() (report, error) {
		r := report{Title: "prefix affinity"}
		for name, affinity := range map[string]bool{"affinity": true, "by load alone": false} {
			result := modeller.Prefixes(t.seed, affinity)
			x := rowOf(name, modeller.Summarise(result.Jobs, modeller.IsQuick("")))
			x.PrefixHitRate = result.HitRate
			r.Rows = append(r.Rows, x)
		}
		return r, nil
	}
}
