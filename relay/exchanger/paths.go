package exchanger

import (
	"slices"
	"strings"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/peerpicker"
)

const (
	// keyUnreachable is the key prefix of the services whose upstreams an entry does not reach.
	keyUnreachable = "unreachable/" // + entry: names of the services, separated by spaces
	// unreachableTTL is how long it is gossiped unless it is renewed, which the entry does as long as
	// it applies. A process that is killed cannot withdraw it.
	unreachableTTL = 10 * sequoiasill.Second
)

// SetUnreachable publishes the services whose upstreams this entry does not reach. Other entries
// then let it serve no calls of theirs.
func (e *Exchanger) SetUnreachable(services []string) {
	e.mu.Lock()
	changed := !slices.Equal(e.unreachable, services)
	e.unreachable = services
	e.mu.Unlock()
	if changed {
		e.publishUnreachable(services)
	}
}

func (e *Exchanger) publishUnreachable(services []string) {
	e.gossip.Publish(keyUnreachable+e.opts.Name, uint64(e.clock.Now()), []byte(strings.Join(services, " ")), true, unreachableTTL)
}

// renewUnreachable publishes the unreachable services again before the last publication expires.
func (e *Exchanger) renewUnreachable() {
	e.mu.Lock()
	services := e.unreachable
	e.mu.Unlock()
	if len(services) == 0 {
		return
	}
	if f, ok := e.gossip.Fact(keyUnreachable + e.opts.Name); !ok || f.Expires-e.clock.Now() < unreachableTTL/2 {
		e.publishUnreachable(services)
	}
}

// WaysTo returns the other entries that may reach the upstreams of a service: those that are alive,
// do not leave, and do not announce otherwise. It implements relayer.Peers.
func (e *Exchanger) WaysTo(service string) []peerpicker.Peer {
	var out []peerpicker.Peer
	for _, m := range e.gossip.Members() {
		if m.Name == e.opts.Name || m.Leaving || m.State != gossiper.Alive {
			continue
		}
		if f, ok := e.gossip.Fact(keyUnreachable + m.Name); ok && slices.Contains(strings.Fields(string(f.Value)), service) {
			continue
		}
		out = append(out, peerpicker.Peer{Name: m.Name, Address: m.Address, Zone: m.Zone})
	}
	return out
}
