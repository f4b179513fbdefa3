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
	e.unreachableMu.Lock()
	defer e.unreachableMu.Unlock()
	if !slices.Equal(e.unreachable, services) {
		e.unreachable = services
		e.publishUnreachable()
	}
}

// publishUnreachable publishes the unreachable services. The caller holds unreachableMu, so that the
// newest state has the highest version.
func (e *Exchanger) publishUnreachable() {
	key := keyUnreachable + e.opts.Name
	e.gossip.Publish(key, e.newerVersion(key), []byte(strings.Join(e.unreachable, " ")), true, unreachableTTL)
}

// renewUnreachable publishes the unreachable services again before the last publication expires.
func (e *Exchanger) renewUnreachable() {
	e.unreachableMu.Lock()
	defer e.unreachableMu.Unlock()
	if len(e.unreachable) == 0 {
		return
	}
	if f, ok := e.gossip.Fact(keyUnreachable + e.opts.Name); !ok || f.Expires-e.clock.Now() < unreachableTTL/2 {
		e.publishUnreachable()
	}
}

// WaysTo returns the other entries that may reach the upstreams of a service: those that are alive,
// do not leave, and do not announce otherwise. It implements relayer.Peers.
func (e *Exchanger) WaysTo(service string) []peerpicker.Peer {
	var out []peerpicker.Peer
	for _, m := range e.gossip.Members() {
		if m.Name == e.opts.Name || m.Leaving || m.State != gossiper.Alive || e.announcesUnreachable(m.Name, service) {
			continue
		}
		out = append(out, peerpicker.Peer{Name: m.Name, Address: m.Address, Zone: m.Zone})
	}
	return out
}

// NoneReaches reports whether all other live entries, and at least one, announce that they reach no
// upstream of a service. It implements relayer.Peers.
func (e *Exchanger) NoneReaches(service string) bool {
	others := 0
	for _, m := range e.gossip.Members() {
		switch {
		case m.Name == e.opts.Name:
		case !e.announcesUnreachable(m.Name, service):
			return false
		default:
			others++
		}
	}
	return others > 0
}

func (e *Exchanger) announcesUnreachable(entry, service string) bool {
	f, ok := e.gossip.Fact(keyUnreachable + entry)
	return ok && slices.Contains(strings.Fields(string(f.Value)), service)
}
