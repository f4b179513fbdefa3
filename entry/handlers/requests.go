package handlers

import (
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"sequoiasill.dev/sequoiasill"
)

// fetch answers GET /v1/requests/{id} with the answer to an earlier request.
func (c *Callers) fetch(ctx *fasthttp.RequestCtx, org sequoiasill.Organisation) {
	if last := string(ctx.Request.Header.Peek("Last-Event-ID")); last != "" {
		c.reconnect(ctx, org, last)
		return
	}
	c.follow(ctx, org, sequoiasill.RequestID(ctx.UserValue("id").(string)), false, 0)
}

// reconnect goes on with a stream after the event that the caller saw last.
func (c *Callers) reconnect(ctx *fasthttp.RequestCtx, org sequoiasill.Organisation, last string) {
	id, at, ok := strings.Cut(last, ":")
	offset, err := strconv.Atoi(at)
	if !ok || err != nil || offset < 0 {
		c.fail(ctx, "", malformed("Last-Event-ID is not one of this system's"))
		return
	}
	c.follow(ctx, org, sequoiasill.RequestID(id), true, offset)
}

// follow answers with a generation that runs or ran on any entry.
func (c *Callers) follow(ctx *fasthttp.RequestCtx, org sequoiasill.Organisation, id sequoiasill.RequestID, stream bool, offset int) {
	gen, ok := c.locator.Find(id, org.Name, offset)
	if !ok && c.closing.Load() {
		// This entry may have handed the request over and has no ways to others any more.
		c.redirect(ctx, id)
		return
	}
	if !ok {
		c.fail(ctx, id, sequoiasill.NewFailure(sequoiasill.MayHaveRun, sequoiasill.CodeNotFound, 404, "no such request"))
		return
	}
	stream = stream || strings.Contains(string(ctx.Request.Header.Peek("Accept")), "text/event-stream")
	c.answer(ctx, gen, stream, offset)
}

// redirect sends the caller to the request's own address, where another entry
// answers it.
func (c *Callers) redirect(ctx *fasthttp.RequestCtx, id sequoiasill.RequestID) {
	ctx.Response.Header.Set("Location", "/v1/requests/"+string(id))
	ctx.SetStatusCode(fasthttp.StatusSeeOther)
	c.conclude(ctx, id, sequoiasill.MayHaveRun)
}
