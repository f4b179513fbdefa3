// Package provisioner scales upstreams through the platform's cloud API, under a lease.
// The decisions are made by scaler.
package provisioner

import (
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/scaler"
)

// ErrRefused is returned for an order for which no capacity is available, or that was
// superseded by another lease holder's order. After any other error the order may have
// been executed or may be executed later.
const ErrRefused = errors.ConstError("no upstream of the requested kind is available")

// Cloud executes scaling orders.
type Cloud interface {
	Scale(epoch uint64, service string, o scaler.Order) error
}

// Provisioner holds the scaling state of all services. It is not safe for concurrent use.
type Provisioner struct {
	cloud   Cloud
	clock   sequoiasill.Clock
	log     hclog.Logger
	epoch   uint64
	scalers map[string]*scaler.Scaler
}

// New returns a Provisioner without any orders.
func New(cloud Cloud, clock sequoiasill.Clock, log hclog.Logger) *Provisioner {
	return &Provisioner{cloud: cloud, clock: clock, log: log.Named("fleeter"), scalers: make(map[string]*scaler.Scaler)}
}

// Act sends the orders that are due for a service, under the lease epoch. MayAct is
// checked before each order.
func (p *Provisioner) Act(epoch uint64, service string, v scaler.View, mayAct func() bool) {
	if epoch != p.epoch {
		// Another lease holder may have sent orders in the meantime.
		p.epoch = epoch
		clear(p.scalers)
	}
	s, ok := p.scalers[service]
	if !ok {
		s = scaler.New(scaler.DefaultOptions())
		p.scalers[service] = s
	}
	for _, o := range s.Step(p.clock.Now(), v) {
		if !mayAct() {
			s.OrderDone(p.clock.Now(), o, scaler.Unknown)
			continue
		}
		err := p.cloud.Scale(epoch, service, o)
		result := scaler.Accepted
		switch {
		case errors.Is(err, ErrRefused):
			result = scaler.Refused
		case err != nil:
			result = scaler.Unknown
		}
		s.OrderDone(p.clock.Now(), o, result)
		p.log.Info("upstreams ordered", "service", service, "zone", o.Zone, "reclaimable", o.Reclaimable,
			"desired", o.Desired, "need", v.Need, "stock", v.Zones[o.Zone], "epoch", epoch, "error", err)
	}
}
