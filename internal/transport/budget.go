package transport

import "sync/atomic"

// budget bounds the bytes of all bodies that are held.
type budget struct{ used, most atomic.Int64 }

// take reserves bytes, if there are so many left.
func (b *budget) take(bytes int) bool {
	if b.used.Add(int64(bytes)) > b.most.Load() {
		b.used.Add(-int64(bytes))
		return false
	}
	return true
}

// give returns bytes that were taken.
func (b *budget) give(bytes int) { b.used.Add(-int64(bytes)) }

// share is the part of the bytes that is in use.
func (b *budget) share() float64 { return float64(b.used.Load()) / float64(b.most.Load()) }
