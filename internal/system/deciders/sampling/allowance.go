package sampling

import "time"

// Allowance bounds messages by a rate and what may be saved up of it, full at first. It is for one user at a time.
type TokenBucket struct {
	perSecond, burst float64
	tokens           float64
	refilledAt       time.Duration
}

// NewAllowance allows so many messages a second, and at most so many at once.
func NewTokenBucket(perSecond, most float64) *TokenBucket {
	return &TokenBucket{perSecond: perSecond, burst: most, tokens: most}
}

// Take takes so many messages, all or none, and tells whether they may be sent. The time must not go back.
func (a *TokenBucket) Take(now time.Duration, messages int) bool {
	a.tokens = min(a.tokens+a.perSecond*(now-a.refilledAt).Seconds(), a.burst)
	a.refilledAt = now
	if float64(messages) > a.tokens {
		return false
	}
	a.tokens -= float64(messages)
	return true
}
