// Package messenger carries gossip between entries over UDP. It drives the
// decisions of gossiper.
package messenger

import (
	"crypto/hmac"
	"crypto/sha256"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/entry/peerpb"
	"sequoiasill.dev/sequoiasill/entry/translator"
)

const (
	tickEvery = 100 * time.Millisecond
	// maxPacketBytes bounds what is read of a packet.
	maxPacketBytes = 64 << 10
	macBytes       = 16
)

// Handler is told of what gossip brings. Its functions must not block.
type Handler struct {
	Changed func(gossiper.Member)
	Learned func(gossiper.Fact)
}

// Messenger is a running gossiper. It is safe for concurrent use.
type Messenger struct {
	clock   sequoiasill.Clock
	conn    net.PacketConn
	key     []byte
	log     hclog.Logger
	handler Handler
	stop    chan struct{}
	once    sync.Once

	mu       sync.Mutex
	gossiper *gossiper.Gossiper
}

// New returns a messenger that gossips over conn until Close. Packets are
// authenticated with key unless it is empty.
func New(g *gossiper.Gossiper, conn net.PacketConn, key []byte, clock sequoiasill.Clock, handler Handler, log hclog.Logger) *Messenger {
	m := &Messenger{
		clock: clock, conn: conn, key: key, log: log.Named("gossip"), handler: handler,
		stop: make(chan struct{}), gossiper: g,
	}
	go func() {
		buf := make([]byte, maxPacketBytes)
		for {
			n, _, err := conn.ReadFrom(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				m.receive(buf[:n])
			}
		}
	}()
	go func() {
		tick := time.NewTicker(tickEvery)
		defer tick.Stop()
		for {
			select {
			case <-m.stop:
				return
			case <-tick.C:
				m.step(gossiper.Tick{})
			}
		}
	}()
	return m
}

// Close stops gossiping.
func (m *Messenger) Close() {
	m.once.Do(func() {
		close(m.stop)
		_ = m.conn.Close()
	})
}

// Seeds tells the entries on the platform's list, names with addresses.
func (m *Messenger) Seeds(addresses map[string]string) {
	m.step(gossiper.Seeds{Addresses: addresses})
}

// Publish spreads a fact. A span of 0 keeps it for good.
func (m *Messenger) Publish(key string, version uint64, value []byte, urgent bool, span sequoiasill.Millis) {
	f := gossiper.Fact{Key: key, Version: version, Value: value, Urgent: urgent}
	if span > 0 {
		f.Expires = m.clock.Now() + span
	}
	m.step(gossiper.Publish{Fact: f})
}

// Tell sends a fact to the named members, who do not spread it.
func (m *Messenger) Tell(members []string, key string, version uint64, value []byte) {
	m.step(gossiper.SendDirect{Members: members, Fact: gossiper.Fact{Key: key, Version: version, Value: value}})
}

// Leave tells the others that this entry leaves.
func (m *Messenger) Leave() { m.step(gossiper.Leave{}) }

// Self returns this entry as the others know it.
func (m *Messenger) Self() gossiper.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gossiper.Self()
}

// Members returns the live entries, this one included.
func (m *Messenger) Members() []gossiper.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gossiper.Members()
}

// Sharers returns the number of entries that may be at work, this one included.
func (m *Messenger) Sharers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gossiper.PossiblyAlive()
}

// Member returns the live entry with the name.
func (m *Messenger) Member(name string) (gossiper.Member, bool) {
	for _, member := range m.Members() {
		if member.Name == name {
			return member, true
		}
	}
	return gossiper.Member{}, false
}

// Fact returns the fact with the key.
func (m *Messenger) Fact(key string) (gossiper.Fact, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gossiper.Fact(key)
}

func (m *Messenger) step(ev gossiper.Event) {
	m.mu.Lock()
	actions := m.gossiper.Step(m.clock.Now(), ev)
	m.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case gossiper.Send:
			m.send(a)
		case gossiper.MemberChanged:
			m.log.Info("member", "name", a.Member.Name, "state", a.Member.State, "leaving", a.Member.Leaving,
				"incarnation", a.Member.Incarnation)
			m.handler.Changed(a.Member)
		case gossiper.FactReceived:
			m.handler.Learned(a.Fact)
		}
	}
}

func (m *Messenger) send(a gossiper.Send) {
	to, err := net.ResolveUDPAddr("udp", a.To)
	if err != nil {
		m.log.Warn("bad address", "address", a.To, "error", err)
		return
	}
	packet := translator.Packet(a.Message, m.clock.Now())
	packet.Mac = m.mac(packet)
	b, err := proto.Marshal(packet)
	if err != nil {
		m.log.Error("packet not encoded", "error", err)
		return
	}
	if _, err := m.conn.WriteTo(b, to); err != nil {
		m.log.Debug("packet not sent", "to", a.To, "error", err)
	}
}

func (m *Messenger) receive(b []byte) {
	var p peerpb.Packet
	if err := proto.Unmarshal(b, &p); err != nil {
		m.log.Debug("packet not decoded", "error", err)
		return
	}
	got := p.Mac
	p.Mac = nil
	if !hmac.Equal(got, m.mac(&p)) {
		m.log.Debug("packet with a wrong key", "sender", p.GetSender().GetName())
		return
	}
	m.step(gossiper.Received{Message: translator.Message(&p, m.clock.Now())})
}

// mac returns the keyed hash of a packet, which must not bear one.
func (m *Messenger) mac(p *peerpb.Packet) []byte {
	if len(m.key) == 0 {
		return nil
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(p)
	if err != nil {
		return nil
	}
	h := hmac.New(sha256.New, m.key)
	_, _ = h.Write(b)
	return h.Sum(nil)[:macBytes]
}
