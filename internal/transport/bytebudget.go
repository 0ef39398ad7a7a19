package transport

import "sync/atomic"

// byteBudget bounds the total bytes of the bodies of all requests in progress.
type byteBudget struct{ used, limit atomic.Int64 }

// reserve reserves the given number of bytes and reports whether that many were left.
func (b *byteBudget) reserve(bytes int) bool {
	if b.used.Add(int64(bytes)) > b.limit.Load() {
		b.used.Add(-int64(bytes))
		return false
	}
	return true
}

// release returns reserved bytes.
func (b *byteBudget) release(bytes int) { b.used.Add(-int64(bytes)) }

// usedFraction returns the fraction of the limit that is reserved.
func (b *byteBudget) usedFraction() float64 { return float64(b.used.Load()) / float64(b.limit.Load()) }
