package quota

import "time"

// maxBorrowTime bounds how long a lessee may borrow units without an owner. After that it may not
// borrow again for one window. By then either another owner has taken over, or this process is
// isolated and the owner grants its units to other processes.
const maxBorrowTime = 2500 * time.Millisecond

// Lessee holds the units of one key that one process was granted. The caller must set Plan before
// use, and may change it later.
type Lessee struct {
	Plan Plan

	grants         []grant // oldest first
	used           Usage
	borrowingSince time.Duration // start of the current or last borrowing period
	borrowLimit    float64       // units used in the window before borrowingSince; 0 before the first period
	borrowed       float64       // borrowed units that this lessee has not reported to an owner
}

// grant is a number of units that can be used until expiresAt.
type grant struct {
	units     float64
	expiresAt time.Duration
}

// Available returns the sum of the granted units that have not been used and have not expired.
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

// Take uses units if that many are available, and reports whether it did.
func (l *Lessee) Take(now time.Duration, units float64) bool {
	if l.Available(now) < units {
		return false
	}
	l.use(now, units)
	for units > 0 && len(l.grants) > 0 { // a rounding error can make the grants add up to less than units
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

// Borrow uses units without a grant, and reports whether the lessee may do so. The caller borrows
// when no owner answers. For maxBorrowTime a process may use as many units in a window as it used
// before, so all processes together use no more than before.
func (l *Lessee) Borrow(now time.Duration, units float64) bool {
	l.used.Window = l.Plan.Window
	used := l.used.Sum(now)
	if l.borrowLimit == 0 || now-l.borrowingSince >= l.Plan.Window+maxBorrowTime {
		l.borrowingSince, l.borrowLimit = now, used
	}
	// Only half of the units count here, so that at low use every second request that would exceed
	// the limit passes.
	if now-l.borrowingSince >= maxBorrowTime || used+units/2 > l.borrowLimit {
		return false
	}
	l.use(now, units)
	l.borrowed += units
	return true
}

// Request returns the request to send to the owner before taking units. Its Need is 0 if enough
// units are available.
func (l *Lessee) Request(now time.Duration, units float64) Request {
	return Request{Need: max(units-l.Available(now), 0), Borrowed: l.borrowed}
}

// ReportedBorrowed records that the caller has reported borrowed units to an owner.
func (l *Lessee) ReportedBorrowed(units float64) { l.borrowed = max(l.borrowed-units, 0) }

// AddGrant adds units that an owner granted to a request made at requestedAt. They expire
// Plan.GrantTTL after that time.
func (l *Lessee) AddGrant(requestedAt time.Duration, units float64) {
	if units > 0 {
		l.grants = append(l.grants, grant{units, requestedAt + l.Plan.GrantTTL})
	}
}
