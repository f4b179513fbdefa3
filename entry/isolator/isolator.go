// Package isolator separates and quarantines requests that are suspected of crashing
// upstreams. It drives the state machine of package quarantiner and gossips its
// findings to other entries.
package isolator

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
	"sync"

	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/quarantiner"
)

// Key prefixes of the gossiped facts on crashes and quarantined requests.
const (
	CrashPrefix   = "crash/"   // followed by upstream, entry and part number; the value is a part of a report
	CulpritPrefix = "culprit/" // followed by the fingerprint in hexadecimal; without a value
)

// Publisher gossips facts to other entries.
type Publisher interface {
	Publish(key string, version uint64, value []byte, urgent bool, ttl sequoiasill.Millis)
}

// Isolator wraps a quarantiner with a lock and a clock. It is safe for concurrent
// use.
type Isolator struct {
	entry     string
	clock     sequoiasill.Clock
	publisher Publisher
	opts      quarantiner.Options
	log       hclog.Logger

	mu          sync.Mutex
	quarantiner *quarantiner.Quarantiner
	partials    map[partialKey]*partialReport
}

// maxPartials bounds the number of incomplete reports. Beyond it, all of them are
// dropped.
const maxPartials = 1024

type partialKey struct {
	upstream string
	entry    string
	version  uint64
}

// partialReport is a report of which some parts have been received.
type partialReport struct {
	received int
	levels   quarantiner.Levels
}

// New returns the Isolator of the named entry.
func New(entry string, opts quarantiner.Options, clock sequoiasill.Clock, p Publisher, log hclog.Logger) *Isolator {
	return &Isolator{
		entry: entry, clock: clock, publisher: p, opts: opts, log: log.Named("isolator"),
		quarantiner: quarantiner.New(entry, opts),
	}
}

// Step passes an event to the quarantiner and publishes the resulting reports and
// quarantines.
func (i *Isolator) Step(ev quarantiner.Event) {
	now := i.clock.Now()
	i.mu.Lock()
	actions := i.quarantiner.Step(now, ev)
	i.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case quarantiner.Report:
			i.log.Warn("crash", "upstream", a.Upstream, "suspects", len(a.Suspects))
			key := CrashPrefix + a.Upstream + "/" + i.entry
			for part, value := range encodeReport(a.Suspects) {
				i.publisher.Publish(key+"/"+strconv.Itoa(part), uint64(now), value, true, i.opts.SuspicionTTL)
			}
		case quarantiner.Quarantine:
			i.log.Warn("culprit", "fingerprint", a.Fingerprint, "refused", a.Until-now)
			key := fmt.Sprintf("%s%x", CulpritPrefix, uint64(a.Fingerprint))
			i.publisher.Publish(key, 1, nil, true, a.Until-now)
		}
	}
}

// HandleFact handles a fact received from another entry.
func (i *Isolator) HandleFact(f gossiper.Fact) {
	if rest, ok := strings.CutPrefix(f.Key, CulpritPrefix); ok {
		if fp, err := strconv.ParseUint(rest, 16, 64); err == nil {
			i.Step(quarantiner.QuarantineReceived{Fingerprint: quarantiner.Fingerprint(fp), Until: f.Expires})
		}
		return
	}
	rest, ok := strings.CutPrefix(f.Key, CrashPrefix)
	if !ok {
		return
	}
	segments := strings.Split(rest, "/")
	if len(segments) != 3 || segments[1] == i.entry {
		return
	}
	parts, suspects, err := decodeReport(f.Value)
	if err != nil {
		return
	}
	for _, s := range i.assemble(segments[0], segments[1], f.Version, parts, suspects) {
		i.Step(quarantiner.ReportReceived{Upstream: segments[0], Entry: segments[1], Suspects: s})
	}
}

// assemble adds a part to a report and returns the report when it is complete. It
// returns a report once.
func (i *Isolator) assemble(upstream, entry string, version uint64, parts int, suspects quarantiner.Levels) []quarantiner.Levels {
	if parts == 1 {
		return []quarantiner.Levels{suspects}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	key := partialKey{upstream: upstream, entry: entry, version: version}
	if len(i.partials) > maxPartials {
		clear(i.partials)
	}
	report := i.partials[key]
	if report == nil {
		report = &partialReport{levels: make(quarantiner.Levels)}
		if i.partials == nil {
			i.partials = make(map[partialKey]*partialReport)
		}
		i.partials[key] = report
	}
	report.received++
	maps.Copy(report.levels, suspects)
	if report.received < parts {
		return nil
	}
	delete(i.partials, key)
	return []quarantiner.Levels{report.levels}
}

// Check returns a Failure with the verdict if the request is quarantined.
func (i *Isolator) Check(digest uint64, v sequoiasill.Verdict) *sequoiasill.Failure {
	i.Step(quarantiner.Tick{})
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, quarantined := i.quarantiner.Quarantined(i.clock.Now(), quarantiner.Fingerprint(digest)); !quarantined {
		return nil
	}
	return sequoiasill.NewFailure(v, sequoiasill.CodeQuarantined, 422,
		"this request crashed the upstreams that ran it and is not run again")
}

// Place returns the upstream that a suspect must run on, apart from other suspects, or
// "" for any upstream. While the placement is undecided, it waits by calling sleep,
// which returns false if the request must end. For a quarantined request it returns a
// Failure with the verdict.
func (i *Isolator) Place(digest uint64, v sequoiasill.Verdict, listed func() []string, sleep func(sequoiasill.Millis) bool) (string, *sequoiasill.Failure) {
	for {
		if failure := i.Check(digest, v); failure != nil {
			return "", failure
		}
		p := i.place(digest, listed())
		if p.Wait == 0 || !sleep(p.Wait) {
			return p.Upstream, nil
		}
	}
}

func (i *Isolator) place(digest uint64, upstreams []string) quarantiner.Placement {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.quarantiner.Place(i.clock.Now(), quarantiner.Fingerprint(digest), upstreams)
}
