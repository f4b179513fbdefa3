package engine

import (
	"container/list"
	"sync"
)

// cacheEntries is the capacity of an engine's cache in prefixes.
const cacheEntries = 64

// cacheEvent records that a prefix was stored in or evicted from the cache.
type cacheEvent struct {
	Seq    int    `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Stored bool   `json:"stored"`
}

// prefixCache is an LRU cache of prompt prefixes.
type prefixCache struct {
	mu     sync.Mutex
	size   int
	order  *list.List
	byHash map[uint64]*list.Element
	events []cacheEvent
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, order: list.New(), byHash: make(map[uint64]*list.Element)}
}

// use reports whether the prefix is cached, and stores it if it is not.
func (c *prefixCache) use(prefix uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if el, ok := c.byHash[prefix]; ok {
		c.order.MoveToFront(el)
		return true
	}
	c.byHash[prefix] = c.order.PushFront(prefix)
	c.record(prefix, true)
	if c.order.Len() > c.size {
		last := c.order.Back()
		c.order.Remove(last)
		delete(c.byHash, last.Value.(uint64))
		c.record(last.Value.(uint64), false)
	}
	return false
}

func (c *prefixCache) record(prefix uint64, stored bool) {
	c.events = append(c.events, cacheEvent{Seq: len(c.events) + 1, Prefix: prefix, Stored: stored})
}

// eventsAfter returns the events after a sequence number.
func (c *prefixCache) eventsAfter(seq int) []cacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	if seq < 0 || seq >= len(c.events) {
		return []cacheEvent{}
	}
	return append([]cacheEvent{}, c.events[seq:]...)
}
