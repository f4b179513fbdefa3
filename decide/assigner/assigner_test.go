package assigner_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/assigner"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

func candidates(n int) []registrar.Candidate {
	var out []registrar.Candidate
	for i := range n {
		out = append(out, registrar.Candidate{Replica: sequoiasill.Replica{Name: fmt.Sprintf("r%d", i), Zone: "a", Slots: 64}})
	}
	return out
}

func prompt(part uint64) sequoiasill.Prompt {
	return sequoiasill.Prompt{HasSizes: true, Tokens: 12_000, MaxOutput: 400, Parts: []sequoiasill.PromptPart{{ID: part, Tokens: 5000}, {ID: part + 1<<32, Tokens: 7000}}}
}

func TestChoose(t *testing.T) {
	tests := map[string]struct {
		change func(c []registrar.Candidate)
		req    assigner.Request
		want   string
	}{
		"the one without failures": {
			change: func(c []registrar.Candidate) { c[0].FailureRate, c[2].FailureRate = 0.5, 0.5 },
			want:   "r1",
		},
		"the one with the least queued prefill": {
			change: func(c []registrar.Candidate) { c[0].Prefill, c[1].Prefill = 50_000, 50_000 },
			req:    assigner.Request{Engine: true, Prompt: sequoiasill.Prompt{HasSizes: true, Tokens: 100}},
			want:   "r2",
		},
		"the one in the same availability zone": {
			change: func(c []registrar.Candidate) { c[0].Replica.Zone, c[1].Replica.Zone = "b", "c" },
			want:   "r2",
		},
		"the faster of two with the same calls": {
			change: func(c []registrar.Candidate) {
				c[0].Pace, c[1].Pace, c[2].Pace = 1.7, 0.7, 1.7
				c[0].InFlight, c[1].InFlight, c[2].InFlight = 32, 32, 32
			},
			want: "r1",
		},
		"the slower one when the faster has many more calls": {
			change: func(c []registrar.Candidate) {
				c[0].Pace, c[1].Pace, c[2].Pace = 0.7, 0.7, 1.7
				c[0].InFlight, c[1].InFlight, c[2].InFlight = 64, 64, 8
			},
			want: "r2",
		},
		"the connected one of equals": {
			change: func(c []registrar.Candidate) {
				c[1].Connected = true
				for i := range c {
					c[i].Replica.Slots = 4
				}
			},
			want: "r1",
		},
		"not the connected one with two more calls": {
			change: func(c []registrar.Candidate) {
				c[1].Connected, c[1].InFlight = true, 2
				c[0].FailureRate = 0.5
				for i := range c {
					c[i].Replica.Slots = 4
				}
			},
			want: "r2",
		},
		"none that was tried": {
			req:  assigner.Request{Tried: map[string]bool{"r0": true, "r2": true}},
			want: "r1",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := candidates(3)
			if tc.change != nil {
				tc.change(c)
			}
			tc.req.Zone = "a"
			got, ok := assigner.New(assigner.DefaultOptions(), 1).Choose(tc.req, c)
			if !ok {
				t.Fatal("no choice")
			}
			if diff := cmp.Diff(tc.want, got.Replica.Name); diff != "" {
				t.Errorf("choice (-want +got):\n%s", diff)
			}
		})
	}
}

func TestNoneLeft(t *testing.T) {
	req := assigner.Request{Tried: map[string]bool{"r0": true}}
	if _, ok := assigner.New(assigner.DefaultOptions(), 1).Choose(req, candidates(1)); ok {
		t.Error("chose an upstream that was already tried")
	}
}

// Entries send prompts with the same shared part to the same upstream without
// communication, until that upstream is busy.
func TestSharedPartsHaveAHome(t *testing.T) {
	c := candidates(9)
	first, _ := assigner.New(assigner.DefaultOptions(), 1).Choose(assigner.Request{Engine: true, Prompt: prompt(7), Zone: "a"}, c)
	second, _ := assigner.New(assigner.DefaultOptions(), 2).Choose(assigner.Request{Engine: true, Prompt: prompt(7), Zone: "a"}, c)
	if diff := cmp.Diff(first.Replica.Name, second.Replica.Name); diff != "" || !first.Home {
		t.Errorf("home upstreams differ (-first +second):\n%s", diff)
	}
	if diff := cmp.Diff(7000, first.Prefill); diff != "" {
		t.Errorf("tokens to prefill at the home upstream (-want +got):\n%s", diff)
	}
	for i := range c {
		if c[i].Replica.Name == first.Replica.Name {
			c[i].Prefill = 30_000
		}
	}
	busy, _ := assigner.New(assigner.DefaultOptions(), 1).Choose(assigner.Request{Engine: true, Prompt: prompt(7), Zone: "a"}, c)
	if busy.Home {
		t.Error("a busy home upstream is still chosen")
	}
}

// Guards against a preference for connections that changes choices where none or all are connected, and
// against one that is logged where it decided nothing.
func TestConnectionDecides(t *testing.T) {
	tests := map[string]struct {
		connected []bool
		want      bool // some choices are decided by a connection
	}{"none": {[]bool{false, false, false}, false}, "all": {[]bool{true, true, true}, false}, "one": {[]bool{false, true, false}, true}}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			plain, a := assigner.New(assigner.DefaultOptions(), 1), assigner.New(assigner.DefaultOptions(), 1)
			decided := false
			for range 50 {
				c := candidates(3)
				without, _ := plain.Choose(assigner.Request{Zone: "a"}, c)
				for i := range c {
					c[i].Connected = tc.connected[i]
				}
				got, _ := a.Choose(assigner.Request{Zone: "a"}, c)
				decided = decided || got.ByConnection
				if got.ByConnection != (got.Replica.Name != without.Replica.Name) || !tc.want && got.Cost != without.Cost {
					t.Fatalf("choice %+v, without connections %+v", got, without)
				}
			}
			if decided != tc.want {
				t.Errorf("decided by a connection: %t, want %t", decided, tc.want)
			}
		})
	}
}

// Home upstreams are balanced: of 900 parts over nine upstreams, none is the home of more
// than twice the average.
func TestHomesSpread(t *testing.T) {
	c := candidates(9)
	count := make(map[int]int)
	for part := range uint64(900) {
		count[assigner.HomeIndex(prompt(part), c)]++
	}
	for i, n := range count {
		if n > 200 {
			t.Errorf("upstream %d is the home of %d of 900 parts", i, n)
		}
	}
}
