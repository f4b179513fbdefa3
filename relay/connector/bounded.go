package connector

import (
	"io"

	"github.com/juju/errors"
)

// errHeaderTooLong is the error for a response header above MaxHeaderBytes.
const errHeaderTooLong = errors.ConstError("response header is too long")

// boundedReader reads from a connection, and limits the number of bytes while a header is
// expected: parsers buffer a line up to its end, however long it is.
type boundedReader struct {
	source    io.Reader
	remaining int
	bounded   bool
}

// bound limits the number of bytes until unbound is called.
func (b *boundedReader) bound(n int) { b.remaining, b.bounded = n, true }

func (b *boundedReader) unbound() { b.bounded = false }

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
	return n, err
}
