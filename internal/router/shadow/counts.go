package shadow

import (
	"maps"
	"time"
)

// PressureLevel is how much the live path leaves to copies.
type PressureLevel int

// The levels.
const (
	LevelCalm  PressureLevel = iota // copies start
	LevelTense                      // waiting copies are dropped and none starts
	LevelHard                       // copies in flight are canceled too
)

// String returns the level's name.
func (l PressureLevel) String() string { return [...]string{"calm", "tense", "hard"}[l] }

// Counts is the counters of a Decider since New, and its present state.
type Counts struct {
	Offered, Started, Recorded, Compared uint64

	Dropped         map[Cause]uint64  // never started
	Ended           map[Cause]uint64  // started and canceled
	Incomparable    map[Cause]uint64  // records with a cause
	PressureSignals map[string]uint64 // by the signal that began the pressure
	HostFull        uint64            // attempts denied by Caps.InFlightPerHost

	Waiting, InFlight int
	Pairing           int   // copies that have ended before their live answer
	Bytes             int64 // of the bodies of all copies
	PressureLevel     PressureLevel
	Sampled           bool // there was a sample
	Hosts             int  // that serve
	Down              bool
	Retry             time.Duration // the time of the next trial, while Down
}

// Counts returns the counters and the present state. The maps are copies.
func (d *Decider) Counts() Counts {
	c := d.count
	c.Dropped = maps.Clone(c.Dropped)
	c.Ended = maps.Clone(c.Ended)
	c.Incomparable = maps.Clone(c.Incomparable)
	c.PressureSignals = maps.Clone(c.PressureSignals)
	c.Waiting, c.InFlight, c.Pairing = len(d.queue), len(d.inFlight), len(d.pairing)
	c.Bytes = d.bytes
	c.PressureLevel, c.Sampled = d.level, d.sampledAt > 0
	c.Hosts, c.Down = d.hosts, d.ejected
	if d.ejected {
		c.Retry = d.retryAt
	}
	return c
}

// Level returns the present level.
func (d *Decider) Level() PressureLevel { return d.level }
