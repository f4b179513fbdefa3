// Package locator finds the entry that holds the answer to a request, whether it
// began there or was handed over.
package locator

import (
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/picker"
	"sequoiasill.dev/sequoiasill/entry/generator"
)

// Members tells the live entries.
type Members interface {
	Self() gossiper.Member
	Members() []gossiper.Member
}

// ErrEnding is what a Follower yields on an entry that ends.
const ErrEnding = errors.ConstError("this entry ends")

// Follower opens answers on other entries. A nil mirror means that the entry
// does not hold the request.
type Follower interface {
	Follow(address string, id sequoiasill.RequestID, organisation string, offset int) (mirror *generator.Mirror, moved bool, err error)
}

// Locator finds answers. It is safe for concurrent use.
type Locator struct {
	generator *generator.Generator
	members   Members
	follower  Follower
}

// New returns a locator.
func New(g *generator.Generator, m Members, f Follower) *Locator {
	return &Locator{generator: g, members: m, follower: f}
}

const (
	// candidates is how many entries are asked at once.
	candidates = 8
	// handOverSpan is how long a request that is on its way between entries is
	// looked for.
	handOverSpan = 4 * time.Second
	lookEvery    = 100 * time.Millisecond
)

// OriginOf returns the entry that made the id.
func OriginOf(id sequoiasill.RequestID) string {
	i := strings.LastIndexByte(string(id), '.')
	return string(id)[:max(i, 0)]
}

// Takers returns the entries that should take a request over from one in the
// zone, best first: those that stay, other zones before the same one.
func Takers(members []gossiper.Member, from gossiper.Member, id sequoiasill.RequestID) []gossiper.Member {
	var out []gossiper.Member
	for _, m := range members {
		if m.Name != from.Name && !m.Leaving && m.State == gossiper.Alive {
			out = append(out, m)
		}
	}
	byHash(out, id)
	sort.SliceStable(out, func(i, j int) bool { return out[i].Zone != from.Zone && out[j].Zone == from.Zone })
	return out
}

func byHash(members []gossiper.Member, id sequoiasill.RequestID) {
	sort.Slice(members, func(i, j int) bool {
		return picker.Rendezvous(string(id), 0, members[i].Name) > picker.Rendezvous(string(id), 0, members[j].Name)
	})
}

// Find returns the organisation's answer with the id, from an offset in tokens
// on, from whichever entry holds it. It waits a little for one that is being handed over.
func (l *Locator) Find(id sequoiasill.RequestID, organisation string, offset int) (*generator.Generation, bool) {
	late := time.Now().Add(handOverSpan)
	for {
		gen, found := l.generator.Find(id, organisation)
		if found && !gen.From(offset).Moved {
			return gen, true
		}
		gen, moved, ending := l.ask(id, organisation, offset)
		if gen != nil {
			return gen, true
		}
		if ending || !found && !moved && l.settled(id) || time.Now().After(late) {
			return nil, false
		}
		time.Sleep(lookEvery)
	}
}

// settled reports whether the request's first entry lives and stays, so that its
// word is final.
func (l *Locator) settled(id sequoiasill.RequestID) bool {
	origin := OriginOf(id)
	for _, m := range l.members.Members() {
		if m.Name == origin {
			return !m.Leaving && m.State == gossiper.Alive
		}
	}
	return origin == ""
}

type reply struct {
	mirror *generator.Mirror
	moved  bool
	ending bool
}

// ask looks on the entry that made the id and on those that take over. Ending tells
// that this entry has no ways to them any more.
func (l *Locator) ask(id sequoiasill.RequestID, organisation string, offset int) (gen *generator.Generation, moved, ending bool) {
	asked := l.candidates(id)
	replies := make(chan reply, len(asked))
	for _, m := range asked {
		go func() {
			mirror, moved, err := l.follower.Follow(m.Address, id, organisation, offset)
			if err != nil {
				mirror = nil
			}
			replies <- reply{mirror: mirror, moved: moved, ending: errors.Is(err, ErrEnding)}
		}()
	}
	for range asked {
		r := <-replies
		if r.mirror != nil {
			return r.mirror.Generation(), false, false
		}
		moved = moved || r.moved
		ending = ending || r.ending
	}
	return nil, moved, ending
}

func (l *Locator) candidates(id sequoiasill.RequestID) []gossiper.Member {
	self := l.members.Self()
	var others, out []gossiper.Member
	for _, m := range l.members.Members() {
		switch m.Name {
		case self.Name:
		case OriginOf(id):
			out = append(out, m)
		default:
			others = append(others, m)
		}
	}
	byHash(others, id)
	return append(out, others[:min(len(others), candidates)]...)
}
