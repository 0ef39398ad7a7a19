package lease

import (
	"fmt"
	"strings"
	"time"
)

// Bounds of what comes from outside.
const (
	MaxRoles     = 64   // roles of a table; each zone of a role by zone counts
	MaxHolders   = 64   // of one role at a time
	MaxVoters    = 16   // routers that may vote
	MaxQueued    = 1024 // routers that wait for one role
	MaxNameBytes = 48   // of the name of a role, a router or a zone
)

// AnyRouter stands in place of a router's name for whoever is first in the queue.
const AnyRouter = "*"

// Role is one kind of work that only so many routers may do at a time. It is stored in the voters'
// log and snapshots.
type Role struct {
	Name           string
	MaxHolders     int      `json:"Holders"` // at a time; 0 counts as 1
	PreferredZones []string `json:"Zones"`   // routers of these come first in the queue, in this order
	ByZone         bool     // each zone has holders of its own: routers ask for "name@zone"
}

// Validate returns what is wrong with a role, as the settings' block duties names it.
func (r *Role) Validate() error {
	switch {
	case r.Name == "" || len(r.Name) > MaxNameBytes || strings.ContainsAny(r.Name, "@ \t\n"):
		return fmt.Errorf("duty %q: a name has 1 to %d bytes, and neither spaces nor @", r.Name, MaxNameBytes)
	case r.MaxHolders < 0 || r.MaxHolders > MaxHolders:
		return fmt.Errorf("duty %q: %d holders; there may be %d", r.Name, r.MaxHolders, MaxHolders)
	case len(r.PreferredZones) > MaxHolders:
		return fmt.Errorf("duty %q: %d zones; there may be %d", r.Name, len(r.PreferredZones), MaxHolders)
	}
	return nil
}

// NameIn returns the name under which a router of a zone asks for the role.
func (r *Role) NameIn(zone string) string {
	if r.ByZone {
		return r.Name + "@" + zone
	}
	return r.Name
}

// Router identifies who asks: the name, and by its boot number the process, so that what an earlier
// process asked for is not taken for this one's.
type Router struct {
	Name string
	Boot uint32
	Zone string
}

// Timing is how long leases last.
type Timing struct {
	Duration time.Duration // on the voters' side
	// ClockAllowance is what the holder counts less, for clocks that run at different rates and for
	// rounding.
	ClockAllowance time.Duration
	// Margin is the time before a lease's end in which no work begins and what is under way ends.
	Margin time.Duration
}

// MaxClockDrift is by how much the rates of two clocks may differ. Crystals differ by a tenth of
// it; the rest is for virtual machines.
const MaxClockDrift = 0.001

// DefaultTiming is a lease of 2 s. MaxClockDrift makes 2 ms of it, and five times that is allowed
// for.
var DefaultTiming = Timing{Duration: 2 * time.Second, ClockAllowance: 10 * time.Millisecond, Margin: 100 * time.Millisecond}

// The bounds of a lease's duration.
const (
	minLease = 500 * time.Millisecond
	maxLease = time.Minute
)

// Validate returns what is wrong with a timing, as the settings' block duties names it.
func (t *Timing) Validate() error {
	switch {
	case t.Duration < minLease || t.Duration > maxLease:
		return fmt.Errorf("a lease of %v; it must be from 500ms to 1m", t.Duration)
	case float64(t.ClockAllowance) < 2*MaxClockDrift*float64(t.Duration):
		return fmt.Errorf("an allowance of %v is less than twice what clocks may differ by in a lease", t.ClockAllowance)
	case t.Margin <= 0 || t.Margin > t.Duration/4:
		return fmt.Errorf("a margin of %v; it must be more than nothing and at most a quarter of the lease", t.Margin)
	}
	return nil
}
