package spooler_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"sequoiasill.dev/sequoiasill/relay/spooler"
)

// sink is an output that can block.
type sink struct {
	mu    sync.Mutex
	block chan struct{}
	buf   bytes.Buffer
}

func (s *sink) Write(p []byte) (int, error) {
	if s.block != nil {
		<-s.block
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func (s *sink) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.String()
}

func write(t *testing.T, w io.Writer, line string) {
	t.Helper()
	if n, err := io.WriteString(w, line); n != len(line) || err != nil {
		t.Fatalf("wrote %d bytes, error %v", n, err)
	}
}

// An output that blocks does not block writers, and the number of dropped lines is
// logged.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	out := &sink{block: make(chan struct{})}
	opts := spooler.DefaultOptions()
	opts.QueueLines = 8
	s := spooler.New(opts, out)
	start := time.Now()
	for range 1000 {
		write(t, s.Routine(), "routine\n")
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("writing took %s while the output was blocked", took)
	}
	if s.Dropped() < 900 {
		t.Errorf("%d lines dropped of 1000 with a queue of 8", s.Dropped())
	}
	write(t, s.Important(), "important\n")
	close(out.block)
	s.Close()
	if text := out.text(); !strings.Contains(text, "important") || !strings.Contains(text, "log lines dropped") {
		t.Errorf("output lacks the important line or the count of those dropped:\n%s", text)
	}
}

func TestBudget(t *testing.T) {
	out := &sink{}
	opts := spooler.DefaultOptions()
	opts.BytesPerSecond = 1000
	s := spooler.New(opts, out)
	line := strings.Repeat("x", 99) + "\n"
	for range 100 {
		write(t, s.Routine(), line)
	}
	for range 2 {
		write(t, s.Important(), line)
	}
	s.Close()
	// The budget is renewed if a second ends in between.
	if n := strings.Count(out.text(), line); n < 9 || n > 20 {
		t.Errorf("%d lines of 100 bytes left with 1,000 bytes a second", n)
	}
}
