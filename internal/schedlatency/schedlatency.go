// Package schedlatency measures the scheduling latency of its own process: how much later than due
// the process ran, as its machine had no processor for it or as it was stopped. A process that must
// act by a time that others have set plans with it. The caller starts Run, or calls Tick in its place.
package schedlatency

import (
	"context"
	"sync"
	"time"
)

const (
	// Interval is the time between two ticks. Of a delay up to so much may be missed.
	Interval = 100 * time.Millisecond
	// Window is how long a delay is remembered.
	Window = 10 * time.Second
	// minDelay is the shortest delay that is remembered.
	minDelay = 20 * time.Millisecond
	// signalWindow is how long before a signal was noticed a delay may have ended that held it up:
	// the tick may get a processor first.
	signalWindow = 200 * time.Millisecond
)

// Monitor remembers by how much the ticks of a process were late. It may be used by several
// goroutines.
type Monitor struct {
	mu       sync.Mutex
	lastTick time.Time
	delays   []delay // within Window, the oldest first
}

// delay is a tick that was late.
type delay struct {
	endedAt time.Time
	length  time.Duration
}

// NewMonitor returns a monitor whose first tick is due Interval after now.
func NewMonitor(now time.Time) *Monitor { return &Monitor{lastTick: now} }

// Run ticks until ctx ends.
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

// Tick records that the process runs.
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

// Longest returns the longest delay that ended in the time before now, or that has not ended yet.
// Within is at most Window.
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

// SignalDelay returns how long before now a signal may have been sent that the process has noticed
// now.
func (m *Monitor) SignalDelay(now time.Time) time.Duration { return m.Longest(now, signalWindow) }

// overdue returns for how long a tick has been due. The caller has the lock.
func (m *Monitor) overdue(now time.Time) time.Duration {
	return max(now.Sub(m.lastTick)-Interval, 0)
}
