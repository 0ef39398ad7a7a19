// Package retrybudget limits retries to a fraction of the requests. It reads no clock.
package retrybudget

import (
	"math"
	"sync"
)

// Budget is a token bucket for retries. Each request adds a fraction of a token, up to a limit, and
// each retry takes one token. So the number of retries in any period is at most the limit plus the
// tokens that requests of this period added. A new budget is empty, so that a process that restarts
// repeatedly gains no retries. A nil budget allows all retries.
//
// A Budget is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ratio  float64 // tokens added for each request
	limit  float64 // maximum number of tokens
	tokens float64
}

// New returns an empty budget. Each request adds ratio tokens to it, and it holds at most limit
// tokens.
func New(ratio, limit float64) *Budget { return &Budget{ratio: ratio, limit: max(limit, 0)} }

// Set changes how many tokens each request adds and how many tokens the budget can hold.
func (b *Budget) Set(ratio, limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.limit = ratio, max(limit, 0)
	b.tokens = min(b.tokens, b.limit)
}

// RecordRequest adds the tokens for a request. A request that resumes another one as a retry adds
// none.
func (b *Budget) RecordRequest(isRetry bool) {
	if b == nil || isRetry {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.limit)
}

// Take takes one token for a retry. It reports whether there was a token, that is, whether the retry
// is allowed.
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

// Left returns how many tokens are left for retries.
func (b *Budget) Left() float64 {
	if b == nil {
		return math.Inf(1)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
