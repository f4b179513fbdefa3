package soaker

import (
	"fmt"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// Names of the builds in an upgrade.
const (
	productionBuild = "production"
	newBuild        = "new"
)

// build is a build of the entry's program.
type build struct {
	name string // empty without an upgrade
	path string
	args []string // that only some builds know
}

// sourceFlag sets the address from which an entry connects to replicas. Older builds lack it: their
// entries are unknown to the replicas' proxies, so that no partition holds them.
const sourceFlag = "--upstream-source"

// buildAt returns the build with a name at a path for an entry, and passes it only flags that it knows.
func buildAt(name, path string, e *entry) (build, error) {
	help, err := exec.Command(path, "--help").CombinedOutput()
	if err != nil {
		return build{}, fmt.Errorf("flags of %s: %w", path, err)
	}
	b := build{name: name, path: path}
	if strings.Contains(string(help), sourceFlag) {
		b.args = []string{sourceFlag, e.ip()}
	}
	return b, nil
}

// builds holds the build of each entry's process by the entry's number, and is empty without an upgrade.
type builds map[int]string

// describe returns the builds of the entries that a call was sent to and sent on by, empty without an
// upgrade.
func (r *callRecord) describe() string {
	if r.entryBuild == "" {
		return ""
	}
	if r.sender == r.entry && r.senderBuild == r.entryBuild {
		return fmt.Sprintf(" (e%d, %s build)", r.entry, r.entryBuild)
	}
	return fmt.Sprintf(" (e%d, %s build; sent on last by e%d, %s build)", r.entry, r.entryBuild, r.sender, r.senderBuild)
}

// countByBuild counts events by the build of the entry that caused them.
type countByBuild map[string]int

// String returns the counts of an upgrade, or nothing without one.
func (c countByBuild) String() string {
	if c[productionBuild]+c[newBuild] == 0 {
		return ""
	}
	return fmt.Sprintf(" (%d by the production build, %d by the new one)", c[productionBuild], c[newBuild])
}

// upgradeSteps is the number of parts of a run with traffic, of which the upgrade takes all but the
// first and the last.
const upgradeSteps = 10

// upgrade replaces the entries of the production build by those of the new one, one after the other,
// within the given duration. Depending on the seed it is complete, or taken back halfway and
// completed afterwards. One in five processes is killed instead of stopped unless only planned work
// is injected.
func (h *Harness) upgrade(duration time.Duration) {
	time.Sleep(duration / upgradeSteps)
	moves := h.upgradePlan()
	interval := duration * (upgradeSteps - 2) / upgradeSteps / time.Duration(len(moves))
	for _, m := range moves {
		began := time.Now()
		h.replaceBuild(m.entry, m.toNew)
		time.Sleep(max(interval-time.Since(began), 0))
	}
}

// buildMove is the replacement of one entry's build.
type buildMove struct {
	entry *entry
	toNew bool
}

// upgradePlan returns the replacements of an upgrade in their order.
func (h *Harness) upgradePlan() []buildMove {
	var moves []buildMove
	add := func(entries []*entry, toNew bool) {
		for _, e := range entries {
			moves = append(moves, buildMove{e, toNew})
		}
	}
	if h.opts.Seed%3 == 0 {
		half := h.entries[:(len(h.entries)+1)/2]
		add(half, true)
		add(half, false)
	}
	add(h.entries, true)
	return moves
}

// replaceBuild stops or kills an entry and starts it again with another build, once no other fault
// uses it.
func (h *Harness) replaceBuild(e *entry, toNew bool) {
	signal := syscall.SIGTERM
	if !h.opts.PlannedOnly && h.randIntN(5) == 0 {
		signal = syscall.SIGKILL
	}
	endFault := h.checker.recordFault("replace the build of an entry", signal == syscall.SIGTERM)
	defer endFault()
	for replaced := false; !replaced; {
		h.withExclusive("entry", e.number, func() {
			e.use(toNew)
			e.restart(e.signal(signal), 0)
			replaced = true
		})
		if !replaced {
			time.Sleep(exclusiveRetry)
		}
	}
	h.faultLog.Info("build replaced", "entry", e.number, "new", toNew, "signal", signal.String())
}

// exclusiveRetry is the interval at which an entry that a fault uses is tried again.
const exclusiveRetry = 50 * time.Millisecond
