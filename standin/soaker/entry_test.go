package soaker

import (
	"os/exec"
	"testing"
	"time"
)

// A restart ends when another fault has already started the process again (seen with
// seed 5002: all entries were killed while one was being restarted, and the restart
// waited for the end of the new process for ever).
func TestRestartOfARestartedProcess(t *testing.T) {
	killed, running := make(chan struct{}), make(chan struct{})
	close(killed)
	e := &entry{ended: running, process: exec.Command("true").Process}
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.restart(killed, 0)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the restart waits for the process that runs")
	}
	if e.ended != running {
		t.Error("another process was started")
	}
}
