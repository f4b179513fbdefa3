// Package drainer waits with a timeout for work in progress.
package drainer

import (
	"sync"
	"time"

	"sequoiasill.dev/sequoiasill"
)

// Wait waits until the group is done or the timeout expires. It reports whether the
// group is done.
func Wait(group *sync.WaitGroup, timeout sequoiasill.Millis) bool {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(timeout.Duration()):
		return false
	}
}
