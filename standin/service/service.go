// Package service simulates a plain service some of whose calls are not idempotent.
// It counts the executions under each idempotency key. docs/ENGINE.md describes the
// protocol.
package service

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"sequoiasill.dev/sequoiasill/standin/answerer"
	"sequoiasill.dev/sequoiasill/standin/killer"
)

// Faults are the faults to inject.
type Faults struct {
	SlowMillis     int64 `json:"slowMillis"`
	Refuse         bool  `json:"refuse"`       // refuse with verdict notRun
	DropResponses  bool  `json:"dropAnswers"`  // run the call and close without a response
	CrossResponses bool  `json:"crossAnswers"` // return the previous request's ID
}

// Service simulates a plain service. It is safe for concurrent use.
type Service struct {
	name   string
	server *fasthttp.Server
	admin  *fasthttp.Server

	mu         sync.Mutex
	listener   *killer.Listener
	faults     Faults
	executions map[string]int // by Idempotency-Key, or by path without one
	requests   map[string]int // by request ID
	previousID string
}

// New returns a service.
func New(name string) *Service {
	s := &Service{name: name, executions: make(map[string]int), requests: make(map[string]int)}
	s.server = &fasthttp.Server{Handler: s.handleCall, Logger: killer.NopLogger{}, NoDefaultServerHeader: true}
	s.admin = &fasthttp.Server{Handler: s.handleAdmin, Logger: killer.NopLogger{}, NoDefaultServerHeader: true}
	return s
}

// Serve serves calls on l until Kill.
func (s *Service) Serve(l net.Listener) error {
	k := killer.New(l)
	s.mu.Lock()
	s.listener = k
	s.mu.Unlock()
	return s.server.Serve(k)
}

// ServeAdmin serves the test interface on l: GET /executions and PUT /faults.
func (s *Service) ServeAdmin(l net.Listener) error { return s.admin.Serve(l) }

// Kill resets all connections and stops without draining.
func (s *Service) Kill() {
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l != nil {
		l.Kill()
	}
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executions returns the number of executions by idempotency key.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}

// Requests returns the number of executions by request ID.
func (s *Service) Requests() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.requests)
}

func (s *Service) handleCall(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek("Sequoia-Request-Id"))
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	if key == "" {
		key = string(ctx.Path())
	}
	s.mu.Lock()
	f := s.faults
	echoedID := id
	if f.CrossResponses && s.previousID != "" {
		echoedID = s.previousID
	}
	s.previousID = id
	if !f.Refuse {
		s.executions[key]++
		s.requests[id]++
	}
	n := s.executions[key]
	s.mu.Unlock()

	if f.Refuse {
		ctx.Error("not now", fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set("Sequoia-Verdict", "notRun")
		return
	}
	time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
	if f.DropResponses {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	ctx.Response.Header.Set("Sequoia-Request-Id", echoedID)
	ctx.SetContentType("application/json")
	_, _ = fmt.Fprintf(ctx, `{"service":%q,"path":%q,"execution":%d,"bodyDigest":%q}`, s.name, ctx.Path(), n, Digest(ctx.PostBody()))
}

// Digest returns the digest of a request body as responses give it.
func Digest(body []byte) string { return fmt.Sprintf("%x", xxhash.Sum64(body)) }

func (s *Service) handleAdmin(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/executions":
		answerer.JSON(ctx, s.Executions())
	case "/faults":
		var f Faults
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}
