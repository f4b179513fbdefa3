package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"sequoiasill.dev/sequoiasill/standin/answerer"
)

// charsPerToken is the approximate length of a prompt token in characters.
const charsPerToken = 4

// streamRetention is the time for which an ended stream can still be resumed.
const streamRetention = 30 * time.Second

// Message is one message of a prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt is the messages of a request.
type Prompt []Message

// ExpectedText returns the text that every engine generates for a prompt.
func ExpectedText(p Prompt, tokens int) string {
	hash, _, _ := parsePrompt(completionRequest{Messages: p})
	s := newSequence(hash, tokens, 0, 0)
	var b strings.Builder
	for i := range tokens {
		b.WriteString(s.token(i))
	}
	return b.String()
}

type completionRequest struct {
	Model     string `json:"model"`
	Messages  Prompt `json:"messages"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	Continue  bool   `json:"continue_final_message"`
}

func (e *Engine) routes() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/v1/chat/completions", e.complete)
	r.GET("/v1/streams/{id}", e.resume)
	r.DELETE("/v1/streams/{id}", e.cancel)
	r.GET("/v1/streams/{id}/kv", e.exportKV)
	r.PUT("/v1/streams/{id}/kv", e.importKV)
	r.GET("/v1/load", e.load)
	r.GET("/v1/cache/events", e.cacheEvents)
	r.POST("/v1/orders", e.order)
	r.PUT("/faults", e.putFaults)
	r.GET("/counts", func(ctx *fasthttp.RequestCtx) { answerer.JSON(ctx, e.Counts()) })
	return r.Handler
}

// refuse sends an error response whose verdict is that the request was not run.
func refuse(ctx *fasthttp.RequestCtx, status int, reason string) {
	ctx.Error(reason, status)
	ctx.Response.Header.Set("Sequoia-Verdict", "notRun")
}

// complete starts a generation and streams it.
func (e *Engine) complete(ctx *fasthttp.RequestCtx) {
	var req completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil || len(req.Messages) == 0 {
		refuse(ctx, fasthttp.StatusBadRequest, "malformed request")
		return
	}
	e.mu.Lock()
	f := e.faults
	e.counts.Requests++
	e.mu.Unlock()
	if f.Refuse {
		refuse(ctx, fasthttp.StatusServiceUnavailable, "leaving")
		return
	}
	if f.CrashOn != "" && strings.Contains(string(ctx.PostBody()), f.CrashOn) {
		e.crash()
		return
	}
	if e.shouldFail() {
		ctx.Error("engine failed", fasthttp.StatusInternalServerError)
		return
	}
	seq := e.admit(req)
	id := string(ctx.Request.Header.Peek("Sequoia-Stream-Id"))
	e.retain(id, seq)
	e.setStreamID(ctx, id)
	_, _, offset := parsePrompt(req)
	e.batch.add(seq)
	e.stream(ctx, seq, offset)
}

// crash kills the engine, as a poison request does.
func (e *Engine) crash() {
	if e.opts.Crash != nil {
		go e.opts.Crash()
	}
	e.Kill()
}

// setStreamID sets the response header that identifies the request. With
// Faults.CrossResponses it gives the previous request's ID.
func (e *Engine) setStreamID(ctx *fasthttp.RequestCtx, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	echoedID := id
	if e.faults.CrossResponses && e.previousID != "" {
		echoedID = e.previousID
	}
	e.previousID = id
	ctx.Response.Header.Set("Sequoia-Stream-Id", echoedID)
}

// parsePrompt returns the hash of the messages, the number of their tokens, and
// the number of response tokens that an unfinished final message already holds.
func parsePrompt(req completionRequest) (hash uint64, tokens, offset int) {
	d := xxhash.New()
	for i, m := range req.Messages {
		if req.Continue && i == len(req.Messages)-1 {
			offset = strings.Count(m.Content, " ")
			break
		}
		_, _ = d.WriteString(m.Role + "\x00" + m.Content + "\x00")
		tokens += len(m.Content)/charsPerToken + 1
	}
	return d.Sum64(), tokens, offset
}

// admit creates a sequence and adds its prefill to the pending work.
func (e *Engine) admit(req completionRequest) *sequence {
	hash, tokens, offset := parsePrompt(req)
	cached := 0
	if first := req.Messages[0]; e.cache.use(xxhash.Sum64String(first.Content)) {
		cached = len(first.Content)/charsPerToken + 1
	}
	total := req.MaxTokens
	if total <= 0 {
		total = 16
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefill += time.Duration(tokens-cached+offset) * e.opts.Speed.PrefillToken
	e.counts.PromptTokens += tokens
	e.counts.CachedTokens += cached
	e.counts.Recomputed += offset
	return newSequence(hash, total, offset, req.Priority)
}

func (e *Engine) retain(id string, seq *sequence) {
	if id == "" {
		return
	}
	e.mu.Lock()
	e.streams[id] = seq
	e.mu.Unlock()
	go func() {
		for !seq.ended() {
			_, _, updated := seq.snapshot()
			select {
			case <-updated:
			case <-e.stop:
				return
			}
		}
		select {
		case <-time.After(streamRetention):
		case <-e.stop:
		}
		e.mu.Lock()
		delete(e.streams, id)
		e.mu.Unlock()
	}()
}

// stream writes the tokens from offset as server-sent events. The id of an event
// is the number of tokens up to and including its own.
func (e *Engine) stream(ctx *fasthttp.RequestCtx, seq *sequence, offset int) {
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for at := offset; ; {
			generated, ended, updated := seq.snapshot()
			for ; at < generated; at++ {
				finish := "null"
				if at+1 == seq.total {
					finish = `"stop"`
				}
				_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n",
					at+1, seq.token(at), finish)
			}
			if ended {
				if generated >= seq.total {
					_, _ = w.WriteString("data: [DONE]\n\n")
				}
				return
			}
			if w.Flush() != nil {
				return
			}
			select {
			case <-updated:
			case <-e.stop:
				return
			}
		}
	})
}

func (e *Engine) find(ctx *fasthttp.RequestCtx) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	seq, ok := e.streams[ctx.UserValue("id").(string)]
	if !ok {
		refuse(ctx, fasthttp.StatusNotFound, "no such stream")
		return nil
	}
	return seq
}

func (e *Engine) resume(ctx *fasthttp.RequestCtx) {
	if seq := e.find(ctx); seq != nil {
		ctx.Response.Header.Set("Sequoia-Stream-Id", ctx.UserValue("id").(string))
		e.stream(ctx, seq, ctx.QueryArgs().GetUintOrZero("offset"))
	}
}

func (e *Engine) cancel(ctx *fasthttp.RequestCtx) {
	if seq := e.find(ctx); seq != nil {
		seq.cancel()
	}
}

// wireKV represents the exported KV cache of a stream.
type wireKV struct {
	Prompt    uint64 `json:"prompt"`
	Total     int    `json:"total"`
	Generated int    `json:"generated"`
	Priority  int    `json:"priority"`
}

func (e *Engine) exportKV(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	disabled := e.faults.NoExport
	e.mu.Unlock()
	if disabled {
		refuse(ctx, fasthttp.StatusNotImplemented, "no export")
		return
	}
	if seq := e.find(ctx); seq != nil {
		generated, _, _ := seq.snapshot()
		answerer.JSON(ctx, wireKV{Prompt: seq.prompt, Total: seq.total, Generated: generated, Priority: seq.priority})
	}
}

func (e *Engine) importKV(ctx *fasthttp.RequestCtx) {
	var kv wireKV
	if err := json.Unmarshal(ctx.PostBody(), &kv); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, "malformed KV cache")
		return
	}
	seq := newSequence(kv.Prompt, kv.Total, kv.Generated, kv.Priority)
	e.mu.Lock()
	e.counts.Imported += kv.Generated
	e.mu.Unlock()
	e.retain(ctx.UserValue("id").(string), seq)
	e.batch.add(seq)
}

func (e *Engine) load(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	answerer.JSON(ctx, map[string]int64{
		"running":          int64(e.report.Running),
		"waiting":          int64(e.report.Waiting),
		"reportedAtMillis": int64(e.report.ReportedAt),
	})
}

func (e *Engine) cacheEvents(ctx *fasthttp.RequestCtx) {
	answerer.JSON(ctx, map[string]any{"events": e.cache.eventsAfter(ctx.QueryArgs().GetUintOrZero("after"))})
}

// order applies a declarative order. An engine with fencing refuses an order whose
// epoch is lower than the highest one received.
func (e *Engine) order(ctx *fasthttp.RequestCtx) {
	var in struct {
		Kind    string `json:"kind"`
		Version string `json:"version"`
		Epoch   uint64 `json:"epoch"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, "malformed order")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.Fencing && in.Epoch < e.epoch {
		e.counts.StaleOrders++
		refuse(ctx, fasthttp.StatusConflict, "old epoch")
		return
	}
	e.epoch = max(e.epoch, in.Epoch)
	e.counts.OrdersApplied++
	if in.Kind == "loadVersion" {
		e.version = in.Version
	}
	answerer.JSON(ctx, map[string]any{"version": e.version, "epoch": e.epoch})
}

func (e *Engine) putFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	e.SetFaults(f)
}
