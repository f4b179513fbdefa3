// Package spooler implements a non-blocking asynchronous log writer. Lines are
// buffered in a bounded queue and rate-limited in bytes per second; lines that exceed
// either bound are dropped and counted. Important lines, on failures and state
// changes, may use the whole queue and rate, routine lines only a part of them.
package spooler

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Options are the bounds of a spooler.
type Options struct {
	QueueLines     int
	BytesPerSecond int
	// RoutinePercent is the percentage of the queue and the rate that routine lines may use.
	RoutinePercent int
}

// DefaultOptions returns the bounds for entries: about a thousand lines of 60 bytes per
// second, a small part of the bandwidth of an instance's network link.
func DefaultOptions() Options {
	return Options{QueueLines: 1024, BytesPerSecond: 64 << 10, RoutinePercent: 75}
}

// Spooler writes lines in the background.
type Spooler struct {
	opts            Options
	out             io.Writer
	lines           chan []byte
	stop            chan struct{}
	once            sync.Once
	done            chan struct{}
	dropped         atomic.Int64
	droppedReported int64 // dropped lines already reported in the log; accessed only by the goroutine of New

	mu     sync.Mutex
	second int64
	spent  int
}

// New returns a spooler that writes to out until Close.
func New(opts Options, out io.Writer) *Spooler {
	s := &Spooler{
		opts: opts, out: out, lines: make(chan []byte, opts.QueueLines), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		for {
			select {
			case line := <-s.lines:
				s.write(line)
			case <-s.stop:
				s.drain()
				s.reportDropped()
				return
			}
			if len(s.lines) == 0 {
				s.reportDropped()
			}
		}
	}()
	return s
}

// reportDropped logs the number of lines dropped since its last report.
func (s *Spooler) reportDropped() {
	n := s.dropped.Load()
	if n == s.droppedReported {
		return
	}
	s.write(fmt.Appendf(nil, `{"@level":"warn","@message":"log lines dropped","count":%d}`+"\n", n-s.droppedReported))
	s.droppedReported = n
}

// write writes a line to the output. Errors of the log output cannot be logged, so
// such a line counts as dropped.
func (s *Spooler) write(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		s.dropped.Add(1)
	}
}

func (s *Spooler) drain() {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		default:
			return
		}
	}
}

// closeTimeout is the time that Close waits for an output that blocks.
const closeTimeout = 200 * time.Millisecond

// Close flushes the queue and stops. It gives up after closeTimeout if the output blocks.
func (s *Spooler) Close() {
	s.once.Do(func() { close(s.stop) })
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}

// Dropped returns the number of dropped lines.
func (s *Spooler) Dropped() int64 { return s.dropped.Load() }

// Routine returns a writer for low-priority lines, which are dropped first.
func (s *Spooler) Routine() io.Writer { return writer{s, s.opts.RoutinePercent} }

// Important returns a writer for lines on failures and state changes.
func (s *Spooler) Important() io.Writer { return writer{s, 100} }

type writer struct {
	s       *Spooler
	percent int
}

// Write enqueues a copy of a line or drops it. It never blocks and never returns an
// error.
func (w writer) Write(p []byte) (int, error) {
	if !w.s.reserveBudget(len(p), w.percent) || len(w.s.lines) >= w.s.opts.QueueLines*w.percent/100 {
		w.s.dropped.Add(1)
		return len(p), nil
	}
	select {
	case w.s.lines <- append([]byte(nil), p...):
	default:
		w.s.dropped.Add(1)
	}
	return len(p), nil
}

// reserveBudget reserves n bytes of the current second's budget and reports whether
// they fit in.
func (s *Spooler) reserveBudget(n, percent int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second, s.spent = now, 0
	}
	if s.spent+n > s.opts.BytesPerSecond*percent/100 {
		return false
	}
	s.spent += n
	return true
}
