package sequoiasill

import "math"

// Numbers that others wrote are converted here only: Go does not define the conversion of a float
// that the integer type cannot hold, and its result differs between processors.

const (
	// MaxNumber is the largest whole number that is taken from others. It is the largest up to which
	// JSON numbers are exact (RFC 8259, 6), and leaves room for sums of hundreds of them.
	MaxNumber = 1<<53 - 1
	// MaxEntries is the largest number of entries for which the system is designed.
	MaxEntries = 380
	// MaxTimestamp is the last timestamp that RFC 3339 can write, the end of the year 9999.
	MaxTimestamp Millis = 253402300799999
	// MaxDuration is the longest duration that is taken from others, a hundred years. It fits into
	// a time.Duration, and so does the sum of two.
	MaxDuration = 36500 * Day
)

// WholeNumber converts a number that another writer wrote, without its fraction. It returns false
// unless the number is from 0 to limit, which is at most MaxNumber.
func WholeNumber(f float64, limit int64) (int64, bool) {
	if !(f >= 0 && f <= float64(min(limit, MaxNumber))) { // false for NaN
		return 0, false
	}
	return int64(f), true
}

// ClampNumber converts a number that another writer wrote to the nearest whole one from 0 to limit,
// which is at most MaxNumber. It is 0 for NaN.
func ClampNumber(f float64, limit int64) int64 {
	if n, ok := WholeNumber(f, limit); ok {
		return n
	}
	if f > 0 {
		return min(limit, MaxNumber)
	}
	return 0
}

// ClampDuration converts a duration that another writer gave as a number of units to one from 0 to
// MaxDuration.
func ClampDuration(f float64, unit Millis) Millis {
	return Millis(ClampNumber(math.Trunc(f*float64(unit)), int64(MaxDuration)))
}
