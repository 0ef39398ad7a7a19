// Package pacing watches the loops that drive deciders by a timer. A decider names the time of its next step; one that goes on naming a time
// that has passed makes its loop turn without pause, and the processor that this takes is missing elsewhere, though all works.
//
// A Meter belongs to one loop. Its counters may be read by anybody.
package pacing

import (
	"sync/atomic"
	"time"
)

// sayEvery is the least time between two reports of stalled steps.
const reportInterval = time.Second

// Figures are counters since the start of the loop.
type Stats struct {
	Steps   uint64
	Stalled uint64 // of these, steps by the timer after which the decider named no later time
}

// Meter counts the steps of one loop. The zero value is ready.
type Meter struct {
	steps, stalled atomic.Uint64

	reported     uint64 // stalled steps that were reported
	nextReportAt time.Duration
}

// Stepped notes a step that the loop made at a time, as the timer was due or for another reason, and the time that the decider names for the
// next one. It returns how many steps have stalled since it last said so: above 0 once a second at most.
func (m *Meter) RecordStep(now, next time.Duration, byTimer bool) (stalled uint64) {
	m.steps.Add(1)
	if !byTimer || next > now {
		return 0
	}
	all := m.stalled.Add(1)
	if now < m.nextReportAt {
		return 0
	}
	m.nextReportAt = now + reportInterval
	stalled, m.reported = all-m.reported, all
	return stalled
}

// Counted notes a step of a loop whose timer is periodic.
func (m *Meter) RecordTick() { m.steps.Add(1) }

// Figures returns the counters.
func (m *Meter) Stats() Stats { return Stats{Steps: m.steps.Load(), Stalled: m.stalled.Load()} }
