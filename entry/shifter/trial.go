package shifter

import (
	"maps"
	"slices"
	"strconv"

	"sequoiasill.dev/sequoiasill/decide/detector"
	"sequoiasill.dev/sequoiasill/decide/mover"
)

// trial is this entry's evidence on a move.
type trial struct {
	total     map[string]mover.Sample // by route, since the start
	judged    map[string]mover.Sample // what the detectors have seen
	detectors map[string]*detector.Detector
	changed   bool
}

func newTrial() *trial {
	return &trial{
		total: make(map[string]mover.Sample), judged: make(map[string]mover.Sample),
		detectors: make(map[string]*detector.Detector),
	}
}

// record takes in how a request went. Slow tells that it took longer than most of the old
// version's do.
func (t *trial) record(route string, isNew, failed, slow bool) {
	c := detector.Counts{Requests: 1}
	switch {
	case failed:
		c.Errors = 1
	case slow:
		c.Slow = 1
	}
	s := t.total[route]
	if isNew {
		s.New = s.New.Add(c)
	} else {
		s.Old = s.Old.Add(c)
	}
	t.total[route] = s
	t.changed = true
}

// judge feeds the detectors with what is new and returns the reason to brake, or
// "".
func (t *trial) judge() string {
	for _, route := range slices.Sorted(maps.Keys(t.total)) {
		now, before := t.total[route], t.judged[route]
		t.judged[route] = now
		d, ok := t.detectors[route]
		if !ok {
			d = detector.New(detector.DefaultOptions())
			t.detectors[route] = d
		}
		if sign := d.Observe(now.Old.Sub(before.Old), now.New.Sub(before.New)); sign != detector.None {
			return string(sign) + " of the new version on " + route + " after " + strconv.Itoa(d.NewRequests()) + " requests here"
		}
	}
	return ""
}
