package server

import (
	"strconv"
	"strings"
	"sync"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/tracker"
	"sequoiasill.dev/sequoiasill/entry/balancer"
	"sequoiasill.dev/sequoiasill/entry/generator"
	"sequoiasill.dev/sequoiasill/entry/messenger"
)

// factDispatcher passes facts and membership changes from gossip to their
// handlers. As gossip starts before the handlers are created, facts received
// earlier are queued.
type factDispatcher struct {
	mu            sync.Mutex
	pending       []gossiper.Fact
	handlers      []func(gossiper.Fact) // nil until connect
	memberChanged func(gossiper.Member)
}

func newFactDispatcher() *factDispatcher {
	return &factDispatcher{memberChanged: func(gossiper.Member) {}}
}

func (f *factDispatcher) handleFact(fact gossiper.Fact) {
	f.mu.Lock()
	if f.handlers == nil {
		f.pending = append(f.pending, fact)
		f.mu.Unlock()
		return
	}
	handlers := f.handlers
	f.mu.Unlock()
	for _, handle := range handlers {
		handle(fact)
	}
}

func (f *factDispatcher) handleMember(m gossiper.Member) {
	f.mu.Lock()
	memberChanged := f.memberChanged
	f.mu.Unlock()
	memberChanged(m)
}

// connect sets the handlers and delivers the queued facts to them.
func (f *factDispatcher) connect(memberChanged func(gossiper.Member), handlers ...func(gossiper.Fact)) {
	f.mu.Lock()
	f.handlers = handlers
	f.memberChanged = memberChanged
	pending := f.pending
	f.pending = nil
	f.mu.Unlock()
	for _, fact := range pending {
		f.handleFact(fact)
	}
}

// drainingPrefix is the key prefix of facts on draining upstreams. The value is
// the time at which the upstream stops, or 0 if it is unknown.
const drainingPrefix = "leaving/"

// drainingTTL is how long such a fact is kept in gossip.
const drainingTTL = 2 * sequoiasill.Minute

// applyDraining returns a handler that marks an upstream as draining when another
// entry reports it.
func applyDraining(b *balancer.Balancer) func(gossiper.Fact) {
	return func(f gossiper.Fact) {
		upstream, ok := strings.CutPrefix(f.Key, drainingPrefix)
		if !ok {
			return
		}
		stopAt, _ := strconv.ParseInt(string(f.Value), 10, 64)
		b.Observe(tracker.Leaving{Upstream: upstream, Source: tracker.FromGossip, StopAt: sequoiasill.Millis(stopAt)})
	}
}

// publishDraining returns a callback that publishes a draining upstream to the
// other entries, unless they reported it, and moves the upstream's streams if the
// time at which it stops is known.
func publishDraining(m *messenger.Messenger, g *generator.Generator) func(tracker.Marked) {
	return func(mark tracker.Marked) {
		if mark.Source != tracker.FromGossip {
			value := strconv.FormatInt(int64(mark.StopAt), 10)
			m.Publish(drainingPrefix+mark.Upstream, uint64(max(mark.StopAt, 1)), []byte(value), true, drainingTTL)
		}
		if mark.StopAt > 0 {
			go g.Evacuate(mark.Upstream, mark.StopAt)
		}
	}
}
