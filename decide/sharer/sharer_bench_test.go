package sharer

import (
	"fmt"
	"testing"
)

// BenchmarkDivision measures one refresh of a pool: computing the division and the
// slots on 60 upstreams.
func BenchmarkDivision(b *testing.B) {
	for _, entries := range []int{9, 380} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			var demands []Demand
			for i := range entries {
				demands = append(demands, Demand{Entry: fmt.Sprint("entry-", i), Slots: i})
			}
			for b.Loop() {
				d := New("entry-1", demands)
				for u := range 60 {
					d.Slots(u, 16)
				}
			}
		})
	}
}
