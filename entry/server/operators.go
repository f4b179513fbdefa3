package server

import (
	"encoding/json"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/config/reporter"
	"sequoiasill.dev/sequoiasill/decide/picker"
	"sequoiasill.dev/sequoiasill/entry/spreader"
)

type wireStatus struct {
	Entry      string         `json:"entry"`
	Zone       string         `json:"zone"`
	Generation uint64         `json:"generation"`
	Entries    []wireEntry    `json:"entries"`
	Upstreams  []wireUpstream `json:"upstreams"`
}

type wireEntry struct {
	Name       string `json:"name"`
	Zone       string `json:"zone"`
	Generation uint64 `json:"generation"`
	Leaving    bool   `json:"leaving,omitempty"`
}

type wireUpstream struct {
	Name    string `json:"name"`
	Pool    string `json:"pool"`
	Version string `json:"version"`
	Zone    string `json:"zone"`
}

// operatorRoutes returns the handler of the operators' API, which is served at its
// own address.
func (s *Server) operatorRoutes() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/debug/vars", expvarhandler.ExpvarHandler)
	r.GET("/status", s.handleStatus)
	r.GET("/moves", s.handleMoves)
	return r.Handler
}

func (s *Server) handleStatus(ctx *fasthttp.RequestCtx) {
	cfg := s.deps.Configs.Current()
	w := wireStatus{Entry: s.deps.Options.Name, Zone: s.deps.Options.Zone, Generation: cfg.Generation, Upstreams: []wireUpstream{}}
	w.Entries = s.entries()
	for _, svc := range cfg.Services {
		for _, v := range s.deps.Shifter.Versions(svc) {
			for _, i := range s.deps.Balancer.Usable(svc.Pool, v) {
				w.Upstreams = append(w.Upstreams, encodeUpstream(i))
			}
		}
	}
	b, err := json.Marshal(w)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// entries returns the live entries with the configuration generation that each
// last announced.
func (s *Server) entries() []wireEntry {
	var out []wireEntry
	for _, m := range s.deps.Messenger.Members() {
		e := wireEntry{Name: m.Name, Zone: m.Zone, Leaving: m.Leaving}
		if f, ok := s.deps.Messenger.Fact(spreader.GenerationPrefix + m.Name); ok {
			e.Generation = f.Version
		}
		out = append(out, e)
	}
	return out
}

// handleMoves writes this entry's view of the declared moves.
func (s *Server) handleMoves(ctx *fasthttp.RequestCtx) {
	reports := s.deps.Shifter.Reports()
	for i := range reports {
		reports[i].Rank = s.rank(reports[i].Move.Name)
	}
	b, err := reporter.Encode(reports)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// rank returns this entry's position in the rendezvous order of the entries that
// may run a move. Draining entries are not counted.
func (s *Server) rank(move string) int {
	own := picker.Rendezvous("move", 0, move+"/"+s.deps.Options.Name)
	rank := 0
	for _, m := range s.deps.Messenger.Members() {
		if !m.Leaving && picker.Rendezvous("move", 0, move+"/"+m.Name) > own {
			rank++
		}
	}
	return rank
}

func encodeUpstream(i sequoiasill.Instance) wireUpstream {
	return wireUpstream{Name: i.Name, Pool: i.Pool, Version: i.Version, Zone: i.Zone}
}
