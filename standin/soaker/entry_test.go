package soaker

import (
	"os/exec"
	"testing"
	"time"
)

// Checks that a restart returns if another fault has already restarted the process. With seed
// 5002 all entries were killed while one was being restarted, and the restart waited for ever
// for the exit of the new process.
func TestRestartOfRestartedProcess(t *testing.T) {
	exited, running := make(chan struct{}), make(chan struct{})
	close(exited)
	e := &entry{exited: running, process: exec.Command("true").Process}
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.restart(exited, 0)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the restart waits for the exit of the running process")
	}
	if e.exited != running {
		t.Error("another process was started")
	}
}
