// Package decayed provides statistics in which older observations count less. All of them use bounded
// memory, and none reads a clock: a statistic decays with each observation, or the caller passes the
// time, which must not go back. The statistics are not safe for concurrent use.
package decayed

import (
	"maps"
	"math"
	"time"
)

// retention is the factor by which each observation of a Line scales down the earlier observations.
const retention = 0.99

// Line is a least-squares fit of a line through the origin. Its zero value has no observations.
type Line struct{ XX, XY float64 } // decayed sums of x*x and of x*y

// Add adds the observation of y at x.
func (l *Line) Add(x, y float64) { l.XX, l.XY = l.XX*retention+x*x, l.XY*retention+x*y }

// Slope returns the slope of the line, in y per x. It returns guess before any observation, and
// afterwards a value between a tenth of guess and ten times guess.
func (l *Line) Slope(guess float64) float64 {
	if l.XX == 0 {
		return guess
	}
	return min(max(l.XY/l.XX, guess/10), guess*10)
}

// Counts counts occurrences by name. When the total exceeds Limit, all counts are halved and counts
// that were below one are dropped. So Counts never holds more than 2*Limit names.
type Counts struct {
	Limit  float64 // of the total
	total  float64
	counts map[string]float64
}

// Add counts an occurrence of a name. An occurrence of the empty name counts only in the total.
func (c *Counts) Add(name string) {
	if c.total++; name != "" {
		if c.counts == nil {
			c.counts = map[string]float64{}
		}
		c.counts[name]++
	}
	if c.total <= c.Limit {
		return
	}
	c.total /= 2
	for name, n := range c.counts {
		if c.counts[name] = n / 2; n < 1 {
			delete(c.counts, name)
		}
	}
}

// Share returns the fraction of all occurrences that are of a name. The number of all occurrences
// includes unseen, an assumed number of other occurrences that were not counted.
func (c *Counts) Share(name string, unseen float64) float64 {
	return c.counts[name] / (c.total + unseen)
}

// Memory stores a value by name, with the time of its last Put. It holds at most Limit names. When it
// is full, Put drops the entries that are older than TTL, at most once in a quarter of TTL. While it
// stays full, Put ignores new names.
type Memory struct {
	Limit int
	TTL   time.Duration

	entries map[string]entry
	sweptAt time.Duration // when expired entries were last dropped
}

type entry struct {
	storedAt time.Duration
	value    float64
}

// Put sets the value of a name. It ignores the empty name. The time must not go back.
func (m *Memory) Put(name string, now time.Duration, value float64) {
	if name == "" {
		return
	}
	if len(m.entries) >= m.Limit && now-m.sweptAt >= m.TTL/4 {
		m.sweptAt = now
		maps.DeleteFunc(m.entries, func(_ string, e entry) bool { return now-e.storedAt > m.TTL })
	}
	if m.entries == nil {
		m.entries = map[string]entry{}
	}
	if _, known := m.entries[name]; known || len(m.entries) < m.Limit {
		m.entries[name] = entry{now, value}
	}
}

// Get returns the value of a name if its last Put was after the given time, and 0 otherwise.
func (m *Memory) Get(name string, after time.Duration) float64 {
	if e := m.entries[name]; e.storedAt > after {
		return e.value
	}
	return 0
}

// Drop removes names.
func (m *Memory) Drop(names ...string) {
	for _, name := range names {
		delete(m.entries, name)
	}
}

// Len returns the number of names.
func (m *Memory) Len() int { return len(m.entries) }

// Estimate estimates the ratio of a value to its expected value, from own observations and from
// reports of others. Each of the two parts decays towards 1, by half in each HalfLife. The older the
// last observation is, the more the reports count. The zero value, with HalfLife set, estimates 1.
type Estimate struct {
	HalfLife time.Duration

	observed, reported               float64       // the ratios minus 1
	observedAt, reportedAt, lastSeen time.Duration // when observed was last decayed, and the times of the last report and observation
}

// At returns the estimate at the time now, which must not go back.
func (o *Estimate) At(now time.Duration) float64 {
	if o.observedAt != now {
		o.observed, o.observedAt = o.observed*o.remaining(now-o.observedAt), now
	}
	return 1 + o.observed + (o.reported-o.observed)*(1-o.remaining(now-o.lastSeen))*o.remaining(now-o.reportedAt)
}

// remaining returns the fraction of an observation or report that is left after the elapsed time.
func (o *Estimate) remaining(elapsed time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / o.HalfLife.Seconds())
}

// Observe moves the observed part towards an observed ratio. Weight is the fraction of the distance,
// at most 1.
func (o *Estimate) Observe(now time.Duration, ratio, weight float64) {
	o.At(now)
	o.observed += (ratio - 1 - o.observed) * weight
	o.lastSeen = now
}

// Report sets the reported part to a ratio between the current estimate and a reported ratio. Weight
// is the fraction of the distance from the current estimate, at most 1.
func (o *Estimate) Report(now time.Duration, ratio, weight float64) {
	previous := o.At(now)
	o.reported, o.reportedAt = previous+(ratio-previous)*weight-1, now
}

// Reset sets the estimate to 1. It keeps the time of the last observation.
func (o *Estimate) Reset() { o.observed, o.reported = 0, 0 }

// Sum is a sum whose terms decay exponentially, to 1/e of their value in each Span. The zero value,
// with Span and MinAge set, is empty.
type Sum struct {
	Span   time.Duration
	MinAge time.Duration // a younger sum is treated as if it had this age

	sum                  float64
	updatedAt, startedAt time.Duration
}

// Add adds the term x at the time now, which must not go back.
func (s *Sum) Add(now time.Duration, x float64) {
	if s.sum == 0 {
		s.startedAt = now
	}
	s.sum, s.updatedAt = s.sum*s.remaining(now-s.updatedAt)+x, now
}

// At estimates the sum over a whole Span at the time now. A sum that is younger than Span is
// extrapolated from the time since its first term.
func (s *Sum) At(now time.Duration) float64 {
	if s.sum == 0 {
		return 0
	}
	return s.sum * s.remaining(now-s.updatedAt) / (1 - s.remaining(max(now-s.startedAt, s.MinAge)))
}

// remaining returns the fraction of a term that is left after the elapsed time.
func (s *Sum) remaining(elapsed time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / s.Span.Seconds())
}
