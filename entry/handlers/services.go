package handlers

import (
	"strings"

	"github.com/valyala/fasthttp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/entry/forwarder"
)

// PlainCall is a validated call to a plain service.
type PlainCall struct {
	Request sequoiasill.Request
	Route   sequoiasill.Route
	Pool    string
	Version string
	Weight  int
	Key     string // Idempotency-Key, may be empty
	Method  string
	URI     string
	Body    []byte
	Headers [][2]string
}

// PlainRunner runs calls to plain services.
type PlainRunner interface {
	Run(call PlainCall) (forwarder.Response, *sequoiasill.Failure)
}

// forwardedHeaders are forwarded to the service unchanged.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", forwarder.IdempotencyKeyHeader}

// maxKeyBytes bounds the length of an Idempotency-Key.
const maxKeyBytes = 255

// callService handles calls under /services/{service}.
func (c *CallerAPI) callService(ctx *fasthttp.RequestCtx, org sequoiasill.Organisation) {
	service, failure := c.authorisedService(org, ctx.UserValue("service").(string), sequoiasill.Plain)
	if failure != nil {
		c.fail(ctx, "", failure)
		return
	}
	if failure := c.refuseIfClosing(); failure != nil {
		c.fail(ctx, "", failure)
		return
	}
	call, failure := c.parseCall(ctx, org, service)
	if failure != nil {
		c.fail(ctx, "", failure)
		return
	}
	response, failure := c.plain.Run(call)
	if failure != nil {
		c.fail(ctx, call.Request.ID, failure)
		return
	}
	ctx.SetStatusCode(response.Status)
	ctx.SetContentType(response.ContentType)
	ctx.SetBody(response.Body)
	c.setVerdict(ctx, call.Request.ID, sequoiasill.Ran)
}

func (c *CallerAPI) parseCall(ctx *fasthttp.RequestCtx, org sequoiasill.Organisation, service sequoiasill.Service) (PlainCall, *sequoiasill.Failure) {
	path, _ := ctx.UserValue("path").(string)
	path = "/" + strings.TrimPrefix(path, "/")
	route := service.Route(path)
	key := string(ctx.Request.Header.Peek(forwarder.IdempotencyKeyHeader))
	switch {
	case len(key) > maxKeyBytes:
		return PlainCall{}, malformed("Idempotency-Key is too long")
	case key == "" && !route.Idempotent && !route.CallerNeverRepeats:
		return PlainCall{}, sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeKeyRequired, 400,
			"calls to this route need an Idempotency-Key")
	}
	timeout := route.Timeout
	if timeout == 0 {
		timeout = c.opts.DefaultDeadline
	}
	deadline, failure := c.deadline(ctx, timeout)
	if failure != nil {
		return PlainCall{}, failure
	}
	body := append([]byte(nil), ctx.PostBody()...)
	uri := path
	if q := ctx.URI().QueryString(); len(q) > 0 {
		uri += "?" + string(q)
	}
	call := PlainCall{
		Request: sequoiasill.Request{
			ID: c.ids.next(), Organisation: org.Name, Service: service.Name, Class: sequoiasill.Quick,
			OutputTokens: 1, Deadline: deadline,
			Digest: digest(org.Name, append([]byte(string(ctx.Method())+" "+uri+"\x00"), body...)),
		},
		Route: route, Pool: service.Pool, Weight: org.Weight,
		Key: key, Method: string(ctx.Method()), URI: uri, Body: body,
	}
	call.Version = c.versions.Version(service, call.Request.ID)
	for _, h := range forwardedHeaders {
		if v := ctx.Request.Header.Peek(h); len(v) > 0 {
			call.Headers = append(call.Headers, [2]string{h, string(v)})
		}
	}
	return call, nil
}
