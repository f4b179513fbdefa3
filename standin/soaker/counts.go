package soaker

import (
	"time"

	"sequoiasill.dev/sequoiasill/decide/auditor"
)

// Counts holds the event counts of a run.
type Counts struct {
	Calls, Succeeded, Refused, Failed, NoResponse int
	Faults                                        map[string]int // faults and planned work, by name
	Lost                                          map[string]int // calls that were accepted and ended without a response under planned work only, by the way they ended
	Retries                                       int
	WorstWindows                                  []auditor.Window // windows with the largest use of the limit on retries, by service
	RateLimited                                   int              // calls that arrived while the upstream's rate limit applied
	PartitionedServed, PartitionedCalls           int              // calls to entries that were partitioned from all replicas
	MaxRateLimitUse                               float64          // largest fraction of the allowed calls that arrived in one window
	MedianLatency, HighLatency                    time.Duration    // of good calls to the plain service, the latter at the 99th percentile
}

// percentile returns a percentile of sorted durations, 0 if there are none.
func percentile(sorted []time.Duration, percent int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[(len(sorted)-1)*percent/100]
}
