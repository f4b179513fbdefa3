package handlers

import (
	"bufio"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/entry/generator"
)

// Estimates and defaults for requests to model services.
const (
	charsPerToken          = 4
	defaultMaxTokens       = 256
	expectedTokenInterval  = 20 * sequoiasill.Millis(1)
	expectedFirstTokenTime = 200 * sequoiasill.Millis(1)
	quickTimeout           = 30 * sequoiasill.Second
	reconnectDelayMillis   = 200 // sent in the retry field of server-sent events
)

type wireCompletion struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Stream    bool `json:"stream"`
	MaxTokens int  `json:"max_tokens"`
}

// complete handles POST /v1/chat/completions.
func (c *CallerAPI) complete(ctx *fasthttp.RequestCtx, org sequoiasill.Organisation) {
	if lastEventID := string(ctx.Request.Header.Peek("Last-Event-ID")); lastEventID != "" {
		c.reconnect(ctx, org, lastEventID)
		return
	}
	if failure := c.refuseIfClosing(); failure != nil {
		c.fail(ctx, "", failure)
		return
	}
	job, failure := c.parseJob(ctx, org)
	if failure != nil {
		c.fail(ctx, "", failure)
		return
	}
	gen, failure := c.generator.Start(job, expectedServiceTime(job.Request))
	if failure != nil {
		c.fail(ctx, job.Request.ID, failure)
		return
	}
	c.respond(ctx, gen, job.Stream, 0)
}

func expectedServiceTime(r sequoiasill.Request) sequoiasill.Millis {
	return expectedFirstTokenTime + sequoiasill.Millis(r.OutputTokens)*expectedTokenInterval
}

func (c *CallerAPI) parseJob(ctx *fasthttp.RequestCtx, org sequoiasill.Organisation) (generator.Job, *sequoiasill.Failure) {
	var w wireCompletion
	body := append([]byte(nil), ctx.PostBody()...)
	if err := json.Unmarshal(body, &w); err != nil {
		return generator.Job{}, malformed("the body is not a chat completion request: " + err.Error())
	}
	if w.Model == "" || len(w.Messages) == 0 || w.MaxTokens < 0 {
		return generator.Job{}, malformed("model, messages and a max_tokens that is not negative are needed")
	}
	service, failure := c.authorisedService(org, w.Model, sequoiasill.Model)
	if failure != nil {
		return generator.Job{}, failure
	}
	class, failure := c.class(ctx, w)
	if failure != nil {
		return generator.Job{}, failure
	}
	maxTimeout := c.opts.DefaultDeadline
	if class == sequoiasill.Quick {
		maxTimeout = min(maxTimeout, quickTimeout)
	}
	deadline, failure := c.deadline(ctx, maxTimeout)
	if failure != nil {
		return generator.Job{}, failure
	}
	promptTokens := 0
	for _, m := range w.Messages {
		promptTokens += len(m.Content)/charsPerToken + 1
	}
	outputTokens := w.MaxTokens
	if outputTokens == 0 {
		outputTokens = defaultMaxTokens
	}
	req := sequoiasill.Request{
		ID: c.ids.next(), Organisation: org.Name, Service: service.Name, Class: class,
		PromptTokens: promptTokens, OutputTokens: outputTokens, Deadline: deadline,
		Digest: digest(org.Name, body), Prefix: xxhash.Sum64(w.Messages[0].Content),
	}
	return generator.Job{
		Request: req, Pool: service.Pool, Version: c.versions.Version(service, req.ID), Weight: org.Weight, Body: body, Stream: w.Stream,
	}, nil
}

func malformed(message string) *sequoiasill.Failure {
	return sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeMalformed, 400, "%s", message)
}

// class returns the class that the caller specified, or else derives it from the
// max length of the response.
func (c *CallerAPI) class(ctx *fasthttp.RequestCtx, w wireCompletion) (sequoiasill.Class, *sequoiasill.Failure) {
	if h := string(ctx.Request.Header.Peek("Sequoia-Class")); h != "" {
		class, ok := sequoiasill.ParseClass(h)
		if !ok {
			return class, malformed("Sequoia-Class must be quick or long")
		}
		return class, nil
	}
	if w.MaxTokens > 0 && w.MaxTokens <= c.opts.QuickTokens {
		return sequoiasill.Quick, nil
	}
	return sequoiasill.Long, nil
}

// respond sends a generation to the caller. A streamed response starts at a token
// offset.
func (c *CallerAPI) respond(ctx *fasthttp.RequestCtx, gen *generator.Generation, stream bool, offset int) {
	if stream {
		c.respondStream(ctx, gen, offset)
		return
	}
	c.respondWhole(ctx, gen)
}

// respondWhole sends the complete response once the generation has ended. If it was
// handed over to another entry, the caller is redirected to the request's URL.
func (c *CallerAPI) respondWhole(ctx *fasthttp.RequestCtx, gen *generator.Generation) {
	job := gen.Job()
	p := gen.Wait(c.clock.Now)
	id := job.Request.ID
	switch {
	case p.Moved:
		c.redirect(ctx, id)
	case p.Failure != nil:
		c.fail(ctx, id, p.Failure)
	default:
		ctx.SetContentType("application/json")
		ctx.SetBody(encodeCompletion(job, p))
		gen.MarkDelivered()
		c.setVerdict(ctx, id, sequoiasill.Ran)
	}
}

type wireResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []wireChoice `json:"choices"`
	Usage   wireUsage    `json:"usage"`
}

type wireChoice struct {
	Index        int         `json:"index"`
	Message      wireMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

type wireMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type wireUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func encodeCompletion(job generator.Job, p generator.Progress) []byte {
	finish := p.FinishReason
	if finish == "" {
		finish = "stop"
	}
	b, err := json.Marshal(wireResponse{
		ID: string(job.Request.ID), Object: "chat.completion", Model: job.Request.Service,
		Choices: []wireChoice{{
			Message:      wireMessage{Role: "assistant", Content: strings.Join(p.Tokens, "")},
			FinishReason: finish,
		}},
		Usage: wireUsage{
			PromptTokens: job.Request.PromptTokens, CompletionTokens: len(p.Tokens),
			TotalTokens: job.Request.PromptTokens + len(p.Tokens),
		},
	})
	if err != nil {
		return nil
	}
	return b
}

// respondStream sends server-sent events. An event's ID consists of the request's ID
// and the number of tokens up to the event, so that a caller can resume the stream
// with Last-Event-ID.
func (c *CallerAPI) respondStream(ctx *fasthttp.RequestCtx, gen *generator.Generation, offset int) {
	job := gen.Job()
	c.setVerdict(ctx, job.Request.ID, sequoiasill.Ran)
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	// Subscribes before the stream writer runs, so that the generator counts this
	// reader and doesn't abandon the generation.
	changed, unsubscribe := gen.Subscribe()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer func() { unsubscribe(c.clock.Now()) }()
		e := newEventWriter(w, job)
		e.writeRetry(reconnectDelayMillis)
		for {
			p := gen.From(offset)
			e.writeTokens(offset, p)
			offset += len(p.Tokens)
			if p.Ended() {
				e.writeEnd(p)
			}
			if e.flush() != nil {
				return
			}
			if p.Ended() {
				gen.MarkDelivered()
				return
			}
			<-changed
		}
	})
}

// eventWriter writes a generation as chat.completion.chunk events.
type eventWriter struct {
	w           *bufio.Writer
	id          string
	chunkPrefix []byte // JSON of each chunk up to the token
	buffer      []byte
}

func newEventWriter(w *bufio.Writer, job generator.Job) *eventWriter {
	id := string(job.Request.ID)
	chunkPrefix := `{"id":` + quote(id) + `,"object":"chat.completion.chunk","model":` + quote(job.Request.Service) +
		`,"choices":[{"index":0,"delta":{"content":`
	return &eventWriter{w: w, id: id, chunkPrefix: []byte(chunkPrefix)}
}

func quote(s string) string {
	b, err := json.Marshal(s)
	if err != nil {
		return `""`
	}
	return string(b)
}

func (e *eventWriter) writeRetry(millis int) {
	_, _ = e.w.WriteString("retry: " + strconv.Itoa(millis) + "\n\n")
}

func (e *eventWriter) writeTokens(offset int, p generator.Progress) {
	for i, text := range p.Tokens {
		finish := "null"
		if p.Done && p.Failure == nil && i == len(p.Tokens)-1 && p.FinishReason != "" {
			finish = quote(p.FinishReason)
		}
		b := e.buffer[:0]
		b = append(b, "id: "...)
		b = append(b, e.id...)
		b = append(b, ':')
		b = strconv.AppendInt(b, int64(offset+i+1), 10)
		b = append(b, "\ndata: "...)
		b = append(b, e.chunkPrefix...)
		b = append(b, quote(text)...)
		b = append(b, `},"finish_reason":`...)
		b = append(b, finish...)
		b = append(b, "}]}\n\n"...)
		_, _ = e.w.Write(b)
		e.buffer = b
	}
}

// writeEnd writes the end of the stream. The stream of a generation that moved to
// another entry ends without a marker, so that the caller reconnects.
func (e *eventWriter) writeEnd(p generator.Progress) {
	switch {
	case p.Moved:
	case p.Failure != nil:
		_, _ = e.w.WriteString("event: error\ndata: ")
		_, _ = e.w.Write(encodeFailure(sequoiasill.RequestID(e.id), p.Failure))
		_, _ = e.w.WriteString("\n\ndata: [DONE]\n\n")
	default:
		_, _ = e.w.WriteString("data: [DONE]\n\n")
	}
}

func (e *eventWriter) flush() error { return e.w.Flush() }
