package sharer

import (
	"fmt"
	"math"
	"testing"
)

// TestSharesAddUp divides upstreams among entries with unequal demand. No upstream
// may be oversubscribed, and an entry with more than a few slots may deviate from
// its share by at most 10 per cent.
func TestSharesAddUp(t *testing.T) {
	const upstreams, slots = 60, 64
	for _, entries := range []int{3, 9, 40} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			var demands []Demand
			for i := range entries {
				demands = append(demands, Demand{Entry: fmt.Sprintf("entry-%d", i), Slots: 10 + 5*(i%4)})
			}
			shares := divide(demands)
			total := make([]int, entries)
			for u := range upstreams {
				sum := 0
				for i, d := range demands {
					n := New(d.Entry, demands).Slots(u, slots)
					sum += n
					total[i] += n
				}
				if sum > slots {
					t.Errorf("upstream %d: %d of %d slots are given", u, sum, slots)
				}
			}
			for i := range demands {
				want := float64(shares[i]) / scale * upstreams * slots
				if math.Abs(float64(total[i])-want) > 0.1*want {
					t.Errorf("entry %d has %d slots, its share is %.1f", i, total[i], want)
				}
			}
		})
	}
}

// TestChangeOvershoot adds an entry that the others have not discovered yet. Until
// they do, an upstream may be oversubscribed by at most the new entry's slots.
func TestChangeOvershoot(t *testing.T) {
	const entries, slots = 9, 64
	var old []Demand
	for i := range entries {
		old = append(old, Demand{Entry: fmt.Sprintf("entry-%d", i), Slots: 10})
	}
	now := append(append([]Demand(nil), old...), Demand{Entry: "late", Slots: 10})
	for up := range 20 {
		sum := New("late", now).Slots(up, slots)
		part := sum
		for _, d := range old {
			sum += New(d.Entry, old).Slots(up, slots)
		}
		if sum > slots+part || part > slots/entries+1 {
			t.Errorf("upstream %d: %d of %d slots, the new entry has %d", up, sum, slots, part)
		}
	}
}
