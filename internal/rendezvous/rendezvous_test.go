package rendezvous

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// First returns the same n items that a sort of the whole pool puts first. Removing an item does not
// change the order of the others.
func TestFirst(t *testing.T) {
	identity := func(n uint64) uint64 { return n }
	rapid.Check(t, func(t *rapid.T) {
		pool := rapid.SliceOfDistinct(rapid.Uint64(), identity).Draw(t, "pool")
		key, n := rapid.Uint64().Draw(t, "key"), rapid.IntRange(0, 20).Draw(t, "n")
		all := slices.Clone(pool)
		slices.SortFunc(all, func(a, b uint64) int {
			if Mix(key^a) > Mix(key^b) {
				return -1
			}
			return 1
		})
		if got := First(key, pool, n, identity); !slices.Equal(got, all[:min(n, len(all))]) {
			t.Fatalf("got %v, want the first %d of %v", got, n, all)
		}
		if len(all) == 0 {
			return
		}
		removed := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		remaining := slices.Delete(slices.Clone(all), removed, removed+1)
		if got := First(key, remaining, len(remaining), identity); !slices.Equal(got, remaining) {
			t.Fatalf("without %v: got %v, want %v", all[removed], got, remaining)
		}
	})
}
