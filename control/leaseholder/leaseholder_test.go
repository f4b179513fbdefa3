package leaseholder_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/control/leaseholder"
	"sequoiasill.dev/sequoiasill/decide/leaser"
)

// oddStore holds a lease that cannot be decoded.
type oddStore struct {
	mu    sync.Mutex
	reads int
}

func (s *oddStore) Read(string) (value []byte, version uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return []byte(strings.Repeat("[", 20000)), 7, nil
}

func (s *oddStore) Write(string, []byte, uint64) (uint64, error) {
	return 0, leaseholder.ErrConflict
}

func (s *oddStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// A lease that nobody can take must not go unnoticed, as it ends all duties.
func TestUnreadableLeaseIsReportedOnce(t *testing.T) {
	var out bytes.Buffer
	s := &oddStore{}
	opts := leaser.DefaultOptions()
	opts.PollInterval = 40
	h := leaseholder.New(s, "duties", "e1", opts, sequoiasill.NewSystemClock(), hclog.New(&hclog.LoggerOptions{Output: &out}))
	deadline := time.Now().Add(10 * time.Second)
	for s.readCount() < 3 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	if _, ok := h.MayAct(); ok {
		t.Error("the lease is held")
	}
	h.Abandon()
	if n := strings.Count(out.String(), "lease cannot be decoded"); n != 1 {
		t.Errorf("reported %d times after %d reads; want 1", n, s.readCount())
	}
}
