// Package sharer divides the slots of an upstream among the entries that use it,
// without coordination for each request. Every entry computes the division from
// the demands of all entries; it is exact if their views of the demands agree.
package sharer

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Demand is the number of slots of a pool that an entry could use.
type Demand struct {
	Entry string
	Slots int
}

// floorPercent is the part of the slots that is divided evenly, so that an entry
// whose demand has just risen from zero has some slots.
const floorPercent = 20

// scale is the value of 1 in the fixed-point representation of shares.
const scale = 1_000_000

// goldenFraction is the fractional part of the golden ratio in units of scale. Its
// multiples modulo scale are evenly distributed (Weyl's equidistribution theorem).
const goldenFraction = 618_034

// Division is the division of a pool's slots as seen by one entry. It is immutable.
type Division struct {
	claims   []claim // ordered by hash
	ownIndex int     // index of the entry's own claim, -1 for none
}

type claim struct {
	share int    // in units of scale
	hash  uint64 // of the entry's name
}

// New returns the division for the entry from the demands of all entries.
func New(entry string, demands []Demand) Division {
	d := Division{ownIndex: -1}
	for i, share := range divide(demands) {
		d.claims = append(d.claims, claim{share: share, hash: xxhash.Sum64String(demands[i].Entry)})
	}
	sort.Slice(d.claims, func(i, j int) bool { return d.claims[i].hash < d.claims[j].hash })
	ownHash := xxhash.Sum64String(entry)
	for i, c := range d.claims {
		if c.hash == ownHash {
			d.ownIndex = i
		}
	}
	return d
}

// Slots returns the number of slots that the entry may use on the upstream at index
// in the pool's list. Each entry receives the integer part of its share. The
// remaining slots are assigned by systematic sampling (Madow, 1949) over the ordered
// entries. The sampling offset advances by goldenFraction with each upstream, so that
// over a few upstreams each entry receives its share.
func (d Division) Slots(index, slots int) int {
	if d.ownIndex < 0 || slots <= 0 {
		return 0
	}
	offset := max(index, 0) * goldenFraction % scale
	for _, c := range d.claims[:d.ownIndex] {
		offset += slots * c.share % scale
	}
	exact := slots * d.claims[d.ownIndex].share
	return exact/scale + (offset+exact%scale)/scale - offset/scale
}

// divide returns the share for each demand in units of scale.
func divide(demands []Demand) []int {
	total := 0
	for _, d := range demands {
		total += max(d.Slots, 0)
	}
	even := scale / max(len(demands), 1)
	out := make([]int, len(demands))
	for i, d := range demands {
		if total == 0 {
			out[i] = even
			continue
		}
		byDemand := max(d.Slots, 0) * scale / total
		out[i] = (even*floorPercent + byDemand*(100-floorPercent)) / 100
	}
	return out
}
