package scenarios

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/apiclient"
	"sequoiasill.dev/sequoiasill/config/applier"
	"sequoiasill.dev/sequoiasill/platform/caller"
	"sequoiasill.dev/sequoiasill/platform/storer"
	"sequoiasill.dev/sequoiasill/standin/loopback"
)

// BenchmarkPath measures one router process on one core with long streams: tokens per
// second, CPU time per token and memory per stream.
func BenchmarkPath(b *testing.B) {
	for _, streams := range []int{64, 256, 512} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			p := startProcessStack(b)
			before := residentBytes(b, p.router.Process.Pid)
			for b.Loop() {
				p.measure(b, streams, before)
			}
		})
	}
}

// processStack is a deployment of separate processes with one router.
type processStack struct {
	router *exec.Cmd
	client *apiclient.Client
}

func startProcessStack(b testing.TB) *processStack {
	b.Helper()
	platformAt, entryAt := unusedAddress(b), unusedAddress(b)
	startProcess(b, nil, "sequoia-standin", "platform", "--listen", platformAt)
	awaitStatus(b, "http://"+platformAt+"/counts")
	for i := range 4 {
		startProcess(b, nil, "sequoia-standin", "engine", "--platform", platformAt, "--name", fmt.Sprint("engine-", i), "--zone", "a",
			"--pool", enginePool, "--slots", "128", "--step", "10ms", "--step-per-running", "0ms")
	}
	cfg := stackConfig()
	cfg.Pools[0].Slots = 256
	if _, err := applier.Apply(storer.New(caller.New(platformAt, sequoiasill.Second), sequoiasill.Second), cfg, 0); err != nil {
		b.Fatalf("Apply: %v", err)
	}
	router := startProcess(b, []string{"GOMAXPROCS=1"}, "sequoia-router", "--name", "entry-1", "--zone", "a", "--listen", entryAt,
		"--operators", unusedAddress(b), "--peer", unusedAddress(b), "--platform", platformAt, "--list-every", "100ms", "--log-level", "warn")
	awaitStatus(b, "http://"+entryAt+"/ready")
	time.Sleep(500 * time.Millisecond)
	return &processStack{router: router, client: apiclient.New(bearerKey, func() []string { return []string{entryAt} })}
}

func startProcess(b testing.TB, env []string, name string, args ...string) *exec.Cmd {
	b.Helper()
	cmd := exec.Command(filepath.Join(binaries, name), args...)
	cmd.Env = append(os.Environ(), env...)
	if err := cmd.Start(); err != nil {
		b.Fatalf("start %s: %v", name, err)
	}
	b.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd
}

func unusedAddress(b testing.TB) string {
	b.Helper()
	ip, err := loopback.Reserve()
	if err != nil {
		b.Fatal(err)
	}
	return loopback.Port(ip, 0)
}

func awaitStatus(b testing.TB, url string) {
	b.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for time.Now().Before(deadline) {
		resp, err := http.Get(url)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.Fatalf("%s did not respond with status 200", url)
}

func (p *processStack) measure(b *testing.B, streams, before int) {
	b.Helper()
	const tokens = 300
	var wg sync.WaitGroup
	var got atomic.Int64
	pid := p.router.Process.Pid
	cpu, start := cpuSeconds(b, pid), time.Now()
	for i := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			response, err := p.client.Stream(apiclient.CompletionRequest(enginePool, fmt.Sprint("p", i), tokens, true), nil)
			if err != nil || response.Status != http.StatusOK {
				b.Errorf("stream %d: status %d, %v: %s", i, response.Status, err, response.Body)
			}
			got.Add(int64(response.Events))
		}()
	}
	time.Sleep(time.Second)
	during := residentBytes(b, pid)
	wg.Wait()
	seconds := time.Since(start).Seconds()
	used := cpuSeconds(b, pid) - cpu
	b.ReportMetric(float64(got.Load())/seconds, "tokens/s")
	b.ReportMetric(used/float64(got.Load())*1e6, "cpu-µs/token")
	b.ReportMetric(used/seconds*100, "%core")
	b.ReportMetric(float64(during-before)/float64(streams), "B/stream")
}

// cpuSeconds returns the CPU time that a process has used.
func cpuSeconds(b *testing.B, pid int) float64 {
	b.Helper()
	const ticksPerSecond = 100 // USER_HZ on Linux
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Skipf("the CPU time is not available: %v", err)
	}
	fields := strings.Fields(string(raw)[strings.LastIndexByte(string(raw), ')')+2:])
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond
}

// residentBytes returns the resident memory of a process.
func residentBytes(b *testing.B, pid int) int {
	b.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		b.Skipf("the memory use is not available: %v", err)
	}
	pages, _ := strconv.Atoi(strings.Fields(string(raw))[1])
	return pages * os.Getpagesize()
}

// BenchmarkJournal measures calls with and without the journal at several rates: store
// writes per call, and the latency that the journal adds.
func BenchmarkJournal(b *testing.B) {
	s := startStack(b, 1, 0, 1, 1)
	c := newClient(s)
	for _, rate := range []int{1, 10, 100, 1000} {
		for _, route := range []string{"/services/orders/stock", "/services/orders/cut"} {
			b.Run(fmt.Sprintf("%d/s%s", rate, strings.TrimPrefix(route, "/services/orders")), func(b *testing.B) {
				for b.Loop() {
					offerLoad(b, c, rate, route, func() int64 { return s.Platform.Counts().Writes })
				}
			})
		}
	}
}

func offerLoad(b *testing.B, c *apiclient.Client, rate int, route string, writes func() int64) {
	b.Helper()
	calls := max(rate*2, 4)
	latencies := make([]time.Duration, calls)
	var wg sync.WaitGroup
	before, start := writes(), time.Now()
	for i := range calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			sent := time.Now()
			response, err := c.Call(http.MethodPost, route, []byte("{}"), map[string]string{"Idempotency-Key": fmt.Sprint(start.UnixNano(), i)})
			if err != nil || response.Status != http.StatusOK {
				b.Errorf("call %d: status %d, %v: %s", i, response.Status, err, response.Body)
			}
			latencies[i] = time.Since(sent)
		}()
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * time.Second / time.Duration(rate))))
	}
	wg.Wait()
	time.Sleep(400 * time.Millisecond)
	n := writes() - before
	slices.Sort(latencies)
	b.ReportMetric(float64(n)/float64(calls), "writes/call")
	b.ReportMetric(float64(latencies[calls/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(latencies[calls*99/100].Microseconds())/1000, "p99-ms")
}
