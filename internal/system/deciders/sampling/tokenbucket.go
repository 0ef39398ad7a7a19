package sampling

import "time"

// TokenBucket limits the rate of messages and permits bursts up to a limit. A new bucket is full. A
// TokenBucket is not safe for concurrent use.
type TokenBucket struct {
	perSecond  float64
	burst      float64
	tokens     float64
	refilledAt time.Duration
}

// NewTokenBucket returns a full bucket with a rate, in messages per second, and a maximum burst, in
// messages.
func NewTokenBucket(perSecond, burst float64) *TokenBucket {
	return &TokenBucket{perSecond: perSecond, burst: burst, tokens: burst}
}

// Take removes one token for each message and returns true if the bucket has enough tokens.
// Otherwise it removes none and returns false. The argument now must not decrease from call to
// call.
func (b *TokenBucket) Take(now time.Duration, messages int) bool {
	b.tokens = min(b.tokens+b.perSecond*(now-b.refilledAt).Seconds(), b.burst)
	b.refilledAt = now
	if float64(messages) > b.tokens {
		return false
	}
	b.tokens -= float64(messages)
	return true
}
