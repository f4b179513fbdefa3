package peerpicker_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill/decide/peerpicker"
)

func TestPick(t *testing.T) {
	near, far, other := peerpicker.Peer{Name: "near", Zone: "a"}, peerpicker.Peer{Name: "far", Zone: "b"}, peerpicker.Peer{Name: "other", Zone: "a"}
	tests := map[string]struct {
		peers []peerpicker.Peer
		tried map[string]bool
		play  func(p *peerpicker.Picker)
		want  map[string]bool // peers that are picked in 50 choices
	}{
		"no peer":                      {nil, nil, func(*peerpicker.Picker) {}, map[string]bool{"": true}},
		"peers of the zone":            {[]peerpicker.Peer{near, other}, nil, func(*peerpicker.Picker) {}, map[string]bool{"near": true, "other": true}},
		"a tried one":                  {[]peerpicker.Peer{near, other}, map[string]bool{"near": true}, func(*peerpicker.Picker) {}, map[string]bool{"other": true}},
		"one that did not accept":      {[]peerpicker.Peer{near, other}, nil, func(p *peerpicker.Picker) { p.NotAccepted(501, "near", "model") }, map[string]bool{"other": true}},
		"one that did so a while ago":  {[]peerpicker.Peer{near}, nil, func(p *peerpicker.Picker) { p.NotAccepted(500, "near", "model") }, map[string]bool{"near": true}},
		"one that refused for another": {[]peerpicker.Peer{near}, nil, func(p *peerpicker.Picker) { p.NotAccepted(900, "near", "plain") }, map[string]bool{"near": true}},
		"another zone":                 {[]peerpicker.Peer{far}, nil, func(*peerpicker.Picker) {}, map[string]bool{"far": true}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := peerpicker.New(peerpicker.DefaultOptions(), "a", 1)
			tc.play(p)
			got := make(map[string]bool)
			for range 50 {
				peer, _ := p.Pick(1000, "model", tc.peers, tc.tried)
				got[peer.Name] = true
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("picked (-want +got):\n%s", diff)
			}
		})
	}
}

// Calls in progress are spread over the peers, with a bounded preference for the own zone.
func TestPickSpreadsCalls(t *testing.T) {
	p := peerpicker.New(peerpicker.DefaultOptions(), "a", 1)
	var peers []peerpicker.Peer
	for i := range 9 {
		peers = append(peers, peerpicker.Peer{Name: fmt.Sprint("e", i), Zone: []string{"a", "b", "c"}[i%3]})
	}
	counts := make(map[string]int)
	for range 900 {
		peer, _ := p.Pick(0, "model", peers, nil)
		p.Started(peer.Name)
		counts[peer.Name]++
	}
	for name, n := range counts {
		if n < 90 || n > 110 {
			t.Errorf("%s has %d of 900 calls, about 100 are wanted", name, n)
		}
	}
}
