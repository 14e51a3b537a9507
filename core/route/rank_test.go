package route_test

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/route"
)

// TestRanksArePermutation checks that the ranks of n entries for a subject are a permutation of 0 to n-1.
func TestRanksArePermutation(t *testing.T) {
	entries := []string{"a", "b", "c", "d"}
	for _, subject := range []string{"", "x", "10.0.0.1:80"} {
		var ranks []int
		for _, self := range entries {
			rank := route.Rank(subject, self, entries)
			ranks = append(ranks, rank)
			for bound := range 7 {
				if got := route.IsAmong(subject, self, entries, bound); got != (rank < bound) {
					t.Errorf("%q among the first %d for %q: %t, its rank is %d", self, bound, subject, got, rank)
				}
			}
		}
		slices.Sort(ranks)
		if diff := cmp.Diff([]int{0, 1, 2, 3}, ranks); diff != "" {
			t.Errorf("ranks for %q (-want +got):\n%s", subject, diff)
		}
	}
}
