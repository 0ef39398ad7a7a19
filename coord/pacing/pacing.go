// Package pacing detects event loops that spin. An event loop runs a state machine by a timer: the
// state machine returns the time of its next step, and the loop sleeps until that time. If that time
// is always in the past, the loop never sleeps and uses a whole processor, although it otherwise
// works as expected.
//
// A Meter belongs to one loop, which reports each of its steps to the Meter. Any goroutine may call
// Stats.
package pacing

import (
	"sync/atomic"
	"time"
)

// reportInterval is the shortest time between two reports of stalled steps.
const reportInterval = time.Second

// Stats counts the steps of a loop since its start.
type Stats struct {
	Steps uint64
	// Stalled is the number of steps that the timer triggered and after which the next step was due
	// at once.
	Stalled uint64
}

// Meter counts the steps of one loop. The zero value is ready for use.
type Meter struct {
	steps, stalled atomic.Uint64

	stalledAtLastReport uint64 // number of stalled steps at the last report
	nextReportAt        time.Duration
}

// RecordStep records a step that the loop executed now, and the time of the next step. ByTimer means
// that the timer triggered the step, and not another event such as a message. The result is the
// number of stalled steps to log: the stalled steps since the last result above 0. It is 0 if that
// result was returned less than 1 second ago.
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
	stalled, m.stalledAtLastReport = total-m.stalledAtLastReport, total
	return stalled
}

// RecordTick records a step of a loop with a periodic timer. Such a loop can't spin.
func (m *Meter) RecordTick() { m.steps.Add(1) }

// Stats returns the counters.
func (m *Meter) Stats() Stats { return Stats{Steps: m.steps.Load(), Stalled: m.stalled.Load()} }
