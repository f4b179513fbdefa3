package connector

import (
	"io"

	"github.com/juju/errors"
)

// errHeaderTooLong is the error for a response header above MaxHeaderBytes.
const errHeaderTooLong = errors.ConstError("response header is too long")

// boundedReader reads from a connection, and limits the number of bytes while a header is
// expected: parsers buffer a line up to its end, however long it is. Meanwhile it records what it reads.
type boundedReader struct {
	source    io.Reader
	remaining int
	bounded   bool
	recorded  []byte
}

// bound limits the number of bytes until unbound is called.
func (b *boundedReader) bound(n int) { b.remaining, b.bounded = n, true }

func (b *boundedReader) unbound() { b.bounded, b.recorded = false, nil }

// record starts a new record with bytes that were read before.
func (b *boundedReader) record(earlier []byte) { b.recorded = append(b.recorded[:0], earlier...) }

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if !b.bounded {
		return b.source.Read(p)
	}
	if b.remaining <= 0 {
		return 0, errHeaderTooLong
	}
	n, err := b.source.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	b.recorded = append(b.recorded, p[:n]...)
	return n, err
}
