package soaker

import (
	"fmt"
	"net"
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

// Guards against calls to entries that an aborted run left behind.
func TestNetworkOfEntriesThatStillRunIsNotReserved(t *testing.T) {
	reserve := func() string {
		h := &Harness{opts: Options{Seed: 7, Entries: 2}}
		l, err := h.reserveNetwork()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		return h.entryIP(1)
	}
	left := reserve()
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", left, frontendPort))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if got := reserve(); got == left {
		t.Errorf("reserved the network of %s, which is in use", got)
	}
}
