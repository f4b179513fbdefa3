package admitter_test

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/admitter"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

var (
	full   = registrar.Load{Running: 12, Waiting: 24, Slots: 12}
	lesser = admitter.Request{Service: "s", Priority: 2, TargetLatency: 1000, Timeout: 4000, Remaining: 4000}
)

// hour is the time of the decisions, and reportGap the time between reports.
const (
	hour      = sequoiasill.Hour
	reportGap = 80 * sequoiasill.Millis(1)
)

// reporting returns an admitter of a service with routes of two priorities that got some reports
// until now.
func reporting(engine bool, n int, l registrar.Load) *admitter.Admitter {
	a := admitter.New(admitter.DefaultOptions(), 1)
	a.SetTraffic(traffic(engine, []class{{priority: 0}, {priority: 2}}))
	for i := range sequoiasill.Millis(n) {
		a.RecordLoad(hour-i*reportGap, "s", l)
		a.RecordEnd(hour-i*reportGap, "s", 300, l)
	}
	return a
}

// Without sound and fresh reports of saturated upstreams, nothing may be refused.
func TestDecide(t *testing.T) {
	type result struct {
		refused bool
		a       *admitter.Admitter
		now     sequoiasill.Millis
		r       admitter.Request
	}
	with := func(change func(r *admitter.Request)) admitter.Request {
		r := lesser
		change(&r)
		return r
	}
	rejecting := func(l registrar.Load, reported bool) *admitter.Admitter {
		a := reporting(true, 0, full)
		for range 20 {
			a.RecordRejected(hour, "s", l, reported)
		}
		return a
	}
	onePriority := reporting(true, 12, full)
	onePriority.SetTraffic(traffic(true, []class{{priority: 2}}))
	faulty := reporting(true, 19, registrar.Load{Running: 12, Slots: 12})
	faulty.RecordLoad(hour, "s", registrar.Load{Running: math.MaxInt32, Waiting: math.MaxInt32, Slots: 1})
	senseless := reporting(true, 12, registrar.Load{Running: -5, Waiting: -5, Slots: 12})
	senseless.RecordLoad(hour, "s", registrar.Load{Waiting: 9})
	senseless.RecordEnd(hour, "s", -9, full)
	uneven := reporting(false, 9, registrar.Load{Running: 6, Slots: 12}) // a call holds a slot for 300 ms
	for range 3 {
		uneven.RecordLoad(hour, "s", registrar.Load{Running: 11, Waiting: 80, Slots: 12})
	}
	tests := map[string]result{
		"saturated engines":                       {true, reporting(true, 12, full), hour, lesser},
		"saturated plain upstreams":               {true, reporting(false, 12, full), hour, lesser},
		"a report between two calls":              {true, reporting(true, 12, registrar.Load{Running: 9, Waiting: 24, Slots: 12}), hour, lesser},
		"the most urgent rank":                    {false, reporting(true, 12, full), hour, with(func(r *admitter.Request) { r.Priority = 0 })},
		"the most urgent rank at plain upstreams": {true, reporting(false, 12, full), hour, with(func(r *admitter.Request) { r.Priority, r.TargetLatency = 0, 250 })},
		"no target at plain upstreams":            {false, reporting(false, 12, full), hour, with(func(r *admitter.Request) { r.TargetLatency = 0 })},
		"less time left than the expected wait":   {true, reporting(true, 12, full), hour, with(func(r *admitter.Request) { r.Remaining = 100 })},
		"less than the band":                      {false, reporting(true, 12, registrar.Load{Running: 12, Waiting: 5, Slots: 12}), hour, lesser},
		"reports that stopped":                    {false, reporting(true, 12, full), hour + 1000, lesser},
		"a clock that jumped ahead":               {false, reporting(true, 12, full), 2 * hour, lesser},
		"a clock that was set back":               {false, reporting(true, 12, full), hour / 2, lesser},
		"a new process":                           {false, reporting(true, 0, full), hour, lesser},
		"few reports":                             {false, reporting(true, 4, full), hour, lesser},
		"a queue beside idle upstreams":           {false, uneven, hour, lesser},
		"one upstream of twenty that is faulty":   {false, faulty, hour, lesser},
		"reports that make no sense":              {false, senseless, hour, lesser},
		"rejections with a full queue":            {true, rejecting(registrar.Load{Running: 12, Waiting: 1, Slots: 12}, true), hour, lesser},
		"rejections with room":                    {false, rejecting(registrar.Load{Running: 11, Slots: 12}, true), hour, lesser},
		"rejections alone":                        {false, rejecting(registrar.Load{}, false), hour, lesser},
		"routes of one priority":                  {false, onePriority, hour, lesser},
		"an unknown service":                      {false, reporting(true, 12, full), hour, with(func(r *admitter.Request) { r.Service = "other" })},
		"a priority that is not configured":       {false, reporting(true, 12, full), hour, with(func(r *admitter.Request) { r.Priority = 1 })},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tc.a.RecordLoad(tc.now, "other", full)
			if d := tc.a.Decide(tc.now, tc.r); d.Refused != tc.refused {
				t.Errorf("decision %+v, want refused %t", d, tc.refused)
			}
		})
	}
}

// Less urgent ranks must be refused before more urgent ones, returning callers half as often as
// others, and all ranks but the first before upstreams reject.
func TestProbabilityByRank(t *testing.T) {
	tests := map[string]struct {
		waiting   int // at 12 slots
		remaining sequoiasill.Millis
		want      []float64 // by rank
	}{
		"below all bands":    {5, 4000, []float64{0, 0, 0, 0}},
		"in the lowest band": {12, 4000, []float64{0, 0, 0.2, 0.67}},
		"in several bands":   {18, 4000, []float64{0, 0.4, 0.87, 1}},
		"above all bands":    {24, 4000, []float64{0, 1, 1, 1}},
		"returning callers":  {24, 2900, []float64{0, 0.5, 0.5, 0.5}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			a := reporting(true, 12, registrar.Load{Running: 12, Waiting: tc.waiting, Slots: 12})
			a.SetTraffic(traffic(true, []class{{priority: 3}, {priority: 0}, {priority: 1}, {priority: 8}, {priority: 1}}))
			var got []float64
			for _, priority := range []int{0, 1, 3, 8} {
				r := lesser
				r.Priority, r.Remaining = priority, tc.remaining
				got = append(got, math.Round(100*a.Decide(hour, r).Probability)/100)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("probabilities by rank (-want +got):\n%s", diff)
			}
		})
	}
}

// Refused callers must not return all at once, nor be told to wait longer than they accept.
func TestRetryAfterIsSpread(t *testing.T) {
	for _, remaining := range []sequoiasill.Millis{4000, 900} {
		r, seen := lesser, make(map[sequoiasill.Millis]bool)
		r.Remaining = remaining
		a := reporting(true, 12, full)
		for range 200 {
			if d := a.Decide(hour, r); d.Refused {
				seen[d.RetryAfter] = true
				if d.RetryAfter < 250 || d.RetryAfter > min(750, remaining/3) {
					t.Fatalf("with %s left, retry after %s", remaining, d.RetryAfter)
				}
			}
		}
		if len(seen) < 10 {
			t.Errorf("with %s left, %d different times to retry after", remaining, len(seen))
		}
	}
}
