package sampling

import "time"

// TokenBucket limits the rate of messages, with a burst. It is full at first and is used by one
// goroutine at a time.
type TokenBucket struct {
	perSecond  float64
	burst      float64
	tokens     float64
	refilledAt time.Duration
}

// NewTokenBucket returns a bucket for a rate, in messages per second, and a burst, in messages.
func NewTokenBucket(perSecond, burst float64) *TokenBucket {
	return &TokenBucket{perSecond: perSecond, burst: burst, tokens: burst}
}

// Take takes tokens for messages and reports whether there were as many; otherwise it takes none.
// Now must not go back.
func (b *TokenBucket) Take(now time.Duration, messages int) bool {
	b.tokens = min(b.tokens+b.perSecond*(now-b.refilledAt).Seconds(), b.burst)
	b.refilledAt = now
	if float64(messages) > b.tokens {
		return false
	}
	b.tokens -= float64(messages)
	return true
}
