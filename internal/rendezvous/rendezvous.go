// Package rendezvous ranks items by rendezvous hashing (highest random weight). All processes that
// rank the same items by the same key compute the same order. Adding or removing an item does not
// change the order of the others.
package rendezvous

import (
	"hash/fnv"
	"slices"
	"sort"
)

// Hash returns a hash of a name. Each of its bits depends on the whole name.
func Hash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return Mix(h.Sum64())
}

// Mix returns a hash of a number. Each of its bits depends on all bits of the number.
func Mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// First returns the first n items of pool in the order of key, without sorting the whole pool. The
// hash of an item must not change. First does not modify pool.
func First[T any](key uint64, pool []T, n int, hash func(T) uint64) []T {
	n = min(n, len(pool))
	top, scores := make([]T, 0, n), make([]uint64, 0, n)
	for _, t := range pool {
		score := Mix(key ^ hash(t))
		if len(top) == n && (n == 0 || score <= scores[n-1]) {
			continue
		}
		at := sort.Search(len(top), func(i int) bool { return scores[i] < score })
		if at < n {
			top = slices.Insert(top[:min(len(top), n-1)], at, t)
			scores = slices.Insert(scores[:min(len(scores), n-1)], at, score)
		}
	}
	return top
}
