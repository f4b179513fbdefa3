package pathmonitor_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/pathmonitor"
)

// harness drives a Monitor with upstreams that either accept connections or do not.
type harness struct {
	*pathmonitor.Monitor

	upstreams int
	accepting map[string]bool
	probes    []pathmonitor.Probe
}

const service = "model"

// tick starts the probes that are due and ends those that were due before.
func (h *harness) tick(now sequoiasill.Millis) {
	started := h.probes
	h.probes = nil
	for _, p := range started {
		h.ProbeEnded(now, p, h.accepting[p.Upstream])
	}
	probes, _ := h.Tick(now, func(string) []string {
		var out []string
		for i := range h.upstreams {
			out = append(out, fmt.Sprint("u", i))
		}
		return out
	})
	h.probes = append(h.probes, probes...)
}

// run ticks each 50 ms from a time to another, both included.
func (h *harness) run(from, to sequoiasill.Millis) {
	for now := from; now <= to; now += 50 {
		h.tick(now)
	}
}

func TestState(t *testing.T) {
	all := map[string]bool{"u0": true, "u1": true, "u2": true, "u3": true, "u4": true, "u5": true, "u6": true, "u7": true, "u8": true}
	tests := map[string]struct {
		accepting map[string]bool
		play      func(h *harness)
		want      pathmonitor.State
	}{
		"nothing happened":          {nil, func(h *harness) { h.run(0, 2000) }, pathmonitor.Reachable},
		"a failure":                 {nil, func(h *harness) { h.Failed(1000, service) }, pathmonitor.InDoubt},
		"an upstream that is down":  {all, func(h *harness) { h.Failed(1000, service); h.run(1000, 1100) }, pathmonitor.Reachable},
		"no path":                   {nil, func(h *harness) { h.Failed(1000, service); h.run(1000, 1100) }, pathmonitor.Unreachable},
		"no path, told by silence":  {nil, func(h *harness) { h.RequestSent(1000, service); h.run(1000, 1500) }, pathmonitor.Unreachable},
		"silence that is too short": {nil, func(h *harness) { h.RequestSent(1000, service); h.run(1000, 1350) }, pathmonitor.Reachable},
		"silence without requests":  {nil, func(h *harness) { h.RequestSent(1000, service); h.RequestEnded(service); h.run(1000, 3000) }, pathmonitor.Reachable},
		"slow upstreams":            {all, func(h *harness) { h.RequestSent(1000, service); h.run(1000, 1500) }, pathmonitor.Reachable},
		"silence that a response ends": {nil, func(h *harness) {
			h.RequestSent(1000, service)
			h.run(1000, 1400)
			h.Responded(1410, service, 0)
		}, pathmonitor.Reachable},
		"connections that live on while new ones are refused": {nil, func(h *harness) {
			h.Failed(1000, service)
			h.tick(1000)
			h.Responded(1010, service, 0)
			h.tick(1050)
			h.Responded(1060, service, 990)
		}, pathmonitor.Unreachable},
		"silence and a failure": {nil, func(h *harness) {
			h.RequestSent(1000, service)
			h.run(1000, 1400)
			h.Failed(1405, service)
			h.Responded(1410, service, 0)
		}, pathmonitor.InDoubt},
		"paths that are back": {nil, func(h *harness) {
			h.Failed(1000, service)
			h.run(1000, 2000)
			h.accepting = all
			h.run(2000, 2400)
		}, pathmonitor.Reachable},
		"a response on a new connection": {nil, func(h *harness) {
			h.Failed(1000, service)
			h.run(1000, 2000)
			h.Responded(2010, service, 2005)
		}, pathmonitor.Reachable},
		"one upstream of all":   {map[string]bool{"u3": true}, func(h *harness) { h.upstreams = 4; h.Failed(1000, service); h.run(1000, 1100) }, pathmonitor.Reachable},
		"no upstream is listed": {nil, func(h *harness) { h.upstreams = 0; h.Failed(1000, service); h.run(1000, 3000) }, pathmonitor.InDoubt},
		"another service":       {nil, func(h *harness) { h.Failed(1000, "plain"); h.run(1000, 1100) }, pathmonitor.Reachable},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			h := &harness{Monitor: pathmonitor.New(pathmonitor.DefaultOptions(), 1), upstreams: 9, accepting: tc.accepting}
			tc.play(h)
			if diff := cmp.Diff(tc.want.String(), h.State(service).String()); diff != "" {
				t.Errorf("state (-want +got):\n%s", diff)
			}
		})
	}
}

// A late result of an earlier round says nothing about the current one.
func TestLateProbeDoesNotCount(t *testing.T) {
	h := &harness{Monitor: pathmonitor.New(pathmonitor.DefaultOptions(), 1), upstreams: 1}
	h.Failed(1000, service)
	h.tick(1000)
	late := h.probes
	h.Responded(1010, service, 1005)
	h.Failed(1400, service)
	h.probes = nil
	h.tick(1400)
	for _, p := range late {
		h.ProbeEnded(1410, p, false)
	}
	if diff := cmp.Diff(pathmonitor.InDoubt.String(), h.State(service).String()); diff != "" {
		t.Errorf("state (-want +got):\n%s", diff)
	}
}

// Rounds of probes keep their interval however many failures there are.
func TestProbesAreBounded(t *testing.T) {
	h := &harness{Monitor: pathmonitor.New(pathmonitor.DefaultOptions(), 1), upstreams: 9, accepting: map[string]bool{}}
	for i := range 9 {
		h.accepting[fmt.Sprint("u", i)] = true
	}
	probes := 0
	for now := sequoiasill.Millis(1000); now < 4000; now += 50 {
		h.Failed(now, service)
		h.tick(now)
		probes += len(h.probes)
	}
	if most := 10 * pathmonitor.DefaultOptions().SampleSize; probes > most {
		t.Errorf("%d probes in 3 s, at most %d are wanted", probes, most)
	}
}

// Failures that keep the paths in doubt do not hide that upstreams are reached.
func TestReachedSince(t *testing.T) {
	h := &harness{Monitor: pathmonitor.New(pathmonitor.DefaultOptions(), 1), upstreams: 9, accepting: map[string]bool{}}
	for i := range 9 {
		h.accepting[fmt.Sprint("u", i)] = true
	}
	for now := sequoiasill.Millis(1000); now < 4000; now += 10 {
		h.Failed(now, service)
		if now%50 == 0 {
			h.tick(now)
		}
		if now >= 2000 && !h.ReachedSince(service, now-400) {
			t.Fatalf("at %d ms no upstream has been reached for 400 ms", now)
		}
	}
	h.Responded(4000, service, 0)
	if h.ReachedSince(service, 4000) {
		t.Error("a response on a connection that was open before counts")
	}
}
