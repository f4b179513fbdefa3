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
	"sequoiasill.dev/sequoiasill/cmd/internal/apiclient"
	"sequoiasill.dev/sequoiasill/decide/quarantiner"
	"sequoiasill.dev/sequoiasill/entry/server"
	"sequoiasill.dev/sequoiasill/standin/engine"
)

// TestPoison repeatedly sends a poison request, which crashes every engine that runs it,
// among harmless ones. It must be quarantined before it crashes more engines than the
// bound, and the harmless requests must succeed.
func TestPoison(t *testing.T) {
	const (
		harmless = 100 // streamed requests, and as many others
		engines  = 8
		tokens   = 60
	)
	reports := &crashReports{suspects: make(map[string]map[string]int), firstReportAt: make(map[string]time.Time)}
	log := testLog()
	log.RegisterSink(reports)
	s := startStackLogging(t, 3, engines, 0, 1, log, func(*server.Options) {})
	for _, e := range s.Engines {
		e.Engine.SetFaults(engine.Faults{CrashOn: "poison"})
	}
	c := newClient(s)
	l := startLoad(c, harmless, tokens)
	time.Sleep(50 * time.Millisecond)
	poison := apiclient.CompletionRequest(enginePool, "poison", tokens, false)
	for i := range 4 {
		response, err := c.Complete(poison, map[string]string{"Sequoia-Timeout-Millis": "15000"})
		if err != nil {
			t.Fatalf("send %d: %v", i, err)
		}
		if response.Status != http.StatusUnprocessableEntity {
			t.Errorf("send %d: status %d, body %s", i, response.Status, response.Body)
		}
		if want := "notRun"; i > 0 && response.Verdict != want {
			t.Errorf("send %d: verdict %s, want %s", i, response.Verdict, want)
		}
	}
	l.check(t)
	dead := 0
	for _, e := range s.Engines {
		if e.Engine.Killed() {
			dead++
		}
	}
	first, suspects := reports.firstCrash()
	bound := crashBound(suspects, engines-1)
	options := quarantiner.DefaultOptions()
	if reports.incompleteOrLate(len(s.Entries), options.AwaitReports) {
		// While reports are missing, only a crash of this level leads to quarantine.
		bound = max(bound, options.CertainLevel)
	}
	if dead > bound {
		t.Errorf("%d engines crashed, more than %d with %d suspects at the crash of %s", dead, bound, suspects, first)
	}
}

// crashBound returns the number of upstreams that one request may crash, as specified by
// docs/design/quarantine.md: two if there are no more suspects than remaining upstreams,
// three up to the square of their number, and so on.
func crashBound(suspects, remaining int) int {
	bound := 1
	for n := 1; n < suspects; n *= remaining {
		bound++
	}
	return max(bound, 2)
}

// crashReports collects from the log how many suspects each entry reported for the crash
// of an upstream.
type crashReports struct {
	mu            sync.Mutex
	order         []string                  // upstreams in the order of their crashes
	suspects      map[string]map[string]int // by upstream and entry
	firstReportAt map[string]time.Time      // by upstream
	maxDelay      time.Duration             // from the first report of a crash to any later one
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
		c.firstReportAt[upstream] = time.Now()
		c.order = append(c.order, upstream)
	}
	c.maxDelay = max(c.maxDelay, time.Since(c.firstReportAt[upstream]))
	c.suspects[upstream][entry] = n
}

// incompleteOrLate reports whether a crash was not reported by all entries within the timeout.
func (c *crashReports) incompleteOrLate(entries int, timeout sequoiasill.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, reports := range c.suspects {
		if len(reports) < entries {
			return true
		}
	}
	return c.maxDelay > timeout.Duration()
}

// firstCrash returns the upstream that crashed first and the total number of suspects that
// entries reported for it.
func (c *crashReports) firstCrash() (upstream string, suspects int) {
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
		"only the poison request": {1, 2}, "as many as upstreams": {7, 2}, "one more": {8, 3}, "their square": {49, 3}, "more": {50, 4}, "their cube": {343, 4},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, crashBound(tc.suspects, 7)); diff != "" {
				t.Errorf("bound (-want +got):\n%s", diff)
			}
		})
	}
}
