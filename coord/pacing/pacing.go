// Package pacing detects event loops that spin. A loop drives a decider by a timer: the decider
// names the time of its next step, and the loop sleeps until then. A decider that names a time in
// the past makes its loop turn without pause and use a processor, though everything works.
//
// A Meter belongs to one loop, whose owner reports each step to it. Its Stats may be read by any
// goroutine.
package pacing

import (
	"sync/atomic"
	"time"
)

// reportInterval is the shortest time between two reports of stalled steps.
const reportInterval = time.Second

// Stats are counters since the start of the loop.
type Stats struct {
	Steps   uint64
	Stalled uint64 // of these, steps by the timer after which the next step was due at once
}

// Meter counts the steps of one loop. The zero value is ready for use.
type Meter struct {
	steps, stalled atomic.Uint64

	reported     uint64 // stalled steps
	nextReportAt time.Duration
}

// RecordStep records a step at a time, made because the timer was due or for another reason, and
// the time of the next one. It returns the number of stalled steps to log: those since it was above
// 0 last, and 0 if that is less than a second ago.
func (m *Meter) RecordStep(now, next time.Duration, byTimer bool) (stalled uint64) {
	m.steps.Add(1)
	if !byTimer || next > now {
		return 0
	}
	total := m.stalled.Add(1)
	if now < m.nextReportAt {
		return 0
	}
	m.nextReportAt = now + reportInterval
	stalled, m.reported = total-m.reported, total
	return stalled
}

// RecordTick records a step of a loop with a periodic timer, which can't stall.
func (m *Meter) RecordTick() { m.steps.Add(1) }

// Stats returns the counters.
func (m *Meter) Stats() Stats { return Stats{Steps: m.steps.Load(), Stalled: m.stalled.Load()} }
