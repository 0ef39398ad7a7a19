// Package sampling selects which prompts a router reports to the other routers, so that the
// messages per second stay bounded however many routers there are. It is pure: the caller passes
// the time.
package sampling

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxRecent is over how many prompts the threshold is computed. More of them follow a change of
	// the sizes later.
	maxRecent = 128
	// minSpan is the shortest time in which these are taken to have been sent.
	minSpan = time.Second
)

// Sampler selects the prompts of one router.
type Sampler struct {
	perSecond float64  // messages to single recipients, on average
	recent    []prompt // the oldest first
}

// prompt is one that was sent.
type prompt struct {
	at     time.Duration
	tokens float64 // to prefill
}

// New returns a Sampler for a rate of messages per second, on average, one to each recipient of a
// prompt that is reported.
func New(perSecond float64) *Sampler { return &Sampler{perSecond: perSecond} }

// Sample records that a prompt with so many tokens to prefill is sent, and reports whether to
// report it to the recipients. The largest prompts are selected, as many as the rate allows: a
// prompt waits long behind a few large ones, and hardly behind many small ones. Random, drawn from
// [0, 1), decides among prompts of exactly the threshold. Now must not go back.
func (s *Sampler) Sample(now time.Duration, tokens float64, recipients int, random float64) bool {
	if recipients <= 0 || tokens <= 0 {
		return false
	}
	if len(s.recent) == maxRecent {
		s.recent = slices.Delete(s.recent, 0, 1)
	}
	s.recent = append(s.recent, prompt{now, tokens})
	threshold, chance := s.threshold(now, recipients)
	return tokens > threshold || tokens == threshold && random < chance
}

// threshold returns from how many tokens on prompts are selected, and with which chance one of
// exactly as many is, so that of the recent prompts as many are selected as the rate allows.
func (s *Sampler) threshold(now time.Duration, recipients int) (tokens, chance float64) {
	span := max(now-s.recent[0].at, minSpan)
	allowed := s.perSecond * span.Seconds() / float64(recipients) // of the recent prompts
	if allowed >= float64(len(s.recent)) {
		return 0, 1
	}
	largestFirst := slices.SortedFunc(slices.Values(s.recent), func(a, b prompt) int { return cmp.Compare(b.tokens, a.tokens) })
	tokens = largestFirst[max(int(math.Ceil(allowed))-1, 0)].tokens
	larger, equal := 0.0, 0.0
	for _, p := range largestFirst {
		switch {
		case p.tokens > tokens:
			larger++
		case p.tokens == tokens:
			equal++
		}
	}
	return tokens, (allowed - larger) / equal
}
