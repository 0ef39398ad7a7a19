package hostmodel

import (
	"math"
	"testing"
	"time"
)

// The largest number of calls in a window is exactly the platform's budget: N + 2*sqrt(N) + 2, or
// N + 3*sqrt(N) + 3 if N is below 30. Calls from before the window do not count.
func TestColdBudgetIsCountedToTheCall(t *testing.T) {
	for _, tt := range []struct {
		mean time.Duration
		most int
	}{
		{time.Second, 1 + 3 + 3},
		{250 * time.Millisecond, 4 + 6 + 3},
		{time.Second / 100, 100 + 20 + 2},
		{time.Second / 900, 900 + 60 + 2},
	} {
		cold := SlowStart{InitialCapacity: 0.5, Duration: time.Hour, MaxLoadFactor: 2, Window: time.Second, MeanRequestWork: tt.mean}
		now := time.Microsecond // so early that the capacity is practically InitialCapacity
		w := slowStartState{config: cold}
		for range tt.most {
			w.countCall(now)
		}
		if w.maxBudgetUsed > 1.001 || w.maxBudgetUsed < 0.99 {
			t.Errorf("mean %v: %d calls are %.3f of the budget, want all of it", tt.mean, tt.most, w.maxBudgetUsed)
		}
		for range int(math.Ceil(0.01 * float64(tt.most))) {
			w.countCall(now)
		}
		if w.maxBudgetUsed <= 1.001 {
			t.Errorf("mean %v: more calls than the budget are %.3f of it, want more than 1.001", tt.mean, w.maxBudgetUsed)
		}
		before := w.maxBudgetUsed
		for range tt.most {
			w.countCall(now + 2*cold.Window)
		}
		if w.maxBudgetUsed != before {
			t.Errorf("mean %v: calls of an earlier window count: %.3f of the budget", tt.mean, w.maxBudgetUsed)
		}
	}
}
