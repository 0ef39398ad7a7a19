// Package schedlatency measures the scheduling latency of its own process: how much later than due the
// process ran, because no processor was free or because the process was stopped. A process that must
// act before a deadline set by others uses the latency to plan a margin. The caller starts Run, or
// calls Tick itself.
package schedlatency

import (
	"context"
	"sync"
	"time"
)

const (
	// Interval is the time between two ticks. The measured delay can be shorter than the real one by
	// up to Interval.
	Interval = 100 * time.Millisecond
	// Window is how long a delay is remembered.
	Window = 10 * time.Second
	// minDelay is the shortest delay that is remembered.
	minDelay = 20 * time.Millisecond
	// signalWindow is the longest time between the end of a delay and the moment at which the process
	// notices a signal that this delay held up. The tick that ends the delay may run before the
	// goroutine that receives the signal.
	signalWindow = 200 * time.Millisecond
)

// Monitor records by how much the ticks of a process were late. It is safe for concurrent use.
type Monitor struct {
	mu       sync.Mutex
	lastTick time.Time
	delays   []delay // within Window, the oldest first
}

// delay is the delay of a tick that was late.
type delay struct {
	endedAt time.Time // when the tick ran
	length  time.Duration
}

// NewMonitor returns a monitor whose first tick is due Interval after now.
func NewMonitor(now time.Time) *Monitor { return &Monitor{lastTick: now} }

// Run calls Tick every Interval until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	timer := time.NewTimer(Interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		m.Tick(time.Now())
		timer.Reset(Interval)
	}
}

// Tick records that the process runs now, and by how much the tick is late. It drops delays that are
// older than Window.
func (m *Monitor) Tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	late := m.overdue(now)
	m.lastTick = now
	for len(m.delays) > 0 && now.Sub(m.delays[0].endedAt) > Window {
		m.delays = m.delays[1:]
	}
	if late >= minDelay {
		m.delays = append(m.delays, delay{now, late})
	}
}

// Longest returns the longest delay that ended at most within before now, or that has not ended yet.
// Delays are remembered for Window, so within must not be longer.
func (m *Monitor) Longest(now time.Time, within time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	longest := m.overdue(now)
	for _, d := range m.delays {
		if now.Sub(d.endedAt) <= within {
			longest = max(longest, d.length)
		}
	}
	return longest
}

// SignalDelay returns the longest time for which scheduling may have delayed a signal that the process
// notices now.
func (m *Monitor) SignalDelay(now time.Time) time.Duration { return m.Longest(now, signalWindow) }

// overdue returns how long the next tick is overdue, 0 if it is not due yet. The caller must hold m.mu.
func (m *Monitor) overdue(now time.Time) time.Duration {
	return max(now.Sub(m.lastTick)-Interval, 0)
}
