package scenarios

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/asker"
	"sequoiasill.dev/sequoiasill/decide/quarantiner"
	"sequoiasill.dev/sequoiasill/entry/server"
	"sequoiasill.dev/sequoiasill/standin/engine"
)

// TestPoison sends a request that crashes every engine that runs it, again and
// again, among innocent ones.
func TestPoison(t *testing.T) {
	const (
		innocents = 100 // streamed, and as many whole
		engines   = 8
		tokens    = 60
	)
	reports := &crashReports{suspects: make(map[string]map[string]int), began: make(map[string]time.Time)}
	log := testLog()
	log.RegisterSink(reports)
	s := startStackLogging(t, 3, engines, 0, 1, log, func(*server.Options) {})
	for _, e := range s.Engines {
		e.Engine.SetFaults(engine.Faults{CrashOn: "poison"})
	}
	a := newAsker(s)
	l := startLoad(a, innocents, tokens)
	time.Sleep(50 * time.Millisecond)
	bad := asker.Prompt(enginePool, "poison", tokens, false)
	for i := range 4 {
		answer, err := a.Complete(bad, map[string]string{"Sequoia-Timeout-Millis": "15000"})
		if err != nil {
			t.Fatalf("send %d: %v", i, err)
		}
		if answer.Status != http.StatusUnprocessableEntity {
			t.Errorf("send %d: status %d, body %s", i, answer.Status, answer.Body)
		}
		if want := "notRun"; i > 0 && answer.Verdict != want {
			t.Errorf("send %d: verdict %s, want %s", i, answer.Verdict, want)
		}
	}
	l.check(t)
	dead := 0
	for _, e := range s.Engines {
		if e.Engine.Dead() {
			dead++
		}
	}
	first, suspects := reports.first()
	bound := crashBound(suspects, engines-1)
	options := quarantiner.DefaultOptions()
	if reports.late(len(s.Entries), options.AwaitReports) {
		// Without all reports only a crash of this level condemns.
		bound = max(bound, options.CertainLevel)
	}
	if dead > bound {
		t.Errorf("%d engines died, more than %d with %d suspects at the crash of %s", dead, bound, suspects, first)
	}
}

// crashBound is how many upstreams one request may take down, as
// docs/design/quarantine.md gives it: two where there are no more suspects than
// upstreams left, three up to their square, and so on.
func crashBound(suspects, left int) int {
	bound := 1
	for n := 1; n < suspects; n *= left {
		bound++
	}
	return max(bound, 2)
}

// crashReports collects from the entries' log how many suspects each reported on
// the crash of an upstream.
type crashReports struct {
	mu       sync.Mutex
	order    []string                  // upstreams, the first to crash first
	suspects map[string]map[string]int // by upstream and entry
	began    map[string]time.Time      // first report, by upstream
	slowest  time.Duration             // from a first report to one of another entry
}

// Accept implements hclog.SinkAdapter.
func (c *crashReports) Accept(_ string, _ hclog.Level, msg string, args ...any) {
	if msg != "crash" {
		return
	}
	fields := make(map[string]any)
	for i := 0; i+1 < len(args); i += 2 {
		fields[fmt.Sprint(args[i])] = args[i+1]
	}
	upstream, entry := fmt.Sprint(fields["upstream"]), fmt.Sprint(fields["entry"])
	n, _ := fields["suspects"].(int)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.suspects[upstream] == nil {
		c.suspects[upstream] = make(map[string]int)
		c.began[upstream] = time.Now()
		c.order = append(c.order, upstream)
	}
	c.slowest = max(c.slowest, time.Since(c.began[upstream]))
	c.suspects[upstream][entry] = n
}

// late reports whether some crash was not reported by all entries within a span.
func (c *crashReports) late(entries int, span sequoiasill.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, reports := range c.suspects {
		if len(reports) < entries {
			return true
		}
	}
	return c.slowest > span.Duration()
}

// first returns the upstream that crashed first and the suspects that all entries
// reported.
func (c *crashReports) first() (upstream string, suspects int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.order) == 0 {
		return "", 0
	}
	for _, n := range c.suspects[c.order[0]] {
		suspects += n
	}
	return c.order[0], suspects
}

func TestCrashBound(t *testing.T) {
	for name, tc := range map[string]struct{ suspects, want int }{
		"the culprit alone": {1, 2}, "as many as upstreams": {7, 2}, "one more": {8, 3}, "their square": {49, 3}, "more": {50, 4}, "their cube": {343, 4},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, crashBound(tc.suspects, 7)); diff != "" {
				t.Errorf("bound (-want +got):\n%s", diff)
			}
		})
	}
}
