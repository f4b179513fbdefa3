package connector

// HasIdle reports whether an idle connection to an upstream is kept. It does not check that the
// upstream still holds it open, so that it can be asked for each candidate of each call.
func (c *Connector) HasIdle(upstream string) bool {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle[upstream] {
		if k.expiresAt > now {
			return true
		}
	}
	return false
}
