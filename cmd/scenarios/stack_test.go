package scenarios

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/apiclient"
	"sequoiasill.dev/sequoiasill/cmd/internal/stacker"
	"sequoiasill.dev/sequoiasill/entry/server"
	"sequoiasill.dev/sequoiasill/standin/engine"
)

// Names in the configuration of the stacks.
const (
	enginePool  = "assistant"
	servicePool = "orders"
	bearerKey   = "key"
)

// usualSlots are the slots of an upstream.
const usualSlots = 64

// fastSpeed lets engines generate many tokens in a short test.
var fastSpeed = engine.Speed{Step: 4 * time.Millisecond, PrefillToken: 10 * time.Microsecond}

func stackConfig() sequoiasill.Config {
	return sequoiasill.Config{
		Organisations: []sequoiasill.Organisation{{
			Name: "mall", Weight: 1, KeyHashes: []string{sequoiasill.HashKey(bearerKey)}, Services: []string{enginePool, servicePool},
		}, {
			Name: "other", Weight: 1, KeyHashes: []string{sequoiasill.HashKey("other-key")}, Services: []string{enginePool, servicePool},
		}},
		Pools: []sequoiasill.Pool{
			{Name: enginePool, Kind: sequoiasill.Model, Slots: usualSlots},
			{Name: servicePool, Kind: sequoiasill.Plain, Slots: usualSlots},
		},
		Services: []sequoiasill.Service{
			{Name: enginePool, Kind: sequoiasill.Model, Pool: enginePool, Version: "v1"},
			{Name: servicePool, Kind: sequoiasill.Plain, Pool: servicePool, Version: "v1", Routes: []sequoiasill.Route{
				{Path: "/stock", Idempotent: true, Timeout: 10 * sequoiasill.Second},
				{Path: "/cut", Timeout: 20 * sequoiasill.Second},
			}},
		},
	}
}

// startStack starts a deployment that is stopped when the test ends.
func startStack(tb testing.TB, entries, engines, services int, seed uint64) *stacker.Stack {
	tb.Helper()
	return startStackWith(tb, entries, engines, services, seed, func(*server.Options) {})
}

// startStackWith starts a deployment whose entries have options modified by change.
func startStackWith(tb testing.TB, entries, engines, services int, seed uint64, change func(*server.Options)) *stacker.Stack {
	tb.Helper()
	return startStackLogging(tb, entries, engines, services, seed, testLog(), change)
}

// testLog returns a logger with the level given by SEQUOIA_TEST_LOG; the default is off.
func testLog() hclog.InterceptLogger {
	o := &hclog.LoggerOptions{Level: hclog.Off}
	if level := os.Getenv("SEQUOIA_TEST_LOG"); level != "" {
		o.Level = hclog.LevelFromString(level)
	}
	return hclog.NewInterceptLogger(o)
}

// startStackLogging starts a deployment whose entries use the given logger.
func startStackLogging(tb testing.TB, entries, engines, services int, seed uint64, log hclog.Logger, change func(*server.Options)) *stacker.Stack {
	tb.Helper()
	return startStackSized(tb, stacker.Options{Entries: entries, Engines: engines, Services: services, Slots: usualSlots, Seed: seed, Log: log}, change)
}

// startStackSized starts a deployment with the numbers of instances and slots, seed and logger of o.
func startStackSized(tb testing.TB, o stacker.Options, change func(*server.Options)) *stacker.Stack {
	tb.Helper()
	s, err := stacker.New(stacker.Options{
		Entries: o.Entries, Engines: o.Engines, EnginePool: enginePool, Services: o.Services, ServicePool: servicePool,
		Slots: o.Slots, Speed: fastSpeed, Seed: o.Seed, Log: o.Log,
		EntryOptions: func(o *server.Options) {
			o.ListInterval = 100
			o.StoreTimeout = 500
			o.Buckets = 4
			o.StallTimeout = 3 * sequoiasill.Second
			change(o)
		},
	})
	if err != nil {
		tb.Fatalf("stacker.New: %v", err)
	}
	tb.Cleanup(s.Close)
	cfg := stackConfig()
	for i := range cfg.Pools {
		cfg.Pools[i].Slots = o.Slots
	}
	if _, err := s.Apply(cfg); err != nil {
		tb.Fatalf("Apply: %v", err)
	}
	if err := s.AwaitReady(o.Entries); err != nil {
		tb.Fatal(err)
	}
	awaitMembers(tb, s, o.Entries)
	return s
}

// awaitMembers waits until every entry has n entries in its member list.
func awaitMembers(tb testing.TB, s *stacker.Stack, n int) {
	tb.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for _, e := range s.Entries {
		for len(e.Server.Members()) != n {
			if time.Now().After(deadline) {
				tb.Fatalf("%s has %d of %d entries in its member list", e.Name, len(e.Server.Members()), n)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func newClient(s *stacker.Stack) *apiclient.Client { return apiclient.New(bearerKey, s.Ready) }

// expected returns the text that any engine generates for a prompt.
func expected(prompt string, tokens int) string {
	return engine.ExpectedText(engine.Prompt{{Role: "system", Content: "You help attendants."}, {Role: "user", Content: prompt}}, tokens)
}

// load is a set of concurrent completions, half of them streamed, each with a different
// prompt.
type load struct {
	tokens  int
	results []result
	done    chan struct{} // closed when all responses are in
}

type result struct {
	prompt   string
	stream   bool
	response apiclient.Response
	err      error
}

// startLoad sends n streamed and n other requests concurrently.
func startLoad(c *apiclient.Client, n, tokens int) *load {
	l := &load{tokens: tokens, results: make([]result, 2*n), done: make(chan struct{})}
	var wg sync.WaitGroup
	for i := range l.results {
		r := &l.results[i]
		r.prompt = fmt.Sprintf("question %d of a customer", i)
		r.stream = i%2 == 0
		wg.Add(1)
		go func() {
			defer wg.Done()
			body := apiclient.CompletionRequest(enginePool, r.prompt, tokens, r.stream)
			if r.stream {
				r.response, r.err = c.Stream(body, nil)
			} else {
				r.response, r.err = c.Complete(body, nil)
			}
		}()
	}
	go func() {
		wg.Wait()
		close(l.done)
	}()
	return l
}

// check waits for all responses and compares each with the expected text of its prompt.
func (l *load) check(tb testing.TB) {
	tb.Helper()
	<-l.done
	bad := 0
	for _, r := range l.results {
		want := expected(r.prompt, l.tokens)
		switch {
		case r.err != nil:
			tb.Errorf("%s (stream %v): %v", r.prompt, r.stream, r.err)
		case r.response.Status != 200 || r.response.Text != want:
			tb.Errorf("%s (stream %v): status %d, %d of %d characters, equal %v: %s",
				r.prompt, r.stream, r.response.Status, len(r.response.Text), len(want), r.response.Text == want, r.response.Body)
		default:
			continue
		}
		if bad++; bad == 5 {
			tb.Fatal("too many bad responses")
		}
	}
}
