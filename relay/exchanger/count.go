package exchanger

import (
	"sync"

	"sequoiasill.dev/sequoiasill"
)

const (
	// countSettleTime is how long no further entry may be discovered before the number of entries is
	// taken as known. Entries compare all that they know every 3 s.
	countSettleTime = 3 * sequoiasill.Second
)

// entryCount tells whether the number of entries is known yet. After a restart of many entries each
// knows only itself at first.
type entryCount struct {
	mu      sync.Mutex
	seeds   int
	largest int
	grewAt  sequoiasill.Millis
	settled bool
}

// setSeeds sets the number of other entries in the settings.
func (c *entryCount) setSeeds(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = n
}

// assumed returns the number of entries to assume if n may be alive. Once the number is known it stays
// so, as entries that are lost are counted for a long time.
func (c *entryCount) assumed(now sequoiasill.Millis, n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > c.largest {
		c.largest, c.grewAt = n, now
	}
	discovered := n > 1 || c.seeds == 0
	c.settled = c.settled || discovered && now-c.grewAt >= countSettleTime
	if !c.settled {
		return max(sequoiasill.MaxEntries, n)
	}
	return max(n, c.seeds+1)
}

// AssumedEntries returns the number of entries among which a bound is divided that must hold without
// messages. It is sequoiasill.MaxEntries until the number is known, and later not below the number of entries in
// the settings, some of which this entry may not reach.
func (e *Exchanger) AssumedEntries() int {
	return max(e.count.assumed(e.clock.Now(), e.gossip.PossiblyAlive()), e.opts.MinEntries)
}
