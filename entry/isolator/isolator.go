// Package isolator keeps requests that crash upstreams apart. It drives the
// decisions of quarantiner and tells other entries of them.
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

// Prefixes of the facts that tell of crashes and culprits.
const (
	CrashPrefix   = "crash/"   // with upstream and entry; the value is a report
	CulpritPrefix = "culprit/" // with a fingerprint in hexadecimal
)

// Publisher spreads facts between entries.
type Publisher interface {
	Publish(key string, version uint64, value []byte, urgent bool, span sequoiasill.Millis)
}

// Isolator is a quarantiner with a lock and a clock. It is safe for concurrent
// use.
type Isolator struct {
	entry     string
	clock     sequoiasill.Clock
	publisher Publisher
	opts      quarantiner.Options
	log       hclog.Logger

	mu          sync.Mutex
	quarantiner *quarantiner.Quarantiner
	partials    map[partialKey]*partial
}

// maxPartials bounds the reports that are not whole yet.
const maxPartials = 1024

type partialKey struct {
	upstream string
	entry    string
	version  uint64
}

// partial is a report some of whose parts are here.
type partial struct {
	parts  int
	levels quarantiner.Levels
}

// New returns the isolator of the named entry.
func New(entry string, opts quarantiner.Options, clock sequoiasill.Clock, p Publisher, log hclog.Logger) *Isolator {
	return &Isolator{
		entry: entry, clock: clock, publisher: p, opts: opts, log: log.Named("isolator"),
		quarantiner: quarantiner.New(entry, opts),
	}
}

// Step feeds an event.
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

// Learn takes a fact of another entry in.
func (i *Isolator) Learn(f gossiper.Fact) {
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
	names := strings.Split(rest, "/")
	if len(names) != 3 || names[1] == i.entry {
		return
	}
	parts, suspects, err := decodeReport(f.Value)
	if err != nil {
		return
	}
	for _, s := range i.gather(names[0], names[1], f.Version, parts, suspects) {
		i.Step(quarantiner.ReportReceived{Upstream: names[0], Entry: names[1], Suspects: s})
	}
}

// gather joins the parts of a report and returns it, once, when it is whole.
func (i *Isolator) gather(upstream, entry string, version uint64, parts int, suspects quarantiner.Levels) []quarantiner.Levels {
	if parts == 1 {
		return []quarantiner.Levels{suspects}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	key := partialKey{upstream: upstream, entry: entry, version: version}
	if len(i.partials) > maxPartials {
		clear(i.partials)
	}
	p := i.partials[key]
	if p == nil {
		p = &partial{levels: make(quarantiner.Levels)}
		if i.partials == nil {
			i.partials = make(map[partialKey]*partial)
		}
		i.partials[key] = p
	}
	p.parts++
	maps.Copy(p.levels, suspects)
	if p.parts < parts {
		return nil
	}
	delete(i.partials, key)
	return []quarantiner.Levels{p.levels}
}

// Check returns a Failure with the verdict if the request is refused.
func (i *Isolator) Check(digest uint64, v sequoiasill.Verdict) *sequoiasill.Failure {
	i.Step(quarantiner.Tick{})
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, refused := i.quarantiner.Quarantined(i.clock.Now(), quarantiner.Fingerprint(digest)); !refused {
		return nil
	}
	return sequoiasill.NewFailure(v, sequoiasill.CodeQuarantined, 422,
		"this request crashed the upstreams that ran it and is not run again")
}

// Place returns the upstream where a suspect runs apart from others, "" for
// anywhere, once that is settled. It waits by sleep, which returns false if the
// request has to end. A culprit gets a Failure with the verdict.
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
