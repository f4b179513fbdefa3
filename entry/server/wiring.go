package server

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"go.uber.org/dig"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/journaler"
	"sequoiasill.dev/sequoiasill/decide/quarantiner"
	"sequoiasill.dev/sequoiasill/decide/retrier"
	"sequoiasill.dev/sequoiasill/entry/balancer"
	"sequoiasill.dev/sequoiasill/entry/budgeter"
	"sequoiasill.dev/sequoiasill/entry/claimer"
	"sequoiasill.dev/sequoiasill/entry/demander"
	"sequoiasill.dev/sequoiasill/entry/dialer"
	"sequoiasill.dev/sequoiasill/entry/forwarder"
	"sequoiasill.dev/sequoiasill/entry/generator"
	"sequoiasill.dev/sequoiasill/entry/handlers"
	"sequoiasill.dev/sequoiasill/entry/invoker"
	"sequoiasill.dev/sequoiasill/entry/isolator"
	"sequoiasill.dev/sequoiasill/entry/keyring"
	"sequoiasill.dev/sequoiasill/entry/locator"
	"sequoiasill.dev/sequoiasill/entry/messenger"
	"sequoiasill.dev/sequoiasill/entry/meter"
	"sequoiasill.dev/sequoiasill/entry/recorder"
	"sequoiasill.dev/sequoiasill/entry/responder"
	"sequoiasill.dev/sequoiasill/entry/shifter"
	"sequoiasill.dev/sequoiasill/entry/spreader"
	"sequoiasill.dev/sequoiasill/entry/syncer"
	"sequoiasill.dev/sequoiasill/platform/caller"
	"sequoiasill.dev/sequoiasill/platform/lister"
	"sequoiasill.dev/sequoiasill/platform/storer"
)

// New assembles an entry. It gossips over l.Gossip immediately but serves nothing
// before Start.
func New(opts Options, l Listeners, log hclog.Logger) (*Server, error) {
	c := dig.New()
	for _, f := range constructors(opts, l, log) {
		if err := c.Provide(f); err != nil {
			return nil, errors.Annotate(err, "assemble entry")
		}
	}
	var s *Server
	err := c.Invoke(func(built *Server) { s = built })
	return s, errors.Annotate(err, "assemble entry")
}

// constructors returns the constructors for the dependency injection container.
func constructors(opts Options, l Listeners, log hclog.Logger) []any {
	return []any{
		func() Options { return opts },
		func() Listeners { return l },
		func() hclog.Logger { return log },
		func() sequoiasill.Clock { return sequoiasill.NewSystemClock() },
		func() *caller.Caller { return caller.New(opts.Platform, opts.StoreTimeout) },
		func(c *caller.Caller) *storer.Store { return storer.New(c, opts.WatchTimeout) },
		lister.New,
		func() *meter.Meter { return meter.New(opts.Name) },
		syncer.NewConfigs,
		newFactDispatcher,
		newMessenger,
		newCredentials,
		func(m *messenger.Messenger, clock sequoiasill.Clock, creds credentials.TransportCredentials) *dialer.Dialer {
			return dialer.New(m, clock, creds)
		},
		func(m *messenger.Messenger, clock sequoiasill.Clock) *demander.Demander {
			return demander.New(m, clock)
		},
		func(clock sequoiasill.Clock, d *demander.Demander) *balancer.Balancer {
			return balancer.New(opts.Name, clock, d, log)
		},
		func() *forwarder.Forwarder {
			return forwarder.New(forwarder.Options{DialTimeout: opts.DialTimeout, StallTimeout: opts.StallTimeout})
		},
		func() *retrier.Retrier {
			return retrier.New(retrier.DefaultOptions(), xxhash.Sum64String(opts.Name))
		},
		budgeter.New,
		func(clock sequoiasill.Clock, m *messenger.Messenger) *isolator.Isolator {
			return isolator.New(opts.Name, quarantiner.DefaultOptions(), clock, m, log)
		},
		func(clock sequoiasill.Clock, b *balancer.Balancer, f *forwarder.Forwarder, m *meter.Meter, budgets *budgeter.Budgeter, iso *isolator.Isolator, v generator.Versions) *generator.Generator {
			return generator.New(opts.Name, clock, b, f, m, budgets, iso, v, log)
		},
		func(store *storer.Store, clock sequoiasill.Clock, m *meter.Meter) *recorder.Recorder {
			return recorder.New(store, opts.Buckets, journaler.DefaultOptions(), clock, m, log)
		},
		dialer.NewJournal,
		func(m *messenger.Messenger, j *dialer.Journal, d *dialer.Dialer, clock sequoiasill.Clock) *claimer.Claimer {
			self := m.Self()
			return claimer.New(journaler.Writer{Entry: self.Name, Address: self.Address, Session: self.Session}, j, d, clock, log)
		},
		invoker.New,
		func(g *generator.Generator, m *messenger.Messenger, d *dialer.Dialer) *locator.Locator {
			return locator.New(g, m, d)
		},
		func(c *syncer.Configs, m *messenger.Messenger, d *dialer.Dialer) *spreader.Spreader {
			return spreader.New(c, m, d, log)
		},
		func(clock sequoiasill.Clock, m *messenger.Messenger) *shifter.Shifter {
			return shifter.New(opts.Name, clock, m, log)
		},
		newVersions,
		func(v *versions) generator.Versions { return v },
		func(v *versions) invoker.Versions { return v },
		func(s *spreader.Spreader, store *storer.Store, sh *shifter.Shifter) *spreader.Statuses {
			return spreader.NewStatuses(s, store, func(key string, version uint64, value []byte) {
				sh.HandleFact(gossiper.Fact{Key: key, Version: version, Value: value})
			})
		},
		newCallers,
		newState,
		func(clock sequoiasill.Clock, c *syncer.Configs, r *recorder.Recorder, cl *claimer.Claimer, g *generator.Generator, st *state) *responder.Responder {
			return responder.New(clock, c, r, cl, g, st.draining.Load)
		},
		newServer,
	}
}

// newCredentials returns the credentials for connections between entries: mutual
// TLS if it is configured, otherwise plain text.
func newCredentials(opts Options, st *state, log hclog.Logger) (credentials.TransportCredentials, error) {
	if !opts.PeerTLS.Configured() {
		return insecure.NewCredentials(), nil
	}
	k, err := keyring.New(opts.PeerTLS, st.stopped, log)
	if err != nil {
		return nil, err
	}
	return credentials.NewTLS(k.Mutual()), nil
}

func newCallers(opts Options, clock sequoiasill.Clock, c *syncer.Configs, g *generator.Generator, l *locator.Locator, v *versions, i *invoker.Invoker, m *meter.Meter, log hclog.Logger) *handlers.CallerAPI {
	o := handlers.Options{Entry: opts.Name, DefaultDeadline: opts.DefaultDeadline, QuickTokens: opts.QuickTokens}
	return handlers.New(o, clock, c, g, l, v, i, m, log)
}

// newMessenger creates the messenger, which starts to gossip. The incarnation is
// the start time, so that it increases with each restart; the session is random.
func newMessenger(opts Options, l Listeners, clock sequoiasill.Clock, f *factDispatcher, log hclog.Logger) *messenger.Messenger {
	var session [8]byte
	_, _ = rand.Read(session[:])
	self := gossiper.Member{
		Name: opts.Name, Address: opts.Peer, Zone: opts.Zone,
		Incarnation: uint64(clock.Now()), Session: binary.LittleEndian.Uint64(session[:]),
	}
	g := gossiper.New(self, gossiper.DefaultOptions(), self.Session)
	return messenger.New(g, l.Gossip, []byte(opts.PeerKey), clock, messenger.Handler{MemberChanged: f.handleMember, FactReceived: f.handleFact}, log)
}
