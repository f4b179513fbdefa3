package server

import (
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/dig"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/quarantiner"
	"sequoiasill.dev/sequoiasill/decide/tracker"
	"sequoiasill.dev/sequoiasill/entry/balancer"
	"sequoiasill.dev/sequoiasill/entry/claimer"
	"sequoiasill.dev/sequoiasill/entry/demander"
	"sequoiasill.dev/sequoiasill/entry/dialer"
	"sequoiasill.dev/sequoiasill/entry/forwarder"
	"sequoiasill.dev/sequoiasill/entry/generator"
	"sequoiasill.dev/sequoiasill/entry/handlers"
	"sequoiasill.dev/sequoiasill/entry/invoker"
	"sequoiasill.dev/sequoiasill/entry/isolator"
	"sequoiasill.dev/sequoiasill/entry/keyring"
	"sequoiasill.dev/sequoiasill/entry/messenger"
	"sequoiasill.dev/sequoiasill/entry/meter"
	"sequoiasill.dev/sequoiasill/entry/peerpb"
	"sequoiasill.dev/sequoiasill/entry/recorder"
	"sequoiasill.dev/sequoiasill/entry/responder"
	"sequoiasill.dev/sequoiasill/entry/shifter"
	"sequoiasill.dev/sequoiasill/entry/spreader"
	"sequoiasill.dev/sequoiasill/entry/syncer"
	"sequoiasill.dev/sequoiasill/platform/lister"
	"sequoiasill.dev/sequoiasill/platform/storer"
)

// Listeners are the sockets of an entry.
type Listeners struct {
	Public    net.Listener
	Operators net.Listener
	Peer      net.Listener   // gRPC
	Gossip    net.PacketConn // UDP, at the address of Peer
}

// dependencies are the values that the dependency injection container passes to
// newServer.
type dependencies struct {
	dig.In

	Options     Options
	Listeners   Listeners
	Log         hclog.Logger
	Clock       sequoiasill.Clock
	Configs     *syncer.Configs
	Spreader    *spreader.Spreader
	Statuses    *spreader.Statuses
	Shifter     *shifter.Shifter
	Messenger   *messenger.Messenger
	Dialer      *dialer.Dialer
	Demander    *demander.Demander
	Balancer    *balancer.Balancer
	Generator   *generator.Generator
	Invoker     *invoker.Invoker
	Claimer     *claimer.Claimer
	Recorder    *recorder.Recorder
	Responder   *responder.Responder
	Isolator    *isolator.Isolator
	Callers     *handlers.CallerAPI
	Store       *storer.Store
	Instances   *lister.Instances
	Forwarder   *forwarder.Forwarder
	Meter       *meter.Meter
	Facts       *factDispatcher
	State       *state
	Credentials credentials.TransportCredentials
}

// state is the lifecycle state of an entry.
type state struct {
	instancesRead atomic.Bool // the instance list was read at least once
	draining      atomic.Bool
	stopped       chan struct{} // closed when the shutdown is complete
}

func newState() *state { return &state{stopped: make(chan struct{})} }

// Server is a running entry.
type Server struct {
	deps dependencies

	public    *fasthttp.Server
	operators *fasthttp.Server
	peers     *grpc.Server
	stopFuncs []func()
	stopOnce  sync.Once
	stopped   chan struct{}
}

func newServer(deps dependencies) (*Server, error) {
	s := &Server{deps: deps, stopped: deps.State.stopped}
	deps.Configs.OnChange(func(cfg sequoiasill.Config) {
		deps.Balancer.SetPools(cfg.Pools)
		deps.Shifter.SetConfig(cfg)
		deps.Balancer.Refresh()
		deps.Meter.ConfigGeneration.Set(int64(cfg.Generation))
	})
	deps.Balancer.OnDraining(publishDraining(deps.Messenger, deps.Generator))
	s.public = &fasthttp.Server{
		Handler:               deps.Callers.Handler(),
		ErrorHandler:          deps.Callers.ServerError,
		MaxRequestBodySize:    deps.Options.BodyLimit,
		ReadBufferSize:        deps.Options.HeaderLimit,
		ReadTimeout:           deps.Options.ReadTimeout.Duration(),
		IdleTimeout:           2 * time.Minute,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                debugLogger{deps.Log},
	}
	s.operators = &fasthttp.Server{Handler: s.operatorRoutes(), NoDefaultServerHeader: true, Logger: debugLogger{deps.Log}}
	s.peers = grpc.NewServer(grpc.Creds(deps.Credentials), grpc.MaxRecvMsgSize(maxPeerMessageBytes))
	peerpb.RegisterPeerServer(s.peers, deps.Responder)
	if deps.Options.CallerTLS.Configured() {
		k, err := keyring.New(deps.Options.CallerTLS, deps.State.stopped, deps.Log)
		if err != nil {
			return nil, err
		}
		s.deps.Listeners.Public = tls.NewListener(deps.Listeners.Public, k.Server())
	}
	deps.Facts.connect(func(gossiper.Member) { deps.Balancer.Refresh() },
		deps.Spreader.HandleFact, deps.Demander.HandleFact, deps.Isolator.HandleFact, deps.Shifter.HandleFact, applyDraining(deps.Balancer))
	return s, nil
}

// maxPeerMessageBytes is the maximum size of a message from another entry in bytes.
const maxPeerMessageBytes = 64 << 20

// debugLogger logs the HTTP server's messages about connections at debug level.
type debugLogger struct{ log hclog.Logger }

// Printf logs a message of the HTTP server.
func (l debugLogger) Printf(format string, args ...any) {
	l.log.Debug("http", "remark", errors.Errorf(format, args...))
}

// Intervals of periodic tasks.
const (
	refreshInterval = 200 * sequoiasill.Millis(1)
	demandInterval  = sequoiasill.Second
)

// Start registers the entry, starts its periodic tasks and serves until Stop.
func (s *Server) Start() {
	s.deps.Messenger.SetSeeds(s.deps.Options.Peers)
	s.register()
	s.stopFuncs = append(s.stopFuncs,
		s.deps.Spreader.Start(s.deps.Store, s.deps.Store),
		s.deps.Statuses.Start(),
		syncer.RunEvery(sequoiasill.Second, s.deps.Shifter.Evaluate),
		syncer.PollInstances(s.deps.Instances, s.deps.Options.ListInterval, s.deps.Log, s.handleInstances),
		syncer.PollLoads(loadClient{s.deps.Forwarder, s.deps.Options.LoadInterval}, s.deps.Options.LoadInterval, s.modelUpstreams, func(i sequoiasill.Instance, r sequoiasill.LoadReport) {
			s.deps.Balancer.RecordLoad(i.Name, i.Pool, i.Version, r)
		}),
		syncer.PollNotice(s.deps.Instances, s.deps.Options.Name, s.deps.Options.NoticeInterval, s.Leave),
		syncer.RunEvery(refreshInterval, func() {
			s.deps.Balancer.Refresh()
			s.deps.Isolator.Step(quarantiner.Entries{Names: s.activeEntries()})
			s.updateReady()
		}),
		syncer.RunEvery(demandInterval, func() { s.deps.Demander.Update(s.deps.Balancer.Demand()) }),
	)
	go s.serve("callers", s.deps.Listeners.Public, s.public.Serve)
	go s.serve("operators", s.deps.Listeners.Operators, s.operators.Serve)
	go s.serve("peers", s.deps.Listeners.Peer, s.peers.Serve)
}

func (s *Server) serve(side string, l net.Listener, f func(net.Listener) error) {
	s.deps.Log.Info("serving", "side", side, "address", l.Addr())
	if err := f(l); err != nil {
		s.deps.Log.Error("stopped serving", "side", side, "error", err)
	}
}

// register adds this entry to the platform's instance list, where other entries
// discover it.
func (s *Server) register() {
	err := s.deps.Instances.Register(sequoiasill.Instance{
		Name: s.deps.Options.Name, Address: s.deps.Options.Peer, Zone: s.deps.Options.Zone,
		Class: sequoiasill.Reclaimable, Role: sequoiasill.RoleEntry,
	})
	if err != nil {
		s.deps.Log.Warn("cannot register with the platform", "error", err)
	}
}

// handleInstances applies an instance list of the platform: it updates the gossip
// seeds and the upstreams.
func (s *Server) handleInstances(list []sequoiasill.Instance) {
	seeds := make(map[string]string, len(s.deps.Options.Peers))
	for name, address := range s.deps.Options.Peers {
		seeds[name] = address
	}
	for _, i := range list {
		if i.Role == sequoiasill.RoleEntry {
			seeds[i.Name] = i.Address
		}
	}
	s.deps.Messenger.SetSeeds(seeds)
	s.deps.Balancer.Observe(tracker.Listed{Instances: list})
	s.deps.State.instancesRead.Store(true)
	s.updateReady()
}

type loadClient struct {
	forwarder *forwarder.Forwarder
	timeout   sequoiasill.Millis
}

// Load fetches the load report of an upstream.
func (c loadClient) Load(address string) ([]byte, error) {
	response, err := c.forwarder.Control("GET", address, "/v1/load", nil, c.timeout)
	return response.Body, err
}

// modelUpstreams returns the usable upstreams of all model services.
func (s *Server) modelUpstreams() []sequoiasill.Instance {
	var out []sequoiasill.Instance
	for _, svc := range s.deps.Configs.Current().Services {
		if svc.Kind == sequoiasill.Model {
			for _, v := range s.deps.Shifter.Versions(svc) {
				out = append(out, s.deps.Balancer.Usable(svc.Pool, v)...)
			}
		}
	}
	return out
}

// activeEntries returns the names of the live entries that are not draining.
func (s *Server) activeEntries() []string {
	var names []string
	for _, m := range s.deps.Messenger.Members() {
		if m.State == gossiper.Alive && !m.Leaving {
			names = append(names, m.Name)
		}
	}
	return names
}

// updateReady updates the readiness check. An entry is ready once it has the newest
// configuration that was announced to it and an instance list, until it starts
// draining.
func (s *Server) updateReady() {
	s.deps.Callers.SetReady(s.deps.State.instancesRead.Load() && !s.deps.Configs.Behind() && !s.deps.State.draining.Load())
}
