// Package gossiper implements group membership and the dissemination of small facts
// among entries by gossip. The traffic of an entry does not grow with the number of
// entries. A gossiper probes one member per period and piggybacks updates on probes
// (SWIM: Das, Gupta and Motivala, DSN 2002), pushes urgent facts immediately, and
// periodically compares its whole state with a random member (anti-entropy). The
// correctness of other parts must not depend on it.
//
// A Gossiper is a state machine without I/O.
package gossiper

import (
	"math/rand/v2"
	"sort"

	"sequoiasill.dev/sequoiasill"
)

// State is the state of a member as seen by the failure detector.
type State int

// The states. At equal incarnations, the higher state takes precedence.
const (
	Alive State = iota
	Suspect
	Dead
)

// Member describes an entry.
type Member struct {
	Name        string
	Address     string // IP and port for peers
	Zone        string
	Incarnation uint64 // incremented only by the member itself
	Session     uint64 // random for each start of the member's process
	State       State
	Leaving     bool
}

// Fact is a small value that is disseminated. Of two facts with the same key, the one
// with the higher version takes precedence.
type Fact struct {
	Key     string
	Version uint64
	Value   []byte
	Urgent  bool               // pushed immediately rather than with the next probe
	Expires sequoiasill.Millis // local time at which the fact is deleted, 0 for never
	Direct  bool               // sent to single members, which do not disseminate it
}

// Kind is the kind of a message.
type Kind int

// The message kinds.
const (
	Ping Kind = iota
	Ack
	PingRequest // asks the receiver to ping Target
	Push        // carries urgent facts or member updates
	Compare     // carries the digest of the sender's state
	Exchange    // carries part of the sender's state, in reply to a Compare
)

// Message is a message between entries.
type Message struct {
	Kind    Kind
	Seq     uint64
	Sender  Member
	Target  string // address to probe, in a PingRequest
	Digest  uint64
	Reply   bool // in an Exchange: the receiver should send its state too
	Members []Member
	Facts   []Fact
}

// Options configure a Gossiper.
type Options struct {
	Period              sequoiasill.Millis // probe interval
	AckTimeout          sequoiasill.Millis // ack timeout before indirect probes
	IndirectProbes      int                // members that are asked for an indirect probe
	Fanout              int                // members to which urgent facts are pushed
	SuspicionMultiplier int                // suspicion timeout in periods per doubling of the members
	TransmitMultiplier  int                // transmissions of an update per doubling of the members
	CompareInterval     sequoiasill.Millis // interval of anti-entropy with a random member
	DeadRetention       sequoiasill.Millis // time after which a dead member is deleted
	MaxPacketBytes      int
	SeedInterval        sequoiasill.Millis // interval of messages to seeds that are unknown or dead
	// HeartbeatPrefix begins the keys of facts of which a newer one follows soon: a member pushes each version
	// twice, as urgent facts, and leaves them out of probes and comparisons. With "" there are none.
	HeartbeatPrefix string
}

// DefaultOptions returns the options that entries use.
func DefaultOptions() Options {
	return Options{
		Period:              sequoiasill.Second,
		AckTimeout:          300,
		IndirectProbes:      3,
		Fanout:              4,
		SuspicionMultiplier: 2,
		TransmitMultiplier:  2,
		CompareInterval:     15 * sequoiasill.Second,
		DeadRetention:       10 * sequoiasill.Minute,
		MaxPacketBytes:      1100,
		SeedInterval:        2 * sequoiasill.Second,
	}
}

// Event is an input of the state machine.
type Event interface{ event() }

// Tick reports that time has passed. It should occur several times per period.
type Tick struct{}

// Received reports a message from another entry.
type Received struct{ Message Message }

// Seeds replaces the seeds: the entries that the platform lists, by name, with their
// addresses.
type Seeds struct{ Addresses map[string]string }

// Publish disseminates a fact of this entry.
type Publish struct{ Fact Fact }

// SendDirect sends a fact directly to the named members, which do not disseminate it.
type SendDirect struct {
	Members []string
	Fact    Fact
}

// Leave marks this entry as leaving.
type Leave struct{}

func (Tick) event()       {}
func (Received) event()   {}
func (Seeds) event()      {}
func (Publish) event()    {}
func (SendDirect) event() {}
func (Leave) event()      {}

// Action is an output of the state machine.
type Action interface{ action() }

// Send sends a message to an address, without guarantee of delivery.
type Send struct {
	To      string
	Message Message
}

// MemberChanged reports a member that is new or has changed, for example its state.
type MemberChanged struct{ Member Member }

// FactReceived reports a new fact, or a new version of a fact.
type FactReceived struct{ Fact Fact }

func (Send) action()          {}
func (MemberChanged) action() {}
func (FactReceived) action()  {}

// Gossiper is the state of one entry. It is not safe for concurrent use.
type Gossiper struct {
	opts               Options
	rand               *rand.Rand
	self               Member
	members            map[string]*peer
	facts              map[string]*update
	pending            map[string]*update // updates still to be sent, by key or member name
	pendingBySendCount [][]*update        // the same by number of transmissions; includes superseded updates until compaction
	queuedCount        int
	repushes           []Fact   // urgent facts to push a second time at the next tick
	probeOrder         []string // member names in the order of the current probe round
	nextProbe          int
	seq                uint64
	probe              probe
	relays             map[uint64]relay // indirect probes for other members, by sequence number
	seeds              map[string]string
	seedsContactedAt   sequoiasill.Millis
	lastCompareAt      sequoiasill.Millis
	actions            []Action
}

type peer struct {
	member       Member
	stateSince   sequoiasill.Millis // when the current state began
	suspectPings int                // pings sent to the suspect so that it can refute the suspicion
}

// update is a fact or a member that is being disseminated.
type update struct {
	fact      Fact
	member    string // name, empty for a fact
	sendCount int
}

type probe struct {
	target    string
	seq       uint64
	startedAt sequoiasill.Millis
	indirect  bool
	acked     bool
}

type relay struct {
	replyTo string
	seq     uint64
	sentAt  sequoiasill.Millis
}

// New returns the gossiper of an entry. The incarnation of self should increase with
// each start of the entry; the start time is suitable.
func New(self Member, opts Options, seed uint64) *Gossiper {
	return &Gossiper{
		opts:    opts,
		rand:    rand.New(rand.NewPCG(seed, 0)),
		self:    self,
		members: make(map[string]*peer),
		facts:   make(map[string]*update),
		pending: make(map[string]*update),
		relays:  make(map[uint64]relay),
		seeds:   make(map[string]string),
	}
}

// Step handles one event and returns the resulting actions, in order.
func (g *Gossiper) Step(now sequoiasill.Millis, ev Event) []Action {
	g.actions = nil
	switch ev := ev.(type) {
	case Tick:
		g.tick(now)
	case Received:
		g.receive(now, ev.Message)
	case Seeds:
		g.seeds = ev.Addresses
		g.contactSeeds(now)
	case Publish:
		g.mergeFact(now, ev.Fact, false)
	case SendDirect:
		g.sendDirect(ev)
	case Leave:
		g.self.Leaving = true
		g.self.Incarnation++
		g.pushSelf()
	}
	return g.actions
}

// Self returns the member that represents this entry.
func (g *Gossiper) Self() Member { return g.self }

// Members returns the members that are not dead, including this entry, sorted by name.
func (g *Gossiper) Members() []Member {
	out := []Member{g.self}
	for _, p := range g.members {
		if p.member.State != Dead {
			out = append(out, p.member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// PossiblyAlive returns the number of entries that may be serving, including this one: all
// members except those that are dead after they announced that they were leaving. A
// dead member may be running behind a network partition. It counts until its
// DeadRetention has passed.
func (g *Gossiper) PossiblyAlive() int {
	n := 1
	for _, p := range g.members {
		if p.member.State != Dead || !p.member.Leaving {
			n++
		}
	}
	return n
}

// Fact returns the fact with the given key.
func (g *Gossiper) Fact(key string) (Fact, bool) {
	u, ok := g.facts[key]
	if !ok {
		return Fact{}, false
	}
	return u.fact, true
}

// Facts calls f with every fact, in no particular order.
func (g *Gossiper) Facts(f func(Fact)) {
	for _, u := range g.facts {
		f(u.fact)
	}
}

func (g *Gossiper) send(to string, m Message) {
	m.Sender = g.self
	g.actions = append(g.actions, Send{To: to, Message: m})
}

// sendWithUpdates sends the message with updates piggybacked on it.
func (g *Gossiper) sendWithUpdates(to string, m Message) {
	g.addUpdates(&m)
	g.send(to, m)
}
