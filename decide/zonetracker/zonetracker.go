// Package zonetracker decides which availability zones are evacuated: the operator asked that nothing
// more be sent there. Its sources are the records in the platform's store and facts of other entries,
// which may arrive late, more than once and in any order.
//
// A Tracker is a state machine without I/O.
package zonetracker

import (
	"maps"
	"slices"
	"strings"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
)

const (
	// MaxZones is the maximum number of zones that are tracked, so that records of absurd names do not
	// fill the memory. Deployments have a handful.
	MaxZones = 256
	// maxNameBytes is the maximum length of the name of a zone, as in the records of upstreams.
	maxNameBytes = 200
	// eraGrace is how long an evacuation whose record is missing after the store came back from a copy
	// stays in force, so that the operator has the time to record it again. The follower lists the
	// records once more 3 s after the first list in an era.
	eraGrace = 2500 * sequoiasill.Millis(1)
)

// Fact is what is known of the evacuation of a zone.
type Fact struct {
	Zone      string
	Evacuated bool
	// Version is the store version of the record, or of its removal.
	Version uint64
	// Record is the store version of the record that is in force or was removed, 0 if it is unknown.
	Record uint64
}

// zone is the state of one zone.
type zone struct {
	fact         Fact
	missingSince sequoiasill.Millis // when the record was first missing in a new era of the store, else 0
}

// Tracker tracks evacuations. It is not safe for concurrent use.
type Tracker struct {
	zones    map[string]*zone
	listedAt uint64 // store version of the last list of all records
}

// New returns a Tracker that knows of no evacuation.
func New() *Tracker { return &Tracker{zones: make(map[string]*zone)} }

// Record records a fact from the store or from another entry. It returns whether the fact changed what
// is known, with the fact as it is known now.
func (t *Tracker) Record(f Fact) (Fact, bool, error) {
	z, known := t.zones[f.Zone]
	switch {
	case known && f.Version <= z.fact.Version:
		return z.fact, false, nil
	case known && f.Evacuated && z.isRestored(f):
		return z.fact, false, nil
	case !known && (f.Zone == "" || len(f.Zone) > maxNameBytes):
		return f, false, errors.Errorf("the name of the zone has %d bytes", len(f.Zone))
	case !known && len(t.zones) >= MaxZones:
		return f, false, errors.Errorf("more than %d zones are evacuated or were", MaxZones)
	}
	if f.Evacuated && t.isOutdated(z, f) {
		f = Fact{Zone: f.Zone, Version: t.listedAt, Record: f.Version}
	}
	if known && !f.Evacuated && f.Record == 0 {
		f.Record = z.fact.Record
	}
	if f.Evacuated {
		f.Record = f.Version
	}
	t.zones[f.Zone] = &zone{fact: f}
	return f, true, nil
}

// isOutdated reports whether a record that is not in force was removed before the last list, which lacked
// it. It comes from an entry that was cut off at that time.
func (t *Tracker) isOutdated(z *zone, f Fact) bool {
	return (z == nil || !z.fact.Evacuated) && f.Version <= t.listedAt && sequoiasill.StoreEra(f.Version) == sequoiasill.StoreEra(t.listedAt)
}

// isRestored reports whether a record is the one that was removed, and merely came back with a copy of
// the store. One that is recorded again has another revision.
func (z *zone) isRestored(f Fact) bool {
	return !z.fact.Evacuated && z.fact.Record > 0 && sequoiasill.StoreEra(f.Version) > sequoiasill.StoreEra(z.fact.Version) &&
		sequoiasill.StoreRevision(f.Version) == sequoiasill.StoreRevision(z.fact.Record)
}

// List records all records in the store at a revision and returns the facts that follow and that other
// entries may not know. Rejected are the records that cannot be used.
func (t *Tracker) List(now sequoiasill.Millis, records []Fact, revision uint64) (changed []Fact, rejected map[string]error) {
	rejected = make(map[string]error)
	listed := make(map[string]bool)
	for _, f := range records {
		listed[f.Zone] = true
		if z, known := t.zones[f.Zone]; known && z.isRestored(f) && revision > z.fact.Version {
			// Entries that did not see the removal take the restored record for a new one.
			z.fact.Version = revision
			changed = append(changed, z.fact)
			continue
		}
		switch current, isNew, err := t.Record(f); {
		case err != nil:
			rejected[f.Zone] = err
		case isNew:
			changed = append(changed, current)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.zones)) {
		z := t.zones[name]
		if listed[name] {
			z.missingSince = 0
			continue
		}
		if z.fact.Evacuated && z.fact.Version < revision && !z.awaitsOperator(now, revision) {
			z.fact.Evacuated, z.fact.Version = false, revision
			changed = append(changed, z.fact)
		}
		if !z.fact.Evacuated && sequoiasill.StoreEra(z.fact.Version) < sequoiasill.StoreEra(revision) {
			// The copy lacks the removed record, so that one with its revision is new.
			z.fact.Version = revision
			changed = append(changed, z.fact)
		}
	}
	t.listedAt = max(t.listedAt, revision)
	slices.SortFunc(changed, func(a, b Fact) int { return strings.Compare(a.Zone, b.Zone) })
	return changed, rejected
}

// awaitsOperator reports whether a record that is missing at a revision may have been lost with the
// copy from which the store came back, and not long ago.
func (z *zone) awaitsOperator(now sequoiasill.Millis, revision uint64) bool {
	if sequoiasill.StoreEra(revision) == sequoiasill.StoreEra(z.fact.Version) {
		return false
	}
	if z.missingSince == 0 {
		z.missingSince = now
	}
	return now-z.missingSince < eraGrace
}

// Evacuated returns the zones that are evacuated.
func (t *Tracker) Evacuated() map[string]bool {
	out := make(map[string]bool)
	for name, z := range t.zones {
		if z.fact.Evacuated {
			out[name] = true
		}
	}
	return out
}
