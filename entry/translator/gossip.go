// Package translator converts between domain types and the protobuf messages that
// entries exchange.
package translator

import (
	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/entry/peerpb"
)

// EncodeMessage encodes a gossip message. Expiry times are sent relative to now.
func EncodeMessage(m gossiper.Message, now sequoiasill.Millis) *peerpb.Packet {
	p := &peerpb.Packet{
		Kind: int32(m.Kind), Seq: m.Seq, Sender: encodeMember(m.Sender), Target: m.Target, Digest: m.Digest, Reply: m.Reply,
	}
	for _, x := range m.Members {
		p.Members = append(p.Members, encodeMember(x))
	}
	for _, f := range m.Facts {
		w := &peerpb.Fact{Key: f.Key, Version: f.Version, Value: f.Value, Urgent: f.Urgent, Direct: f.Direct}
		if f.Expires > 0 {
			w.RemainingMillis = int64(max(f.Expires-now, 1))
		}
		p.Facts = append(p.Facts, w)
	}
	return p
}

// DecodeMessage decodes a gossip message.
func DecodeMessage(p *peerpb.Packet, now sequoiasill.Millis) gossiper.Message {
	m := gossiper.Message{
		Kind: gossiper.Kind(p.GetKind()), Seq: p.GetSeq(), Sender: decodeMember(p.GetSender()),
		Target: p.GetTarget(), Digest: p.GetDigest(), Reply: p.GetReply(),
	}
	for _, x := range p.GetMembers() {
		m.Members = append(m.Members, decodeMember(x))
	}
	for _, w := range p.GetFacts() {
		f := gossiper.Fact{Key: w.GetKey(), Version: w.GetVersion(), Value: w.GetValue(), Urgent: w.GetUrgent(), Direct: w.GetDirect()}
		if w.GetRemainingMillis() > 0 {
			f.Expires = now + sequoiasill.Millis(w.GetRemainingMillis())
		}
		m.Facts = append(m.Facts, f)
	}
	return m
}

func encodeMember(m gossiper.Member) *peerpb.Member {
	return &peerpb.Member{
		Name: m.Name, Address: m.Address, Zone: m.Zone, Incarnation: m.Incarnation, Session: m.Session,
		State: int32(m.State), Leaving: m.Leaving,
	}
}

func decodeMember(m *peerpb.Member) gossiper.Member {
	return gossiper.Member{
		Name: m.GetName(), Address: m.GetAddress(), Zone: m.GetZone(), Incarnation: m.GetIncarnation(),
		Session: m.GetSession(), State: gossiper.State(m.GetState()), Leaving: m.GetLeaving(),
	}
}
