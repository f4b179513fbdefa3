// Package locator finds the entry that holds the response to a request, which is
// either the entry that started the request or one that it was handed over to.
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

// Members provides the live entries.
type Members interface {
	Self() gossiper.Member
	Members() []gossiper.Member
}

// ErrShuttingDown is returned by a Follower on an entry that is shutting down.
const ErrShuttingDown = errors.ConstError("this entry ends")

// Follower fetches responses from other entries. A nil mirror means that the entry
// does not hold the request.
type Follower interface {
	Follow(address string, id sequoiasill.RequestID, organisation string, offset int) (mirror *generator.Mirror, moved bool, err error)
}

// Locator finds responses. It is safe for concurrent use.
type Locator struct {
	generator *generator.Generator
	members   Members
	follower  Follower
}

// New returns a Locator.
func New(g *generator.Generator, m Members, f Follower) *Locator {
	return &Locator{generator: g, members: m, follower: f}
}

const (
	// maxCandidates is the max number of entries queried at once, besides the one
	// that started the request.
	maxCandidates = 8
	// handoverTimeout is how long Find retries for a request that may be in transit
	// between entries.
	handoverTimeout = 4 * time.Second
	retryInterval   = 100 * time.Millisecond
)

// OriginOf returns the name of the entry that generated the ID.
func OriginOf(id sequoiasill.RequestID) string {
	i := strings.LastIndexByte(string(id), '.')
	return string(id)[:max(i, 0)]
}

// HandoverTargets returns the entries that a request should be handed over to, in order of
// preference. Draining entries are excluded, and entries in other zones are preferred
// to those in the zone of the old entry.
func HandoverTargets(members []gossiper.Member, from gossiper.Member, id sequoiasill.RequestID) []gossiper.Member {
	var out []gossiper.Member
	for _, m := range members {
		if m.Name != from.Name && !m.Leaving && m.State == gossiper.Alive {
			out = append(out, m)
		}
	}
	sortByHash(out, id)
	sort.SliceStable(out, func(i, j int) bool { return out[i].Zone != from.Zone && out[j].Zone == from.Zone })
	return out
}

func sortByHash(members []gossiper.Member, id sequoiasill.RequestID) {
	sort.Slice(members, func(i, j int) bool {
		return picker.Rendezvous(string(id), 0, members[i].Name) > picker.Rendezvous(string(id), 0, members[j].Name)
	})
}

// Find returns the organisation's generation with the ID from a token offset,
// whichever entry holds it. It retries for a short time if the generation may be in
// transit between entries.
func (l *Locator) Find(id sequoiasill.RequestID, organisation string, offset int) (*generator.Generation, bool) {
	deadline := time.Now().Add(handoverTimeout)
	for {
		gen, found := l.generator.Find(id, organisation)
		if found && !gen.From(offset).Moved {
			return gen, true
		}
		gen, moved, shuttingDown := l.query(id, organisation, offset)
		if gen != nil {
			return gen, true
		}
		if shuttingDown || !found && !moved && l.originAuthoritative(id) || time.Now().After(deadline) {
			return nil, false
		}
		time.Sleep(retryInterval)
	}
}

// originAuthoritative reports whether the entry that started the request is alive and
// not draining. If so, its reply that it doesn't hold the request is final. It returns
// true also for an ID without an entry name, which no entry has generated.
func (l *Locator) originAuthoritative(id sequoiasill.RequestID) bool {
	origin := OriginOf(id)
	for _, m := range l.members.Members() {
		if m.Name == origin {
			return !m.Leaving && m.State == gossiper.Alive
		}
	}
	return origin == ""
}

type followResult struct {
	mirror       *generator.Mirror
	moved        bool
	shuttingDown bool
}

// query queries the entry that generated the ID and those that may have accepted the
// request in a handover. shuttingDown is true if this entry no longer has connections
// to them.
func (l *Locator) query(id sequoiasill.RequestID, organisation string, offset int) (gen *generator.Generation, moved, shuttingDown bool) {
	targets := l.candidates(id)
	results := make(chan followResult, len(targets))
	for _, m := range targets {
		go func() {
			mirror, moved, err := l.follower.Follow(m.Address, id, organisation, offset)
			if err != nil {
				mirror = nil
			}
			results <- followResult{mirror: mirror, moved: moved, shuttingDown: errors.Is(err, ErrShuttingDown)}
		}()
	}
	for range targets {
		r := <-results
		if r.mirror != nil {
			return r.mirror.Generation(), false, false
		}
		moved = moved || r.moved
		shuttingDown = shuttingDown || r.shuttingDown
	}
	return nil, moved, shuttingDown
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
	sortByHash(others, id)
	return append(out, others[:min(len(others), maxCandidates)]...)
}
