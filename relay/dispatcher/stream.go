package dispatcher

import (
	"bytes"
	"context"
	"io"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill/decide/classifier"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// maxEventBytes limits the size of an event in a stream.
const maxEventBytes = 1 << 20

// readSize is the size of a read from a stream in bytes. An event has a few hundred.
const readSize = 2 << 10

// deliverStream forwards only complete events, so that another upstream can resume an
// interrupted stream after the last one.
func (t *try) deliverStream(ctx context.Context, a *Response, timer *attemptTimer) (nextStep, string) {
	if !a.Authentic {
		t.runs++
		timer.stop()
		a.Close(false)
		return t.conclude(classifier.End{Kind: classifier.UnexpectedResponse}, "stream is not the upstream's", "stream is not the upstream's")
	}
	f := &forwarder{try: t, response: a, timer: timer}
	err := f.copy(ctx)
	t.countRun(a)
	a.Close(err == nil)
	e := classifier.End{Kind: classifier.Truncated, CallerDisconnected: f.callerGone || callerDisconnected(ctx), EndedHere: ctx.Err() != nil}
	switch {
	case err == nil:
		t.clearSuspicion()
		t.conclude(classifier.End{Kind: classifier.Succeeded}, "streamed", "", "events", f.events, "first", f.timeToFirstEvent)
		t.d.meter.CallEnded(t.route.Kind, "good", t.d.clock.Now()-t.call.ArrivedAt)
		if err := t.reply.End(); err != nil {
			t.d.log.Info("end of stream not delivered", "request", t.call.ID, "error", err)
		}
		return done, ""
	case e.CallerDisconnected:
		return t.conclude(e, "caller left", "caller left", "events", f.events)
	}
	if f.events == 0 {
		e.Kind = classifier.EmptyStream
	}
	return t.conclude(e, "stream broke off", "stream broke off", "events", f.events, "error", err, "cause", context.Cause(ctx))
}

// forwarder copies the events of one response to the caller.
type forwarder struct {
	*try

	response   *Response
	timer      *attemptTimer
	events     int
	callerGone bool // a write to the caller failed
}

// copy forwards events until the stream ends, which yields nil, or fails.
func (f *forwarder) copy(ctx context.Context) error {
	var pending []byte
	buf := make([]byte, readSize)
	for {
		n, err := f.response.Body.Read(buf)
		// The pending bytes hold no complete terminator, but may end with the start of one.
		scanned := max(len(pending)-maxTerminatorLen+1, 0)
		pending = append(pending, buf[:n]...)
		if end := completeEventsLen(pending[scanned:]); end > 0 {
			end += scanned
			if werr := f.deliver(pending[:end]); werr != nil {
				f.callerGone = true
				return werr
			}
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case err == io.EOF:
			return f.end(ctx, pending)
		case err != nil:
			return err
		case len(pending) > maxEventBytes:
			return errors.Errorf("event is longer than %d bytes", maxEventBytes)
		}
	}
}

// end handles the end of the stream, with the bytes after its last complete event. A stream that
// ends inside an event broke off, and so did one that ended with its connection before its first
// event or with its upstream. A stream without events is delivered as a header.
func (f *forwarder) end(ctx context.Context, rest []byte) error {
	if len(rest) > 0 || f.events == 0 && f.response.UntilClose {
		return io.ErrUnexpectedEOF
	}
	if err := f.response.complete(ctx); err != nil {
		return err
	}
	if f.headerSent {
		return nil
	}
	if err := f.deliver(nil); err != nil {
		f.callerGone = true
		return err
	}
	return nil
}

// deliver sends complete events to the caller.
func (f *forwarder) deliver(b []byte) error {
	if f.events == 0 {
		f.timer.stop()
		f.timeToFirstEvent = max(f.d.clock.Now()-f.started, 1)
		f.recordForMove(false, f.timeToFirstEvent)
		f.countUsage()
		f.d.meter.FirstEvent(f.d.clock.Now() - f.call.ArrivedAt)
		if len(b) > 0 {
			f.d.screener.RecordServed(f.parts)
		}
		f.d.WithRegistrar(func(r *registrar.Registrar) { r.FirstEvent(f.choice.Replica.Name, f.prefill) })
		f.prefill = 0
	}
	f.recordProgress()
	if !f.headerSent {
		if err := f.reply.Begin(f.response.Status, f.response.Header); err != nil {
			return err
		}
		f.headerSent = true
	}
	if len(b) == 0 {
		return nil
	}
	if err := f.reply.Write(b); err != nil {
		return err
	}
	f.events += bytes.Count(b, []byte("\n\n"))
	if id, ok := lastEventID(b); ok {
		f.lastEvent = id
	}
	return nil
}

// maxTerminatorLen is the length of the longest terminator of an event.
const maxTerminatorLen = len("\r\n\r\n")

// completeEventsLen returns the length of the complete events at the start of b. An event is
// terminated by an empty line (WHATWG HTML, server-sent events).
func completeEventsLen(b []byte) int {
	end := 0
	for _, terminator := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(b, []byte(terminator)); i >= 0 {
			end = max(end, i+len(terminator))
		}
	}
	return end
}

// lastEventID returns the ID of the last event in b that has one.
func lastEventID(b []byte) (string, bool) {
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
