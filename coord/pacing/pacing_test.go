package pacing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Only steps by the timer without a later time to follow count as stalled, and they are reported once a second at most, none left out.
func TestStalledSteps(t *testing.T) {
	is := is.New(t)
	m := &Meter{}
	is.Equal(m.Stepped(10*time.Millisecond, 20*time.Millisecond, true), uint64(0))
	is.Equal(m.Stepped(15*time.Millisecond, 15*time.Millisecond, false), uint64(0)) // a message came
	is.Equal(m.Stepped(20*time.Millisecond, 20*time.Millisecond, true), uint64(1))
	is.Equal(m.Stepped(20*time.Millisecond, 10*time.Millisecond, true), uint64(0))
	is.Equal(m.Stepped(1019*time.Millisecond, 0, true), uint64(0))
	is.Equal(m.Stepped(1020*time.Millisecond, 0, true), uint64(3))
	m.Counted()
	is.Equal(m.Figures(), Figures{Steps: 7, Stalled: 4})
}
