package dispatcher

import (
	"bytes"
	"context"
	"io"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill/decide/appraiser"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// maxEventBytes bounds an event of a stream.
const maxEventBytes = 1 << 20

// readSize is the size of a read from a stream in bytes; an event is some hundred.
const readSize = 2 << 10

// stream forwards whole events as they come, so that a stream that breaks off can
// go on at another upstream after the last one.
func (t *try) stream(ctx context.Context, a *Answer, timer *giveUpTimer) (next, string) {
	if !a.Genuine {
		t.runs++
		timer.stop()
		a.Close(false)
		return t.conclude(appraiser.End{Kind: appraiser.Foreign}, "stream is not the upstream's", "stream is not the upstream's")
	}
	f := &forward{try: t, answer: a, timer: timer}
	err := f.copy()
	t.runs++
	a.Close(err == nil)
	e := appraiser.End{Kind: appraiser.BrokenOff, CallerLeft: f.gone || callerLeft(ctx), Ended: ctx.Err() != nil}
	switch {
	case err == nil:
		t.answered()
		t.conclude(appraiser.End{Kind: appraiser.Answered}, "streamed", "", "events", f.events, "first", f.first)
		t.d.meter.Ended(t.route.Kind, "good", t.d.clock.Now()-t.call.Arrived)
		if err := t.reply.End(); err != nil {
			t.d.log.Info("end not delivered", "request", t.call.ID, "error", err)
		}
		return done, ""
	case e.CallerLeft:
		return t.conclude(e, "caller left", "caller left", "events", f.events)
	}
	if f.events == 0 {
		e.Kind = appraiser.Unbegun
	}
	return t.conclude(e, "stream broke off", "stream broke off", "events", f.events, "error", err, "cause", context.Cause(ctx))
}

// forward copies the events of one answer to the caller.
type forward struct {
	*try

	answer *Answer
	timer  *giveUpTimer
	events int
	gone   bool // the caller cannot be written to
}

// copy forwards until the stream ends, which yields nil, or breaks.
func (f *forward) copy() error {
	var pending []byte
	buf := make([]byte, readSize)
	for {
		n, err := f.answer.Body.Read(buf)
		// What was pending holds no end, but perhaps the begin of one.
		seen := max(len(pending)-longestEventEnd+1, 0)
		pending = append(pending, buf[:n]...)
		if end := lastEventEnd(pending[seen:]); end > 0 {
			end += seen
			if werr := f.deliver(pending[:end]); werr != nil {
				f.gone = true
				return werr
			}
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case err == io.EOF:
			return f.rest(pending)
		case err != nil:
			return err
		case len(pending) > maxEventBytes:
			return errors.Errorf("event is longer than %d bytes", maxEventBytes)
		}
	}
}

// rest delivers what stands behind the last whole event of a stream that ended.
func (f *forward) rest(b []byte) error {
	if len(b) == 0 && f.begun {
		return nil
	}
	if err := f.deliver(b); err != nil {
		f.gone = true
		return err
	}
	return nil
}

// deliver sends whole events to the caller.
func (f *forward) deliver(b []byte) error {
	if f.events == 0 {
		f.timer.stop()
		f.first = max(f.d.clock.Now()-f.began, 1)
		f.record(false, f.first)
		f.count()
		f.d.meter.Began(f.d.clock.Now() - f.call.Arrived)
		f.d.Registrar(func(r *registrar.Registrar) { r.Began(f.choice.Replica.Name, f.prefill) })
		f.prefill = 0
	}
	if !f.begun {
		if err := f.reply.Begin(f.answer.Status, f.answer.Header); err != nil {
			return err
		}
		f.begun = true
	}
	if len(b) == 0 {
		return nil
	}
	if err := f.reply.Write(b); err != nil {
		return err
	}
	f.events += bytes.Count(b, []byte("\n\n"))
	if id, ok := lastID(b); ok {
		f.after = id
	}
	return nil
}

// longestEventEnd is the length of the longest end of an event.
const longestEventEnd = len("\r\n\r\n")

// lastEventEnd returns the length of the whole events at the start of b. An event
// ends with an empty line (WHATWG HTML, server-sent events).
func lastEventEnd(b []byte) int {
	end := 0
	for _, mark := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(b, []byte(mark)); i >= 0 {
			end = max(end, i+len(mark))
		}
	}
	return end
}

// lastID returns the id of the last event in b that has one.
func lastID(b []byte) (string, bool) {
	field := []byte("id:")
	for end := len(b); end > 0; {
		i := bytes.LastIndex(b[:end], field)
		if i < 0 {
			return "", false
		}
		if i == 0 || b[i-1] == '\n' {
			line := b[i+len(field):]
			if j := bytes.IndexAny(line, "\r\n"); j >= 0 {
				line = line[:j]
			}
			return string(bytes.TrimPrefix(line, []byte(" "))), true
		}
		end = i
	}
	return "", false
}
