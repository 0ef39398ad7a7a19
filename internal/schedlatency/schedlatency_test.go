package schedlatency

import (
	"testing"
	"time"
)

// Longest counts a delay while it lasts, and after its end for the time that its argument within says.
func TestLongestDelayWithinWindow(t *testing.T) {
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	m := NewMonitor(start)
	m.Tick(at(Interval))
	m.Tick(at(Interval + 500*time.Millisecond))                // 400 ms late
	m.Tick(at(2*Interval + 500*time.Millisecond))              // on time
	m.Tick(at(3*Interval + 500*time.Millisecond + minDelay/2)) // late by less than minDelay
	lastTick := 3*Interval + 500*time.Millisecond + minDelay/2
	for _, x := range []struct {
		now, within, want time.Duration
	}{
		{lastTick, Window, 400 * time.Millisecond},
		{lastTick, 50 * time.Millisecond, 0},
		{lastTick + Interval, 0, 0},
		{lastTick + Interval + time.Second, 0, time.Second},
		{lastTick + Interval + 200*time.Millisecond, time.Second, 400 * time.Millisecond},
	} {
		if got := m.Longest(at(x.now), x.within); got != x.want {
			t.Errorf("at %v within %v: got %v, want %v", x.now, x.within, got, x.want)
		}
	}
}

// Tick drops delays that are older than Window, so the number of remembered delays is bounded.
func TestOldDelaysAreForgotten(t *testing.T) {
	now := time.Now()
	m := NewMonitor(now)
	for range 1000 {
		now = now.Add(2 * Interval)
		m.Tick(now)
	}
	if maxDelays := int(Window/(2*Interval)) + 1; len(m.delays) > maxDelays {
		t.Errorf("%d delays are remembered, want at most %d", len(m.delays), maxDelays)
	}
}
