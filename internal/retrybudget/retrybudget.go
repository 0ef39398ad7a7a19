// Package retrybudget bounds how often requests are repeated by how many there are: a retry budget. It is pure.
package retrybudget

import (
	"math"
	"sync"
)

// Bucket holds repeats that may be made. Each first try adds a part of one, up to a bound; each repeat takes one. So in any span of time
// there are at most as many repeats as the first tries in it added, and the bound. A new one is empty, so that a process that is started
// again and again gains nothing. A nil one allows all.
//
// It is safe for concurrent use.
type Bucket struct {
	mu     sync.Mutex
	ratio  float64
	most   float64
	tokens float64
}

// New returns an empty bucket that gets so many repeats for each first try, and holds so many at most.
func New(ratio, most float64) *Bucket { return &Bucket{ratio: ratio, most: max(most, 0)} }

// Set changes what each first try adds and what the bucket holds at most, from now on.
func (b *Bucket) Set(ratio, most float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.most = ratio, max(most, 0)
	b.tokens = min(b.tokens, b.most)
}

// First counts a first try; one that is made again adds nothing.
func (b *Bucket) First(again bool) {
	if b == nil || again {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.most)
}

// Take takes a repeat, if there is one.
func (b *Bucket) Take() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left is how many repeats may be made now.
func (b *Bucket) Left() float64 {
	if b == nil {
		return math.Inf(1)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
