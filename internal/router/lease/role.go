package lease

import (
	"fmt"
	"strings"
	"time"
)

// Limits on settings and on requests of other routers.
const (
	MaxRoles     = 64   // roles of a table; each zone of a role with ByZone counts as one
	MaxHolders   = 64   // holders of one role at a time
	MaxVoters    = 16   // routers that may vote
	MaxQueued    = 1024 // routers in the queue of one role
	MaxNameBytes = 48   // bytes of the name of a role, a router or a zone
)

// AnyRouter is used instead of a router's name and means the next router in the queue.
const AnyRouter = "*"

// Role is one kind of work that only a limited number of routers may do at a time. The voters store
// it in their log and snapshots.
type Role struct {
	Name           string
	MaxHolders     int      `json:"Holders"` // holders at a time; 0 counts as 1
	PreferredZones []string `json:"Zones"`   // queued routers in these zones come first, in this order of zones
	ByZone         bool     // each zone has its own holders: routers acquire "name@zone"
}

// Validate returns an error if the role is invalid. The error uses the terms of the block duties in
// the settings.
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

// NameIn returns the name under which a router in a zone acquires the role.
func (r *Role) NameIn(zone string) string {
	if r.ByZone {
		return r.Name + "@" + zone
	}
	return r.Name
}

// Router identifies a process of a router. The boot number distinguishes the process from earlier
// processes of the same router, so that their requests are not attributed to it.
type Router struct {
	Name string
	Boot uint32
	Zone string
}

// Timing defines how long leases last.
type Timing struct {
	Duration time.Duration // of a lease at the voters
	// ClockAllowance is how much shorter the lease is at the holder, because clocks run at different
	// rates and because of rounding.
	ClockAllowance time.Duration
	// Margin is the time before the end of a lease at the holder in which no work may begin and work
	// in progress must end.
	Margin time.Duration
}

// MaxClockDrift is the largest relative difference between the rates of two clocks that leases
// tolerate. Crystals differ by a tenth of it; the rest allows for virtual machines.
const MaxClockDrift = 0.001

// DefaultTiming is the timing of leases of 2 s. Within 2 s, two clocks drift apart by up to 2 ms
// (MaxClockDrift). The clock allowance is five times as long.
var DefaultTiming = Timing{Duration: 2 * time.Second, ClockAllowance: 10 * time.Millisecond, Margin: 100 * time.Millisecond}

// Limits on the duration of a lease.
const (
	minLease = 500 * time.Millisecond
	maxLease = time.Minute
)

// Validate returns an error if the timing is invalid. The error uses the terms of the block duties
// in the settings.
func (t *Timing) Validate() error {
	switch {
	case t.Duration < minLease || t.Duration > maxLease:
		return fmt.Errorf("a lease of %v; it must be from 500ms to 1m", t.Duration)
	case float64(t.ClockAllowance) < 2*MaxClockDrift*float64(t.Duration):
		return fmt.Errorf("a clock allowance of %v; it must be at least twice the clock drift in a lease", t.ClockAllowance)
	case t.Margin <= 0 || t.Margin > t.Duration/4:
		return fmt.Errorf("a margin of %v; it must be above 0 and at most a quarter of the lease", t.Margin)
	}
	return nil
}
