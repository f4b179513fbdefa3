// Package platform simulates the platform's object API, instance list and cloud
// API, with fault injection. docs/PLATFORM.md describes the protocol.
package platform

import (
	"sort"
	"strings"
	"sync"

	"sequoiasill.dev/sequoiasill"
)

// maxValueBytes is the largest value that the object API accepts.
const maxValueBytes = 1 << 20

type object struct {
	version uint64
	value   []byte
	deleted bool
}

// store holds versioned objects. All objects share one version sequence, so the
// version of the last write is also the revision of the store.
type store struct {
	mu       sync.Mutex
	objects  map[string]object
	revision uint64
	changed  chan struct{} // closed and replaced at each write
}

func newStore() *store {
	return &store{objects: make(map[string]object), changed: make(chan struct{})}
}

func (s *store) get(name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	return o, ok && !o.deleted
}

// put writes value if the object's current version equals version. Otherwise it
// returns the current version and false.
func (s *store) put(name string, value []byte, version uint64, deleted bool) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	current := o.version
	if !ok || o.deleted {
		current = 0
	}
	if current != version {
		return current, false
	}
	s.revision++
	s.objects[name] = object{version: s.revision, value: value, deleted: deleted}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision, true
}

type change struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// changesAfter returns the changes under prefix after a revision in order, the
// current revision and a channel that is closed at the next write.
func (s *store) changesAfter(prefix string, after uint64) ([]change, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []change{}
	for name, o := range s.objects {
		if o.version > after && strings.HasPrefix(name, prefix) {
			out = append(out, change{Name: name, Version: o.version, Deleted: o.deleted})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out, s.revision, s.changed
}

// cloud holds the instance list. Only list returns it with a lag.
type cloud struct {
	mu        sync.Mutex
	clock     sequoiasill.Clock
	instances map[string]listedInstance
	tokens    map[string]string // start token to instance name
}

type listedInstance struct {
	wire     wireInstance
	since    sequoiasill.Millis // start of the current state
	previous *wireInstance      // state before since, nil if it was not on the list
	removed  bool
}

func newCloud(clock sequoiasill.Clock) *cloud {
	return &cloud{clock: clock, instances: make(map[string]listedInstance), tokens: make(map[string]string)}
}

func (c *cloud) set(w wireInstance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.update(w, false)
}

func (c *cloud) update(w wireInstance, removed bool) {
	next := listedInstance{wire: w, since: c.clock.Now(), removed: removed}
	if old, ok := c.instances[w.Name]; ok && !old.removed {
		next.previous = &old.wire
	}
	c.instances[w.Name] = next
}

func (c *cloud) get(name string) (wireInstance, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.instances[name]
	return l.wire, ok && !l.removed
}

func (c *cloud) remove(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.instances[name]
	if !ok || l.removed {
		return false
	}
	c.update(l.wire, true)
	return true
}

// announceStop marks an instance as leaving and sets its stop time, after from now.
func (c *cloud) announceStop(name string, after sequoiasill.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.instances[name]
	if !ok || l.removed {
		return false
	}
	w := l.wire
	w.Leaving = true
	w.StopAt = int64(c.clock.Now() + after)
	c.update(w, false)
	return true
}

// list returns the instances as they were the given lag ago.
func (c *cloud) list(lag sequoiasill.Millis) []wireInstance {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	out := []wireInstance{}
	for _, l := range c.instances {
		switch {
		case now-l.since < lag && l.previous != nil:
			out = append(out, *l.previous)
		case now-l.since >= lag && !l.removed:
			out = append(out, l.wire)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
