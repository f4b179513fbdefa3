package dispatcher

import (
	"bytes"
	"context"
	"io"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
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
	e := classifier.End{Kind: classifier.Truncated, CallerDisconnected: f.writeFailed || callerDisconnected(ctx), Shutdown: endedByShutdown(ctx), EndedHere: ctx.Err() != nil || errors.Is(err, errTooLong), ClosedByUpstream: isClose(err)}
	switch {
	case err == nil:
		t.clearSuspicion()
		t.d.requests.RecordServed(t.requestPart())
		t.recordDuration()
		t.conclude(classifier.End{Kind: classifier.Succeeded}, "streamed", "", "events", f.delivered, "first", f.timeToFirstEvent)
		t.d.meter.CallEnded(t.route.Kind, "good", t.d.clock.Now()-t.call.ArrivedAt)
		if err := t.reply.End(); err != nil {
			t.d.recordNotDelivered(t.job, err)
		}
		return done, ""
	case e.CallerDisconnected:
		return t.conclude(e, "caller left", "caller left", "events", f.delivered)
	}
	switch {
	case errors.Is(err, errNotResumed):
		e.Kind = classifier.UnexpectedResponse
	case f.delivered == 0:
		e.Kind = classifier.EmptyStream
	}
	return t.conclude(e, "stream broke off", "stream broke off", "events", f.delivered, "error", err, "cause", context.Cause(ctx))
}

// forwarder copies the events of one response to the caller.
type forwarder struct {
	*try

	response  *Response
	timer     *attemptTimer
	delivered int  // events
	joined    bool // the response follows the events of earlier ones
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
			if err := f.checkJoint(pending[:end]); err != nil {
				return err
			}
			if werr := f.deliver(pending[:end]); werr != nil {
				f.writeFailed = true
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
			return errors.Annotatef(errTooLong, "event is longer than %d bytes", maxEventBytes)
		}
	}
}

// end handles the end of the stream, with the bytes after its last complete event. A stream that
// ends inside an event broke off, and so did one that ended with its connection before its first
// event or with its upstream. One that is resumed after its last event, by this entry, by the one that relayed
// the call or by the caller, has no more events. A stream without events is delivered as a header.
func (f *forwarder) end(ctx context.Context, rest []byte) error {
	if len(rest) > 0 || f.delivered == 0 && f.response.UntilClose && !f.resumed() {
		return io.ErrUnexpectedEOF
	}
	if err := f.response.complete(ctx); err != nil {
		return err
	}
	if f.headerSent {
		return nil
	}
	if err := f.deliver(nil); err != nil {
		f.writeFailed = true
		return err
	}
	return nil
}

// resumed reports whether the caller has received the start of the stream, from this response or an earlier one.
func (f *forwarder) resumed() bool { return f.headerSent || f.events.last != "" }

// errNotResumed is the error of a stream that does not go on after the last event that was delivered.
var errNotResumed = errors.New("stream does not go on after the last event")

// checkJoint checks that the first event of the response with an ID goes on after the events of
// earlier ones.
func (f *forwarder) checkJoint(events []byte) error {
	if f.joined {
		return nil
	}
	for id := range eventIDs(events) {
		if !f.events.isNext(id) {
			return errors.Annotatef(errNotResumed, "event %q after %q", id, f.events.last)
		}
		f.joined = true
		break
	}
	return nil
}

// deliver sends complete events to the caller.
func (f *forwarder) deliver(b []byte) error {
	if f.delivered == 0 {
		f.timer.stop()
		f.timeToFirstEvent = max(f.d.clock.Now()-f.started, 1)
		f.recordForMove(sequoiasill.VersionServed, f.timeToFirstEvent)
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
		f.streaming.Store(true)
	}
	if len(b) == 0 {
		return nil
	}
	if err := f.reply.Write(b); err != nil {
		return err
	}
	f.delivered += bytes.Count(b, []byte("\n\n"))
	for id := range eventIDs(b) {
		f.events.record(id)
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
