package gossiper

import (
	"encoding/binary"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sequoiasill.dev/sequoiasill"
)

// Upper bounds of the encoded sizes in bytes, without strings and values.
const (
	memberBytes = 48
	factBytes   = 24
)

// receive handles a message from another entry.
func (g *Gossiper) receive(now sequoiasill.Millis, m Message) {
	if m.Sender.Name == g.self.Name {
		return
	}
	g.mergeMember(now, m.Sender)
	g.notifySuspect(m.Sender)
	for _, member := range m.Members {
		g.mergeMember(now, member)
	}
	for _, f := range m.Facts {
		if f.Direct {
			g.actions = append(g.actions, FactReceived{Fact: f})
			continue
		}
		g.mergeFact(now, f, m.Kind == Exchange)
	}
	switch m.Kind {
	case Ping:
		g.sendWithUpdates(m.Sender.Address, Message{Kind: Ack, Seq: m.Seq})
	case Ack:
		g.handleAck(m.Seq)
	case PingRequest:
		g.seq++
		g.relays[g.seq] = relay{replyTo: m.Sender.Address, seq: m.Seq, sentAt: now}
		g.sendWithUpdates(m.Target, Message{Kind: Ping, Seq: g.seq})
	case Compare:
		if m.Digest != g.digest() {
			g.sendState(m.Sender.Address, true)
		}
	case Exchange:
		if m.Reply {
			g.sendState(m.Sender.Address, false)
		}
	}
}

// notifySuspect sends its state to a sender that is suspect or dead, so that it can
// refute it.
func (g *Gossiper) notifySuspect(sender Member) {
	p, ok := g.members[sender.Name]
	if ok && p.member.State != Alive && p.member.Incarnation >= sender.Incarnation {
		g.send(sender.Address, Message{Kind: Push, Members: []Member{p.member}})
	}
}

func (g *Gossiper) handleAck(seq uint64) {
	if seq == g.probe.seq {
		g.probe.acked = true
	}
	if r, ok := g.relays[seq]; ok {
		delete(g.relays, seq)
		g.send(r.replyTo, Message{Kind: Ack, Seq: r.seq})
	}
}

// mergeMember merges the received state of a member.
func (g *Gossiper) mergeMember(now sequoiasill.Millis, m Member) {
	if m.Name == "" {
		return
	}
	if m.Name == g.self.Name {
		g.refute(m)
		return
	}
	p, ok := g.members[m.Name]
	if ok && !supersedes(m, p.member) {
		return
	}
	if !ok && m.State == Dead {
		return
	}
	g.setMember(now, m)
}

// supersedes reports whether a takes precedence over b.
func supersedes(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// refute responds to a false suspicion of this entry with a higher incarnation.
func (g *Gossiper) refute(m Member) {
	if m.Incarnation < g.self.Incarnation || m.State == Alive && m.Incarnation == g.self.Incarnation {
		return
	}
	g.self.Incarnation = m.Incarnation + 1
	g.pushSelf()
}

// pushSelf immediately sends this entry's own state to a few members.
func (g *Gossiper) pushSelf() {
	g.enqueue(g.self.Name, &update{member: g.self.Name})
	for _, to := range g.sample(g.opts.Fanout, "") {
		g.sendWithUpdates(to.Address, Message{Kind: Push})
	}
}

func (g *Gossiper) setMember(now sequoiasill.Millis, m Member) {
	old, known := g.members[m.Name]
	next := &peer{member: m, stateSince: now}
	if known {
		if old.member.State == m.State {
			next.stateSince = old.stateSince
		}
	}
	g.members[m.Name] = next
	g.enqueue(m.Name, &update{member: m.Name})
	if !known || old.member != m {
		g.actions = append(g.actions, MemberChanged{Member: m})
	}
}

func (g *Gossiper) enqueue(key string, u *update) {
	g.pending[key] = u
	g.requeue(u)
}

func (g *Gossiper) requeue(u *update) {
	for len(g.pendingBySendCount) <= u.sendCount {
		g.pendingBySendCount = append(g.pendingBySendCount, nil)
	}
	g.pendingBySendCount[u.sendCount] = append(g.pendingBySendCount[u.sendCount], u)
	g.queuedCount++
	if g.queuedCount > staleFactor*(len(g.pending)+1) {
		g.compact()
	}
}

// staleFactor bounds the ratio of queued updates, including superseded ones, to pending
// updates.
const staleFactor = 4

// compact drops superseded updates.
func (g *Gossiper) compact() {
	g.queuedCount = 0
	for i, queue := range g.pendingBySendCount {
		kept := queue[:0]
		for _, u := range queue {
			if g.pending[u.key()] == u {
				kept = append(kept, u)
			}
		}
		clear(queue[len(kept):])
		g.pendingBySendCount[i] = kept
		g.queuedCount += len(kept)
	}
}

// mergeFact merges a received fact and pushes it if it is urgent and new. Facts from an
// Exchange are not pushed, as other members most likely have them already.
func (g *Gossiper) mergeFact(now sequoiasill.Millis, f Fact, exchanged bool) {
	if old, ok := g.facts[f.Key]; ok && old.fact.Version >= f.Version {
		return
	}
	if f.Expires > 0 && f.Expires <= now {
		return
	}
	u := &update{fact: f}
	g.facts[f.Key] = u
	g.actions = append(g.actions, FactReceived{Fact: f})
	if g.isHeartbeat(f.Key) {
		g.pushFact(f)
		g.repushes = append(g.repushes, f)
		return
	}
	g.enqueue(f.Key, u)
	if !f.Urgent || exchanged {
		return
	}
	g.pushFact(f)
	g.repushes = append(g.repushes, f)
}

func (g *Gossiper) isHeartbeat(key string) bool {
	return g.opts.HeartbeatPrefix != "" && strings.HasPrefix(key, g.opts.HeartbeatPrefix)
}

// sendDirect sends a fact to the named members.
func (g *Gossiper) sendDirect(ev SendDirect) {
	f := ev.Fact
	f.Direct = true
	for _, name := range ev.Members {
		if p, ok := g.members[name]; ok && p.member.State != Dead {
			g.send(p.member.Address, Message{Kind: Push, Facts: []Fact{f}})
		}
	}
}

// pushFact sends an urgent fact to a few members.
func (g *Gossiper) pushFact(f Fact) {
	for _, to := range g.sample(g.opts.Fanout, "") {
		g.send(to.Address, Message{Kind: Push, Facts: []Fact{f}})
	}
}

// maxUpdateBytes is the maximum size of an update that is sent with a probe: a UDP packet holds
// 65,507 bytes, and a probe that cannot be sent looks like the death of its receiver.
const maxUpdateBytes = 60_000

// addUpdates adds pending updates to a message up to the packet size: the least often
// transmitted first and, among these, the newest first. An update that is larger than a packet is
// sent without others, so that it does not hold them up.
func (g *Gossiper) addUpdates(m *Message) {
	remaining := g.opts.MaxPacketBytes - memberBytes - len(g.self.Name) - len(g.self.Address)
	limit := g.maxTransmits()
	var added []*update
	for sent := 0; sent < len(g.pendingBySendCount) && remaining > 0; sent++ {
		queue := g.pendingBySendCount[sent]
		for len(queue) > 0 && remaining > 0 {
			u := queue[len(queue)-1]
			if g.pending[u.key()] == u {
				size := g.updateSize(u)
				if size > remaining && len(added) > 0 {
					remaining = 0
					break
				}
				if size <= maxUpdateBytes {
					remaining -= size
					g.appendUpdate(m, u)
					added = append(added, u)
				} else {
					delete(g.pending, u.key())
				}
			}
			queue = queue[:len(queue)-1]
			g.queuedCount--
		}
		g.pendingBySendCount[sent] = queue
	}
	for _, u := range added {
		u.sendCount++
		if u.sendCount >= limit {
			delete(g.pending, u.key())
			continue
		}
		g.requeue(u)
	}
}

func (u *update) key() string {
	if u.member != "" {
		return u.member
	}
	return u.fact.Key
}

func (g *Gossiper) updateSize(u *update) int {
	if u.member == "" {
		return factBytes + len(u.fact.Key) + len(u.fact.Value)
	}
	m := g.member(u.member)
	return memberBytes + len(m.Name) + len(m.Address) + len(m.Zone)
}

func (g *Gossiper) member(name string) Member {
	if name == g.self.Name {
		return g.self
	}
	if p, ok := g.members[name]; ok {
		return p.member
	}
	return Member{}
}

func (g *Gossiper) appendUpdate(m *Message, u *update) {
	if u.member == "" {
		m.Facts = append(m.Facts, u.fact)
		return
	}
	if member := g.member(u.member); member.Name != "" {
		m.Members = append(m.Members, member)
	}
}

// sendState sends the whole state in as many messages as needed. The first message
// requests the receiver's state if reply is set.
func (g *Gossiper) sendState(to string, reply bool) {
	m := Message{Kind: Exchange, Reply: reply}
	remaining := g.opts.MaxPacketBytes
	flushIfFull := func(size int) {
		if size > remaining {
			g.send(to, m)
			m = Message{Kind: Exchange}
			remaining = g.opts.MaxPacketBytes
		}
		remaining -= size
	}
	for _, name := range sortedKeys(g.members) {
		u := &update{member: name}
		flushIfFull(g.updateSize(u))
		g.appendUpdate(&m, u)
	}
	for _, key := range sortedKeys(g.facts) {
		if g.isHeartbeat(key) {
			continue
		}
		u := g.facts[key]
		flushIfFull(g.updateSize(u))
		g.appendUpdate(&m, u)
	}
	g.send(to, m)
}

// digest returns a hash of the members and the urgent facts. Other facts are left out,
// as they change frequently and are replaced by newer versions.
func (g *Gossiper) digest() uint64 {
	d := xxhash.New()
	var b [8]byte
	writeUint64 := func(v uint64) {
		binary.LittleEndian.PutUint64(b[:], v)
		_, _ = d.Write(b[:])
	}
	for _, m := range g.Members() {
		_, _ = d.WriteString(m.Name)
		writeUint64(m.Incarnation)
		writeUint64(uint64(m.State))
	}
	for _, key := range sortedKeys(g.facts) {
		if f := g.facts[key].fact; f.Urgent {
			_, _ = d.WriteString(key)
			writeUint64(f.Version)
		}
	}
	return d.Sum64()
}

func sortedKeys[T any](m map[string]T) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
