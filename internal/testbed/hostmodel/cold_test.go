package hostmodel

import (
	"math"
	"testing"
	"time"
)

// The most calls in a window are the platform's budget to the call: N + 2 x root of N + 2, and N +
// 3 x root of N + 3 for N under 30. Calls that have left the window count no more.
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
		now := time.Microsecond // a microsecond of an hour adds nothing that counts
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
			t.Errorf("mean %v: more are %.3f of the budget", tt.mean, w.maxBudgetUsed)
		}
		before := w.maxBudgetUsed
		for range tt.most {
			w.countCall(now + 2*cold.Window)
		}
		if w.maxBudgetUsed != before {
			t.Errorf("mean %v: calls of an earlier window count: %.3f", tt.mean, w.maxBudgetUsed)
		}
	}
}
