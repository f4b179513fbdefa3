package shifter

import (
	"maps"
	"slices"
	"strconv"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/detector"
	"sequoiasill.dev/sequoiasill/decide/mover"
)

// trial holds this entry's evidence on a move.
type trial struct {
	total     map[string]mover.Sample // by route, since the start of the trial
	evaluated map[string]mover.Sample // what was passed to the detectors already
	detectors map[string]*detector.Detector
	changed   bool
}

func newTrial() *trial {
	return &trial{
		total: make(map[string]mover.Sample), evaluated: make(map[string]mover.Sample),
		detectors: make(map[string]*detector.Detector),
	}
}

// record counts the outcome of a request. A request is slow if it took longer than most
// requests to the old version.
func (t *trial) record(route string, isNew bool, result sequoiasill.VersionResult, slow bool) {
	c := detector.Counts{Requests: 1}
	switch {
	case result == sequoiasill.VersionFailed:
		c.Errors = 1
	case result == sequoiasill.VersionDeclined:
		c.Declined = 1
	case result == sequoiasill.VersionRejected:
		c = detector.Counts{Rejected: 1}
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

// evaluate passes the new samples to the detectors. It returns the reason to brake the
// move, or "" if no regression is detected.
func (t *trial) evaluate() string {
	for _, route := range slices.Sorted(maps.Keys(t.total)) {
		current, previous := t.total[route], t.evaluated[route]
		t.evaluated[route] = current
		d, ok := t.detectors[route]
		if !ok {
			d = detector.New(detector.DefaultOptions())
			t.detectors[route] = d
		}
		if regression := d.Observe(current.Old.Sub(previous.Old), current.New.Sub(previous.New)); regression != detector.None {
			return string(regression) + " of the new version on " + route + " after " + strconv.Itoa(d.NewRequests()) + " requests here"
		}
	}
	return ""
}
