// Package stacker runs a whole deployment in one process on the loopback interface: the
// platform stand-in, entries, engines and plain services.
package stacker

import (
	"fmt"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/config/applier"
	"sequoiasill.dev/sequoiasill/control/controller"
	"sequoiasill.dev/sequoiasill/control/observer"
	"sequoiasill.dev/sequoiasill/decide/mover"
	"sequoiasill.dev/sequoiasill/entry/server"
	"sequoiasill.dev/sequoiasill/platform/caller"
	"sequoiasill.dev/sequoiasill/platform/lister"
	"sequoiasill.dev/sequoiasill/platform/storer"
	"sequoiasill.dev/sequoiasill/standin/engine"
	"sequoiasill.dev/sequoiasill/standin/platform"
	"sequoiasill.dev/sequoiasill/standin/service"
)

// Zones are the availability zones over which a stack is spread.
var Zones = []string{"zone-a", "zone-b", "zone-c"}

// Options configure a stack.
type Options struct {
	Entries        int
	Engines        int
	EnginePool     string
	Services       int
	ServicePool    string
	Slots          int
	Speed          engine.Speed
	Listen         string // address for callers of the first entry; others use free ports
	PlatformListen string
	Seed           uint64
	EntryOptions   func(*server.Options) // may be nil
	Controllers    bool                  // run a controller with each entry
	Mover          mover.Options         // options of the controllers
	Log            hclog.Logger
}

// Entry is a running entry.
type Entry struct {
	Name            string
	Zone            string
	Address         string
	OperatorAddress string
	Server          *server.Server
	Controller      *controller.Controller // nil without controllers
}

// Upstream is a running engine or plain service.
type Upstream struct {
	Instance sequoiasill.Instance
	Engine   *engine.Engine   // nil for a service
	Service  *service.Service // nil for an engine
}

// Stack is a running deployment.
type Stack struct {
	Platform        *platform.Platform
	PlatformAddress string
	Store           *storer.Store
	Instances       *lister.Instances
	Entries         []*Entry
	Engines         []*Upstream
	Services        []*Upstream
	opts            Options
}

// storeTimeout is the timeout of the stack's own calls to the platform.
const storeTimeout = 5 * sequoiasill.Second

// New starts a stack. It has no configuration until Apply.
func New(opts Options) (*Stack, error) {
	s := &Stack{opts: opts, Platform: platform.New(sequoiasill.NewSystemClock(), opts.Seed, nil)}
	l, err := listen(opts.PlatformListen)
	if err != nil {
		return nil, err
	}
	s.PlatformAddress = l.Addr().String()
	go serve(opts.Log, func() error { return s.Platform.Serve(l) })
	c := caller.New(s.PlatformAddress, storeTimeout)
	s.Store = storer.New(c, sequoiasill.Second)
	s.Instances = lister.New(c)
	for i := range opts.Engines {
		if _, err := s.AddEngine(fmt.Sprintf("engine-%d", i+1), Zones[i%len(Zones)], "v1"); err != nil {
			return nil, err
		}
	}
	for i := range opts.Services {
		if _, err := s.AddService(fmt.Sprintf("service-%d", i+1), Zones[i%len(Zones)], "v1"); err != nil {
			return nil, err
		}
	}
	for i := range opts.Entries {
		address := ""
		if i == 0 {
			address = opts.Listen
		}
		if _, err := s.AddEntry(fmt.Sprintf("entry-%d", i+1), Zones[i%len(Zones)], address); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// freeLoopbackPort is a listen address for which the kernel chooses a free port.
const freeLoopbackPort = "127.0.0.1:0"

func listen(address string) (net.Listener, error) {
	if address == "" {
		address = freeLoopbackPort
	}
	l, err := net.Listen("tcp", address)
	return l, errors.Annotate(err, "listen")
}

func serve(log hclog.Logger, f func() error) {
	if err := f(); err != nil {
		log.Debug("stopped serving", "error", err)
	}
}

// AddEngine starts an engine and registers it with the platform.
func (s *Stack) AddEngine(name, zone, version string) (*Upstream, error) {
	u := &Upstream{Instance: sequoiasill.Instance{
		Name: name, Zone: zone, Class: sequoiasill.Reclaimable, Role: sequoiasill.RoleUpstream,
		Pool: s.opts.EnginePool, Version: version,
	}}
	u.Engine = engine.New(engine.Options{
		Name: name, Version: version, Slots: s.opts.Slots, Speed: s.opts.Speed, Fencing: true,
		ReportInterval: 200 * time.Millisecond, Seed: xxhash.Sum64String(name),
	}, sequoiasill.NewSystemClock())
	s.Engines = append(s.Engines, u)
	return u, s.startUpstream(u, u.Engine.Serve)
}

// AddService starts a plain service and registers it with the platform.
func (s *Stack) AddService(name, zone, version string) (*Upstream, error) {
	u := &Upstream{Service: service.New(name), Instance: sequoiasill.Instance{
		Name: name, Zone: zone, Class: sequoiasill.OnDemand, Role: sequoiasill.RoleUpstream,
		Pool: s.opts.ServicePool, Version: version,
	}}
	s.Services = append(s.Services, u)
	return u, s.startUpstream(u, u.Service.Serve)
}

func (s *Stack) startUpstream(u *Upstream, serveListener func(net.Listener) error) error {
	l, err := listen("")
	if err != nil {
		return err
	}
	u.Instance.Address = l.Addr().String()
	go serve(s.opts.Log, func() error { return serveListener(l) })
	return errors.Annotate(s.Instances.Register(u.Instance), "start upstream")
}

// AddEntry starts an entry, with a controller if the options ask for one. An empty address
// stands for a free port.
func (s *Stack) AddEntry(name, zone, address string) (*Entry, error) {
	o := server.DefaultOptions()
	o.Name, o.Zone, o.Platform = name, zone, s.PlatformAddress
	o.Listen, o.Operators, o.Peer = freeLoopbackPort, freeLoopbackPort, freeLoopbackPort
	if address != "" {
		o.Listen = address
	}
	if s.opts.EntryOptions != nil {
		s.opts.EntryOptions(&o)
	}
	l, o, err := server.Listen(o)
	if err != nil {
		return nil, err
	}
	srv, err := server.New(o, l, s.opts.Log.With("entry", name))
	if err != nil {
		return nil, err
	}
	srv.Start()
	e := &Entry{Name: name, Zone: zone, Address: o.Listen, OperatorAddress: o.Operators, Server: srv}
	if s.opts.Controllers {
		o := observer.New(caller.New(e.OperatorAddress, storeTimeout))
		e.Controller = controller.New(s.Store, o, name, s.opts.Mover, sequoiasill.NewSystemClock(), s.opts.Log.With("entry", name))
	}
	s.Entries = append(s.Entries, e)
	return e, nil
}

// Apply writes a configuration to the platform's store.
func (s *Stack) Apply(cfg sequoiasill.Config) (applier.Result, error) {
	return applier.Apply(s.Store, cfg, 0)
}

// Ready returns the addresses of the entries that are ready for callers, to which the
// platform's load balancer would connect.
func (s *Stack) Ready() []string {
	var out []string
	for _, e := range s.Entries {
		if e.Server.Ready() {
			out = append(out, e.Address)
		}
	}
	return out
}

// readyTimeout is the timeout of AwaitReady.
const readyTimeout = 20 * time.Second

// AwaitReady waits until n entries are ready, for at most readyTimeout.
func (s *Stack) AwaitReady(n int) error {
	deadline := time.Now().Add(readyTimeout)
	for len(s.Ready()) < n {
		if time.Now().After(deadline) {
			return errors.Errorf("%d of %d entries are ready", len(s.Ready()), n)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// Close stops all parts of the stack.
func (s *Stack) Close() {
	for _, e := range s.Entries {
		if e.Controller != nil {
			e.Controller.Close()
		}
		e.Server.Stop()
	}
	for _, u := range s.Engines {
		u.Engine.Close()
	}
	for _, u := range s.Services {
		u.Service.Kill()
	}
	_ = s.Platform.Close()
}
