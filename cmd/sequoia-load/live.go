package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/apiclient"
	"sequoiasill.dev/sequoiasill/cmd/internal/launcher"
)

const liveHelp = `Send streamed completions to running entries.

Requests arrive at random times at the given rate. Only loopback addresses are
accepted.`

// Limits of a live run, with the rate in requests per second.
const (
	maxLiveRate     = 2000
	maxLiveDuration = 5 * sequoiasill.Minute
)

type liveSettings struct {
	entries  []string
	key      string
	model    string
	rate     float64
	tokens   int
	duration sequoiasill.Millis
}

func liveCommand(app *kingpin.Application, t *tool) (string, func() (report, error)) {
	cmd := app.Command("live", liveHelp)
	s := liveSettings{duration: 10 * sequoiasill.Second}
	cmd.Flag("entry", "Callers' address of an entry. May be repeated.").Required().StringsVar(&s.entries)
	cmd.Flag("key", "Bearer key.").Default("dev-key").StringVar(&s.key)
	cmd.Flag("model", "Service to ask.").Default("assistant").StringVar(&s.model)
	cmd.Flag("rate", "Requests a second.").Default("10").Float64Var(&s.rate)
	cmd.Flag("tokens", "Tokens of an answer.").Default("32").IntVar(&s.tokens)
	cmd.Flag("span", "Length of the run.").Default(s.duration.Duration().String()).SetValue(launcher.DurationValue{Target: &s.duration})
	return cmd.FullCommand(), func() (report, error) { return live(s, t.seed) }
}

func live(s liveSettings, seed uint64) (report, error) {
	if s.rate <= 0 || s.rate > maxLiveRate || s.duration > maxLiveDuration {
		return report{}, errors.Errorf("the rate must be up to %d and the span up to %s", maxLiveRate, maxLiveDuration.Duration())
	}
	for _, e := range s.entries {
		host, _, err := net.SplitHostPort(e)
		if err != nil || !net.ParseIP(host).IsLoopback() {
			return report{}, errors.Errorf("%q is not a loopback address with a port", e)
		}
	}
	c := apiclient.New(s.key, func() []string { return s.entries })
	rng := rand.New(rand.NewPCG(seed, 8))
	firstToken := hdrhistogram.New(1, maxMicros, 3)
	gaps := hdrhistogram.New(1, maxMicros, 3)
	out := row{Case: fmt.Sprintf("%.0f a second", s.rate)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	deadline := time.Now().Add(s.duration.Duration())
	for n := 0; time.Now().Before(deadline); n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			response, err := c.Stream(apiclient.CompletionRequest(s.model, fmt.Sprint("question ", n), s.tokens, true), nil)
			mu.Lock()
			defer mu.Unlock()
			out.Requests++
			if err != nil || response.Status != 200 {
				out.Refused++
				return
			}
			out.GoodTokens += response.Events
			_ = firstToken.RecordValue(min(response.TimeToFirstToken.Microseconds(), maxMicros))
			for _, g := range response.TokenIntervals {
				_ = gaps.RecordValue(min(max(g.Microseconds(), 1), maxMicros))
			}
		}()
		time.Sleep(time.Duration(rng.ExpFloat64() / s.rate * float64(time.Second)))
	}
	wg.Wait()
	millis := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	out.FirstP50, out.FirstP95, out.FirstP99 = millis(firstToken, 50), millis(firstToken, 95), millis(firstToken, 99)
	out.GapP95 = millis(gaps, 95)
	return report{Title: "live", Rows: []row{out}}, nil
}

// maxMicros is the highest value that the histograms record, 10 minutes.
const maxMicros = 600_000_000
