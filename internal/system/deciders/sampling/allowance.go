package sampling

import "time"

// Allowance bounds messages by a rate and what may be saved up of it, full at first. It is for one user at a time.
type Allowance struct {
	perSecond, most float64
	left            float64
	at              time.Duration
}

// NewAllowance allows so many messages a second, and at most so many at once.
func NewAllowance(perSecond, most float64) *Allowance {
	return &Allowance{perSecond: perSecond, most: most, left: most}
}

// Take takes so many messages, all or none, and tells whether they may be sent. The time must not go back.
func (a *Allowance) Take(now time.Duration, messages int) bool {
	a.left = min(a.left+a.perSecond*(now-a.at).Seconds(), a.most)
	a.at = now
	if float64(messages) > a.left {
		return false
	}
	a.left -= float64(messages)
	return true
}
