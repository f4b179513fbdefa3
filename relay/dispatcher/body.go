package dispatcher

import (
	"bytes"
	"context"
	"io"

	"github.com/juju/errors"
)

// bodyChunk is the number of bytes that are read from a response between two checks of the
// limits.
const bodyChunk = 16 << 10

// errTooLong is the error of a response of which this entry reads no more.
const errTooLong = errors.ConstError("response is too long")

// readBody reads a response to its end. Its bytes count towards the shared buffer until
// release is called.
func (d *Dispatcher) readBody(body io.Reader) (b []byte, release func(), err error) {
	var buf bytes.Buffer
	release = func() { d.bufferedBytes.Add(-int64(buf.Len())) }
	for {
		n, err := io.CopyN(&buf, body, bodyChunk)
		total := d.bufferedBytes.Add(n)
		switch {
		case errors.Is(err, io.EOF):
			return buf.Bytes(), release, nil
		case err != nil:
			return buf.Bytes(), release, err
		case buf.Len() > d.opts.MaxResponseBytes:
			return nil, release, errors.Annotatef(errTooLong, "answer is longer than %d bytes", d.opts.MaxResponseBytes)
		case buf.Len() > d.opts.SmallResponseBytes && total > int64(d.opts.MaxBufferedBytes):
			return nil, release, errors.Annotatef(errTooLong, "answers of %d bytes are held already", total)
		}
	}
}

// complete reports whether a response whose body was read to its end is complete. One without framing
// may have been broken off by the end of its upstream.
func (r *Response) complete(ctx context.Context) error {
	if !r.UntilClose || r.Outlived == nil {
		return nil
	}
	r.Close(true)
	return r.Outlived(ctx)
}

// readRefusal reads the body of a refusal, so that its connection can be reused. It returns
// false if the body is interrupted or longer than maxRefusalBytes.
func readRefusal(body io.Reader) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxRefusalBytes+1))
	return err == nil && n <= maxRefusalBytes
}
