// Package handlers answers callers and operators over HTTP. The routes are wired
// in this file; each area has a file of its own.
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

// Configs tells the configuration in force.
type Configs interface {
	Current() sequoiasill.Config
}

// Locator finds the answer to an organisation's request on any entry.
type Locator interface {
	Find(id sequoiasill.RequestID, organisation string, offset int) (*generator.Generation, bool)
}

// Versions tells which version of a service a request goes to.
type Versions interface {
	Version(svc sequoiasill.Service, id sequoiasill.RequestID) string
}

// Options configure the callers' side.
type Options struct {
	Entry           string
	DefaultDeadline sequoiasill.Millis // of a request whose caller names none
	QuickTokens     int                // requests of up to so many output tokens are quick
}

// Callers answers callers. It is safe for concurrent use.
type Callers struct {
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

// New returns the callers' side, not ready yet.
func New(opts Options, clock sequoiasill.Clock, configs Configs, g *generator.Generator, l Locator, v Versions, plain PlainRunner, m *meter.Meter, log hclog.Logger) *Callers {
	return &Callers{
		opts: opts, clock: clock, configs: configs, generator: g, locator: l, versions: v, plain: plain, meter: m,
		log: log.Named("callers"), ids: newIDSource(opts.Entry),
	}
}

// SetReady says whether the balancer may send callers here.
func (c *Callers) SetReady(ready bool) { c.ready.Store(ready) }

// Ready reports whether the balancer may send callers here.
func (c *Callers) Ready() bool { return c.ready.Load() }

// Close refuses new requests from now on, as this entry is about to end. Answers
// to earlier ones can still be fetched.
func (c *Callers) Close() { c.closing.Store(true) }

// closed refuses a new request if this entry is about to end.
func (c *Callers) closed() *sequoiasill.Failure {
	if !c.closing.Load() {
		return nil
	}
	return sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeLeaving, 503, "this entry leaves").
		WithRetryAfter(sequoiasill.Second)
}

// Handler returns the callers' routes.
func (c *Callers) Handler() fasthttp.RequestHandler {
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

// ServerError answers requests that the HTTP library could not read.
func (c *Callers) ServerError(ctx *fasthttp.RequestCtx, err error) {
	f := sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeMalformed, 400, "malformed HTTP request")
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		f = sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeTooLarge, 413, "the body is too large")
	}
	if _, small := errors.AsType[*fasthttp.ErrSmallBuffer](err); small {
		f = sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeTooLarge, 431, "the header is too large")
	}
	c.fail(ctx, "", f)
}

func (c *Callers) readiness(ctx *fasthttp.RequestCtx) {
	if !c.ready.Load() {
		ctx.Error("not ready", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

// authenticated passes the organisation that the bearer key belongs to.
func (c *Callers) authenticated(next func(*fasthttp.RequestCtx, sequoiasill.Organisation)) fasthttp.RequestHandler {
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

// fail answers with a failure.
func (c *Callers) fail(ctx *fasthttp.RequestCtx, id sequoiasill.RequestID, f *sequoiasill.Failure) {
	ctx.SetStatusCode(f.Status)
	ctx.SetContentType("application/json")
	ctx.SetBody(encodeFailure(id, f))
	if f.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatInt(f.RetryAfter.Seconds(), 10))
	}
	if f.Verdict == sequoiasill.NotRun {
		c.meter.Refusals.Add(1)
	}
	c.conclude(ctx, id, f.Verdict)
	level := hclog.Info
	if f.Status >= 500 && f.Verdict != sequoiasill.NotRun {
		level = hclog.Warn
	}
	c.log.Log(level, "failed", "request", id, "status", f.Status, "code", f.Code, "verdict", f.Verdict, "error", f)
}

// conclude sets the headers that every answer bears.
func (c *Callers) conclude(ctx *fasthttp.RequestCtx, id sequoiasill.RequestID, v sequoiasill.Verdict) {
	c.meter.Verdict(v)
	if !c.ready.Load() {
		// The next request of this caller should go to another entry.
		ctx.SetConnectionClose()
	}
	ctx.Response.Header.Set(forwarder.VerdictHeader, v.String())
	if id != "" {
		ctx.Response.Header.Set(forwarder.RequestIDHeader, string(id))
	}
}

// deadline returns the time by which the caller wants its answer.
func (c *Callers) deadline(ctx *fasthttp.RequestCtx, fallback sequoiasill.Millis) (sequoiasill.Millis, *sequoiasill.Failure) {
	now := c.clock.Now()
	h := string(ctx.Request.Header.Peek("Sequoia-Timeout-Millis"))
	if h == "" {
		return now + fallback, nil
	}
	span, err := strconv.ParseInt(h, 10, 64)
	if err != nil || span <= 0 || span > int64(sequoiasill.Hour) {
		return 0, sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeMalformed, 400,
			"Sequoia-Timeout-Millis must be a whole number up to %d", int64(sequoiasill.Hour))
	}
	return now + min(sequoiasill.Millis(span), fallback), nil
}

// granted finds the service and checks that the organisation may call it.
func (c *Callers) granted(org sequoiasill.Organisation, name string, kind sequoiasill.Kind) (sequoiasill.Service, *sequoiasill.Failure) {
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

// digest returns a hash of a body that is bound to its organisation.
func digest(organisation string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%s\x00", organisation)
	_, _ = d.Write(body)
	return d.Sum64()
}
