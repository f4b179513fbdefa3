package dispatcher

import (
	"bytes"
	"io"

	"github.com/juju/errors"
)

// bodyStep is how many bytes of an answer are read before the bounds are looked at.
const bodyStep = 16 << 10

// readBody reads an answer to its end. What it holds counts until free is called.
func (d *Dispatcher) readBody(body io.Reader) (b []byte, free func(), err error) {
	var buf bytes.Buffer
	free = func() { d.buffered.Add(-int64(buf.Len())) }
	for {
		n, err := io.CopyN(&buf, body, bodyStep)
		all := d.buffered.Add(n)
		switch {
		case errors.Is(err, io.EOF):
			return buf.Bytes(), free, nil
		case err != nil:
			return buf.Bytes(), free, err
		case buf.Len() > d.opts.AnswerBytes:
			return nil, free, errors.Errorf("answer is longer than %d bytes", d.opts.AnswerBytes)
		case buf.Len() > d.opts.SmallAnswer && all > int64(d.opts.BufferBytes):
			return nil, free, errors.Errorf("answers of %d bytes are held already", all)
		}
	}
}

// readRefusal reads the short body of a refusal, so that its connection can serve on. It
// returns false if the body breaks off or is not short.
func readRefusal(body io.Reader) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxRefusalBytes+1))
	return err == nil && n <= maxRefusalBytes
}
