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

// Ports of every entry; each has an IP number of its own on the loopback network.
const (
	portCallers = 18360
	portReady   = 18365
	portPeers   = 18500
)

// drainBound is the time in which upstreams that leave may still get calls, as the
// settings of the entries name it.
const drainBound = 2 * sequoiasill.Second

// entry is a process of the real program.
type entry struct {
	world  *World
	number int
	store  *proxy // its way to the platform's store

	mu       sync.Mutex
	process  *os.Process
	ended    chan struct{} // closed when the process is gone
	stopping bool          // it was asked to stop
}

// name is that of the instance.
func (e *entry) name() string { return fmt.Sprintf("e%d", e.number) }

func (e *entry) ip() string      { return fmt.Sprintf("127.%d.1.%d", e.world.network, e.number+1) }
func (e *entry) callers() string { return fmt.Sprintf("%s:%d", e.ip(), portCallers) }
func (e *entry) ready() string   { return fmt.Sprintf("%s:%d", e.ip(), portReady) }

// settings returns the file that the platform writes for the entry.
func (e *entry) settings() string {
	seeds := ""
	for i := range min(len(e.world.entries), 3) {
		seeds += fmt.Sprintf("%q,", fmt.Sprintf("%s:1", e.world.entries[i].ip()))
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
graceS = 6
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
`, e.name(), e.ip(), portPeers, portPeers+1, seeds, e.callers(), e.ready(), int64(drainBound), int64(leaseBound), e.world.opts.Repeats.Ratio, e.world.opts.Repeats.Slack,
		e.world.opts.Repeats.Window.Seconds(), e.world.opts.fenced(), e.store.listener.Addr(), e.store.listener.Addr())
}

// start starts the process. Its output goes to a file of its own.
func (e *entry) start() error {
	dir := e.world.opts.Dir
	path := filepath.Join(dir, fmt.Sprintf("e%d.toml", e.number))
	if err := os.WriteFile(path, []byte(e.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(dir, fmt.Sprintf("e%d.log", e.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(e.world.opts.Binary, "--settings", path)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	ended := make(chan struct{})
	e.mu.Lock()
	e.process, e.ended, e.stopping = cmd.Process, ended, false
	e.mu.Unlock()
	e.world.judge.disturb(e)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		e.mu.Lock()
		if e.stopping && err != nil && err.Error() != "signal: killed" {
			e.world.judge.broken("entry %d was asked to stop and ended with %v", e.number, err)
		}
		e.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process if it runs, and returns a channel that is closed
// when that process is gone. One that is ready has to end cleanly when it is asked to
// stop; one that has just been started may not have reached its first instruction.
func (e *entry) signal(s syscall.Signal) (gone <-chan struct{}) {
	clean := s == syscall.SIGTERM && e.isReady()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopping = e.stopping || clean
	if s != syscall.SIGHUP {
		e.world.judge.disturb(e)
	}
	// A process that has ended meanwhile needs no signal.
	_ = e.process.Signal(s)
	return e.ended
}

// restart starts a process again a while after it is gone, unless another fault has
// done so.
func (e *entry) restart(gone <-chan struct{}, after time.Duration) {
	<-gone
	time.Sleep(after)
	e.mu.Lock()
	restarted := e.ended != gone
	e.mu.Unlock()
	if restarted {
		return
	}
	if err := e.start(); err != nil {
		e.world.judge.broken("entry %d not started: %v", e.number, err)
	}
}

// isReady asks the entry as the platform does.
func (e *entry) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + e.ready() + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
