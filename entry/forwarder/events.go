package forwarder

import (
	"bufio"
	"bytes"
	"strconv"

	"github.com/juju/errors"
	"github.com/valyala/fastjson"

	"sequoiasill.dev/sequoiasill"
)

// Event is one server-sent event of a model engine.
type Event struct {
	ID           int // number of tokens up to and including this one, zero if the event has no ID
	Text         string
	FinishReason string // finish reason, empty before the last token
	Done         bool   // end-of-stream marker
}

var (
	fieldID   = []byte("id:")
	fieldData = []byte("data:")
	doneMark  = []byte("[DONE]")
)

// Next returns the next event. A stream that ends without the end-of-stream marker
// is an error.
func (s *Stream) Next() (Event, *AttemptError) {
	var ev Event
	hasData := false
	for {
		line, err := s.readLine()
		if err != nil {
			return Event{}, &AttemptError{Verdict: sequoiasill.MayHaveRun, Err: errors.Annotate(err, "read event stream")}
		}
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case len(line) == 0 && hasData:
			return ev, nil
		case bytes.HasPrefix(line, fieldID):
			ev.ID, _ = strconv.Atoi(string(bytes.TrimSpace(line[len(fieldID):])))
		case bytes.HasPrefix(line, fieldData):
			hasData = true
			if err := ev.decode(&s.parser, bytes.TrimSpace(line[len(fieldData):])); err != nil {
				return Event{}, &AttemptError{Verdict: sequoiasill.MayHaveRun, Err: err}
			}
		}
	}
}

// maxLineBytes bounds the length of a line in a stream. A longer line is an error.
const maxLineBytes = 1 << 20

// readLine returns the next line. The slice is valid until the next call.
func (s *Stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) && len(long) < maxLineBytes {
		line, err = s.reader.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}

func (e *Event) decode(parser *fastjson.Parser, data []byte) error {
	if bytes.Equal(data, doneMark) {
		e.Done = true
		return nil
	}
	v, err := parser.ParseBytes(data)
	if err != nil {
		return errors.Annotate(err, "decode event")
	}
	choice := v.Get("choices", "0")
	if choice == nil {
		return errors.New("decode event: no choice")
	}
	e.Text = string(choice.GetStringBytes("delta", "content"))
	e.FinishReason = string(choice.GetStringBytes("finish_reason"))
	return nil
}
