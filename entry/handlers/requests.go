package handlers

import (
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"sequoiasill.dev/sequoiasill"
)

// fetch handles GET /v1/requests/{id}, which returns the response to an earlier
// request.
func (c *CallerAPI) fetch(ctx *fasthttp.RequestCtx, org sequoiasill.Organisation) {
	if lastEventID := string(ctx.Request.Header.Peek("Last-Event-ID")); lastEventID != "" {
		c.reconnect(ctx, org, lastEventID)
		return
	}
	c.serveRequest(ctx, org, sequoiasill.RequestID(ctx.UserValue("id").(string)), false, 0)
}

// reconnect resumes a stream after the last event that the caller received.
func (c *CallerAPI) reconnect(ctx *fasthttp.RequestCtx, org sequoiasill.Organisation, lastEventID string) {
	id, offsetText, ok := strings.Cut(lastEventID, ":")
	offset, err := strconv.Atoi(offsetText)
	if !ok || err != nil || offset < 0 {
		c.fail(ctx, "", malformed("Last-Event-ID is not one of this system's"))
		return
	}
	c.serveRequest(ctx, org, sequoiasill.RequestID(id), true, offset)
}

// serveRequest responds with the generation of an earlier request, which may run or
// have run on any entry.
func (c *CallerAPI) serveRequest(ctx *fasthttp.RequestCtx, org sequoiasill.Organisation, id sequoiasill.RequestID, stream bool, offset int) {
	gen, ok := c.locator.Find(id, org.Name, offset)
	if !ok && c.closing.Load() {
		// This entry may have handed the request over and no longer has connections
		// to other entries to find it.
		c.redirect(ctx, id)
		return
	}
	if !ok {
		c.fail(ctx, id, sequoiasill.NewFailure(sequoiasill.MayHaveRun, sequoiasill.CodeNotFound, 404, "no such request"))
		return
	}
	stream = stream || strings.Contains(string(ctx.Request.Header.Peek("Accept")), "text/event-stream")
	c.respond(ctx, gen, stream, offset)
}

// redirect redirects the caller to the request's URL, which another entry serves.
func (c *CallerAPI) redirect(ctx *fasthttp.RequestCtx, id sequoiasill.RequestID) {
	ctx.Response.Header.Set("Location", "/v1/requests/"+string(id))
	ctx.SetStatusCode(fasthttp.StatusSeeOther)
	c.setVerdict(ctx, id, sequoiasill.MayHaveRun)
}
