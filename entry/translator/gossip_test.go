package translator

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/entry/peerpb"
)

func TestPacketRoundTrip(t *testing.T) {
	want := gossiper.Message{
		Kind: gossiper.Exchange, Seq: 7, Target: "t", Digest: 9, Reply: true,
		Sender:  gossiper.Member{Name: "a", Address: "1:2", Zone: "z", Incarnation: 3, Session: 4, State: gossiper.Suspect, Leaving: true},
		Members: []gossiper.Member{{Name: "b"}},
		Facts:   []gossiper.Fact{{Key: "k", Version: 5, Value: []byte("v"), Urgent: true, Expires: 150}},
	}
	if diff := cmp.Diff(want, DecodeMessage(EncodeMessage(want, 100), 100)); diff != "" {
		t.Errorf("message (-want +got):\n%s", diff)
	}
}

// FuzzMessage passes arbitrary packets to a Gossiper, which must not panic.
func FuzzMessage(f *testing.F) {
	b, err := proto.Marshal(EncodeMessage(gossiper.Message{Kind: gossiper.Ping, Sender: gossiper.Member{Name: "a"}}, 1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var p peerpb.Packet
		if proto.Unmarshal(data, &p) != nil {
			return
		}
		g := gossiper.New(gossiper.Member{Name: "self"}, gossiper.DefaultOptions(), 1)
		g.Step(1, gossiper.Received{Message: DecodeMessage(&p, 1)})
		g.Step(2000, gossiper.Tick{})
	})
}
