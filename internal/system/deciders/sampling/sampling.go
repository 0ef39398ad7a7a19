// Package sampling picks which of the prompts that a router sends to hosts it tells other routers of, so that the cost stays bounded
// however many routers there are. It is pure: its user says what time it is.
package sampling

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// mostRecent is how many prompts the sizes of the next ones are guessed by.
	maxRecent = 128
	// leastSpan is the least time that these are taken to have come in.
	minSpan = time.Second
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

// Pick takes in that a prompt with so many tokens to read is sent, and tells whether the recipients are to be told of it. The largest are, as
// many as the messages allow: a prompt waits long behind few that are large, and hardly behind many that are small. Dice, drawn from 0 to
// below 1, decides among those of the size from which on prompts are told. The time must not go back.
func (s *Sampler) Sample(now time.Duration, tokens float64, recipients int, dice float64) bool {
	if recipients <= 0 || tokens <= 0 {
		return false
	}
	if len(s.recent) == maxRecent {
		s.recent = slices.Delete(s.recent, 0, 1)
	}
	s.recent = append(s.recent, prompt{now, tokens})
	least, chance := s.threshold(now, recipients)
	return tokens > least || tokens == least && dice < chance
}

// least is how many tokens a prompt has from which on prompts are told, and the chance with which one of just so many is: of the recent ones
// as many are then as the messages allow.
func (s *Sampler) threshold(now time.Duration, recipients int) (tokens, chance float64) {
	span := max(now-s.recent[0].at, minSpan)
	may := s.perSecond * span.Seconds() / float64(recipients) // of the recent ones
	if may >= float64(len(s.recent)) {
		return 0, 1
	}
	largestFirst := slices.SortedFunc(slices.Values(s.recent), func(a, b prompt) int { return cmp.Compare(b.tokens, a.tokens) })
	tokens = largestFirst[max(int(math.Ceil(may))-1, 0)].tokens
	larger, equal := 0.0, 0.0
	for _, p := range largestFirst {
		switch {
		case p.tokens > tokens:
			larger++
		case p.tokens == tokens:
			equal++
		}
	}
	return tokens, (may - larger) / equal
}
