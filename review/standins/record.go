package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	started time.Time

	mu  sync.Mutex
	out *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), out: bufio.NewWriter(f)}, nil
}

// add writes a line with pairs of names and values.
func (r *record) add(what string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.3f %s", time.Since(r.started).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		_, _ = fmt.Fprintf(r.out, " %v=%v", pairs[i], pairs[i+1])
	}
	_ = r.out.WriteByte('\n')
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	fmt.Println(line)
	r.add("note: " + line)
}

func (r *record) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
}
