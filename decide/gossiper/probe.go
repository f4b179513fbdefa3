package gossiper

import (
	"sort"

	"sequoiasill.dev/sequoiasill"
)

// tick runs the periodic work: probes and their timeouts, second pushes, expiry,
// messages to seeds, and anti-entropy.
func (g *Gossiper) tick(now sequoiasill.Millis) {
	if g.probe.target != "" && !g.probe.acked && !g.probe.indirect && now-g.probe.startedAt >= g.opts.AckTimeout {
		g.probe.indirect = true
		g.requestIndirectProbes()
	}
	for _, f := range g.repushes {
		g.pushFact(f)
	}
	g.repushes = nil
	if now-g.probe.startedAt >= g.opts.Period {
		g.suspectUnacked(now)
		g.expire(now)
		g.startProbe(now)
	}
	if now-g.seedsContactedAt >= g.opts.SeedInterval {
		g.contactSeeds(now)
	}
	if now-g.lastCompareAt >= g.opts.CompareInterval {
		g.lastCompareAt = now
		if m, ok := g.randomMember(); ok {
			g.send(m.Address, Message{Kind: Compare, Digest: g.digest()})
		}
	}
}

// startProbe pings the next member of the shuffled probe round.
func (g *Gossiper) startProbe(now sequoiasill.Millis) {
	g.probe = probe{startedAt: now, acked: true}
	for range len(g.members) + 1 {
		if g.nextProbe >= len(g.probeOrder) {
			g.shuffle()
		}
		if len(g.probeOrder) == 0 {
			return
		}
		name := g.probeOrder[g.nextProbe]
		g.nextProbe++
		p, ok := g.members[name]
		if !ok || p.member.State == Dead {
			continue
		}
		g.seq++
		g.probe = probe{target: name, seq: g.seq, startedAt: now}
		g.sendWithUpdates(p.member.Address, Message{Kind: Ping, Seq: g.seq})
		return
	}
}

func (g *Gossiper) shuffle() {
	g.probeOrder = g.probeOrder[:0]
	for name := range g.members {
		g.probeOrder = append(g.probeOrder, name)
	}
	sort.Strings(g.probeOrder)
	g.rand.Shuffle(len(g.probeOrder), func(i, j int) { g.probeOrder[i], g.probeOrder[j] = g.probeOrder[j], g.probeOrder[i] })
	g.nextProbe = 0
}

// expire declares suspects dead after the suspicion timeout and deletes expired state.
func (g *Gossiper) expire(now sequoiasill.Millis) {
	for _, name := range sortedKeys(g.members) {
		p := g.members[name]
		switch {
		case p.member.State == Suspect && now-p.stateSince >= g.suspicionTimeout():
			m := p.member
			m.State = Dead
			g.setMember(now, m)
		case p.member.State == Suspect:
			g.pingSuspect(now, p)
		case p.member.State == Dead && now-p.stateSince >= g.opts.DeadRetention:
			delete(g.members, name)
		}
	}
	for seq, r := range g.relays {
		if now-r.sentAt > g.opts.Period {
			delete(g.relays, seq)
		}
	}
	for key, u := range g.facts {
		if u.fact.Expires > 0 && u.fact.Expires <= now {
			delete(g.facts, key)
			delete(g.pending, key)
		}
	}
}

// pingSuspect pings a suspect a few times before the suspicion timeout, as this entry
// may have missed the refutation.
func (g *Gossiper) pingSuspect(now sequoiasill.Millis, p *peer) {
	const pings = 3
	due := int((now - p.stateSince) * (pings + 1) / g.suspicionTimeout())
	if due <= p.suspectPings {
		return
	}
	p.suspectPings = due
	g.seq++
	g.send(p.member.Address, Message{Kind: Ping, Seq: g.seq, Members: []Member{p.member}})
}

func (g *Gossiper) requestIndirectProbes() {
	target, ok := g.members[g.probe.target]
	if !ok {
		return
	}
	for _, m := range g.sample(g.opts.IndirectProbes, g.probe.target) {
		g.sendWithUpdates(m.Address, Message{Kind: PingRequest, Seq: g.probe.seq, Target: target.member.Address})
	}
}

// suspectUnacked marks the probed member as suspect if the probe was not acknowledged.
func (g *Gossiper) suspectUnacked(now sequoiasill.Millis) {
	p, ok := g.members[g.probe.target]
	if !ok || g.probe.acked || p.member.State != Alive {
		return
	}
	m := p.member
	m.State = Suspect
	g.setMember(now, m)
}

// suspicionTimeout grows with the logarithm of the number of members, as a suspicion
// needs that long to reach the suspect and its refutation to return.
func (g *Gossiper) suspicionTimeout() sequoiasill.Millis {
	return g.opts.Period * sequoiasill.Millis(g.opts.SuspicionMultiplier*log2(len(g.members)+1)+1)
}

func (g *Gossiper) maxTransmits() int { return g.opts.TransmitMultiplier * log2(len(g.members)+1) }

// log2 returns the base-2 logarithm of n, rounded up, but at least 1.
func log2(n int) int {
	k := 1
	for 1<<k < n {
		k++
	}
	return k
}

// contactSeeds sends digests to seeds that are unknown or dead, so that partitions merge
// after they heal.
func (g *Gossiper) contactSeeds(now sequoiasill.Millis) {
	g.seedsContactedAt = now
	names := make([]string, 0, len(g.seeds))
	for name := range g.seeds {
		if p, ok := g.members[name]; name != g.self.Name && (!ok || p.member.State == Dead) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	g.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names[:min(len(names), g.opts.Fanout)] {
		g.send(g.seeds[name], Message{Kind: Compare, Digest: g.digest()})
	}
}

func (g *Gossiper) randomMember() (Member, bool) {
	s := g.sample(1, "")
	if len(s) == 0 {
		return Member{}, false
	}
	return s[0], true
}

// sample returns up to n random members that are not dead, without the member except.
func (g *Gossiper) sample(n int, except string) []Member {
	if len(g.probeOrder) == 0 {
		g.shuffle()
	}
	if len(g.probeOrder) == 0 {
		return nil
	}
	var out []Member
	start := g.rand.IntN(len(g.probeOrder))
	for i := range g.probeOrder {
		name := g.probeOrder[(start+i)%len(g.probeOrder)]
		p, ok := g.members[name]
		if ok && name != except && p.member.State != Dead {
			out = append(out, p.member)
		}
		if len(out) == n {
			break
		}
	}
	return out
}
