package soaker

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"sequoiasill.dev/sequoiasill"
)

// Ports of every entry. Each entry has its own IP address on the loopback network.
const (
	frontendPort = 18360
	readyPort    = 18365
	peerPort     = 18500
)

// drainTimeout is the time in which draining upstreams may still receive calls. It is also
// written to the entries' settings.
const drainTimeout = 2 * sequoiasill.Second

// entry is a process of the real entry program.
type entry struct {
	harness    *Harness
	number     int
	store      *proxy // its connections to the platform's store
	newBuild   build
	production build // that runs before an upgrade

	mu       sync.Mutex
	current  build // with which the process is started
	process  *os.Process
	exited   chan struct{} // closed when the process has exited
	stopping bool          // it was asked to stop and must exit cleanly
	stopAt   time.Time     // when it was asked to
}

// newEntry returns an entry that is not started, with its builds.
func newEntry(h *Harness, number int, store *proxy) (*entry, error) {
	e := &entry{harness: h, number: number, store: store}
	var err error
	if h.opts.Production == "" {
		if e.newBuild, err = buildAt("", h.opts.Binary, e); err != nil {
			return nil, err
		}
		e.production, e.current = e.newBuild, e.newBuild
		return e, nil
	}
	if e.newBuild, err = buildAt(newBuild, h.opts.Binary, e); err != nil {
		return nil, err
	}
	if e.production, err = buildAt(productionBuild, h.opts.Production, e); err != nil {
		return nil, err
	}
	e.current = e.production
	return e, nil
}

// use sets the build with which the process is started next.
func (e *entry) use(newBuild bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.current = e.production
	if newBuild {
		e.current = e.newBuild
	}
}

// name returns the instance name.
func (e *entry) name() string { return fmt.Sprintf("e%d", e.number) }

func (e *entry) ip() string           { return e.harness.entryIP(e.number) }
func (e *entry) frontendAddr() string { return fmt.Sprintf("%s:%d", e.ip(), frontendPort) }
func (e *entry) readyAddr() string    { return fmt.Sprintf("%s:%d", e.ip(), readyPort) }

// entryIP returns the address of the entry with a number.
func (h *Harness) entryIP(number int) string {
	return fmt.Sprintf("127.%d.1.%d", h.secondOctet, number+1)
}

const (
	usualGrace = 6 * time.Second
	shortGrace = 3 * time.Second
)

// grace returns the grace period, which is short for half of the entries. Builds before an upgrade may
// exceed a short one.
func (e *entry) grace() time.Duration {
	if e.number%2 == 1 && e.harness.opts.Production == "" {
		return shortGrace
	}
	return usualGrace
}

// settings returns the contents of the settings file, which the platform would write.
func (e *entry) settings() string {
	seeds := ""
	for i := range min(len(e.harness.entries), 3) {
		seeds += fmt.Sprintf("%q,", fmt.Sprintf("%s:1", e.harness.entries[i].ip()))
	}
	return fmt.Sprintf(`nodeName = %q
zone = "a"
ip = %q
internalPortRange = [%d,%d]
seeds = [%s]
[listen]
frontend = %q
ready = %q
[bounds]
drainMs = %d
leaseMs = %d
graceS = %g
retryBudgetRatio = %g
budgetSlack = %g
retryWindowS = %d
quotaWindowS = 8
usageWindowS = 2
usageDelayS = 10
fencingEnforced = %t
[platform]
address = %q
[cloudApi]
address = %q
`, e.name(), e.ip(), peerPort, peerPort+1, seeds, e.frontendAddr(), e.readyAddr(), int64(drainTimeout), int64(leaseTTL), e.grace().Seconds(), e.harness.opts.RetryLimits.Ratio, e.harness.opts.RetryLimits.Slack,
		e.harness.opts.RetryLimits.Window.Seconds(), e.harness.opts.fenced(), e.store.listener.Addr(), e.store.listener.Addr())
}

// start starts the process. Its output is appended to a log file per entry.
func (e *entry) start() error {
	dir := e.harness.opts.Dir
	path := filepath.Join(dir, fmt.Sprintf("e%d.toml", e.number))
	if err := os.WriteFile(path, []byte(e.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(dir, fmt.Sprintf("e%d.log", e.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.mu.Lock()
	current := e.current
	e.mu.Unlock()
	cmd := exec.Command(current.path, append([]string{"--settings", path}, current.args...)...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	exited := make(chan struct{})
	e.mu.Lock()
	e.process, e.exited, e.stopping = cmd.Process, exited, false
	e.mu.Unlock()
	e.harness.checker.recordStart(e, current.name)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		e.mu.Lock()
		if e.stopping && err != nil && err.Error() != "signal: killed" {
			e.harness.checker.addViolation("entry %d was asked to stop and ended with %v", e.number, err)
		}
		if e.stopping {
			e.harness.checker.checkStop(e, e.stopAt)
		}
		e.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process if it is running and returns a channel that is closed
// when the process has exited. A ready process must exit cleanly on SIGTERM; one that has just
// been started may not have installed its signal handler yet.
func (e *entry) signal(s syscall.Signal) (exited <-chan struct{}) {
	mustExitCleanly := s == syscall.SIGTERM && e.isReady()
	e.mu.Lock()
	defer e.mu.Unlock()
	if s != syscall.SIGHUP {
		e.harness.checker.recordDisruption(e)
	}
	if mustExitCleanly && !e.stopping {
		e.stopping, e.stopAt = true, time.Now()
		e.harness.checker.recordStop(e.number, e.grace())
	}
	// An error means that the process has exited already.
	_ = e.process.Signal(s)
	return e.exited
}

// restart waits until the process has exited and for the given delay, and then starts it again
// unless another fault has already done so.
func (e *entry) restart(exited <-chan struct{}, delay time.Duration) {
	<-exited
	time.Sleep(delay)
	e.mu.Lock()
	restarted := e.exited != exited
	e.mu.Unlock()
	if restarted {
		return
	}
	if err := e.start(); err != nil {
		e.harness.checker.addViolation("entry %d not started: %v", e.number, err)
	}
}

// isReady queries the entry's readiness endpoint, as the platform does.
func (e *entry) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + e.readyAddr() + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
