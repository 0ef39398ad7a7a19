// Package retrybudget bounds retries by the number of requests. It is pure.
package retrybudget

import (
	"math"
	"sync"
)

// Budget is a token bucket of retries. Each request adds a fraction of a token, up to a limit; each
// retry takes one. So in any span of time there are at most as many retries as its requests added,
// and the limit. A new one is empty, so that a process that restarts again and again gains nothing.
// A nil one allows all retries.
//
// It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	limit  float64
	tokens float64
}

// New returns an empty budget that gets ratio tokens for each request, and holds limit tokens at
// most.
func New(ratio, limit float64) *Budget { return &Budget{ratio: ratio, limit: max(limit, 0)} }

// Set changes what each request adds and what the budget holds at most.
func (b *Budget) Set(ratio, limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.limit = ratio, max(limit, 0)
	b.tokens = min(b.tokens, b.limit)
}

// RecordRequest counts a request. One that resumes another by a retry adds nothing.
func (b *Budget) RecordRequest(isRetry bool) {
	if b == nil || isRetry {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.limit)
}

// Take takes a token for a retry, and reports whether there was one.
func (b *Budget) Take() bool {
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

// Left returns how many retries may be made now.
func (b *Budget) Left() float64 {
	if b == nil {
		return math.Inf(1)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
