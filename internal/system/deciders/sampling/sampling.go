// Package sampling picks which of the prompts that a router sends to hosts it tells other routers of, so that the cost stays bounded
// however many routers there are. It is pure: its user says what time it is.
package sampling

import (
	"cmp"
	"slices"
	"time"
)

const (
	// mostRecent is how many prompts the sizes of the next ones are guessed by.
	mostRecent = 128
	// leastSpan is the least time that these are taken to have come in.
	leastSpan = time.Second
)

// Sampler picks for one router.
type Sampler struct {
	perSecond float64  // messages to single recipients, on average
	recent    []prompt // the oldest first
}

// prompt is one that was sent.
type prompt struct {
	at     time.Duration
	tokens float64 // that it has to read
}

// New returns a Sampler that has at most so many messages a second sent on average, one to each recipient of a prompt that is told.
func New(perSecond float64) *Sampler { return &Sampler{perSecond: perSecond} }

// Pick takes in that a prompt with so many tokens to read is sent, and returns how many tokens to tell the recipients of, 0 for nothing.
// Small prompts are told of by chance, each as so large a one that the sum of what is told stays right. Dice is drawn from 0 to below 1.
// The time must not go back.
func (s *Sampler) Pick(now time.Duration, tokens float64, recipients int, dice float64) float64 {
	if recipients <= 0 || tokens <= 0 {
		return 0
	}
	if len(s.recent) == mostRecent {
		s.recent = slices.Delete(s.recent, 0, 1)
	}
	s.recent = append(s.recent, prompt{now, tokens})
	least := s.least(now, recipients)
	switch {
	case tokens >= least:
		return tokens
	case dice*least < tokens:
		return least
	}
	return 0
}

// least is how many tokens a prompt has that is always told of: so many that of the recent ones, if a smaller one is told of with a chance
// of its tokens over this, as many are as the messages allow. It is 0 where all may be told of.
func (s *Sampler) least(now time.Duration, recipients int) float64 {
	span := max(now-s.recent[0].at, leastSpan)
	may := s.perSecond * span.Seconds() / float64(recipients) // of the recent ones
	if may >= float64(len(s.recent)) {
		return 0
	}
	largestFirst := slices.SortedFunc(slices.Values(s.recent), func(a, b prompt) int { return cmp.Compare(b.tokens, a.tokens) })
	smaller := 0.0 // tokens of those that are told of by chance
	for _, p := range largestFirst {
		smaller += p.tokens
	}
	least := 0.0
	for always, p := range largestFirst {
		least = smaller / (may - float64(always))
		if p.tokens <= least {
			break
		}
		smaller -= p.tokens
	}
	return least
}
