// Package prober watches the paths of this entry to the upstreams of each service and probes them
// when they are in doubt. It drives the state machine of package pathmonitor.
package prober

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/pathmonitor"
	"sequoiasill.dev/sequoiasill/relay/connector"
)

// Connector opens connections to upstreams, which later requests use.
type Connector interface {
	// Probe opens a connection to an upstream and requests the path on it. Any response is a
	// success. The error wraps connector.ErrWithheld if the upstream may get no probe now.
	Probe(ctx context.Context, upstream, address, path string) error
}

// Target is an upstream that may be probed.
type Target struct {
	Upstream string
	Address  string
	Path     string // of its health check
}

// Targets returns the upstreams of a service that may be probed.
type Targets func(service string) []Target

// Meter counts probes and changes of paths.
type Meter interface {
	// PathChanged counts a change of the paths to a service, by the state that it enters.
	PathChanged(state string)
	// PathProbed counts a probe by whether it was answered.
	PathProbed(answered bool)
}

const (
	tickInterval = 50 * time.Millisecond
	// probeTimeout bounds a probe. It is much longer than a connect and an exchange between zones,
	// and leaves time to serve the call of which the failure raised the doubt.
	probeTimeout = 400 * time.Millisecond
)

// Prober watches paths until Close. It is safe for concurrent use.
type Prober struct {
	connector Connector
	targets   Targets
	clock     sequoiasill.Clock
	meter     Meter
	log       hclog.Logger
	stop      chan struct{}
	once      sync.Once

	mu        sync.Mutex
	monitor   *pathmonitor.Monitor
	listeners []func(pathmonitor.Transition)
}

// New returns a Prober that decides with m.
func New(m *pathmonitor.Monitor, connector Connector, targets Targets, meter Meter, clock sequoiasill.Clock, log hclog.Logger) *Prober {
	p := &Prober{connector: connector, targets: targets, clock: clock, meter: meter, log: log.Named("paths"), stop: make(chan struct{}), monitor: m}
	go func() {
		tick := time.NewTicker(tickInterval)
		defer tick.Stop()
		for {
			select {
			case <-p.stop:
				return
			case <-tick.C:
				p.tick()
			}
		}
	}()
	return p
}

// Close stops the probes.
func (p *Prober) Close() { p.once.Do(func() { close(p.stop) }) }

// Observe calls f after each change of the paths to a service.
func (p *Prober) Observe(f func(pathmonitor.Transition)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners = append(p.listeners, f)
}

// State returns the state of the paths to a service.
func (p *Prober) State(service string) pathmonitor.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.monitor.State(service)
}

// ReachedSince reports whether an upstream of a service responded on a connection that was opened at
// or after a time.
func (p *Prober) ReachedSince(service string, at sequoiasill.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.monitor.ReachedSince(service, at)
}

// Unreachable returns the names of the services that this entry does not reach, sorted.
func (p *Prober) Unreachable() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.monitor.Unreachable()
}

// RequestSent records that a request was sent to an upstream of a service. RequestEnded must
// follow.
func (p *Prober) RequestSent(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.monitor.RequestSent(p.clock.Now(), service)
}

// RequestEnded records that a request got a response, or that its response is no longer awaited.
func (p *Prober) RequestEnded(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.monitor.RequestEnded(service)
}

// Responded records a response. openedAt is the earliest time at which its connection may have been
// opened, 0 if it was open before the request.
func (p *Prober) Responded(service string, openedAt sequoiasill.Millis) {
	p.update(func(now sequoiasill.Millis) *pathmonitor.Transition {
		return p.monitor.Responded(now, service, openedAt)
	})
}

// Failed records that a connect to an upstream failed, or that a connection ended without a
// response.
func (p *Prober) Failed(service string) {
	p.update(func(now sequoiasill.Millis) *pathmonitor.Transition { return p.monitor.Failed(now, service) })
}

// update calls f with the current time while it holds the lock, and reports the change.
func (p *Prober) update(f func(now sequoiasill.Millis) *pathmonitor.Transition) {
	p.mu.Lock()
	t := f(p.clock.Now())
	p.mu.Unlock()
	if t != nil {
		p.report(*t)
	}
}

// tick starts the probes that are due. The targets are read beforehand, as the dispatcher calls the
// prober while it holds the lock that guards them.
func (p *Prober) tick() {
	p.mu.Lock()
	services := p.monitor.Services()
	p.mu.Unlock()
	targets := make(map[string]Target)
	names := make(map[string][]string)
	for _, service := range services {
		for _, t := range p.targets(service) {
			targets[t.Upstream] = t
			names[service] = append(names[service], t.Upstream)
		}
	}
	p.mu.Lock()
	probes, changes := p.monitor.Tick(p.clock.Now(), func(service string) []string { return names[service] })
	p.mu.Unlock()
	for _, t := range changes {
		p.report(t)
	}
	for _, probe := range probes {
		go p.probe(probe, targets[probe.Upstream])
	}
}

func (p *Prober) probe(probe pathmonitor.Probe, t Target) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := p.connector.Probe(ctx, t.Upstream, t.Address, t.Path)
	if errors.Is(err, connector.ErrWithheld) {
		p.log.Debug("probe withheld", "service", probe.Service, "upstream", probe.Upstream)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.monitor.ProbeWithheld(probe)
		return
	}
	p.meter.PathProbed(err == nil)
	p.log.Debug("probe", "service", probe.Service, "upstream", probe.Upstream, "error", err)
	p.update(func(now sequoiasill.Millis) *pathmonitor.Transition {
		return p.monitor.ProbeEnded(now, probe, err == nil)
	})
}

// report logs a change and tells the listeners.
func (p *Prober) report(t pathmonitor.Transition) {
	p.meter.PathChanged(t.To.String())
	now := p.clock.Now()
	args := []any{"service", t.Service, "from", t.From.String(), "to", t.To.String(), "lastContact", now - t.LastContact}
	if t.To == pathmonitor.Unreachable || t.From == pathmonitor.Unreachable {
		p.log.Warn("paths to upstreams changed", args...)
	} else {
		p.log.Info("paths to upstreams changed", args...)
	}
	p.mu.Lock()
	listeners := p.listeners
	p.mu.Unlock()
	for _, f := range listeners {
		f(t)
	}
}
