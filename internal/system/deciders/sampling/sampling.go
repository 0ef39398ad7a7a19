// Package sampling selects the prompts that a router reports to the other routers, so that the rate
// of messages stays bounded however many routers there are. The package does no I/O and reads no
// clock: the caller passes the current time.
package sampling

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxRecent is the number of recent prompts from which the threshold is computed. With a larger
	// number, the threshold would follow a change of the prompt sizes later.
	maxRecent = 128
	// minSpan is the shortest period in which the recent prompts are assumed to have been sent.
	minSpan = time.Second
)

// Sampler selects which prompts of one router are reported.
type Sampler struct {
	perSecond float64  // average number of messages; a report is one message to each recipient
	recent    []prompt // the last maxRecent prompts, oldest first
}

// prompt is a prompt that the router sent to a host.
type prompt struct {
	at     time.Duration
	tokens float64 // number of tokens to prefill
}

// New returns a Sampler that limits the average rate of messages, in messages per second. The
// report of a prompt is one message to each recipient.
func New(perSecond float64) *Sampler { return &Sampler{perSecond: perSecond} }

// Sample records that the router sends a prompt with the given number of tokens to prefill, and
// returns whether to report the prompt to the recipients. Sample selects the largest prompts, as
// many as the rate allows, because a prompt waits long behind a few large prompts and hardly at all
// behind many small ones. The caller draws random from [0, 1). Its value decides whether Sample
// selects a prompt whose size equals the threshold. The argument now must not decrease from call to
// call.
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

// threshold returns the number of tokens above which prompts are selected, and the probability of
// selecting a prompt with exactly this number of tokens. Together they select as many of the recent
// prompts as the rate allows.
func (s *Sampler) threshold(now time.Duration, recipients int) (tokens, chance float64) {
	span := max(now-s.recent[0].at, minSpan)
	allowed := s.perSecond * span.Seconds() / float64(recipients) // how many of the recent prompts
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
