package quota

import "time"

// maxBorrowTime is how long use may go on without an owner, once in a window. By then another owner
// acts, or this process is isolated and its units are granted to others.
const maxBorrowTime = 2500 * time.Millisecond

// Lessee keeps what one process was granted of one key. Plan is to be set before use and may
// change.
type Lessee struct {
	Plan Plan

	grants         []grant // the oldest first
	used           Usage
	borrowingSince time.Duration
	borrowLimit    float64 // units used in the window when borrowing began; 0 before the first time
	borrowed       float64 // units that were reported to no owner
}

// grant is units that can be used until they expire.
type grant struct {
	units     float64
	expiresAt time.Duration
}

// Available returns how many units can be used now.
func (l *Lessee) Available(now time.Duration) float64 {
	for len(l.grants) > 0 && l.grants[0].expiresAt <= now {
		l.grants = l.grants[1:]
	}
	sum := 0.0
	for _, g := range l.grants {
		sum += g.units
	}
	return sum
}

// Take uses units and reports whether so many were available.
func (l *Lessee) Take(now time.Duration, units float64) bool {
	if l.Available(now) < units {
		return false
	}
	l.use(now, units)
	for units > 0 && len(l.grants) > 0 { // the grants may be short of units by a rounding error
		g := &l.grants[0]
		if g.units > units {
			g.units -= units
			break
		}
		units -= g.units
		l.grants = l.grants[1:]
	}
	return true
}

func (l *Lessee) use(now time.Duration, units float64) {
	l.used.Window = l.Plan.Window
	l.used.Add(now, units)
}

// Borrow uses units that nobody granted, for when no owner answers, and reports whether it may: for
// maxBorrowTime a process may use as much in a window as before. So all processes together use no
// more than they did.
func (l *Lessee) Borrow(now time.Duration, units float64) bool {
	l.used.Window = l.Plan.Window
	used := l.used.Sum(now)
	if l.borrowLimit == 0 || now-l.borrowingSince >= l.Plan.Window+maxBorrowTime {
		l.borrowingSince, l.borrowLimit = now, used
	}
	// Half of the units: where few are used, one request in two that would exceed the limit passes.
	if now-l.borrowingSince >= maxBorrowTime || used+units/2 > l.borrowLimit {
		return false
	}
	l.use(now, units)
	l.borrowed += units
	return true
}

// Request returns what to ask the owner for so that units can be taken.
func (l *Lessee) Request(now time.Duration, units float64) Request {
	return Request{Need: max(units-l.Available(now), 0), Borrowed: l.borrowed}
}

// ReportedBorrowed takes note that borrowed units were reported to an owner.
func (l *Lessee) ReportedBorrowed(units float64) { l.borrowed = max(l.borrowed-units, 0) }

// AddGrant adds units that were granted to a request made at a time.
func (l *Lessee) AddGrant(requestedAt time.Duration, units float64) {
	if units > 0 {
		l.grants = append(l.grants, grant{units, requestedAt + l.Plan.GrantTTL})
	}
}
