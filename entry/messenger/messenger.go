// Package messenger exchanges gossip between entries over UDP. It drives the state
// machine of package gossiper.
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
	tickInterval = 100 * time.Millisecond
	// maxPacketBytes is the size of the receive buffer.
	maxPacketBytes = 64 << 10
	macBytes       = 16
)

// Handler contains the functions that are called when a member changes or a new fact
// is received. They must not block.
type Handler struct {
	MemberChanged func(gossiper.Member)
	FactReceived  func(gossiper.Fact)
}

// Messenger runs a gossiper. It is safe for concurrent use.
type Messenger struct {
	clock     sequoiasill.Clock
	conn      net.PacketConn
	key       []byte
	log       hclog.Logger
	handler   Handler
	stop      chan struct{}
	closeOnce sync.Once

	mu       sync.Mutex
	gossiper *gossiper.Gossiper
}

// New returns a Messenger that gossips over conn until Close. Packets are
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
		tick := time.NewTicker(tickInterval)
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
	m.closeOnce.Do(func() {
		close(m.stop)
		_ = m.conn.Close()
	})
}

// SetSeeds sets the addresses, by name, of the entries on the platform's list.
func (m *Messenger) SetSeeds(addresses map[string]string) {
	m.step(gossiper.Seeds{Addresses: addresses})
}

// Publish gossips a fact. With a TTL of 0 it doesn't expire.
func (m *Messenger) Publish(key string, version uint64, value []byte, urgent bool, ttl sequoiasill.Millis) {
	f := gossiper.Fact{Key: key, Version: version, Value: value, Urgent: urgent}
	if ttl > 0 {
		f.Expires = m.clock.Now() + ttl
	}
	m.step(gossiper.Publish{Fact: f})
}

// SendDirect sends a fact to the named members, which do not gossip it further.
func (m *Messenger) SendDirect(members []string, key string, version uint64, value []byte) {
	m.step(gossiper.SendDirect{Members: members, Fact: gossiper.Fact{Key: key, Version: version, Value: value}})
}

// Leave announces to the other entries that this entry is draining.
func (m *Messenger) Leave() { m.step(gossiper.Leave{}) }

// Self returns this entry as announced to the others.
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

// PossiblyAlive returns the number of entries that may be serving, this one included.
func (m *Messenger) PossiblyAlive() int {
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
			m.handler.MemberChanged(a.Member)
		case gossiper.FactReceived:
			m.handler.FactReceived(a.Fact)
		}
	}
}

func (m *Messenger) send(a gossiper.Send) {
	to, err := net.ResolveUDPAddr("udp", a.To)
	if err != nil {
		m.log.Warn("invalid member address", "address", a.To, "error", err)
		return
	}
	packet := translator.EncodeMessage(a.Message, m.clock.Now())
	packet.Mac = m.mac(packet)
	b, err := proto.Marshal(packet)
	if err != nil {
		m.log.Error("failed to encode packet", "error", err)
		return
	}
	if _, err := m.conn.WriteTo(b, to); err != nil {
		m.log.Debug("failed to send packet", "to", a.To, "error", err)
	}
}

func (m *Messenger) receive(b []byte) {
	var p peerpb.Packet
	if err := proto.Unmarshal(b, &p); err != nil {
		m.log.Debug("failed to decode packet", "error", err)
		return
	}
	receivedMAC := p.Mac
	p.Mac = nil
	if !hmac.Equal(receivedMAC, m.mac(&p)) {
		m.log.Debug("packet authentication failed", "sender", p.GetSender().GetName())
		return
	}
	m.step(gossiper.Received{Message: translator.DecodeMessage(&p, m.clock.Now())})
}

// mac returns the truncated HMAC of a packet, whose Mac field must be empty. It
// returns nil without a key.
func (m *Messenger) mac(packet *peerpb.Packet) []byte {
	if len(m.key) == 0 {
		return nil
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(packet)
	if err != nil {
		return nil
	}
	h := hmac.New(sha256.New, m.key)
	_, _ = h.Write(b)
	return h.Sum(nil)[:macBytes]
}
