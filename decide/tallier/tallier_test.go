package tallier_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/tallier"
)

const window = 5 * sequoiasill.Second

func TestTotal(t *testing.T) {
	tl := tallier.New("a/1", window, 4)
	tl.Add("small", 1000)
	tl.Add("small", 4999)
	tl.Add("large", 5000)
	tl.Merge("b/1", tallier.Tally{0: {"small": 3}})
	tl.Merge("b/1", tallier.Tally{0: {"small": 2}}) // an older message that arrives late
	tl.Merge("b/2", tallier.Tally{0: {"small": 1}}) // the same entry after a restart
	tl.Merge("a/1", tallier.Tally{0: {"small": 99}})
	if diff := cmp.Diff(tallier.Counts{"small": 6}, tl.Total(0)); diff != "" {
		t.Errorf("first window (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(tallier.Counts{"large": 1}, tl.Total(1)); diff != "" {
		t.Errorf("second window (-want +got):\n%s", diff)
	}
}

func TestDeleteExpired(t *testing.T) {
	tl := tallier.New("a/1", window, 2)
	tl.Add("small", 0)
	tl.Merge("b/1", tallier.Tally{0: {"small": 3}})
	tl.DeleteExpired(3 * window)
	if diff := cmp.Diff(tallier.Counts{}, tl.Total(0)); diff != "" {
		t.Errorf("expired window (-want +got):\n%s", diff)
	}
}

// Reordered and duplicated messages do not change the totals.
func TestMergeIsIdempotentAndCommutative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "counts")
		tallies := make([]tallier.Tally, n)
		for i := range tallies {
			tallies[i] = tallier.Tally{0: {"small": i + 1}}
		}
		tl := tallier.New("a/1", window, 4)
		for range rapid.IntRange(n, 3*n).Draw(t, "messages") {
			tl.Merge("b/1", tallies[rapid.IntRange(0, n-1).Draw(t, "message")])
		}
		tl.Merge("b/1", tallies[n-1])
		if diff := cmp.Diff(tallier.Counts{"small": n}, tl.Total(0)); diff != "" {
			t.Fatalf("total (-want +got):\n%s", diff)
		}
	})
}
