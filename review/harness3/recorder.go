package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a case, with the seconds since its start.
type recorder struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	buf  *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f, buf: bufio.NewWriter(f)}, nil
}

// printf writes one line.
func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.buf, "%9.3f  ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.buf, format, args...)
	r.buf.WriteByte('\n')
}

// close writes what is buffered.
func (r *recorder) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.buf.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
