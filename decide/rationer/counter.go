package rationer

import "sequoiasill.dev/sequoiasill"

// counterSlots is the number of slots that a window is counted in.
const counterSlots = 10

// counter counts events of the last window in slots. What it counts happened within a
// window; it may leave out what is older than nine tenths of one.
type counter struct {
	counts [counterSlots]int
	slot   sequoiasill.Millis // number of the present slot since the epoch
}

// turn clears the slots that have passed, and all where the window has become longer.
func (c *counter) turn(now, window sequoiasill.Millis) {
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
	c.turn(now, window)
	c.counts[c.slot%counterSlots]++
}

// last returns the number of events in the last window.
func (c *counter) last(now, window sequoiasill.Millis) int {
	c.turn(now, window)
	sum := 0
	for _, n := range c.counts {
		sum += n
	}
	return sum
}
