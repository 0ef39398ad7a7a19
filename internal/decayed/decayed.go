// Package decayed has statistics in which older observations count less. All of them use bounded
// memory, and none reads a clock: a statistic decays with each observation, or its user passes the
// time, which must not go back. They are not safe for concurrent use.
package decayed

import (
	"maps"
	"math"
	"time"
)

// retention is the factor by which an observation scales the earlier ones of a Line.
const retention = 0.99

// Line is a least-squares fit of a line through the origin. Its zero value has no observations.
type Line struct{ XX, XY float64 } // decayed sums of x*x and of x*y

// Add adds the observation of y at x.
func (l *Line) Add(x, y float64) { l.XX, l.XY = l.XX*retention+x*x, l.XY*retention+x*y }

// Slope is y per x: the guess before any observation, and between a tenth and ten times the guess
// afterwards.
func (l *Line) Slope(guess float64) float64 {
	if l.XX == 0 {
		return guess
	}
	return min(max(l.XY/l.XX, guess/10), guess*10)
}

// Counts counts occurrences by name. When Limit is reached all counts are halved and those below
// one dropped, so it never holds more than twice Limit names.
type Counts struct {
	Limit  float64
	total  float64
	counts map[string]float64
}

// Add counts an occurrence of a name. The empty name counts in the total only.
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

// Share is the fraction of all occurrences that a name has, with a number of unseen others added to
// the total.
func (c *Counts) Share(name string, unseen float64) float64 {
	return c.counts[name] / (c.total + unseen)
}

// Memory has a figure by name and when it was put. It holds Limit names. A full one drops entries
// older than TTL, which it looks for once in a quarter of that time, and takes no new name while
// there are none.
type Memory struct {
	Limit int
	TTL   time.Duration

	entries map[string]entry
	sweptAt time.Duration
}

type entry struct {
	storedAt time.Duration
	value    float64
}

// Put sets the figure of a name, unless the name is empty. The time must not go back.
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

// Get returns the figure of a name if it was put after a time, else 0.
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

// Len is the number of names.
func (m *Memory) Len() int { return len(m.entries) }

// Estimate is a ratio to an expected value, from own observations and from reports of others. Both
// decay to 1, by half in each HalfLife; reports count the more the longer ago the last observation
// is. The zero value, with HalfLife set, is 1.
type Estimate struct {
	HalfLife time.Duration

	observed, reported               float64 // above 1
	observedAt, reportedAt, lastSeen time.Duration
}

// At is the estimate at a time, which must not go back.
func (o *Estimate) At(now time.Duration) float64 {
	if o.observedAt != now {
		o.observed, o.observedAt = o.observed*o.remaining(now-o.observedAt), now
	}
	return 1 + o.observed + (o.reported-o.observed)*(1-o.remaining(now-o.lastSeen))*o.remaining(now-o.reportedAt)
}

func (o *Estimate) remaining(elapsed time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / o.HalfLife.Seconds())
}

// Observe moves the observed part towards a ratio, by a weight of 1 at most.
func (o *Estimate) Observe(now time.Duration, ratio, weight float64) {
	o.At(now)
	o.observed += (ratio - 1 - o.observed) * weight
	o.lastSeen = now
}

// Report moves the reported part from the present estimate towards a reported ratio, by a weight of
// 1 at most.
func (o *Estimate) Report(now time.Duration, ratio, weight float64) {
	previous := o.At(now)
	o.reported, o.reportedAt = previous+(ratio-previous)*weight-1, now
}

// Reset makes the estimate 1. The time of the last observation stays.
func (o *Estimate) Reset() { o.observed, o.reported = 0, 0 }

// Sum is a sum whose terms decay by 1/e in each Span. The zero value, with Span and MinAge set, is
// empty.
type Sum struct {
	Span   time.Duration
	MinAge time.Duration // the age that the sum is taken to have at least

	sum                  float64
	updatedAt, startedAt time.Duration
}

// Add adds a term at a time, which must not go back.
func (s *Sum) Add(now time.Duration, x float64) {
	if s.sum == 0 {
		s.startedAt = now
	}
	s.sum, s.updatedAt = s.sum*s.remaining(now-s.updatedAt)+x, now
}

// At estimates the sum over a whole Span. A younger sum is extrapolated from the time since its
// first term.
func (s *Sum) At(now time.Duration) float64 {
	if s.sum == 0 {
		return 0
	}
	return s.sum * s.remaining(now-s.updatedAt) / (1 - s.remaining(max(now-s.startedAt, s.MinAge)))
}

func (s *Sum) remaining(elapsed time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / s.Span.Seconds())
}
