// Package timer tells time on instances that may be suspended.
package timer

import (
	"time"

	"golang.org/x/sys/unix"

	"sequoiasill.dev/sequoiasill"
)

// BootClock counts on while the instance is suspended, which the monotonic clock
// does not, and never steps with the time of day. What was held before a pause is
// so seen to be out of date.
type BootClock struct {
	start sequoiasill.Millis // time of day at its creation
	boot  sequoiasill.Millis // boot time then
}

// NewBootClock returns a clock that starts at the present time of day.
func NewBootClock() BootClock {
	return BootClock{start: sequoiasill.Millis(time.Now().UnixMilli()), boot: bootTime()}
}

// Now returns the present time.
func (c BootClock) Now() sequoiasill.Millis { return c.start + bootTime() - c.boot }

// bootTime returns the time since the instance started.
func bootTime() sequoiasill.Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it nothing here is safe.
		panic(err)
	}
	return sequoiasill.Millis(ts.Nano() / int64(time.Millisecond))
}
