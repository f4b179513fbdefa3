// Package bootclock provides a clock for instances that may be suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"

	"sequoiasill.dev/sequoiasill"
)

// Clock advances while the instance is suspended, unlike the monotonic clock, and
// is not affected by changes of the wall time. State from before a suspension is thus
// detected as expired.
type Clock struct {
	start sequoiasill.Millis // wall time at creation
	boot  sequoiasill.Millis // time since boot at creation
}

// New returns a clock that starts at the current wall time.
func New() Clock {
	return Clock{start: sequoiasill.Millis(time.Now().UnixMilli()), boot: bootTime()}
}

// Now returns the current time.
func (c Clock) Now() sequoiasill.Millis { return c.start + bootTime() - c.boot }

// bootTime returns the time since boot, including suspensions.
func bootTime() sequoiasill.Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has supported this clock since 2.6.39. Without it, expiry cannot be
		// checked safely.
		panic(err)
	}
	return sequoiasill.Millis(ts.Nano() / int64(time.Millisecond))
}
