package soaker

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"sequoiasill.dev/sequoiasill"
)

// headerPrompt is the header that lists the parts of a call's prompt.
const headerPrompt = "Prefix-Hash"

const (
	deadlyPartFault = "send prompts with a part that crashes replicas"
	// firstPart starts all prompts. It is followed by one of promptGroups parts that many
	// prompts share, and ends in a part of its own.
	firstPart    = "f1:200"
	promptGroups = 4
	// deadlyPer1000 is the fraction of prompts that hold the deadly part while the fault lasts.
	// They are all of the first group.
	deadlyPer1000 = 40
	// deadlyTime is the duration of the fault in runs that are at least as long. Sound calls are
	// checked from soundCallsDelay after the fifth crash on.
	deadlyTime = 14 * time.Second
)

// newPrompt returns the prompt of a call. It holds the deadly part if one is in use and drawn
// (a number below 1000) is small, in the place of the call's own part if hidden is set.
func newPrompt(id string, group, drawn int, deadly string, hidden bool) string {
	own := fmt.Sprintf("%x:20", hash(id))
	switch {
	case deadly != "" && drawn < deadlyPer1000 && hidden:
		return strings.Join([]string{firstPart, "a0:100", deadly + ":60"}, ",")
	case deadly != "" && drawn < deadlyPer1000:
		return strings.Join([]string{firstPart, "a0:100", deadly + ":60", own}, ",")
	}
	return strings.Join([]string{firstPart, fmt.Sprintf("a%x:100", group), own}, ",")
}

// currentDeadlyPart returns the ID of the part that crashes replicas, or an empty string.
func (h *Harness) currentDeadlyPart() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.deadlyPart
}

// sendDeadlyPrompts makes callers send prompts with a new part that crashes the replicas that
// begin to respond to it.
func (h *Harness) sendDeadlyPrompts(duration time.Duration) {
	h.withExclusive("prompts", 0, func() {
		h.mu.Lock()
		h.lastNumber++
		h.deadlyPart = fmt.Sprintf("dead%x", h.lastNumber)
		h.mu.Unlock()
		time.Sleep(max(duration, min(deadlyTime, h.opts.Duration)))
		h.mu.Lock()
		defer h.mu.Unlock()
		h.deadlyPart = ""
	})
}

// deadlyPartOf returns the part of a prompt that crashes replicas, or an empty string.
func deadlyPartOf(prompt string) string {
	for part := range strings.SplitSeq(prompt, ",") {
		if id, _, _ := strings.Cut(part, ":"); strings.HasPrefix(id, "dead") {
			return id
		}
	}
	return ""
}

// crashUnderPart crashes the replica and aborts the other calls in flight there.
func (r *replica) crashUnderPart(part string) {
	r.checker.recordPartCrash(part)
	go r.onCrash(r)
	panic(http.ErrAbortHandler)
}

// Tolerances of the check of prompts that crash replicas.
const (
	// noticeableCrashes is the number of crashes after which a part must be recognised.
	noticeableCrashes = 5
	// quarantineNotice is the time from then on in which calls with the part may still arrive,
	// and for which an entry must have been undisturbed to be held to it. maxLateArrivals may
	// arrive later.
	quarantineNotice = 3 * sequoiasill.Second
	maxLateArrivals  = 3
	// soundCallsDelay is the time from then on after which sound calls must be served as usual.
	soundCallsDelay = 2 * quarantineNotice
	// minSoundCalls is the number of calls from which on they are checked, and minSoundRatio the
	// fraction of the usual success rate that is required.
	minSoundCalls = 20
	minSoundRatio = 0.5
)

// promptChecker checks that calls with a part that crashes replicas stop reaching them, and that
// calls that share their other parts are served. All times must come from one clock. It is not
// safe for concurrent use.
type promptChecker struct {
	parts          map[string]*deadlyPartRecord
	lastDisruption map[int]sequoiasill.Millis // by entry
	usual          tally                      // sound calls while there is no fault
	violations     []string
}

// deadlyPartRecord is what was observed of a part that crashes replicas.
type deadlyPartRecord struct {
	crashes      int
	noticeableAt sequoiasill.Millis // time of the crash number noticeableCrashes, 0 before it
	late         int
	lateBy       countByBuild
	sound        tally // sound calls while calls with the part come
}

// tally counts calls.
type tally struct{ calls, served int }

func (t *tally) add(served bool) {
	t.calls++
	if served {
		t.served++
	}
}

func (t tally) rate() float64 { return float64(t.served) / float64(t.calls) }

func newPromptChecker() *promptChecker {
	return &promptChecker{parts: make(map[string]*deadlyPartRecord), lastDisruption: make(map[int]sequoiasill.Millis)}
}

func (p *promptChecker) part(id string) *deadlyPartRecord {
	r := p.parts[id]
	if r == nil {
		r = &deadlyPartRecord{lateBy: make(countByBuild)}
		p.parts[id] = r
	}
	return r
}

// recordCrash records that a call with a part crashes a replica.
func (p *promptChecker) recordCrash(at sequoiasill.Millis, part string) {
	r := p.part(part)
	r.crashes++
	if r.crashes == noticeableCrashes {
		r.noticeableAt = at
	}
}

// recordDisruption records that an entry is started, stopped, paused or resumed.
func (p *promptChecker) recordDisruption(at sequoiasill.Millis, entry int) {
	p.lastDisruption[entry] = at
}

// recordArrival records that a call with a part arrives at a replica, from an entry with a build.
func (p *promptChecker) recordArrival(at sequoiasill.Millis, part string, entry int, build string) {
	r := p.part(part)
	disrupted, known := p.lastDisruption[entry]
	if r.noticeableAt == 0 || at < r.noticeableAt+quarantineNotice || known && at < disrupted+quarantineNotice {
		return
	}
	r.late++
	r.lateBy[build]++
	if r.late == maxLateArrivals+1 {
		p.violations = append(p.violations, fmt.Sprintf("calls with part %s, which had crashed %d replicas, reached replicas more than %d times later than %s after the crash number %d%s",
			part, r.crashes, maxLateArrivals, quarantineNotice, noticeableCrashes, r.lateBy))
	}
}

// recordSound records the result of a sound call. part is the part in use that crashes replicas,
// or empty.
func (p *promptChecker) recordSound(sent sequoiasill.Millis, part string, served bool) {
	if part == "" {
		p.usual.add(served)
		return
	}
	if r := p.part(part); r.noticeableAt > 0 && sent >= r.noticeableAt+soundCallsDelay {
		r.sound.add(served)
	}
}

// results returns the violations, with those that show only at the end.
func (p *promptChecker) results() []string {
	out := p.violations
	for id, r := range p.parts {
		if r.sound.calls < minSoundCalls || p.usual.calls < minSoundCalls {
			continue
		}
		if r.sound.rate() < minSoundRatio*p.usual.rate() {
			out = append(out, fmt.Sprintf("of the sound calls beside part %s, %d of %d were served; usually %d of %d are",
				id, r.sound.served, r.sound.calls, p.usual.served, p.usual.calls))
		}
	}
	return out
}
