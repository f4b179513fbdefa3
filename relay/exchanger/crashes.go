package exchanger

import (
	"cmp"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/blamer"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/partblamer"
	"sequoiasill.dev/sequoiasill/relay/screener"
)

// crashKeys are the key prefixes of facts about parts of prompts, or about requests, that crash upstreams.
type crashKeys struct {
	crashes     string // + entry: its crash report, sent to collectors only
	suspects    string // + collector: what it suspects
	quarantines string // + signature: its quarantine, or the end of it
}

var (
	partKeys    = crashKeys{crashes: "crashes/", suspects: "suspects/", quarantines: "part/"}
	requestKeys = crashKeys{crashes: "requestCrashes/", suspects: "requestSuspects/", quarantines: "request/"}
)

// partTTL is how long facts about quarantined parts are gossiped. It exceeds the duration of a
// quarantine.
const partTTL = 20 * sequoiasill.Minute

// Screener holds this entry's crashes under parts of prompts, or under requests, and what is quarantined, and
// receives those of other entries.
type Screener interface {
	// Changed receives a value when Exchange should be called.
	Changed() <-chan struct{}
	// Idle reports whether there is nothing to exchange.
	Idle() bool
	// Exchange returns what the other entries must be told. rank is the position of this entry
	// among the collectors, or negative if it is not one.
	Exchange(rank int) screener.Outgoing
	// Flush makes a report of all crashes due at once.
	Flush()
	Merge(process string, r partblamer.Report)
	SetSuspects(collector string, parts []partblamer.Part)
	Quarantine(s partblamer.Signature, since, until sequoiasill.Millis)
	Lift(s partblamer.Signature)
}

// wireCrashReport encodes a report. Times are sent as ages because the clocks of entries differ.
type wireCrashReport struct {
	Crashes []wireCrash      `cbor:"1,keyasint,omitempty"`
	Served  map[uint64]int64 `cbor:"2,keyasint,omitempty"` // age in milliseconds by part
	Process string           `cbor:"3,keyasint,omitempty"`
}

type wireCrash struct {
	_         struct{} `cbor:",toarray"`
	Request   uint64
	Upstream  uint64
	AgeMillis int64
	Parts     []uint64
}

// wireQuarantine encodes the quarantine of a signature.
type wireQuarantine struct {
	Parts           []uint64 `cbor:"1,keyasint"`
	Lifted          bool     `cbor:"2,keyasint,omitempty"`
	AgeMillis       int64    `cbor:"3,keyasint,omitempty"`
	RemainingMillis int64    `cbor:"4,keyasint,omitempty"`
}

// exchangeAllCrashes exchanges crashes under parts of prompts and under requests.
func (e *Exchanger) exchangeAllCrashes() {
	e.exchangeCrashes(e.screener, partKeys)
	e.exchangeCrashes(e.requests, requestKeys)
}

// exchangeCrashes tells the collectors of crashes under calls of this entry, and all entries of
// what is suspected and quarantined.
func (e *Exchanger) exchangeCrashes(screen Screener, keys crashKeys) {
	e.crashesMu.Lock()
	defer e.crashesMu.Unlock()
	if screen.Idle() {
		return
	}
	collectors := e.collectors()
	out := screen.Exchange(slices.Index(collectors, e.opts.Name))
	now := e.clock.Now()
	if out.ReportDue {
		if b, ok := encodeFact(e, toWireReport(e.processID(), out.Report, now)); ok {
			e.gossip.SendDirect(collectors, keys.crashes+e.opts.Name, uint64(now), b)
		}
	}
	for _, c := range out.Changes {
		if c.Signature == nil {
			e.publishNewer(keys.suspects+e.opts.Name, fromParts(c.Suspects))
			continue
		}
		e.publishNewer(keys.quarantines+c.Signature.String(), wireQuarantine{
			Parts: fromParts(c.Signature), Lifted: !c.Quarantined, AgeMillis: int64(now - c.Since), RemainingMillis: int64(c.Until - now),
		})
	}
}

// publishNewer publishes a value that supersedes the known fact with the same key, which another
// entry, whose clock may be ahead, may have published.
func (e *Exchanger) publishNewer(key string, value any) {
	b, ok := encodeFact(e, value)
	if !ok {
		return
	}
	e.gossip.Publish(key, e.newerVersion(key), b, true, partTTL)
}

// newerVersion returns a version of a fact that supersedes the known one: the time, or the version
// after the known one if that was published in the same millisecond or by a clock that is ahead.
func (e *Exchanger) newerVersion(key string) uint64 {
	version := uint64(e.clock.Now())
	if f, known := e.gossip.Fact(key); known {
		version = max(version, f.Version+1)
	}
	return version
}

// encodeFact encodes the value of a fact and logs a failure.
func encodeFact(e *Exchanger, value any) ([]byte, bool) {
	b, err := cbor.Marshal(value)
	if err != nil {
		e.log.Error("cannot encode fact", "error", errors.Trace(err))
		return nil, false
	}
	return b, true
}

// handleCrashes merges the crash report of another entry. Older builds do not name their process.
func (e *Exchanger) handleCrashes(screen Screener, entry string, f gossiper.Fact) {
	if r, ok := decodeFact[wireCrashReport](e, f); ok {
		screen.Merge(cmp.Or(r.Process, entry), fromWireReport(r, e.clock.Now()))
	}
}

// handleSuspects handles the list of what a collector suspects.
func (e *Exchanger) handleSuspects(screen Screener, collector string, f gossiper.Fact) {
	if parts, ok := decodeFact[[]uint64](e, f); ok {
		screen.SetSuspects(collector, toParts(parts))
	}
}

// handleSignature handles a quarantine or its end.
func (e *Exchanger) handleSignature(screen Screener, f gossiper.Fact) {
	w, ok := decodeFact[wireQuarantine](e, f)
	if !ok {
		return
	}
	signature := partblamer.Signature(toParts(w.Parts))
	if w.Lifted {
		screen.Lift(signature)
		return
	}
	publishedAt := f.Expires - partTTL
	screen.Quarantine(signature, publishedAt-sequoiasill.Millis(w.AgeMillis), publishedAt+sequoiasill.Millis(w.RemainingMillis))
}

// decodeFact decodes the value of a fact and logs a failure.
func decodeFact[T any](e *Exchanger, f gossiper.Fact) (T, bool) {
	var out T
	if err := cbor.Unmarshal(f.Value, &out); err != nil {
		e.log.Warn("fact cannot be read", "key", f.Key, "error", errors.Trace(err))
		return out, false
	}
	return out, true
}

func toWireReport(process string, r partblamer.Report, now sequoiasill.Millis) wireCrashReport {
	w := wireCrashReport{Process: process, Served: make(map[uint64]int64, len(r.Served))}
	for _, c := range r.Crashes {
		w.Crashes = append(w.Crashes, wireCrash{Request: c.Request, Upstream: c.Upstream, AgeMillis: int64(now - c.At), Parts: fromParts(c.Parts)})
	}
	for p, at := range r.Served {
		w.Served[uint64(p)] = int64(now - at)
	}
	return w
}

func fromWireReport(w wireCrashReport, now sequoiasill.Millis) partblamer.Report {
	r := partblamer.Report{Served: make(map[partblamer.Part]sequoiasill.Millis, len(w.Served))}
	for _, c := range w.Crashes {
		r.Crashes = append(r.Crashes, partblamer.Crash{Request: c.Request, Upstream: c.Upstream, At: now - sequoiasill.Millis(c.AgeMillis), Parts: toParts(c.Parts)})
	}
	for p, age := range w.Served {
		r.Served[partblamer.Part(p)] = now - sequoiasill.Millis(age)
	}
	return r
}

// toParts returns parts in ascending order.
func toParts(ids []uint64) []partblamer.Part {
	out := make([]partblamer.Part, len(ids))
	for i, id := range ids {
		out[i] = partblamer.Part(id)
	}
	slices.Sort(out)
	return out
}

func fromParts(parts []partblamer.Part) []uint64 {
	out := make([]uint64, len(parts))
	for i, p := range parts {
		out[i] = uint64(p)
	}
	return out
}

// handleCrashFact dispatches a fact about parts of prompts or about requests. It reports whether it was one.
func (e *Exchanger) handleCrashFact(f gossiper.Fact) bool {
	return e.handleFactOf(e.screener, partKeys, f) || e.handleFactOf(e.requests, requestKeys, f)
}

func (e *Exchanger) handleFactOf(screen Screener, keys crashKeys, f gossiper.Fact) bool {
	if entry, ok := strings.CutPrefix(f.Key, keys.crashes); ok {
		e.handleCrashes(screen, entry, f)
		return true
	}
	if collector, ok := strings.CutPrefix(f.Key, keys.suspects); ok {
		e.handleSuspects(screen, collector, f)
		return true
	}
	if strings.HasPrefix(f.Key, keys.quarantines) {
		e.handleSignature(screen, f)
		return true
	}
	return false
}

// mergeOlderCharges merges the charges of a process of a build that does not report crashes under requests.
func (e *Exchanger) mergeOlderCharges(process string, charges []blamer.Charge) {
	for fp, until := range e.calls.MergeCharges(process, charges) {
		e.AnnounceQuarantine(fp, until)
	}
	var r partblamer.Report
	for _, c := range charges {
		r.Crashes = append(r.Crashes, partblamer.Crash{
			Request: uint64(c.Fingerprint), Upstream: c.Upstream, At: c.At, Parts: partblamer.RequestPart(uint64(c.Fingerprint)),
		})
	}
	e.requests.Merge(process, r)
}
