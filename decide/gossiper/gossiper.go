// Package gossiper keeps a list of live entries and spreads small facts between
// them at a cost per entry that does not grow with their number. It probes one
// member a period and piggybacks news on probes (SWIM: Das, Gupta and Motivala,
// DSN 2002), pushes urgent news at once, and compares whole states now and then.
// Nothing that must be correct rests on it.
//
// A Gossiper is a state machine without I/O.
package gossiper

import (
	"math/rand/v2"
	"sort"

	"sequoiasill.dev/sequoiasill"
)

// State is what is thought of a member.
type State int

// The states. At equal incarnations the higher one holds.
const (
	Alive State = iota
	Suspect
	Dead
)

// Member is an entry.
type Member struct {
	Name        string
	Address     string // IP and port for peers
	Zone        string
	Incarnation uint64 // raised by the member itself
	Session     uint64 // random at each start of the member's process
	State       State
	Leaving     bool
}

// Fact is a small piece of news. Of two with one key the higher version holds.
type Fact struct {
	Key     string
	Version uint64
	Value   []byte
	Urgent  bool               // pushed at once rather than with the next probe
	Expires sequoiasill.Millis // local time at which it is forgotten, 0 for never
	Direct  bool               // told to one member, which does not spread it
}

// Kind is the kind of a message.
type Kind int

// The kinds of messages.
const (
	Ping Kind = iota
	Ack
	PingRequest // asks the receiver to ping Target
	Push        // carries urgent news
	Compare     // carries the sender's digest
	Exchange    // carries part of the sender's state, in answer to a Compare
)

// Message goes from entry to entry.
type Message struct {
	Kind    Kind
	Seq     uint64
	Sender  Member
	Target  string // address that a PingRequest names
	Digest  uint64
	Reply   bool // the sender of an Exchange wants the receiver's state too
	Members []Member
	Facts   []Fact
}

// Options configure a Gossiper.
type Options struct {
	Period       sequoiasill.Millis // between probes
	AckWait      sequoiasill.Millis // before indirect probes
	Indirect     int                // members asked to probe
	Fanout       int                // members to which urgent news is pushed
	SuspectWaits int                // periods of suspicion for each doubling of the members
	Transmits    int                // times news is sent for each doubling of the members
	CompareEvery sequoiasill.Millis
	ForgetDead   sequoiasill.Millis
	PacketBytes  int
	SeedEvery    sequoiasill.Millis // between pings to listed entries that are not known
}

// DefaultOptions returns the options that entries use.
func DefaultOptions() Options {
	return Options{
		Period:       sequoiasill.Second,
		AckWait:      300,
		Indirect:     3,
		Fanout:       4,
		SuspectWaits: 2,
		Transmits:    2,
		CompareEvery: 15 * sequoiasill.Second,
		ForgetDead:   10 * sequoiasill.Minute,
		PacketBytes:  1100,
		SeedEvery:    2 * sequoiasill.Second,
	}
}

// Event is an input of the gossiper.
type Event interface{ event() }

// Tick lets time pass. It should come several times a period.
type Tick struct{}

// Received is a message that came in.
type Received struct{ Message Message }

// Seeds are entries on the platform's list, by name, with their addresses.
type Seeds struct{ Addresses map[string]string }

// Publish spreads a fact of this entry.
type Publish struct{ Fact Fact }

// Tell sends a fact to some members, by name, who do not spread it.
type Tell struct {
	Members []string
	Fact    Fact
}

// Leave marks this entry as leaving.
type Leave struct{}

func (Tick) event()     {}
func (Received) event() {}
func (Seeds) event()    {}
func (Publish) event()  {}
func (Tell) event()     {}
func (Leave) event()    {}

// Action is an output of the gossiper.
type Action interface{ action() }

// Send sends a message to an address. It may be lost.
type Send struct {
	To      string
	Message Message
}

// Changed tells of a member that came, went or changed.
type Changed struct{ Member Member }

// Learned tells of a fact that is new here.
type Learned struct{ Fact Fact }

func (Send) action()    {}
func (Changed) action() {}
func (Learned) action() {}

// Gossiper is the state of one entry. It is not safe for concurrent use.
type Gossiper struct {
	opts    Options
	rand    *rand.Rand
	self    Member
	members map[string]*peer
	facts   map[string]*rumour
	news    map[string]*rumour // what is still to be sent, by key or member name
	queues  [][]*rumour        // the same by times sent; superseded ones stay for a while
	queued  int
	again   []Fact   // urgent ones to push a second time, at the next tick
	order   []string // members in the order of probes
	next    int
	seq     uint64
	probe   probe
	relays  map[uint64]relay // pings made for others, by sequence number
	seeds   map[string]string
	seeded  sequoiasill.Millis
	compare sequoiasill.Millis
	out     []Action
}

type peer struct {
	member Member
	since  sequoiasill.Millis // of the present state
	asked  int                // times that a suspect was asked to refute
}

// rumour is a fact or a member that is being spread.
type rumour struct {
	fact   Fact
	member string // name, empty for a fact
	sent   int
}

type probe struct {
	target   string
	seq      uint64
	began    sequoiasill.Millis
	indirect bool
	acked    bool
}

type relay struct {
	to  string
	seq uint64
	at  sequoiasill.Millis
}

// New returns the gossiper of an entry. Incarnation should rise with each start
// of the entry; its start time does.
func New(self Member, opts Options, seed uint64) *Gossiper {
	return &Gossiper{
		opts:    opts,
		rand:    rand.New(rand.NewPCG(seed, 0)),
		self:    self,
		members: make(map[string]*peer),
		facts:   make(map[string]*rumour),
		news:    make(map[string]*rumour),
		relays:  make(map[uint64]relay),
		seeds:   make(map[string]string),
	}
}

// Step feeds one event and returns the actions that follow, in order.
func (g *Gossiper) Step(now sequoiasill.Millis, ev Event) []Action {
	g.out = nil
	switch ev := ev.(type) {
	case Tick:
		g.tick(now)
	case Received:
		g.receive(now, ev.Message)
	case Seeds:
		g.seeds = ev.Addresses
		g.ping(now)
	case Publish:
		g.learn(now, ev.Fact, false)
	case Tell:
		g.tell(ev)
	case Leave:
		g.self.Leaving = true
		g.self.Incarnation++
		g.pushSelf()
	}
	return g.out
}

// Self returns this entry as others know it.
func (g *Gossiper) Self() Member { return g.self }

// Members returns the entries that are not thought dead, this one included, by
// name.
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

// Sharers returns the number of entries that may be at work, this one included: those
// that live, and those thought dead that did not say that they leave. One that is only
// cut off looks dead from here.
func (g *Gossiper) Sharers() int {
	n := 1
	for _, p := range g.members {
		if p.member.State != Dead || !p.member.Leaving {
			n++
		}
	}
	return n
}

// Fact returns the fact with the key.
func (g *Gossiper) Fact(key string) (Fact, bool) {
	r, ok := g.facts[key]
	if !ok {
		return Fact{}, false
	}
	return r.fact, true
}

// Facts calls f with every fact, in no order.
func (g *Gossiper) Facts(f func(Fact)) {
	for _, r := range g.facts {
		f(r.fact)
	}
}

func (g *Gossiper) send(to string, m Message) {
	m.Sender = g.self
	g.out = append(g.out, Send{To: to, Message: m})
}

// sendNews fills the rest of the message with news.
func (g *Gossiper) sendNews(to string, m Message) {
	g.fill(&m)
	g.send(to, m)
}
