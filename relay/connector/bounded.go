package connector

import (
	"io"

	"github.com/juju/errors"
)

// errHeadTooLong ends the reading of a head that does not end.
const errHeadTooLong = errors.ConstError("head of the answer is too long")

// boundedReader reads from a connection, a bounded number of bytes while a head is awaited:
// parsers hold a line until its end.
type boundedReader struct {
	from    io.Reader
	left    int
	bounded bool
}

// bound allows a number of bytes until unbound.
func (b *boundedReader) bound(n int) { b.left, b.bounded = n, true }

func (b *boundedReader) unbound() { b.bounded = false }

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if !b.bounded {
		return b.from.Read(p)
	}
	if b.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := b.from.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}
