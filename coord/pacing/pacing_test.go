package pacing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A step counts as stalled only if the timer triggered it and the next step is due at once. All
// stalled steps are reported, at most once per second.
func TestStalledStepsAreReported(t *testing.T) {
	is := is.New(t)
	m := &Meter{}
	is.Equal(m.RecordStep(10*time.Millisecond, 20*time.Millisecond, true), uint64(0))
	is.Equal(m.RecordStep(15*time.Millisecond, 15*time.Millisecond, false), uint64(0)) // a message triggered the step
	is.Equal(m.RecordStep(20*time.Millisecond, 20*time.Millisecond, true), uint64(1))
	is.Equal(m.RecordStep(20*time.Millisecond, 10*time.Millisecond, true), uint64(0))
	is.Equal(m.RecordStep(1019*time.Millisecond, 0, true), uint64(0))
	is.Equal(m.RecordStep(1020*time.Millisecond, 0, true), uint64(3))
	m.RecordTick()
	is.Equal(m.Stats(), Stats{Steps: 7, Stalled: 4})
}
