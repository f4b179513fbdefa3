package sequoiasill

import (
	"strconv"
	"time"
)

// Millis is a timestamp or a duration in milliseconds. Timestamps count from the
// Unix epoch.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
	Day           = 24 * Hour
)

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Time converts the timestamp m to a time.Time in UTC.
func (m Millis) Time() time.Time { return time.UnixMilli(int64(m)).UTC() }

// Seconds returns m in whole seconds, rounded up, for the Retry-After header.
func (m Millis) Seconds() int64 { return int64((m + Second - 1) / Second) }

// String formats m as a number with its unit.
func (m Millis) String() string { return strconv.FormatInt(int64(m), 10) + "ms" }

// MillisOf converts a time.Duration, truncating towards zero.
func MillisOf(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock returns the current time.
type Clock interface {
	Now() Millis
}

// SystemClock adds the monotonic time since its creation to the wall time at its
// creation, so it never goes backwards.
type SystemClock struct {
	start time.Time
}

// NewSystemClock returns a clock that starts at the current wall time.
func NewSystemClock() SystemClock { return SystemClock{start: time.Now()} }

// Now returns the current time.
func (c SystemClock) Now() Millis {
	return Millis(c.start.UnixMilli()) + MillisOf(time.Since(c.start))
}
