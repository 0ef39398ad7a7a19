package shadow

import (
	"maps"
	"time"
)

// PressureLevel is how strongly copying is restricted in favor of the live path.
type PressureLevel int

// The pressure levels, from no restriction to the strongest.
const (
	LevelCalm  PressureLevel = iota // copies are started
	LevelTense                      // waiting copies are dropped, and no copy is started
	LevelHard                       // as LevelTense, and copies in flight are canceled
)

// String returns the level's name.
func (l PressureLevel) String() string { return [...]string{"calm", "tense", "hard"}[l] }

// Counts holds the counters of a Decider since New and its current state.
type Counts struct {
	Offered, Started, Recorded, Compared uint64

	Dropped         map[Cause]uint64  // copies that were never started
	Ended           map[Cause]uint64  // copies that were started and canceled
	Incomparable    map[Cause]uint64  // records whose answers can't be compared
	PressureSignals map[string]uint64 // how often pressure began, by the signal that caused it
	HostFull        uint64            // attempts denied by Caps.InFlightPerHost

	Waiting, InFlight int
	Pairing           int   // copies that ended and wait for the end of their live answer
	Bytes             int64 // total size of the request bodies of all copies
	PressureLevel     PressureLevel
	Sampled           bool          // at least one Sample was applied
	Hosts             int           // hosts that are serving
	Down              bool          // the pool is ejected
	Retry             time.Duration // when the next trial may start, on the clock of Step; only if Down
}

// Counts returns the counters and the current state. The maps are copies.
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

// Level returns the current pressure level.
func (d *Decider) Level() PressureLevel { return d.level }
