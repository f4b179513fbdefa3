// Package handlers implements the HTTP API for callers. This file registers the
// routes; each area of the API has a file of its own.
package handlers

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/fasthttp/router"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/entry/forwarder"
	"sequoiasill.dev/sequoiasill/entry/generator"
	"sequoiasill.dev/sequoiasill/entry/meter"
)

// Configs provides the current configuration.
type Configs interface {
	Current() sequoiasill.Config
}

// Locator finds the response to an organisation's request on any entry.
type Locator interface {
	Find(id sequoiasill.RequestID, organisation string, offset int) (*generator.Generation, bool)
}

// Versions selects the version of a service for a request.
type Versions interface {
	Version(svc sequoiasill.Service, id sequoiasill.RequestID) string
}

// Options configure the API for callers.
type Options struct {
	Entry           string
	DefaultDeadline sequoiasill.Millis // default and max timeout, unless the route has its own
	QuickTokens     int                // max output tokens of a request that is classified as quick
}

// CallerAPI serves requests of callers. It is safe for concurrent use.
type CallerAPI struct {
	opts      Options
	clock     sequoiasill.Clock
	configs   Configs
	generator *generator.Generator
	locator   Locator
	versions  Versions
	plain     PlainRunner
	meter     *meter.Meter
	log       hclog.Logger
	ids       idSource
	ready     atomic.Bool
	closing   atomic.Bool
}

// New returns a CallerAPI that is not ready yet.
func New(opts Options, clock sequoiasill.Clock, configs Configs, g *generator.Generator, l Locator, v Versions, plain PlainRunner, m *meter.Meter, log hclog.Logger) *CallerAPI {
	return &CallerAPI{
		opts: opts, clock: clock, configs: configs, generator: g, locator: l, versions: v, plain: plain, meter: m,
		log: log.Named("callers"), ids: newIDSource(opts.Entry),
	}
}

// SetReady sets whether the load balancer may send callers to this entry.
func (c *CallerAPI) SetReady(ready bool) { c.ready.Store(ready) }

// Ready reports whether the load balancer may send callers to this entry.
func (c *CallerAPI) Ready() bool { return c.ready.Load() }

// Close makes the entry reject new requests before it shuts down. Responses to
// earlier requests can still be fetched.
func (c *CallerAPI) Close() { c.closing.Store(true) }

// refuseIfClosing returns a Failure for a new request if this entry is shutting down.
func (c *CallerAPI) refuseIfClosing() *sequoiasill.Failure {
	if !c.closing.Load() {
		return nil
	}
	return sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeLeaving, 503, "this entry leaves").
		WithRetryAfter(sequoiasill.Second)
}

// Handler returns the handler for all routes of the API.
func (c *CallerAPI) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/v1/chat/completions", c.authenticated(c.complete))
	r.GET("/v1/requests/{id}", c.authenticated(c.fetch))
	r.ANY("/services/{service}", c.authenticated(c.callService))
	r.ANY("/services/{service}/{path:*}", c.authenticated(c.callService))
	r.GET("/ready", c.readiness)
	r.NotFound = func(ctx *fasthttp.RequestCtx) {
		c.fail(ctx, "", sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeNotFound, 404, "no such path"))
	}
	r.MethodNotAllowed = func(ctx *fasthttp.RequestCtx) {
		c.fail(ctx, "", sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeMalformed, 405, "method not allowed"))
	}
	return r.Handler
}

// ServerError responds to requests that the HTTP library could not parse.
func (c *CallerAPI) ServerError(ctx *fasthttp.RequestCtx, err error) {
	f := sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeMalformed, 400, "malformed HTTP request")
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		f = sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeTooLarge, 413, "the body is too large")
	}
	if _, small := errors.AsType[*fasthttp.ErrSmallBuffer](err); small {
		f = sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeTooLarge, 431, "the header is too large")
	}
	c.fail(ctx, "", f)
}

func (c *CallerAPI) readiness(ctx *fasthttp.RequestCtx) {
	if !c.ready.Load() {
		ctx.Error("not ready", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

// authenticated wraps a handler and passes it the organisation that the bearer key
// belongs to.
func (c *CallerAPI) authenticated(next func(*fasthttp.RequestCtx, sequoiasill.Organisation)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		c.meter.Requests.Add(1)
		key, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
		var org sequoiasill.Organisation
		if ok {
			org, ok = c.configs.Current().OrganisationByKey(key)
		}
		if !ok {
			ctx.Response.Header.Set("WWW-Authenticate", "Bearer")
			c.fail(ctx, "", sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeUnauthorised, 401, "unknown key"))
			return
		}
		next(ctx, org)
	}
}

type wireError struct {
	Error wireErrorBody `json:"error"`
}

type wireErrorBody struct {
	Verdict   string `json:"verdict"`
	Code      string `json:"code"`
	Message   string `json:"message"`
	RequestID string `json:"requestId,omitempty"`
}

func encodeFailure(id sequoiasill.RequestID, f *sequoiasill.Failure) []byte {
	b, err := json.Marshal(wireError{Error: wireErrorBody{
		Verdict: f.Verdict.String(), Code: string(f.Code), Message: f.Message, RequestID: string(id),
	}})
	if err != nil {
		return []byte(`{"error":{}}`)
	}
	return b
}

// fail responds with a failure and logs it.
func (c *CallerAPI) fail(ctx *fasthttp.RequestCtx, id sequoiasill.RequestID, f *sequoiasill.Failure) {
	ctx.SetStatusCode(f.Status)
	ctx.SetContentType("application/json")
	ctx.SetBody(encodeFailure(id, f))
	if f.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatInt(f.RetryAfter.Seconds(), 10))
	}
	if f.Verdict == sequoiasill.NotRun {
		c.meter.Refusals.Add(1)
	}
	c.setVerdict(ctx, id, f.Verdict)
	level := hclog.Info
	if f.Status >= 500 && f.Verdict != sequoiasill.NotRun {
		level = hclog.Warn
	}
	c.log.Log(level, "failed", "request", id, "status", f.Status, "code", f.Code, "verdict", f.Verdict, "error", f)
}

// setVerdict counts the verdict and sets the headers common to all responses.
func (c *CallerAPI) setVerdict(ctx *fasthttp.RequestCtx, id sequoiasill.RequestID, v sequoiasill.Verdict) {
	c.meter.CountVerdict(v)
	if !c.ready.Load() {
		// Makes the caller reconnect, so that its next request goes to another entry.
		ctx.SetConnectionClose()
	}
	ctx.Response.Header.Set(forwarder.VerdictHeader, v.String())
	if id != "" {
		ctx.Response.Header.Set(forwarder.RequestIDHeader, string(id))
	}
}

// deadline returns the deadline of a request: the caller's timeout from now, at most
// maxTimeout, which is also the default.
func (c *CallerAPI) deadline(ctx *fasthttp.RequestCtx, maxTimeout sequoiasill.Millis) (sequoiasill.Millis, *sequoiasill.Failure) {
	now := c.clock.Now()
	h := string(ctx.Request.Header.Peek("Sequoia-Timeout-Millis"))
	if h == "" {
		return now + maxTimeout, nil
	}
	timeout, err := strconv.ParseInt(h, 10, 64)
	if err != nil || timeout <= 0 || timeout > int64(sequoiasill.Hour) {
		return 0, sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeMalformed, 400,
			"Sequoia-Timeout-Millis must be a whole number up to %d", int64(sequoiasill.Hour))
	}
	return now + min(sequoiasill.Millis(timeout), maxTimeout), nil
}

// authorisedService returns the service if it has the given kind and the
// organisation may call it.
func (c *CallerAPI) authorisedService(org sequoiasill.Organisation, name string, kind sequoiasill.Kind) (sequoiasill.Service, *sequoiasill.Failure) {
	if !org.MayCall(name) {
		return sequoiasill.Service{}, sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeNotGranted, 403,
			"service %q is not granted to this organisation", name)
	}
	s, ok := c.configs.Current().Service(name)
	if !ok || s.Kind != kind {
		return sequoiasill.Service{}, sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeNotFound, 404,
			"there is no %s service %q", kind, name)
	}
	return s, nil
}

// digest returns a hash of the organisation and a body.
func digest(organisation string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%s\x00", organisation)
	_, _ = d.Write(body)
	return d.Sum64()
}
