package rationer

import "sequoiasill.dev/sequoiasill"

// counterSlots is the number of slots that a window is divided into.
const counterSlots = 10

// counter counts the events of a sliding window in slots. It counts no event that is
// older than a window, and may omit those older than nine tenths of one.
type counter struct {
	counts [counterSlots]int
	slot   sequoiasill.Millis // number of the current slot since the epoch
}

// advance clears the slots that have expired, or all slots if the window became longer.
func (c *counter) advance(now, window sequoiasill.Millis) {
	slot := now / max(window/counterSlots, 1)
	if slot < c.slot {
		*c = counter{}
	}
	for n := max(c.slot+1, slot-counterSlots+1); n <= slot; n++ {
		c.counts[n%counterSlots] = 0
	}
	c.slot = slot
}

func (c *counter) add(now, window sequoiasill.Millis) {
	c.advance(now, window)
	c.counts[c.slot%counterSlots]++
}

// last returns the number of events in the last window.
func (c *counter) last(now, window sequoiasill.Millis) int {
	c.advance(now, window)
	sum := 0
	for _, n := range c.counts {
		sum += n
	}
	return sum
}
